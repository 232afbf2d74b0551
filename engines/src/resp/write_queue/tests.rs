//! What waits to be written, while time passes.

use super::*;
use std::time::Duration;
use tokio::time::{Instant, advance};
use tokio_util::sync::CancellationToken;

fn attempt(time: Duration) -> Attempt {
    Attempt {
        request: RequestId(7),
        number: AttemptNo(0),
        class: "lookup".into(),
        until: Instant::now() + time,
        rank: 1,
        memory_grant_mb: None,
        statement: Bytes::from_static(b"SELECT 1"),
        token: None,
        order_key: None,
        cancelled: CancellationToken::new(),
        starts_by: Instant::now() + time,
    }
}

/// All that is to be written, as text.
fn text(write_queue: &mut WriteQueue) -> String {
    let slices = write_queue.slices();
    let bytes: Vec<u8> = slices.iter().flat_map(|slice| slice.to_vec()).collect();
    String::from_utf8_lossy(&bytes).into_owned()
}

#[tokio::test(start_paused = true)]
async fn what_waits_to_be_written_is_given_the_time_that_is_left_at_its_first_byte() {
    let mut write_queue = WriteQueue::default();
    let fetch = Command::Fetch(attempt(Duration::from_millis(1_500)));
    write_queue.push(fetch).expect("is encoded");
    advance(Duration::from_millis(500)).await;
    let waiting = text(&mut write_queue);
    assert!(waiting.contains("ms=1000,"), "{waiting}");
    // The socket takes one byte of it; the rest is the same message, however long it takes.
    assert_eq!(write_queue.written(1).begun, 1);
    advance(Duration::from_millis(300)).await;
    assert_eq!(text(&mut write_queue), waiting[1..]);
}
