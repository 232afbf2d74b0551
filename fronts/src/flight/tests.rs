//! Tests of the retry delay that refused Flight SQL calls carry.

use super::*;
use crate::test_router::{STATEMENT, refuse_next_request, test_router};

/// The retry delay of a refusal, if it carries one.
fn retry_delay(status: &Status) -> Option<Duration> {
    assert_eq!(status.code(), Code::ResourceExhausted);
    let retry_info = status.get_details_retry_info();
    retry_info.map(|info| info.retry_delay.expect("the retry info has a delay"))
}

#[tokio::test]
async fn a_refused_call_has_retry_info_only_if_a_delay_is_suggested() {
    let (router, mut broker) = test_router(1000).await;
    let front = Front::new(FrontContext { router }, 1);
    for (retry_after, expected) in [
        (Duration::from_millis(250), Some(Duration::from_millis(250))),
        (Duration::ZERO, None),
    ] {
        let request = front.parse_request(STATEMENT.to_string(), &MetadataMap::new());
        let cancel_token = CancellationToken::new();
        let answer = front.run_request(request.expect("the request is valid"), &cancel_token);
        let (answer, ()) = tokio::join!(answer, refuse_next_request(&mut broker, retry_after));
        assert_eq!(retry_delay(&answer.expect_err("is refused")), expected);
    }
}

#[tokio::test]
async fn a_lack_of_tickets_suggests_the_default_delay_capped_by_the_settings() {
    let millis = Duration::from_millis;
    for (max_retry_after_ms, expected) in [
        (0, None),
        (400, Some(millis(400))),
        (9000, Some(millis(1000))),
    ] {
        let (router, _broker) = test_router(max_retry_after_ms).await;
        let front = Front::new(FrontContext { router }, 1);
        let parse = || front.parse_request(STATEMENT.to_string(), &MetadataMap::new());
        for _ in 0..MAX_TICKETS {
            front
                .issue_ticket(parse().expect("the request is valid"))
                .expect("a ticket");
        }
        let refused = front.issue_ticket(parse().expect("the request is valid"));
        assert_eq!(
            retry_delay(&refused.expect_err("is refused")),
            expected,
            "{max_retry_after_ms}"
        );
    }
}
