//! One of many gateways on shared engines: its share of an engine is less than one query, so that it is
//! limited by its share of the whole fleet.

mod common;
use common::*;
use sedgebeam_core::*;

/// 64 gateways. With eight engines of 8 cores, a gateway's share of the fleet is two threads.
fn many_gateways() -> Settings {
    Settings {
        gateways: 64,
        ..settings()
    }
}

/// The engine of each send.
fn targets(actions: &Actions) -> Vec<EngineId> {
    let engine = |action: &Action| match action {
        Action::Send { engine, .. } => Some(*engine),
        _ => None,
    };
    actions.iter().filter_map(engine).collect()
}

/// Guards against allowing each gateway one query on every engine: all gateways together then had no limit.
#[test]
fn a_gateway_is_limited_by_its_share_of_the_fleet_if_its_share_of_an_engine_is_under_one_query() {
    let mut harness = Harness::with_engines(many_gateways(), 8);
    let sent_count: usize = (1..=8)
        .map(|id| targets(&harness.submit(id, LIGHT)).len())
        .sum();
    assert!(
        (1..8).contains(&sent_count),
        "{sent_count} queries sent at once"
    );
}

/// Guards against an engine order that is the same in all gateways: all of them then sent a hot table group to
/// the same engine.
#[test]
fn gateways_prefer_different_engines_for_the_same_table_group() {
    let preferred = |seed| {
        let mut gateway = Gateway::new(many_gateways(), seed);
        let engines = (1..=8).map(engine).collect();
        let kind = ListKind::Complete;
        gateway.handle(ms(100_000), vec![Event::List { kind, engines }]);
        let request = Event::Request(query(1, LIGHT));
        let actions = gateway.handle(ms(100_000), vec![request]);
        targets(&actions).first().copied()
    };
    let mut preferred_engines: Vec<_> = (0..20).map(preferred).collect();
    assert_eq!(
        preferred_engines,
        (0..20).map(preferred).collect::<Vec<_>>()
    );
    preferred_engines.sort();
    preferred_engines.dedup();
    assert!(
        preferred_engines.len() > 1 && !preferred_engines.contains(&None),
        "{preferred_engines:?}"
    );
}

/// Before a heavy query is sent, a few engines are probed for their load; full ones are skipped.
#[test]
fn a_heavy_query_goes_to_a_probed_engine_with_low_reported_load() {
    let settings = Settings {
        may_probe: true,
        load_reports: LoadReportMode::InProbes,
        ..many_gateways()
    };
    let mut harness = Harness::with_engines(settings, 8);
    let actions = harness.submit(1, HEAVY);
    let probe_target = |action: &Action| match action {
        Action::Probe { engine } => Some(*engine),
        _ => None,
    };
    let probed: Vec<EngineId> = actions.iter().filter_map(probe_target).collect();
    assert!(
        targets(&actions).is_empty() && probed.len() == 3,
        "{actions:?}"
    );
    let report = |busy_share| LoadReport {
        busy_cores_share: Some(busy_share),
        ..LoadReport::default()
    };
    let mut query_targets = Vec::new();
    for (engine, busy_share) in probed.iter().zip([1.0, 0.1, 1.0]) {
        let reply = Event::Probed(*engine, Outcome::Ok, Some(report(busy_share)));
        query_targets.extend(targets(&harness.handle(reply)));
    }
    assert_eq!(query_targets, [probed[1]]);
}

/// Submits requests and answers each one after `elapsed_ms`. Clients of requests that are not sent at once
/// disconnect.
fn answer_requests(harness: &mut Harness, ids: std::ops::RangeInclusive<u64>, elapsed_ms: u64) {
    for id in ids {
        let Some(engine) = targets(&harness.submit(id, LIGHT)).first().copied() else {
            harness.handle(Event::ClientLeft(RequestId(id)));
            continue;
        };
        harness.handle(Event::Ended(AttemptEnded {
            request: RequestId(id),
            attempt: AttemptNo(0),
            engine,
            outcome: Outcome::Ok,
            elapsed: ms(elapsed_ms),
            request_finished: true,
            work: Some(ms(50)),
            load_report: None,
        }));
    }
}

