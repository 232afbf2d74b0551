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
    let mut bench = Bench::with_engines(settings(), 1);
    bench
        .gateway
        .set_peer_process_usage(bench.now, &held(1, 32.0, 0.0), true);
    assert_eq!(sent_to(&bench.request(1, HEAVY)), None);
    bench
        .gateway
        .set_peer_process_usage(bench.now, &HandoverState::default(), true);
    assert_eq!(sent_to(&bench.wait(10)), Some(1), "the other has gone");
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
    let mut bench = Bench::new(settings());
    bench.now = bench.now + window;
    let started = cold(bench.now);
    bench.list(vec![started]);
    let mut last = bench.now;
    for _ in 0..30 {
        last = bench.now;
        bench
            .gateway
            .set_peer_process_usage(bench.now, &HandoverState::default(), false);
        assert_eq!(bench.request(bench.now.0, LIGHT), vec![]);
        bench.wait(100);
    }
    bench
        .gateway
        .set_peer_process_usage(bench.now, &HandoverState::default(), true);
    let mut id = 1;
    while sent_to(&bench.request(id, LIGHT)).is_none() {
        id += 1;
        bench.wait(10);
        assert!(bench.now < last + window + ms(100), "it may again");
    }
    assert!(bench.now >= last + window, "{:?} after {last:?}", bench.now);
}

#[test]
fn work_that_another_process_sent_to_a_cold_engine_counts_in_its_window() {
    let mut bench = Bench::new(settings());
    let started = cold(bench.now);
    bench.list(vec![started]);
    bench.now = bench.now + settings().overload_window;
    let all = held(1, 0.0, 1e6);
    bench
        .gateway
        .set_peer_process_usage(ms(100_001), &all, true);
    assert_eq!(sent_to(&bench.request(1, LIGHT)), None);
    bench
        .gateway
        .set_peer_process_usage(ms(200_000), &all, true);
    assert_eq!(sent_to(&bench.request(2, LIGHT)), Some(1), "it is long ago");
}

#[test]
fn a_process_begins_with_what_the_one_before_it_learned() {
    let mut old = Bench::with_engines(settings(), 2);
    let to = sent_to(&old.request(1, LIGHT)).expect("an engine is ready");
    // Refused connects set an engine aside.
    old.ends(1, 0, to, Outcome::ConnectFailed);
    old.request(2, LIGHT);
    while let Some(again) = sent_to(&old.request(old.now.0, LIGHT)) {
        if again == to {
            old.ends(old.now.0, 0, to, Outcome::ConnectFailed);
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
    let mut new = Bench::with_engines(settings(), 2);
    new.now = old.now;
    new.gateway.restore(&learned);
    let avoided = new.gateway.ejected_engines();
    assert_eq!(avoided.iter().map(|(id, _)| id.0).collect::<Vec<_>>(), [to]);
    for id in 10..14 {
        assert_ne!(sent_to(&new.request(id, LIGHT)), Some(to));
    }
    let (was, is) = (
        learned.classes[LIGHT].accepted_requests,
        new.gateway.handover_state(),
    );
    assert_eq!(is.classes[LIGHT].accepted_requests, was + 4.0);
}

#[test]
fn the_last_call_answers_everything_once() {
    let mut bench = Bench::with_engines(settings(), 1);
    bench.request(1, LIGHT);
    bench.request(2, LOAD);
    let full = held(1, 32.0, 0.0);
    bench.gateway.set_peer_process_usage(bench.now, &full, true);
    bench.request(3, HEAVY);
    let done = bench.on(Event::Shutdown);
    // What may have run must not be said to be harmless.
    assert!(refused(&done, 1) && failed(&done, 2) && refused(&done, 3));
    assert_eq!(bench.on(Event::Shutdown), vec![]);
}
