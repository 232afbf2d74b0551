//! Tests of the encoding of queued attempts as time passes.

use super::*;
use std::time::Duration;
use tokio::time::{Instant, advance};
use tokio_util::sync::CancellationToken;

fn attempt(time_limit: Duration) -> Attempt {
    Attempt {
        request: RequestId(7),
        attempt_no: AttemptNo(0),
        class: "lookup".into(),
        deadline: Instant::now() + time_limit,
        priority: 1,
        memory_grant_mb: None,
        statement: Bytes::from_static(b"SELECT 1"),
        idempotency_token: None,
        order_key: None,
        cancel_token: CancellationToken::new(),
        starts_by: Instant::now() + time_limit,
    }
}

/// The queued bytes as text.
fn queued_text(queue: &mut WriteQueue) -> String {
    let slices = queue.slices();
    let bytes: Vec<u8> = slices.iter().flat_map(|slice| slice.to_vec()).collect();
    String::from_utf8_lossy(&bytes).into_owned()
}

#[tokio::test(start_paused = true)]
async fn a_queued_fetch_has_the_time_that_remains_when_its_first_byte_is_written() {
    let mut queue = WriteQueue::default();
    let fetch = Command::Fetch(attempt(Duration::from_millis(1_500)));
    queue.push(fetch).expect("is encoded");
    advance(Duration::from_millis(500)).await;
    let encoded = queued_text(&mut queue);
    assert!(encoded.contains("ms=1000,"), "{encoded}");
    // Once its first byte is written, the rest of the message stays the same as time passes.
    assert_eq!(queue.advance(1).started_attempts, 1);
    advance(Duration::from_millis(300)).await;
    assert_eq!(queued_text(&mut queue), encoded[1..]);
}

/// Guards against connections whose engine does not read, each of which kept copies of the statements that wait for it.
#[tokio::test(start_paused = true)]
async fn the_encoding_of_an_unstarted_attempt_is_not_kept() {
    let mut queue = WriteQueue::default();
    for _ in 0..2 {
        let fetch = Command::Fetch(attempt(Duration::from_millis(1_500)));
        queue.push(fetch).expect("is encoded");
    }
    let encoded = queued_text(&mut queue);
    let kept_bytes = |queue: &WriteQueue| {
        let lengths = queue.frames.iter().map(|frame| frame.bytes.len());
        lengths.collect::<Vec<usize>>()
    };
    queue.release_unstarted();
    assert_eq!(kept_bytes(&queue), [0, 0]);
    assert_eq!(queued_text(&mut queue), encoded);
    queue.advance(1);
    assert_eq!(kept_bytes(&queue), [encoded.len() / 2 - 1, 0]);
    assert_eq!(queued_text(&mut queue), encoded[1..]);
}
