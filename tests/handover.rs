//! Two processes of one gateway during an upgrade: each counts the usage of the other as its own.

mod common;

use common::*;
use sedgebeam_core::*;

/// The state of a process with `threads` in flight on the engine, which sent `work_core_s` to it at 100 s.
fn usage_of_engine(engine: u64, threads: f64, work_core_s: f64) -> HandoverState {
    HandoverState {
        engines: vec![EngineHandover {
            engine: EngineId(engine),
            usage: EngineUsage {
                threads,
                ..EngineUsage::default()
            },
            recent_sends: vec![(ms(100_000), work_core_s)],
            ..EngineHandover::default()
        }],
        ..HandoverState::default()
    }
}

#[test]
fn threads_in_flight_of_the_peer_process_count_as_own() {
    // Without pressure, the thread budget is 32, and the peer process uses all of it.
    let mut harness = Harness::with_engines(settings(), 1);
    harness
        .gateway
        .set_peer_process_usage(harness.now, &usage_of_engine(1, 32.0, 0.0), true);
    assert_eq!(sent_to(&harness.submit(1, HEAVY)), None);
    harness
        .gateway
        .set_peer_process_usage(harness.now, &HandoverState::default(), true);
    assert_eq!(
        sent_to(&harness.advance(10)),
        Some(1),
        "the peer process has ended"
    );
}

/// An engine that started one second before `now`.
fn cold_engine(now: Micros) -> Engine {
    Engine {
        started_at: now - ms(1000),
        ..engine(1)
    }
}

#[test]
fn cold_engines_get_nothing_while_the_peer_process_may_use_them_nor_one_window_later() {
    let window = settings().overload_window;
    let mut harness = Harness::new(settings());
    harness.now = harness.now + window;
    let new_engine = cold_engine(harness.now);
    harness.set_engines(vec![new_engine]);
    let mut last_denied_at = harness.now;
    for _ in 0..30 {
        last_denied_at = harness.now;
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
    // Requests that were queued before are sent first.
    while sent_to(&harness.submit(id, LIGHT)).is_none() && sent_to(&harness.advance(10)).is_none() {
        id += 1;
        assert!(
            harness.now < last_denied_at + window + ms(100),
            "the gateway may use cold engines again"
        );
    }
    assert!(
        harness.now >= last_denied_at + window,
        "{:?} after {last_denied_at:?}",
        harness.now
    );
}

#[test]
fn work_that_the_peer_process_sent_to_a_cold_engine_counts_in_the_overload_window() {
    let mut harness = Harness::new(settings());
    let new_engine = cold_engine(harness.now);
    harness.set_engines(vec![new_engine]);
    harness.now = harness.now + settings().overload_window;
    let peer_usage = usage_of_engine(1, 0.0, 1e6);
    harness
        .gateway
        .set_peer_process_usage(ms(100_001), &peer_usage, true);
    assert_eq!(sent_to(&harness.submit(1, LIGHT)), None);
    harness
        .gateway
        .set_peer_process_usage(ms(200_000), &peer_usage, true);
    assert_eq!(
        sent_to(&harness.submit(2, LIGHT)),
        Some(1),
        "the window has passed"
    );
}

#[test]
fn a_new_process_adopts_the_statistics_of_the_old_one() {
    let mut old_process = Harness::with_engines(settings(), 2);
    let target = sent_to(&old_process.submit(1, LIGHT)).expect("an engine is ready");
    // Refused connections eject an engine.
    old_process.end_attempt(1, 0, target, Outcome::ConnectFailed);
    old_process.submit(2, LIGHT);
    while let Some(next_target) = sent_to(&old_process.submit(old_process.now.0, LIGHT)) {
        if next_target == target {
            old_process.end_attempt(old_process.now.0, 0, target, Outcome::ConnectFailed);
        }
        old_process.now = old_process.now + ms(1);
        if old_process
            .gateway
            .ejected_engines()
            .iter()
            .any(|(id, _)| id.0 == target)
        {
            break;
        }
    }
    let state = old_process.gateway.handover_state();
    let mut new_process = Harness::with_engines(settings(), 2);
    new_process.now = old_process.now;
    new_process.gateway.restore(&state);
    let ejected = new_process.gateway.ejected_engines();
    assert_eq!(
        ejected.iter().map(|(id, _)| id.0).collect::<Vec<_>>(),
        [target]
    );
    for id in 10..14 {
        assert_ne!(sent_to(&new_process.submit(id, LIGHT)), Some(target));
    }
    let (accepted_before, restored) = (
        state.classes[LIGHT].accepted_requests,
        new_process.gateway.handover_state(),
    );
    assert_eq!(
        restored.classes[LIGHT].accepted_requests,
        accepted_before + 4.0
    );
}

#[test]
fn shutdown_answers_every_request_once() {
    let mut harness = Harness::with_engines(settings(), 1);
    harness.submit(1, LIGHT);
    harness.submit(2, LOAD);
    let peer_usage = usage_of_engine(1, 32.0, 0.0);
    harness
        .gateway
        .set_peer_process_usage(harness.now, &peer_usage, true);
    harness.submit(3, HEAVY);
    let actions = harness.handle(Event::Shutdown);
    // A load that may have run must fail rather than be refused.
    assert!(is_refused(&actions, 1) && is_failed(&actions, 2) && is_refused(&actions, 3));
    assert_eq!(harness.handle(Event::Shutdown), vec![]);
}
