//! Many gateways on each engine: a gateway's own part is under one query.

mod common;
use common::*;
use sedgebeam_core::*;

/// Eight engines of 8 cores for 64 gateways: this one's part of all is two threads.
fn crowd() -> Settings {
    Settings {
        gateways: 64,
        ..settings()
    }
}

fn sends(done: &Actions) -> Vec<EngineId> {
    let engine = |action: &Action| match action {
        Action::Send { engine, .. } => Some(*engine),
        _ => None,
    };
    done.iter().filter_map(engine).collect()
}

/// Without this every gateway had one query on every engine, and nothing bound any of them.
#[test]
fn all_engines_together_bound_a_gateway_whose_part_of_each_is_under_one_query() {
    let mut harness = Harness::with_engines(crowd(), 8);
    let sent: usize = (1..=8)
        .map(|id| sends(&harness.submit(id, LIGHT)).len())
        .sum();
    assert!((1..8).contains(&sent), "{sent} sent at once");
}

/// Without this a hot table group drew the herd of all gateways to the first engine of one order.
#[test]
fn gateways_start_the_order_of_one_table_group_at_different_engines() {
    let first = |seed| {
        let mut gateway = Gateway::new(crowd(), seed);
        let engines = (1..=8).map(engine).collect();
        let kind = ListKind::Complete;
        gateway.handle(ms(100_000), vec![Event::List { kind, engines }]);
        let request = Event::Request(query(1, LIGHT));
        let done = gateway.handle(ms(100_000), vec![request]);
        sends(&done).first().copied()
    };
    let mut firsts: Vec<_> = (0..20).map(first).collect();
    assert_eq!(firsts, (0..20).map(first).collect::<Vec<_>>());
    firsts.sort();
    firsts.dedup();
    assert!(firsts.len() > 1 && !firsts.contains(&None), "{firsts:?}");
}

/// A heavy query asks a few engines for their load, waits for what they say, and leaves out a full one.
#[test]
fn a_heavy_query_goes_by_what_the_asked_engines_say() {
    let asked = Settings {
        may_probe: true,
        load_reports: LoadReportMode::InProbes,
        ..crowd()
    };
    let mut harness = Harness::with_engines(asked, 8);
    let done = harness.submit(1, HEAVY);
    let probed = |action: &Action| match action {
        Action::Probe { engine } => Some(*engine),
        _ => None,
    };
    let probed: Vec<EngineId> = done.iter().filter_map(probed).collect();
    assert!(sends(&done).is_empty() && probed.len() == 3, "{done:?}");
    let report = |busy| LoadReport {
        busy_cores_share: Some(busy),
        ..LoadReport::default()
    };
    let mut sent = Vec::new();
    for (engine, busy) in probed.iter().zip([1.0, 0.1, 1.0]) {
        let told = Event::Probed(*engine, Outcome::Ok, Some(report(busy)));
        sent.extend(sends(&harness.handle(told)));
    }
    assert_eq!(sent, [probed[1]]);
}

/// Requests whose answers take so long; where only a part of a query has room, some are not sent.
fn answers(harness: &mut Harness, ids: std::ops::RangeInclusive<u64>, took: u64) {
    for id in ids {
        let Some(sent) = sends(&harness.submit(id, LIGHT)).first().copied() else {
            harness.handle(Event::ClientLeft(RequestId(id)));
            continue;
        };
        harness.handle(Event::Ended(AttemptEnded {
            request: RequestId(id),
            attempt: AttemptNo(0),
            engine: sent,
            outcome: Outcome::Ok,
            elapsed: ms(took),
            request_finished: true,
            work: Some(ms(50)),
            load_report: None,
        }));
    }
}

/// Without this a fixed part refused chance bursts at single gateways while all engines ran alone, and a
/// part that only grew filled every engine's memory many times over.
#[test]
fn a_gateways_part_grows_while_answers_are_quick_and_shrinks_when_they_tell_of_a_crowd() {
    let mut harness = Harness::with_engines(crowd(), 8);
    let burst = |harness: &mut Harness, first: u64| -> usize {
        let ids = first..first + 20;
        let count = ids
            .clone()
            .map(|id| sends(&harness.submit(id, LIGHT)).len())
            .sum();
        for id in ids {
            harness.handle(Event::ClientLeft(RequestId(id)));
            harness.end_attempt(id, 0, 1, Outcome::Cancelled);
        }
        count
    };
    let first = burst(&mut harness, 1000);
    answers(&mut harness, 1..=40, 500);
    let crowded = burst(&mut harness, 2000);
    harness.advance(5000);
    answers(&mut harness, 41..=240, 60);
    let quick = burst(&mut harness, 3000);
    // Light queries keep a whole part in a crowd, which is two here.
    assert!(quick > crowded, "{crowded}, then {quick}");
    assert!(crowded <= 2, "{crowded}: more than one part");
    // However long answers are quick: what all use at once in a burst, engines must bear.
    answers(&mut harness, 241..=500, 60);
    let long = burst(&mut harness, 4000);
    assert!(
        long <= first.max(4),
        "{first}, and {long} after a quiet time"
    );
}

/// Without this heavy queries out filled a gateway's part, and half of the look-ups were refused.
#[test]
fn heavy_queries_out_do_not_hold_up_light_ones() {
    let mut harness = Harness::with_engines(crowd(), 8);
    answers(&mut harness, 1..=3, 60);
    let heavy = (10..20).map(|id| sends(&harness.submit(id, HEAVY)).len());
    assert!((1..3).contains(&heavy.sum::<usize>()));
    assert_eq!(sends(&harness.submit(20, LIGHT)).len(), 1);
}

