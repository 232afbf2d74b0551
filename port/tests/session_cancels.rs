//! Cancels of sessions: which request they end, and which cancels are passed on to other processes.

use sedgebeam_core::{ClassId, Micros, RequestId, TableGroupId};
use sedgebeam_operation::Metrics;
use sedgebeam_port::{BrokerMessage, NewRequest, RequestRouter, SessionKey};
use sedgebeam_reconfigure::RuntimeSettings;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, advance};
use tokio_util::sync::CancellationToken;

const SESSION: SessionKey = SessionKey(3);
const OTHER_SESSION: SessionKey = SessionKey(4);

async fn open_router() -> (RequestRouter, mpsc::Receiver<BrokerMessage>) {
    let router = RequestRouter::new(1, 1, Metrics::default(), RuntimeSettings::default());
    let (mailbox, incoming) = mpsc::channel(64);
    router
        .open_shard(0, mailbox)
        .await
        .expect("the shard opens");
    (router, incoming)
}

fn request(id: u64) -> NewRequest {
    NewRequest {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        deadline: Instant::now() + Duration::from_secs(600),
        work: Micros(0),
        memory_mb: 0.0,
        table_group: TableGroupId(0),
        statement: "INSERT".into(),
        is_retry: false,
        idempotency_token: None,
        order_key: None,
        session: Some(SESSION),
        cancel_token: CancellationToken::new(),
    }
}

/// The requests that the broker is told to cancel.
fn cancelled_requests(incoming: &mut mpsc::Receiver<BrokerMessage>) -> Vec<RequestId> {
    let messages = std::iter::from_fn(|| incoming.try_recv().ok());
    let ids = messages.filter_map(|message| match message {
        BrokerMessage::ClientLeft(id) => Some(id),
        _ => None,
    });
    ids.collect()
}

#[tokio::test(start_paused = true)]
async fn a_cancel_spares_a_request_that_was_opened_after_it() {
    let (router, mut incoming) = open_router().await;
    let cancelled_at = Instant::now();
    advance(Duration::from_millis(1)).await;
    let request = request(1);
    let cancel_token = request.cancel_token.clone();
    let _pending = router.submit(request).await;
    assert!(!router.cancel_request_open_at(SESSION, cancelled_at).await);
    assert!(!cancel_token.is_cancelled());
    assert_eq!(cancelled_requests(&mut incoming), []);
    assert!(router.cancel_request_open_at(SESSION, Instant::now()).await);
    assert!(cancel_token.is_cancelled());
    assert_eq!(cancelled_requests(&mut incoming), [RequestId(1)]);
}

#[tokio::test]
async fn only_a_cancel_without_an_open_request_is_passed_on() {
    let (router, mut incoming) = open_router().await;
    let mut unmatched_cancels = router.subscribe_unmatched_cancels();
    let pending = router.submit(request(1)).await;
    router.cancel(SESSION).await;
    assert_eq!(cancelled_requests(&mut incoming), [RequestId(1)]);
    router.cancel(OTHER_SESSION).await;
    drop(pending);
    router.cancel(SESSION).await;
    let received = std::iter::from_fn(|| unmatched_cancels.try_recv().ok());
    let sessions: Vec<SessionKey> = received.map(|cancel| cancel.session).collect();
    assert_eq!(sessions, [OTHER_SESSION, SESSION]);
}
