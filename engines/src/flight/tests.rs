//! What an engine that speaks Flight SQL is sent as metadata.

use super::*;
use sedgebeam_core::EngineId;
use tokio_util::sync::CancellationToken;

/// The metadata of a call for an attempt that is granted so much memory.
fn metadata(memory_mb: f64) -> tonic::metadata::MetadataMap {
    let (broker, _mailbox) = mpsc::channel(1);
    let attempt = Attempt {
        request: RequestId(255),
        number: AttemptNo(0),
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
    let task = Task {
        attempt,
        endpoint: String::new(),
        reports: EngineReporter::new(EngineId(1), broker),
        metrics: Metrics::default(),
    };
    task.request(()).metadata().clone()
}

// The clock stands still: what is left is what was given.
#[tokio::test(start_paused = true)]
async fn a_call_names_its_grant_beside_its_rank_only_where_there_is_one() {
    let cases = [(96.0, Some("96")), (0.0, None), (f64::NAN, None)];
    for (memory_mb, grant) in cases {
        let metadata = metadata(memory_mb);
        let told = |name: &str| metadata.get(name).and_then(|value| value.to_str().ok());
        assert_eq!(told("grant"), grant, "{memory_mb}");
        assert_eq!(told("txn"), Some("00000000000000ff"));
        assert_eq!(told("kind"), Some("report"));
        assert_eq!(told("rank"), Some("2"));
        assert_eq!(told("ms"), Some("1500"));
        assert_eq!(told("token"), Some("5c0f"));
    }
}
