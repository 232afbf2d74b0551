//! Requests with an order key at a router with several shards, while the shard of the key is not open.

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use sedgebeam_core::{Class, ClassId, Micros, RequestId, Settings, TableGroupId};
use sedgebeam_operation::Metrics;
use sedgebeam_port::{
    Answer, BrokerMessage, Failure, NewRequest, PendingAnswer, RequestRouter, SessionKey,
};
use sedgebeam_reconfigure::RuntimeSettings;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const SHARD_COUNT: usize = 4;
const SEED: u64 = 1;
const KEY: &str = "rel-7";
const SESSION: SessionKey = SessionKey(3);
/// Longer than any run of these tests, so that no request reaches its deadline.
const TIME_LIMIT: Duration = Duration::from_secs(600);

type Incoming = mpsc::Receiver<BrokerMessage>;

fn router() -> RequestRouter {
    let class = Class {
        name: "load".to_string(),
        ..Class::default()
    };
    let runtime_settings = RuntimeSettings {
        settings: Settings {
            classes: vec![class],
            max_retry_after: Micros::from_millis(2_000),
            ..Settings::default()
        },
        ..RuntimeSettings::default()
    };
    RequestRouter::new(SHARD_COUNT, SEED, Metrics::default(), runtime_settings)
}

fn request(id: u64) -> NewRequest {
    NewRequest {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        deadline: Instant::now() + TIME_LIMIT,
        work: Micros(0),
        memory_mb: 0.0,
        table_group: TableGroupId(0),
        statement: Bytes::from_static(b"INSERT"),
        is_retry: false,
        idempotency_token: None,
        order_key: Some(KEY.into()),
        session: Some(SESSION),
        cancel_token: CancellationToken::new(),
    }
}

async fn open(router: &RequestRouter, shard: usize) -> Incoming {
    let (mailbox, incoming) = mpsc::channel(64);
    router
        .open_shard(shard, mailbox)
        .await
        .expect("the shard opens");
    incoming
}

/// The ids of the requests that a shard has received, in order.
fn received_ids(incoming: &mut Incoming) -> Vec<u64> {
    let messages = std::iter::from_fn(|| incoming.try_recv().ok());
    let ids = messages.filter_map(|message| match message {
        BrokerMessage::Submit(request, _) => Some(request.id.0),
        _ => None,
    });
    ids.collect()
}

/// Finds the shard that the key selects, with a router whose shards are all open.
async fn shard_of_key() -> usize {
    let router = router();
    let mut shards = Vec::new();
    for shard in 0..SHARD_COUNT {
        shards.push(open(&router, shard).await);
    }
    let _pending = router.submit(request(1)).await;
    let received = shards.iter_mut().map(received_ids);
    let shard = received.enumerate().find(|(_, ids)| ids == &[1]);
    shard.expect("a shard has received the request").0
}

/// A router whose shards are all open except that of the key.
struct Fixture {
    router: RequestRouter,
    key_shard: usize,
    other_shards: Vec<Incoming>,
}

impl Fixture {
    async fn new() -> Fixture {
        let (router, key_shard) = (router(), shard_of_key().await);
        let mut other_shards = Vec::new();
        for shard in (0..SHARD_COUNT).filter(|shard| *shard != key_shard) {
            other_shards.push(open(&router, shard).await);
        }
        Fixture {
            router,
            key_shard,
            other_shards,
        }
    }

    /// Starts to submit a request and checks that it waits for its shard.
    fn submit_and_block(&self, request: NewRequest) -> LocalBoxFuture<'_, PendingAnswer> {
        let mut submitting = self.router.submit(request).boxed_local();
        let pending = (&mut submitting).now_or_never();
        assert!(pending.is_none(), "the request does not wait for its shard");
        submitting
    }

    fn assert_other_shards_received_nothing(&mut self) {
        let received: Vec<u64> = self
            .other_shards
            .iter_mut()
            .flat_map(received_ids)
            .collect();
        assert!(received.is_empty(), "{received:?} went to another shard");
    }
}