/// Guards against a fixed limit, which refused random bursts at single gateways while engines were idle, and
/// against a limit that only grew, which overcommitted every engine's memory many times over.
#[test]
fn the_concurrency_limit_grows_while_answers_are_quick_and_shrinks_when_they_indicate_congestion() {
    let mut harness = Harness::with_engines(many_gateways(), 8);
    let burst = |harness: &mut Harness, first_id: u64| -> usize {
        let ids = first_id..first_id + 20;
        let count = ids
            .clone()
            .map(|id| targets(&harness.submit(id, LIGHT)).len())
            .sum();
        for id in ids {
            harness.handle(Event::ClientLeft(RequestId(id)));
            harness.end_attempt(id, 0, 1, Outcome::Cancelled);
        }
        count
    };
    let sent_initially = burst(&mut harness, 1000);
    answer_requests(&mut harness, 1..=40, 500);
    let sent_during_congestion = burst(&mut harness, 2000);
    harness.advance(5000);
    answer_requests(&mut harness, 41..=240, 60);
    let sent_after_quick_answers = burst(&mut harness, 3000);
    // Light queries may use the full share of the fleet, two threads here, even during congestion.
    assert!(
        sent_after_quick_answers > sent_during_congestion,
        "{sent_during_congestion} during congestion, then {sent_after_quick_answers}"
    );
    assert!(
        sent_during_congestion <= 2,
        "{sent_during_congestion}: more than the share of the fleet"
    );
    // The limit stays bounded however many answers are quick: engines must bear a burst of all gateways at once.
    answer_requests(&mut harness, 241..=500, 60);
    let sent_after_more_quick_answers = burst(&mut harness, 4000);
    assert!(
        sent_after_more_quick_answers <= sent_initially.max(4),
        "{sent_initially} at first, {sent_after_more_quick_answers} after many quick answers"
    );
}

/// Guards against counting heavy queries in flight against light ones: half of the look-ups were then
/// refused.
#[test]
fn heavy_queries_in_flight_do_not_delay_light_ones() {
    let mut harness = Harness::with_engines(many_gateways(), 8);
    answer_requests(&mut harness, 1..=3, 60);
    let heavy_sends = (10..20).map(|id| targets(&harness.submit(id, HEAVY)).len());
    assert!((1..3).contains(&heavy_sends.sum::<usize>()));
    assert_eq!(targets(&harness.submit(20, LIGHT)).len(), 1);
}

/// Guards against taking the queue for memory, which costs an engine no work, for congestion: the concurrency
/// limit then stayed at one share, and heavy queries were refused.
#[test]
fn the_concurrency_limit_stays_at_two_shares_or_more_if_engines_queue_for_memory() {
    let sent_after_slow_answers = |queues_for_memory| {
        let settings = Settings {
            queues_for_memory,
            ..many_gateways()
        };
        let mut harness = Harness::with_engines(settings, 8);
        answer_requests(&mut harness, 1..=40, 500);
        (100..120)
            .map(|id| targets(&harness.submit(id, LIGHT)).len())
            .sum::<usize>()
    };
    let (without_queue, with_queue) = (
        sent_after_slow_answers(false),
        sent_after_slow_answers(true),
    );
    assert!(
        with_queue >= 2 * without_queue,
        "{without_queue} without a queue for memory, {with_queue} with one"
    );
}

/// Share of the fleet's memory that the queries in flight of all gateways use after quick answers, if each
/// gateway gets far more requests than it may send. Each query counts as one 250th of that memory.
fn memory_share_in_flight(settings: &Settings) -> f64 {
    let count_sent = |gateway_index: u32| {
        let settings = Settings {
            gateway_index: Some(gateway_index),
            ..settings.clone()
        };
        let mut harness = Harness {
            gateway: Gateway::new(settings, u64::from(gateway_index) + 1),
            now: ms(100_000),
        };
        harness.set_engines((1..=8).map(engine).collect());
        answer_requests(&mut harness, 100..=140, 60);
        let large_query = |id| Query {
            memory_mb: 8.0 * 16_384.0 / 250.0 / 1.25,
            ..query(id, LIGHT)
        };
        (1..=200)
            .map(|id| targets(&harness.handle(Event::Request(large_query(id)))).len())
            .sum::<usize>()
    };
    (0..settings.gateways).map(count_sent).sum::<usize>() as f64 / 250.0
}

/// Guards against two faults: the limit grew without bound after quick answers, so that a burst filled the
/// memory of all engines at once; and one query was always allowed, so that hundreds of gateways used more
/// memory than the engines have. With 300 gateways, a gateway's share is less than one query; with 64, it is
/// several.
#[test]
fn all_gateways_together_use_a_limited_share_of_the_memory_if_engines_page() {
    for gateways in [64, 300] {
        let settings = Settings {
            gateways,
            ..many_gateways()
        };
        let memory_share = memory_share_in_flight(&settings);
        assert!(
            (0.6..0.9).contains(&memory_share),
            "{gateways} gateways: {memory_share}"
        );
    }
}

