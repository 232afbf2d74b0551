//! A scripted Flight SQL client. `send CLASS ID [LIMIT]` runs a query, `send update CLASS ID` runs an update, `send cancel`
//! cancels the last query, `send again` fetches its ticket a second time, and `close` drops the running fetch.

use crate::harness::PeerTask;
use crate::pg_client::statement;
use arrow_array::cast::AsArray;
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::sql::{
    CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult, ProstMessageExt,
};
use arrow_flight::{Action, CancelFlightInfoRequest, FlightData, FlightDescriptor, FlightInfo};
use futures::{StreamExt, TryStreamExt};
use prost::Message;
use tokio::sync::mpsc::UnboundedSender;
use tonic::transport::Channel;
use tonic::{Code, Status};
use tonic_types::StatusExt;

type Client = FlightServiceClient<Channel>;

pub async fn run(address: String, mut peer_task: PeerTask) {
    let channel = Channel::from_shared(format!("http://{address}")).expect("an address");
    let client = FlightServiceClient::new(channel.connect().await.expect("connects"));
    let (mut last_info, mut running_fetch) = (None, None);
    while let Some(command) = peer_task.commands.recv().await {
        let (client, events) = (client.clone(), peer_task.events.clone());
        match command.as_str() {
            // The server sees the dropped call as a client that disconnects in the middle of a stream.
            "close" => running_fetch
                .take()
                .iter()
                .for_each(tokio::task::JoinHandle::abort),
            "cancel" => cancel_query(client, last_info.clone().expect("an earlier query")).await,
            "again" => {
                running_fetch = Some(tokio::spawn(fetch_results(
                    client,
                    last_info.clone().expect("an earlier query"),
                    events,
                )))
            }
            request => match request.strip_prefix("update ") {
                Some(request) => drop(tokio::spawn(run_update(client, statement(request), events))),
                None => match get_flight_info(client.clone(), statement(request)).await {
                    Ok(new_info) => {
                        last_info = Some(new_info.clone());
                        running_fetch = Some(tokio::spawn(fetch_results(client, new_info, events)));
                    }
                    Err(status) => drop(events.send(error_event(&status))),
                },
            },
        }
    }
}

async fn get_flight_info(mut client: Client, query: String) -> Result<FlightInfo, Status> {
    let command = CommandStatementQuery {
        query,
        transaction_id: None,
    };
    let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
    Ok(client.get_flight_info(descriptor).await?.into_inner())
}

async fn fetch_results(
    mut client: Client,
    flight_info: FlightInfo,
    events: UnboundedSender<String>,
) {
    let ticket = flight_info.endpoint[0].ticket.clone().expect("a ticket");
    let answer = match client.do_get(ticket).await {
        Ok(answer) => answer.into_inner(),
        Err(status) => return drop(events.send(error_event(&status))),
    };
    let mut stream = FlightRecordBatchStream::new_from_flight_data(answer.map_err(Into::into));
    let mut rows = 0;
    while let Some(batch) = stream.next().await {
        match batch {
            Ok(batch) => {
                for row in 0..batch.num_rows() {
                    let cell = |column: usize| batch.column(column).as_string::<i32>().value(row);
                    rows += 1;
                    let _ = events.send(format!("row {}|{}|{}", cell(0), cell(1), cell(2)));
                }
            }
            Err(error) => return drop(events.send(error_event(&Status::from(error)))),
        }
    }
    let _ = events.send(format!("complete {rows}"));
}

async fn run_update(mut client: Client, query: String, events: UnboundedSender<String>) {
    let command = CommandStatementUpdate {
        query,
        transaction_id: None,
    };
    let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
    let data = FlightData::new().with_descriptor(descriptor);
    let answer = client.do_put(futures::stream::iter([data])).await;
    let update_result = match answer {
        Ok(answer) => answer.into_inner().message().await,
        Err(status) => Err(status),
    };
    let _ = events.send(match update_result {
        Ok(result) => {
            let metadata = result.expect("a result").app_metadata;
            let result = DoPutUpdateResult::decode(metadata).expect("decodes");
            format!("complete {}", result.record_count)
        }
        Err(status) => error_event(&status),
    });
}

async fn cancel_query(mut client: Client, flight_info: FlightInfo) {
    let request = CancelFlightInfoRequest {
        info: Some(flight_info),
    };
    let action = Action::new("CancelFlightInfo", request.encode_to_vec());
    client
        .do_action(action)
        .await
        .expect("the cancel is accepted");
}

fn error_event(status: &Status) -> String {
    let retry_delay = status
        .get_details_retry_info()
        .and_then(|retry_info| retry_info.retry_delay);
    let retry_text = retry_delay.map_or(String::new(), |delay| {
        format!(" retry in {} ms", delay.as_millis())
    });
    let code = match status.code() {
        Code::ResourceExhausted => "53300".to_string(),
        code => format!("{code:?}"),
    };
    format!("error {code}{retry_text} {}", status.message())
}
