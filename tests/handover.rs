//! Two processes of one gateway: what the one holds counts for the other.

mod common;

use common::*;
use sedgebeam_core::*;

fn held(engine: u64, threads: f64, work: f64) -> HandoverState {
    HandoverState {
        engines: vec![EngineHandover {
            engine: EngineId(engine),
            usage: EngineUsage {
                threads,
                ..EngineUsage::default()
            },
            recent_sends: vec![(ms(100_000), work)],
            ..EngineHandover::default()
        }],
        ..HandoverState::default()
    }
}

#[test]
fn what_another_process_has_out_on_an_engine_counts_as_own() {
    // A budget of 32 threads, as nothing is pressed; the other has all of it.
    let mut harness = Harness::with_engines(settings(), 1);
    harness
        .gateway
        .set_peer_process_usage(harness.now, &held(1, 32.0, 0.0), true);
    assert_eq!(sent_to(&harness.submit(1, HEAVY)), None);
    harness
        .gateway
        .set_peer_process_usage(harness.now, &HandoverState::default(), true);
    assert_eq!(sent_to(&harness.advance(10)), Some(1), "the other has gone");
}

/// An engine that started a second ago.
fn cold(now: Micros) -> Engine {
    Engine {
        started_at: now - ms(1000),
        ..engine(1)
    }
}

#[test]
fn cold_engines_get_nothing_while_another_process_sends_to_them_nor_a_window_later() {
    let window = settings().overload_window;
    let mut harness = Harness::new(settings());
    harness.now = harness.now + window;
    let started = cold(harness.now);
    harness.set_engines(vec![started]);
    let mut last = harness.now;
    for _ in 0..30 {
        last = harness.now;
        harness
            .gateway
            .set_peer_process_usage(harness.now, &HandoverState::default(), false);
        assert_eq!(harness.submit(harness.now.0, LIGHT), vec![]);
        harness.advance(100);
    }
    harness
        .gateway
        .set_peer_process_usage(harness.now, &HandoverState::default(), true);
    let mut id = 1;
    while sent_to(&harness.submit(id, LIGHT)).is_none() {
        id += 1;
        harness.advance(10);
        assert!(harness.now < last + window + ms(100), "it may again");
    }
    assert!(
        harness.now >= last + window,
        "{:?} after {last:?}",
        harness.now
    );
}

#[test]
fn work_that_another_process_sent_to_a_cold_engine_counts_in_its_window() {
    let mut harness = Harness::new(settings());
    let started = cold(harness.now);
    harness.set_engines(vec![started]);
    harness.now = harness.now + settings().overload_window;
    let all = held(1, 0.0, 1e6);
    harness
        .gateway
        .set_peer_process_usage(ms(100_001), &all, true);
    assert_eq!(sent_to(&harness.submit(1, LIGHT)), None);
    harness
        .gateway
        .set_peer_process_usage(ms(200_000), &all, true);
    assert_eq!(
        sent_to(&harness.submit(2, LIGHT)),
        Some(1),
        "it is long ago"
    );
}

#[test]
fn a_process_begins_with_what_the_one_before_it_learned() {
    let mut old = Harness::with_engines(settings(), 2);
    let to = sent_to(&old.submit(1, LIGHT)).expect("an engine is ready");
    // Refused connects set an engine aside.
    old.end_attempt(1, 0, to, Outcome::ConnectFailed);
    old.submit(2, LIGHT);
    while let Some(again) = sent_to(&old.submit(old.now.0, LIGHT)) {
        if again == to {
            old.end_attempt(old.now.0, 0, to, Outcome::ConnectFailed);
        }
        old.now = old.now + ms(1);
        if old
            .gateway
            .ejected_engines()
            .iter()
            .any(|(id, _)| id.0 == to)
        {
            break;
        }
    }
    let learned = old.gateway.handover_state();
    let mut new = Harness::with_engines(settings(), 2);
    new.now = old.now;
    new.gateway.restore(&learned);
    let avoided = new.gateway.ejected_engines();
    assert_eq!(avoided.iter().map(|(id, _)| id.0).collect::<Vec<_>>(), [to]);
    for id in 10..14 {
        assert_ne!(sent_to(&new.submit(id, LIGHT)), Some(to));
    }
    let (was, is) = (
        learned.classes[LIGHT].accepted_requests,
        new.gateway.handover_state(),
    );
    assert_eq!(is.classes[LIGHT].accepted_requests, was + 4.0);
}

#[test]
fn the_last_call_answers_everything_once() {
    let mut harness = Harness::with_engines(settings(), 1);
    harness.submit(1, LIGHT);
    harness.submit(2, LOAD);
    let full = held(1, 32.0, 0.0);
    harness
        .gateway
        .set_peer_process_usage(harness.now, &full, true);
    harness.submit(3, HEAVY);
    let done = harness.handle(Event::Shutdown);
    // What may have run must not be said to be harmless.
    assert!(is_refused(&done, 1) && is_failed(&done, 2) && is_refused(&done, 3));
    assert_eq!(harness.handle(Event::Shutdown), vec![]);
}
