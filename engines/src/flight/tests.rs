//! Tests of the metadata that is sent to Flight SQL engines.

use super::attempt::AttemptTask;
use crate::{ConnectionSlots, NetworkTransport};
use sedgebeam_core::{AttemptNo, EngineId, Micros, RequestId};
use sedgebeam_operation::Metrics;
use sedgebeam_port::{Attempt, EngineActorId, EngineReporter};
use sedgebeam_settings::ConnectionSettings;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const ACTOR: EngineActorId = EngineActorId {
    engine: EngineId(1),
    instance: 0,
};

const CONNECTION_SETTINGS: ConnectionSettings = ConnectionSettings {
    max_per_engine: 1,
    max_total: 1,
    max_streams: 1,
    connect_timeout: Micros::from_millis(250),
    idle_timeout: Micros::from_millis(30_000),
    max_open_requests: 1,
};

/// The metadata of a call for an attempt with this memory grant.
fn metadata(memory_mb: f64) -> tonic::metadata::MetadataMap {
    let (broker, _broker_mailbox) = mpsc::channel(1);
    let attempt = Attempt {
        request: RequestId(255),
        attempt_no: AttemptNo(0),
        class: "report".into(),
        deadline: Instant::now() + Duration::from_millis(1500),
        priority: 2,
        memory_grant_mb: sedgebeam_port::memory_grant(memory_mb),
        statement: "SELECT 1".into(),
        idempotency_token: Some("5c0f".into()),
        order_key: None,
        cancel_token: CancellationToken::new(),
        starts_by: Instant::now(),
    };
    let task = AttemptTask {
        attempt,
        endpoint: String::new(),
        reporter: EngineReporter::new(ACTOR, broker),
        transport: NetworkTransport {
            connections: watch::channel(CONNECTION_SETTINGS).1,
            metrics: Metrics::default(),
            slots: ConnectionSlots::default(),
        },
    };
    task.with_metadata(()).metadata().clone()
}

// The paused clock keeps the remaining time at its initial 1500 ms.
#[tokio::test(start_paused = true)]
async fn metadata_has_the_memory_grant_only_if_it_is_positive_and_always_the_priority() {
    let cases = [(96.0, Some("96")), (0.0, None), (f64::NAN, None)];
    for (memory_mb, grant) in cases {
        let metadata = metadata(memory_mb);
        let value_of = |name: &str| metadata.get(name).and_then(|value| value.to_str().ok());
        assert_eq!(value_of("grant"), grant, "{memory_mb}");
        assert_eq!(value_of("txn"), Some("00000000000000ff"));
        assert_eq!(value_of("kind"), Some("report"));
        assert_eq!(value_of("rank"), Some("2"));
        assert_eq!(value_of("ms"), Some("1500"));
        assert_eq!(value_of("token"), Some("5c0f"));
    }
}
