//! A Flight SQL client: `send CLASS ID [LIMIT]` asks for a result, `send update CLASS ID` runs an update,
//! `send cancel` calls the last one off, `send again` redeems its ticket once more; `close` goes away.

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

pub async fn run(address: String, mut role: PeerTask) {
    let channel = Channel::from_shared(format!("http://{address}")).expect("an address");
    let client = FlightServiceClient::new(channel.connect().await.expect("connects"));
    let (mut info, mut call) = (None, None);
    while let Some(words) = role.commands.recv().await {
        let (client, heard) = (client.clone(), role.events.clone());
        match words.as_str() {
            // Dropping the call is how a client goes away in the middle of a stream.
            "close" => call.take().iter().for_each(tokio::task::JoinHandle::abort),
            "cancel" => cancel(client, info.clone().expect("asked before")).await,
            "again" => {
                call = Some(tokio::spawn(get(
                    client,
                    info.clone().expect("asked before"),
                    heard,
                )))
            }
            words => match words.strip_prefix("update ") {
                Some(words) => drop(tokio::spawn(update(client, statement(words), heard))),
                None => match ask(client.clone(), statement(words)).await {
                    Ok(given) => {
                        info = Some(given.clone());
                        call = Some(tokio::spawn(get(client, given, heard)));
                    }
                    Err(status) => drop(heard.send(error(&status))),
                },
            },
        }
    }
}

async fn ask(mut client: Client, query: String) -> Result<FlightInfo, Status> {
    let command = CommandStatementQuery {
        query,
        transaction_id: None,
    };
    let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
    Ok(client.get_flight_info(descriptor).await?.into_inner())
}

async fn get(mut client: Client, info: FlightInfo, heard: UnboundedSender<String>) {
    let ticket = info.endpoint[0].ticket.clone().expect("a ticket");
    let answer = match client.do_get(ticket).await {
        Ok(answer) => answer.into_inner(),
        Err(status) => return drop(heard.send(error(&status))),
    };
    let mut stream = FlightRecordBatchStream::new_from_flight_data(answer.map_err(Into::into));
    let mut rows = 0;
    while let Some(batch) = stream.next().await {
        match batch {
            Ok(batch) => {
                for row in 0..batch.num_rows() {
                    let cell = |column: usize| batch.column(column).as_string::<i32>().value(row);
                    rows += 1;
                    let _ = heard.send(format!("row {}|{}|{}", cell(0), cell(1), cell(2)));
                }
            }
            Err(why) => return drop(heard.send(error(&Status::from(why)))),
        }
    }
    let _ = heard.send(format!("complete {rows}"));
}

async fn update(mut client: Client, query: String, heard: UnboundedSender<String>) {
    let command = CommandStatementUpdate {
        query,
        transaction_id: None,
    };
    let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
    let data = FlightData::new().with_descriptor(descriptor);
    let answer = client.do_put(futures::stream::iter([data])).await;
    let told = match answer {
        Ok(answer) => answer.into_inner().message().await,
        Err(status) => Err(status),
    };
    let _ = heard.send(match told {
        Ok(result) => {
            let metadata = result.expect("a result").app_metadata;
            let result = DoPutUpdateResult::decode(metadata).expect("decodes");
            format!("complete {}", result.record_count)
        }
        Err(status) => error(&status),
    });
}

async fn cancel(mut client: Client, info: FlightInfo) {
    let request = CancelFlightInfoRequest { info: Some(info) };
    let action = Action::new("CancelFlightInfo", request.encode_to_vec());
    client.do_action(action).await.expect("is cancelled");
}

fn error(status: &Status) -> String {
    let retry = status
        .get_details_retry_info()
        .and_then(|info| info.retry_delay);
    let retry = retry.map_or(String::new(), |delay| {
        format!(" retry in {} ms", delay.as_millis())
    });
    let code = match status.code() {
        Code::ResourceExhausted => "53300".to_string(),
        code => format!("{code:?}"),
    };
    format!("error {code}{retry} {}", status.message())
}
