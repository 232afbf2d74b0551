//! A desk whose broker the test plays.

use sedgebeam_core::{Class, Micros, Settings};
use sedgebeam_operation::Metrics;
use sedgebeam_port::{Answer, BrokerMessage, NewRequest, RequestRouter};
use sedgebeam_reconfigure::RuntimeSettings;
use sedgebeam_settings::Names;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A statement of the only class.
pub const STATEMENT: &str =
    "/* verb=lookup,txn=00000000000000ff,limit=60000 */ SELECT 1 FROM sales_1.orders";

/// Clients are advised to stay away for so many milliseconds at most.
pub async fn desk(max_retry_after: u64) -> (RequestRouter, mpsc::Receiver<BrokerMessage>) {
    let class = Class {
        name: "lookup".to_string(),
        ..Class::default()
    };
    let tuning = RuntimeSettings {
        settings: Settings {
            classes: vec![class],
            max_retry_after: Micros::from_millis(max_retry_after),
            ..Settings::default()
        },
        names: Names {
            classes: vec!["lookup".to_string()],
            give_up: vec![Micros::from_millis(60_000)],
            ..Names::default()
        },
        max_open_requests: 100,
    };
    let desk = RequestRouter::new(1, 1, Metrics::default(), tuning);
    let (mailbox, broker) = mpsc::channel(64);
    desk.open_shard(0, mailbox).await.expect("a broker");
    (desk, broker)
}

/// The next request, and where its answer goes.
pub async fn submitted(
    broker: &mut mpsc::Receiver<BrokerMessage>,
) -> (NewRequest, oneshot::Sender<Answer>) {
    while let Some(told) = broker.recv().await {
        if let BrokerMessage::Submit(request, reply) = told {
            return (request, reply);
        }
    }
    panic!("no request has come");
}

/// Refuses the next request, with this advice.
pub async fn refuse(broker: &mut mpsc::Receiver<BrokerMessage>, retry_after: Duration) {
    let (_, reply) = submitted(broker).await;
    let refused = Answer::Refused { retry_after };
    reply.send(refused).expect("is waited for");
}
