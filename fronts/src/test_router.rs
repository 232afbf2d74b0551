//! A request router for tests, which act as its broker.

use sedgebeam_core::{Class, Micros, Settings};
use sedgebeam_operation::Metrics;
use sedgebeam_port::{Answer, BrokerMessage, NewRequest, RequestRouter};
use sedgebeam_reconfigure::RuntimeSettings;
use sedgebeam_settings::Names;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A statement of the only class that the test router knows.
pub const STATEMENT: &str =
    "/* verb=lookup,txn=00000000000000ff,limit=60000 */ SELECT 1 FROM sales_1.orders";

/// A router with one shard, and the receiver of the messages to its broker.
pub async fn test_router(
    max_retry_after_ms: u64,
) -> (RequestRouter, mpsc::Receiver<BrokerMessage>) {
    let class = Class {
        name: "lookup".to_string(),
        ..Class::default()
    };
    let runtime_settings = RuntimeSettings {
        settings: Settings {
            classes: vec![class],
            max_retry_after: Micros::from_millis(max_retry_after_ms),
            ..Settings::default()
        },
        names: Names {
            classes: vec!["lookup".to_string()],
            give_up: vec![Micros::from_millis(60_000)],
            ..Names::default()
        },
        max_open_requests: 100,
    };
    let router = RequestRouter::new(1, 1, Metrics::default(), runtime_settings);
    let (broker_sender, broker) = mpsc::channel(64);
    router
        .open_shard(0, broker_sender)
        .await
        .expect("the router accepts the broker");
    (router, broker)
}

/// The next request that is submitted, and the sender of its answer.
pub async fn next_request(
    broker: &mut mpsc::Receiver<BrokerMessage>,
) -> (NewRequest, oneshot::Sender<Answer>) {
    while let Some(message) = broker.recv().await {
        if let BrokerMessage::Submit(request, reply) = message {
            return (request, reply);
        }
    }
    panic!("the router closed before a request was submitted");
}

/// Refuses the next request with this retry delay.
pub async fn refuse_next_request(
    broker: &mut mpsc::Receiver<BrokerMessage>,
    retry_after: Duration,
) {
    let (_, reply) = next_request(broker).await;
    let refusal = Answer::Refused { retry_after };
    reply.send(refusal).expect("the front waits for the answer");
}
