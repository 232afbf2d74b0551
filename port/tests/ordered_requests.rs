//! Requests with an order key at a desk of several shards, while the shard that the key names is not open.

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

const SHARDS: usize = 4;
const SEED: u64 = 1;
const KEY: &str = "rel-7";
const SESSION: SessionKey = SessionKey(3);
/// Longer than any run of these tests.
const LONG: Duration = Duration::from_secs(600);

type Incoming = mpsc::Receiver<BrokerMessage>;

fn desk() -> RequestRouter {
    let class = Class {
        name: "load".to_string(),
        ..Class::default()
    };
    let tuning = RuntimeSettings {
        settings: Settings {
            classes: vec![class],
            max_retry_after: Micros::from_millis(2_000),
            ..Settings::default()
        },
        ..RuntimeSettings::default()
    };
    RequestRouter::new(SHARDS, SEED, Metrics::default(), tuning)
}

fn request(id: u64) -> NewRequest {
    NewRequest {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        deadline: Instant::now() + LONG,
        work: Micros(0),
        memory_mb: 0.0,
        group: TableGroupId(0),
        statement: Bytes::from_static(b"INSERT"),
        is_retry: false,
        idempotency_token: None,
        order_key: Some(KEY.into()),
        session: Some(SESSION),
        cancel_token: CancellationToken::new(),
    }
}

async fn open(desk: &RequestRouter, shard: usize) -> Incoming {
    let (mailbox, incoming) = mpsc::channel(64);
    desk.open_shard(shard, mailbox).await.expect("is open");
    incoming
}

/// The requests that a shard has been handed, in their order.
fn submitted(incoming: &mut Incoming) -> Vec<u64> {
    let told = std::iter::from_fn(|| incoming.try_recv().ok());
    let ids = told.filter_map(|told| match told {
        BrokerMessage::Submit(request, _) => Some(request.id.0),
        _ => None,
    });
    ids.collect()
}

/// The shard that the key names, found at a desk where all are open.
async fn shard_of_key() -> usize {
    let desk = desk();
    let mut shards = Vec::new();
    for shard in 0..SHARDS {
        shards.push(open(&desk, shard).await);
    }
    let _pending = desk.submit(request(1)).await;
    let handed = shards.iter_mut().map(submitted);
    let shard = handed.enumerate().find(|(_, ids)| ids == &[1]);
    shard.expect("some shard has it").0
}

/// A desk where all shards but that of the key are open.
struct Bench {
    desk: RequestRouter,
    own: usize,
    others: Vec<Incoming>,
}

impl Bench {
    async fn new() -> Bench {
        let (desk, own) = (desk(), shard_of_key().await);
        let mut others = Vec::new();
        for shard in (0..SHARDS).filter(|shard| *shard != own) {
            others.push(open(&desk, shard).await);
        }
        Bench { desk, own, others }
    }

    /// Submits a request as far as it comes without its shard.
    fn waiting(&self, request: NewRequest) -> LocalBoxFuture<'_, PendingAnswer> {
        let mut submitting = self.desk.submit(request).boxed_local();
        let pending = (&mut submitting).now_or_never();
        assert!(pending.is_none(), "it does not wait for its shard");
        submitting
    }

    fn others_have_nothing(&mut self) {
        let handed: Vec<u64> = self.others.iter_mut().flat_map(submitted).collect();
        assert!(handed.is_empty(), "{handed:?} went to another shard");
    }
}

#[tokio::test]
async fn the_desk_is_open_once_every_shard_is() {
    let bench = Bench::new().await;
    assert!(!bench.desk.is_alive(bench.own), "it has never been open");
    let mut opened = bench.desk.wait_until_open().boxed_local();
    assert!((&mut opened).now_or_never().is_none());
    let _incoming = open(&bench.desk, bench.own).await;
    assert!((&mut opened).now_or_never().is_some());
    assert!(bench.desk.is_alive(bench.own));
}

#[tokio::test]
async fn an_ordered_request_waits_until_its_shard_opens() {
    let mut bench = Bench::new().await;
    let submitting = bench.waiting(request(2));
    let mut own = open(&bench.desk, bench.own).await;
    let _pending = submitting.await;
    assert_eq!(submitted(&mut own), [2]);
    bench.others_have_nothing();
}

#[tokio::test]
async fn an_ordered_request_waits_for_the_successor_of_a_broker_that_died() {
    let mut bench = Bench::new().await;
    let _dead = open(&bench.desk, bench.own).await;
    bench.desk.close_shard(bench.own);
    let submitting = bench.waiting(request(2));
    let mut own = open(&bench.desk, bench.own).await;
    let _pending = submitting.await;
    assert_eq!(submitted(&mut own), [2]);
    bench.others_have_nothing();
}

#[tokio::test]
async fn ordered_requests_that_wait_are_handed_over_as_they_came() {
    let bench = Bench::new().await;
    let mut first = bench.waiting(request(2));
    let mut second = bench.waiting(request(3));
    let mut own = open(&bench.desk, bench.own).await;
    // Later ones are looked at first once the shard is open.
    let third = bench.waiting(request(4));
    assert!((&mut second).now_or_never().is_none());
    let _first = (&mut first).now_or_never().expect("its turn");
    let _others = (second.await, third.await);
    assert_eq!(submitted(&mut own), [2, 3, 4]);
}

#[tokio::test]
async fn an_ordered_request_is_refused_at_its_deadline_without_its_shard() {
    let mut bench = Bench::new().await;
    let overdue = NewRequest {
        deadline: Instant::now(),
        ..request(2)
    };
    let pending = bench.desk.submit(overdue).await;
    let answer = pending.now_or_never().expect("it is answered already");
    let advice = Duration::from_secs(2);
    assert!(
        matches!(answer, Answer::Refused { retry_after } if retry_after == advice),
        "{answer:?}"
    );
    bench.others_have_nothing();
    // It holds up no other.
    let mut own = open(&bench.desk, bench.own).await;
    let _pending = bench.desk.submit(request(3)).await;
    assert_eq!(submitted(&mut own), [3]);
}

#[tokio::test]
async fn an_ordered_request_is_cancelled_while_it_waits_for_its_shard() {
    let bench = Bench::new().await;
    let submitting = bench.waiting(request(2));
    bench.desk.cancel(SESSION).await;
    let mut own = open(&bench.desk, bench.own).await;
    let pending = submitting.await;
    let answer = pending.now_or_never().expect("it is answered already");
    assert!(
        matches!(answer, Answer::Failed(Failure::Cancelled)),
        "{answer:?}"
    );
    assert!(submitted(&mut own).is_empty());
}

#[tokio::test]
async fn a_request_without_a_key_goes_to_a_shard_that_is_open() {
    let mut bench = Bench::new().await;
    for id in 1..=16 {
        let request = NewRequest {
            order_key: None,
            session: None,
            ..request(id)
        };
        drop(
            bench
                .desk
                .submit(request)
                .now_or_never()
                .expect("is handed over"),
        );
    }
    let handed: Vec<u64> = bench.others.iter_mut().flat_map(submitted).collect();
    assert_eq!(handed.len(), 16);
}