#[tokio::test]
async fn the_router_is_open_once_all_shards_are() {
    let fixture = Fixture::new().await;
    assert!(
        !fixture.router.is_alive(fixture.key_shard),
        "the shard has never been open"
    );
    let mut router_open = fixture.router.wait_until_open().boxed_local();
    assert!((&mut router_open).now_or_never().is_none());
    let _incoming = open(&fixture.router, fixture.key_shard).await;
    assert!((&mut router_open).now_or_never().is_some());
    assert!(fixture.router.is_alive(fixture.key_shard));
}

#[tokio::test]
async fn an_ordered_request_waits_until_its_shard_opens() {
    let mut fixture = Fixture::new().await;
    let submitting = fixture.submit_and_block(request(2));
    let mut incoming = open(&fixture.router, fixture.key_shard).await;
    let _pending = submitting.await;
    assert_eq!(received_ids(&mut incoming), [2]);
    fixture.assert_other_shards_received_nothing();
}

#[tokio::test]
async fn an_ordered_request_waits_for_the_successor_of_a_dead_broker() {
    let mut fixture = Fixture::new().await;
    let _dead = open(&fixture.router, fixture.key_shard).await;
    fixture.router.close_shard(fixture.key_shard);
    let submitting = fixture.submit_and_block(request(2));
    let mut incoming = open(&fixture.router, fixture.key_shard).await;
    let _pending = submitting.await;
    assert_eq!(received_ids(&mut incoming), [2]);
    fixture.assert_other_shards_received_nothing();
}

#[tokio::test]
async fn waiting_ordered_requests_are_submitted_in_order_of_arrival() {
    let fixture = Fixture::new().await;
    let mut first = fixture.submit_and_block(request(2));
    let mut second = fixture.submit_and_block(request(3));
    let mut incoming = open(&fixture.router, fixture.key_shard).await;
    // Later requests are polled first once the shard is open; they must still wait.
    let third = fixture.submit_and_block(request(4));
    assert!((&mut second).now_or_never().is_none());
    let _first = (&mut first)
        .now_or_never()
        .expect("the first request is next");
    let _later = (second.await, third.await);
    assert_eq!(received_ids(&mut incoming), [2, 3, 4]);
}

#[tokio::test]
async fn an_ordered_request_is_refused_at_its_deadline_if_its_shard_is_not_open() {
    let mut fixture = Fixture::new().await;
    let expired = NewRequest {
        deadline: Instant::now(),
        ..request(2)
    };
    let pending = fixture.router.submit(expired).await;
    let answer = pending.now_or_never().expect("the request is answered");
    let expected = Duration::from_secs(2);
    assert!(
        matches!(answer, Answer::Refused { retry_after } if retry_after == expected),
        "{answer:?}"
    );
    fixture.assert_other_shards_received_nothing();
    // The refused request does not block later ones.
    let mut incoming = open(&fixture.router, fixture.key_shard).await;
    let _pending = fixture.router.submit(request(3)).await;
    assert_eq!(received_ids(&mut incoming), [3]);
}

#[tokio::test]
async fn an_ordered_request_can_be_cancelled_while_it_waits_for_its_shard() {
    let fixture = Fixture::new().await;
    let submitting = fixture.submit_and_block(request(2));
    fixture.router.cancel(SESSION).await;
    let mut incoming = open(&fixture.router, fixture.key_shard).await;
    let pending = submitting.await;
    let answer = pending.now_or_never().expect("the request is answered");
    assert!(
        matches!(answer, Answer::Failed(Failure::Cancelled)),
        "{answer:?}"
    );
    assert!(received_ids(&mut incoming).is_empty());
}

#[tokio::test]
async fn a_request_without_an_order_key_goes_to_an_open_shard() {
    let mut fixture = Fixture::new().await;
    for id in 1..=16 {
        let request = NewRequest {
            order_key: None,
            session: None,
            ..request(id)
        };
        drop(
            fixture
                .router
                .submit(request)
                .now_or_never()
                .expect("the request is submitted at once"),
        );
    }
    let received: Vec<u64> = fixture
        .other_shards
        .iter_mut()
        .flat_map(received_ids)
        .collect();
    assert_eq!(received.len(), 16);
}
