//! What refused clients are told.

use super::*;
use crate::test_router::{STATEMENT, desk, refuse};

/// The time after which a refused client is advised to come back.
fn advice(status: &Status) -> Option<Duration> {
    assert_eq!(status.code(), Code::ResourceExhausted);
    let told = status.get_details_retry_info();
    told.map(|info| info.retry_delay.expect("advice tells a time"))
}

#[tokio::test]
async fn a_refused_call_has_retry_info_only_where_there_is_advice() {
    let (desk, mut broker) = desk(1000).await;
    let front = Front::new(FrontContext { router: desk }, 1);
    for (retry_after, told) in [
        (Duration::from_millis(250), Some(Duration::from_millis(250))),
        (Duration::ZERO, None),
    ] {
        let request = front.read(STATEMENT.to_string(), &MetadataMap::new());
        let cancelled = CancellationToken::new();
        let answer = front.answer(request.expect("is read"), &cancelled);
        let (answer, ()) = tokio::join!(answer, refuse(&mut broker, retry_after));
        assert_eq!(advice(&answer.expect_err("is refused")), told);
    }
}

#[tokio::test]
async fn a_lack_of_tickets_advises_as_far_as_the_settings_allow() {
    let millis = Duration::from_millis;
    for (longest, told) in [
        (0, None),
        (400, Some(millis(400))),
        (9000, Some(millis(1000))),
    ] {
        let (desk, _broker) = desk(longest).await;
        let front = Front::new(FrontContext { router: desk }, 1);
        let read = || front.read(STATEMENT.to_string(), &MetadataMap::new());
        for _ in 0..MOST_TICKETS {
            front.hold(read().expect("is read")).expect("a ticket");
        }
        let refused = front.hold(read().expect("is read"));
        assert_eq!(advice(&refused.expect_err("is refused")), told, "{longest}");
    }
}