/// Guards against two faults: a gateway used its share of the cold engines on warm ones, in addition to its
/// share of those, and requests in flight on warm engines prevented the use of admission tokens. With six of
/// ten engines cold, the cold ones got a seventh of the work that they could do.
#[test]
fn cold_engines_are_limited_by_admission_tokens_apart_from_warm_ones() {
    let send_to_fleet = |cold_engines: u64| {
        let mut harness = Harness::with_engines(many_gateways(), 8);
        answer_requests(&mut harness, 100..=140, 60);
        // In the first overload window, sends of an earlier process of this gateway are unknown.
        harness.advance(2500);
        let started_at = harness.now;
        for id in 1..=cold_engines {
            let cold_engine = Engine {
                started_at,
                ..engine(id)
            };
            harness.update_engine(cold_engine);
        }
        let submit = |id| targets(&harness.submit(id, LIGHT)).len();
        let sent_at_once = (1..=60).map(submit).sum::<usize>();
        // No attempt ends, so that all further sends need new admission tokens.
        let mut later_targets = Vec::new();
        for id in 200..=260 {
            later_targets.extend(targets(&harness.advance(20)));
            later_targets.extend(targets(&harness.submit(id, LIGHT)));
        }
        (sent_at_once, later_targets)
    };
    let ((sent_to_warm, later_sends_to_warm), (sent_with_6_cold, later_sends_by_tokens)) =
        (send_to_fleet(0), send_to_fleet(6));
    assert!(
        sent_with_6_cold > 0 && sent_with_6_cold * 2 < sent_to_warm,
        "{sent_with_6_cold} with 6 of 8 engines cold, {sent_to_warm} with none"
    );
    assert!(
        later_sends_to_warm.is_empty(),
        "the share of the fleet is in use: {later_sends_to_warm:?}"
    );
    let is_cold = |engine: &EngineId| engine.0 <= 6;
    assert!(
        !later_sends_by_tokens.is_empty() && later_sends_by_tokens.iter().all(is_cold),
        "{later_sends_by_tokens:?}"
    );
}

/// Guards against refusing the only queued request of a tenant with a small share while another tenant has
/// many.
#[test]
fn one_queued_request_of_a_small_tenant_does_not_exceed_its_share() {
    let tenant = |share| Tenant {
        share,
        ..Tenant::default()
    };
    let settings = Settings {
        tenants: vec![tenant(0.9), tenant(0.1)],
        ..many_gateways()
    };
    let mut harness = Harness::with_engines(settings, 1);
    let actions = (1..=20).flat_map(|id| {
        let query = Query {
            tenant: Some(TenantId(usize::from(id == 10))),
            ..query(id, HEAVY)
        };
        harness.handle(Event::Request(query))
    });
    let refused = actions.filter_map(|action| match action {
        Action::Refuse { request, .. } => Some(request.0),
        _ => None,
    });
    let refused: Vec<u64> = refused.collect();
    assert!(refused.len() > 5 && !refused.contains(&10), "{refused:?}");
}

/// Guards against taking the slowness of cold engines for congestion, which lowered the concurrency limit of
/// gateways that used them.
#[test]
fn slow_answers_of_cold_engines_do_not_indicate_congestion() {
    let sent = |started_at: Micros, seed: u64| {
        let mut harness = Harness {
            gateway: Gateway::new(many_gateways(), seed),
            now: ms(100_000),
        };
        let engines = (1..=8).map(|id| Engine {
            started_at,
            ..engine(id)
        });
        harness.set_engines(engines.collect());
        harness.advance(3000);
        for id in 100..500 {
            harness.advance(25);
            answer_requests(&mut harness, id..=id, 120);
        }
        // No limit has been learned for new engines yet, so that the gateway's learned limit applies.
        harness.set_engines((11..=18).map(engine).collect());
        targets(&harness.submit(1, HEAVY)).len()
    };
    let total_sent = |started_at| (1..=40).map(|seed| sent(started_at, seed)).sum::<usize>();
    let (cold, warm) = (total_sent(ms(100_000)), total_sent(Micros(0)));
    assert!(
        cold >= 2 * warm,
        "{cold} sent after cold engines, {warm} after warm ones"
    );
}
