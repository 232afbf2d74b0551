//! Tests of the retry delay that refused Flight SQL calls carry.

use super::tickets::{MAX_ISSUED_BYTES, MAX_TICKETS};
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

/// Guards against tickets that are counted and not weighed: 4,096 tickets of long statements filled a gigabyte.
#[tokio::test]
async fn the_statements_of_tickets_that_are_not_redeemed_are_bounded_together() {
    let (router, _broker) = test_router(1000).await;
    let front = Front::new(FrontContext { router }, 1);
    let statement_bytes = 200_000;
    let parse = |comment_bytes: usize| {
        let text = STATEMENT.replace(" */", &format!(",more={} */", "x".repeat(comment_bytes)));
        let padding = statement_bytes - comment_bytes;
        let text = format!("{text}{}", " ".repeat(padding));
        let request = front.parse_request(text, &MetadataMap::new());
        request.expect("the request is valid")
    };
    let mut numbers = Vec::new();
    let refusal = loop {
        match front.issue_ticket(parse(0)) {
            Ok(number) => numbers.push(number),
            Err(refusal) => break refusal,
        }
    };
    assert_eq!(refusal.code(), Code::ResourceExhausted);
    assert_eq!(numbers.len(), MAX_ISSUED_BYTES / statement_bytes);
    // A redeemed or cancelled ticket makes room for another one.
    let (_request, _ticket) = front.redeem(&numbers[0].to_be_bytes()).expect("redeems");
    assert!(front.issue_ticket(parse(0)).is_ok());
    assert!(front.issue_ticket(parse(0)).is_err());
    // Of a request with a long comment only the statement is kept.
    let number = front.issue_ticket(parse(statement_bytes)).expect("room");
    let (request, _ticket) = front.redeem(&number.to_be_bytes()).expect("redeems");
    let kept = request.statement.try_into_mut().map(|kept| kept.capacity());
    assert!(kept.is_ok_and(|kept| kept < 1_000));
}