/// Without this a line for memory, which costs no work, held the part at one, and heavy queries were refused.
#[test]
fn a_part_does_not_fall_under_two_where_engines_keep_a_line_for_memory() {
    let least = |memory_line| {
        let settings = Settings {
            queues_for_memory: memory_line,
            ..crowd()
        };
        let mut harness = Harness::with_engines(settings, 8);
        answers(&mut harness, 1..=40, 500);
        (100..120)
            .map(|id| sends(&harness.submit(id, LIGHT)).len())
            .sum::<usize>()
    };
    let (one, line) = (least(false), least(true));
    assert!(line >= 2 * one, "{one} and {line}");
}

/// Memory that all gateways together have out, in parts of the engines' memory, when each is asked for so much
/// more than it may have after quick answers; each query is taken to need a 250th of it.
fn memory_out(settings: &Settings) -> f64 {
    let sent = |me: u32| {
        let settings = Settings {
            gateway_index: Some(me),
            ..settings.clone()
        };
        let mut harness = Harness {
            gateway: Gateway::new(settings, u64::from(me) + 1),
            now: ms(100_000),
        };
        harness.set_engines((1..=8).map(engine).collect());
        answers(&mut harness, 100..=140, 60);
        let big = |id| Query {
            memory_mb: 8.0 * 16_384.0 / 250.0 / 1.25,
            ..query(id, LIGHT)
        };
        (1..=200)
            .map(|id| sends(&harness.handle(Event::Request(big(id)))).len())
            .sum::<usize>()
    };
    (0..settings.gateways).map(sent).sum::<usize>() as f64 / 250.0
}

/// Without a bound that holds whatever answers told before, a burst filled all engines at once; with one query
/// always, hundreds of gateways held more than the engines have. A part may be half a query, or many.
#[test]
fn where_engines_page_all_gateways_together_keep_to_a_part_of_the_memory() {
    for gateways in [64, 300] {
        let settings = Settings {
            gateways,
            ..crowd()
        };
        let out = memory_out(&settings);
        assert!((0.6..0.9).contains(&out), "{gateways} gateways: {out}");
    }
}

/// Without this what waited for cold engines came on top of warm ones, and what was out on warm ones kept rights on cold
/// engines from being used: six in ten engines were new, and got a seventh of what they could do.
#[test]
fn cold_engines_are_room_of_their_own_by_rights() {
    let sent = |cold: u64| {
        let mut harness = Harness::with_engines(crowd(), 8);
        answers(&mut harness, 100..=140, 60);
        // What an earlier life of this gateway sent is over.
        harness.advance(2500);
        let started_at = harness.now;
        for id in 1..=cold {
            let started = Engine {
                started_at,
                ..engine(id)
            };
            harness.update_engine(started);
        }
        let ask = |id| sends(&harness.submit(id, LIGHT)).len();
        let at_once = (1..=60).map(ask).sum::<usize>();
        // Nothing has ended: what goes out now goes by rights that open.
        let mut later = Vec::new();
        for id in 200..=260 {
            later.extend(sends(&harness.advance(20)));
            later.extend(sends(&harness.submit(id, LIGHT)));
        }
        (at_once, later)
    };
    let ((all, none), (few, by_rights)) = (sent(0), sent(6));
    assert!(
        few > 0 && few * 2 < all,
        "{few} with 6 of 8 cold, else {all}"
    );
    assert!(none.is_empty(), "its room is full: {none:?}");
    let cold = |engine: &EngineId| engine.0 <= 6;
    assert!(
        !by_rights.is_empty() && by_rights.iter().all(cold),
        "{by_rights:?}"
    );
}

/// Without this the only request of a tenant with a small share was the one turned away, whoever else waited.
#[test]
fn one_waiting_request_of_a_small_tenant_is_not_beyond_its_share() {
    let share = |share| Tenant {
        share,
        ..Tenant::default()
    };
    let settings = Settings {
        tenants: vec![share(0.9), share(0.1)],
        ..crowd()
    };
    let mut harness = Harness::with_engines(settings, 1);
    let refused = (1..=20).flat_map(|id| {
        let query = Query {
            tenant: Some(TenantId(usize::from(id == 10))),
            ..query(id, HEAVY)
        };
        harness.handle(Event::Request(query))
    });
    let refused = refused.filter_map(|action| match action {
        Action::Refuse { request, .. } => Some(request.0),
        _ => None,
    });
    let refused: Vec<u64> = refused.collect();
    assert!(refused.len() > 5 && !refused.contains(&10), "{refused:?}");
}

/// Without this a gateway that used cold engines took their slowness for a crowd, and its part shrank.
#[test]
fn answers_of_engines_that_have_just_started_are_no_crowd() {
    let sent = |started_at: Micros, seed: u64| {
        let mut harness = Harness {
            gateway: Gateway::new(crowd(), seed),
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
            answers(&mut harness, id..=id, 120);
        }
        // What it has learned shows on engines that bound nothing by themselves.
        harness.set_engines((11..=18).map(engine).collect());
        sends(&harness.submit(1, HEAVY)).len()
    };
    let all = |started_at| (1..=40).map(|seed| sent(started_at, seed)).sum::<usize>();
    let (cold, warm) = (all(ms(100_000)), all(Micros(0)));
    assert!(
        cold >= 2 * warm,
        "{cold} after cold engines, {warm} after warm ones"
    );
}
