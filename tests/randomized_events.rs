//! Feeds a gateway seeded random events, valid and invalid ones, and checks its actions against the seven
//! invariants of `tests/invariants.rs` with records that are independent of the gateway's state.

mod common;

use common::*;
use sedgebeam_core::*;
use std::collections::BTreeMap;

/// The pseudo-random generator xorshift64*.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) % bound
    }
}

struct AttemptRecord {
    engine: Engine,
    sent_at: Micros,
    times_out_at: Micros,
    outcome: Option<Outcome>,
}

struct RequestRecord {
    query: Query,
    deadline: Micros,
    attempts: Vec<AttemptRecord>,
    is_answered: bool,
}

/// Records of engines, requests and attempts, against which each action is checked.
struct Checker {
    settings: Settings,
    now: Micros,
    requests: BTreeMap<u64, RequestRecord>,
    engines: BTreeMap<u64, Engine>,
    /// Requests of each key in the order of their arrival.
    requests_by_key: BTreeMap<u64, Vec<u64>>,
    /// For each key, the request and the end time of the latest attempt that may still run on its engine.
    last_unconfirmed_end: BTreeMap<u64, (u64, Micros)>,
    /// Times of retries and second copies, that is of all attempts but the first of each request.
    extra_attempts: Vec<Micros>,
    accepted_at: Vec<Micros>,
    /// Times and work, in core seconds, of the sends to each cold engine.
    cold_sends: BTreeMap<u64, Vec<(Micros, f64)>>,
    send_count: usize,
}

impl Checker {
    fn new(settings: Settings) -> Checker {
        Checker {
            settings,
            now: ms(50_000),
            requests: BTreeMap::new(),
            engines: BTreeMap::new(),
            requests_by_key: BTreeMap::new(),
            last_unconfirmed_end: BTreeMap::new(),
            extra_attempts: Vec::new(),
            accepted_at: Vec::new(),
            cold_sends: BTreeMap::new(),
            send_count: 0,
        }
    }

    /// Whether the request has its answer and no attempt in flight.
    fn is_finished(&self, id: u64) -> bool {
        let record = &self.requests[&id];
        record.is_answered
            && record
                .attempts
                .iter()
                .all(|attempt| attempt.outcome.is_some())
    }

    fn check_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send {
                    request,
                    engine,
                    timeout,
                    starts_by,
                } => self.check_send(request.0, engine.0, *timeout, *starts_by),
                Action::Refuse { request, .. } => {
                    let record = &self.requests[&request.0];
                    let class = &self.settings.classes[record.query.class.0];
                    let may_have_run =
                        |attempt: &AttemptRecord| attempt.outcome.is_none_or(Outcome::may_have_run);
                    let is_harmless = match class.effect {
                        Effect::Repeatable | Effect::Keyed(DedupScope::All) => true,
                        _ => !record.attempts.iter().any(may_have_run),
                    };
                    assert!(is_harmless, "invariant 2: refused although it may have run");
                    self.record_answer(request.0);
                }
                Action::Fail { request } => self.record_answer(request.0),
                Action::Cancel { request, attempt } => {
                    let attempts = &self.requests[&request.0].attempts;
                    assert!(
                        (attempt.0 as usize) < attempts.len(),
                        "cancelled an attempt that was never made"
                    );
                }
                _ => {}
            }
        }
        for (id, record) in &self.requests {
            let slack = self.settings.answer_slack;
            assert!(
                record.is_answered || self.now <= record.deadline + slack,
                "invariant 1: request {id} has no answer"
            );
        }
    }

    fn record_answer(&mut self, id: u64) {
        let record = self
            .requests
            .get_mut(&id)
            .expect("only known requests are answered");
        assert!(
            !std::mem::replace(&mut record.is_answered, true),
            "invariant 1: two answers"
        );
    }

    fn check_send(&mut self, id: u64, target: u64, timeout: Micros, starts_by: Option<Micros>) {
        let (settings, now) = (&self.settings, self.now);
        let record = &self.requests[&id];
        let class = &settings.classes[record.query.class.0];
        assert!(
            !record.is_answered,
            "invariant 1: sent after the final answer"
        );
        let engine = self
            .engines
            .get(&target)
            .expect("invariant 3: the engine is listed")
            .clone();
        assert_eq!(
            engine.state,
            EngineState::Ready,
            "invariant 3: the engine is not ready"
        );
        let in_flight = record
            .attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
            .count();
        assert!(
            in_flight <= usize::from(settings.second_copies),
            "invariant 2: too many attempts in flight"
        );
        assert!(
            record.attempts.len() < settings.max_attempts as usize,
            "too many attempts of one request"
        );
        let earlier_attempt = record
            .attempts
            .iter()
            .find(|attempt| attempt.outcome.is_none_or(Outcome::may_have_run));
        if let Some(earlier) = earlier_attempt {
            match class.effect {
                Effect::Repeatable => {}
                Effect::Once => panic!("invariant 2: sent again although it may have run"),
                Effect::Keyed(scope) => {
                    assert!(
                        now < earlier.sent_at + class.dedup_window,
                        "invariant 2: outside the deduplication window"
                    );
                    let latest_start =
                        starts_by.expect("invariant 2: a keyed retry has a latest start");
                    assert!(
                        now < latest_start && latest_start < earlier.sent_at + class.dedup_window,
                        "invariant 2: the latest start is outside the deduplication window"
                    );
                    match scope {
                        DedupScope::All => {}
                        DedupScope::Zone => {
                            assert_eq!(engine.zone, earlier.engine.zone, "invariant 2: zone")
                        }
                        DedupScope::Cell => {
                            assert_eq!(engine.cell, earlier.engine.cell, "invariant 2: cell")
                        }
                    }
                }
            }
        }
        if let (Some(key), true) = (record.query.key, class.in_key_order) {
            let requests_in_order = &self.requests_by_key[&key.0];
            for other in requests_in_order.iter().take_while(|other| **other != id) {
                assert!(
                    self.is_finished(*other),
                    "invariant 5: request {other} has not finished"
                );
            }
            if let Some((owner, ended_at)) = self.last_unconfirmed_end.get(&key.0) {
                assert!(
                    *owner == id || now >= *ended_at + settings.key_quiet_period,
                    "invariant 5: sent in the quiet period of the key"
                );
            }
        }
        if let Some(kinds) = &class.only_kinds {
            assert!(
                engine.kind.is_some_and(|kind| kinds.contains(&kind)),
                "invariant 6: kind"
            );
        }
        if let Some(zones) = &class.only_zones {
            assert!(
                engine.zone.is_some_and(|zone| zones.contains(&zone)),
                "invariant 6: zone"
            );
        }
        if !record.attempts.is_empty() {
            self.extra_attempts.push(now);
            let budget = settings
                .attempt_budget
                .expect("the settings have an attempt budget");
            let count_in_window = |times: &[Micros]| {
                times.iter().filter(|at| **at + budget.window > now).count() as f64
            };
            let max_extra_attempts = budget.free_attempts
                + budget.extra_per_request * count_in_window(&self.accepted_at);
            assert!(
                count_in_window(&self.extra_attempts) <= max_extra_attempts,
                "invariant 7: attempt budget"
            );
        }
        if engine.started_at > Micros(0) && now < engine.started_at + settings.warm_after {
            let sends = self.cold_sends.entry(target).or_default();
            sends.push((now, record.query.work.0 as f64 / 1e6));
            let window = settings.overload_window;
            let recent = sends.iter().filter(|(at, _)| *at + window > now);
            let work: f64 = recent.map(|(_, work)| work).sum();
            let capacity = 8.0 * settings.start_capacity * window.0 as f64 / 1e6;
            let max_work = settings.overload_multiple * capacity / f64::from(settings.gateways);
            assert!(
                work <= max_work,
                "invariant 4: {work} core seconds of {max_work}"
            );
        }
        self.send_count += 1;
        let record = self.requests.get_mut(&id).expect("known");
        let times_out_at = now + timeout.min(record.deadline - now);
        record.attempts.push(AttemptRecord {
            engine,
            sent_at: now,
            times_out_at,
            outcome: None,
        });
    }

    /// Ends the attempt and returns the event for the gateway.
    fn end_attempt(
        &mut self,
        id: u64,
        attempt_no: usize,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Event {
        let record = self.requests.get_mut(&id).expect("known");
        let attempt = &mut record.attempts[attempt_no];
        attempt.outcome = Some(outcome);
        let engine = attempt.engine.id;
        let request_finished = outcome == Outcome::Ok || record.is_answered;
        record.is_answered |= outcome == Outcome::Ok;
        let may_still_run = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if let (Some(key), true) = (record.query.key, may_still_run) {
            self.last_unconfirmed_end.insert(key.0, (id, self.now));
        }
        Event::Ended(AttemptEnded {
            request: RequestId(id),
            attempt: AttemptNo(attempt_no as u32),
            engine,
            outcome,
            elapsed,
            request_finished,
            work: None,
            load_report: Some(LoadReport {
                queries_waiting_for_memory: Some((id % 3) as f64),
                ..LoadReport::default()
            }),
        })
    }
}

fn settings_for_random_events() -> Settings {
    let mut settings = settings();
    settings.gateways = 2;
    settings.attempt_budget = Some(AttemptBudget {
        window: ms(3000),
        free_attempts: 5.0,
        extra_per_request: 0.3,
    });
    settings.key_quiet_period = ms(300);
    settings.tenants = vec![
        Tenant {
            share: 0.7,
            ..Tenant::default()
        },
        Tenant::default(),
    ];
    settings.kinds.push(Kind {
        cores: 8.0,
        memory_mb: 8192.0,
    });
    settings.classes[HEAVY].only_kinds = Some(vec![KindId(0)]);
    for scope in [DedupScope::All, DedupScope::Zone, DedupScope::Cell] {
        let effect = Effect::Keyed(scope);
        let only_zones = (scope == DedupScope::Zone).then(|| vec![ZoneId(0), ZoneId(1)]);
        settings.classes.push(Class {
            effect,
            only_zones,
            ..class(5.0, 2.0, 1000, 8000)
        });
    }
    settings
}

/// Runs a gateway with random events and checks its actions; returns them and the number of sends.
fn run_with_random_events(seed: u64, steps: u64) -> (Vec<Action>, usize) {
    let mut random = Random(seed);
    let mut checker = Checker::new(settings_for_random_events());
    let mut gateway = Gateway::new(settings_for_random_events(), seed);
    let mut all_actions = Vec::new();
    let mut next_id = 1;
    for step in 0..steps {
        // Some calls have the same time as the call before.
        checker.now = checker.now + ms(5 * random.below(3));
        let (mut events, first_new_id) = (Vec::new(), next_id);
        if step == 0 || random.below(60) == 0 {
            let entry = |random: &mut Random, id: u64, now: Micros| Engine {
                kind: Some(KindId((id % 2) as usize)),
                zone: Some(ZoneId((id % 3) as usize)),
                cell: CellId(id % 4),
                started_at: if random.below(8) == 0 { now } else { Micros(0) },
                state: [
                    EngineState::Ready,
                    EngineState::Ready,
                    EngineState::Ready,
                    EngineState::Draining,
                ][random.below(4) as usize],
                ..Engine::ready(EngineId(id))
            };
            let ids: Vec<u64> = (1..=8).filter(|_| random.below(6) > 0).collect();
            let engines: Vec<Engine> = ids
                .into_iter()
                .map(|id| entry(&mut random, id, checker.now))
                .collect();
            checker.engines = engines
                .iter()
                .map(|engine| (engine.id.0, engine.clone()))
                .collect();
            events.push(Event::List {
                kind: ListKind::Complete,
                engines,
            });
        }
        for _ in 0..random.below(4) {
            let class = random.below(6) as usize;
            let key = (class == LOAD).then(|| Key(random.below(4)));
            let remaining = ms(300 + random.below(4000));
            let query = Query {
                key,
                tenant: (random.below(5) > 0).then(|| TenantId(random.below(2) as usize)),
                remaining,
                work: ms(100),
                memory_mb: 500.0,
                table_group: TableGroupId(random.below(10)),
                ..Query::new(RequestId(next_id), ClassId(class), remaining)
            };
            if let Some(key) = key {
                checker
                    .requests_by_key
                    .entry(key.0)
                    .or_default()
                    .push(next_id);
            }
            checker.accepted_at.push(checker.now);
            let deadline = checker.now + remaining;
            let record = RequestRecord {
                query: query.clone(),
                deadline,
                attempts: Vec::new(),
                is_answered: false,
            };
            checker.requests.insert(next_id, record);
            events.push(Event::Request(query));
            next_id += 1;
        }
        let in_flight: Vec<(u64, usize)> = checker
            .requests
            .iter()
            .flat_map(|(id, record)| (0..record.attempts.len()).map(|attempt_no| (*id, attempt_no)))
            .filter(|(id, attempt_no)| checker.requests[id].attempts[*attempt_no].outcome.is_none())
            .collect();
        for (id, attempt_no) in in_flight {
            let attempt = &checker.requests[&id].attempts[attempt_no];
            let elapsed = checker.now - attempt.sent_at;
            let outcome = match random.below(120) {
                _ if checker.now >= attempt.times_out_at => Outcome::TimedOut,
                0..=20 => Outcome::Ok,
                21..=22 => Outcome::Error,
                23 => Outcome::Rejected,
                24..=25 => Outcome::ConnectFailed,
                26 => Outcome::Reset,
                27 => Outcome::Cancelled,
                28 => {
                    let note = [
                        Note::Progress(0.01),
                        Note::Spills(90.0),
                        Note::WaitsForMemory,
                    ];
                    let note = note[random.below(3) as usize];
                    events.push(Event::Note(
                        RequestId(id),
                        AttemptNo(attempt_no as u32),
                        note,
                    ));
                    continue;
                }
                _ => continue,
            };
            let event = checker.end_attempt(id, attempt_no, outcome, elapsed);
            if random.below(10) == 0 {
                events.push(event.clone()); // The gateway must ignore the repeated event.
            }
            events.push(event);
        }
        if random.below(50) == 0 {
            // Requests of this call are excluded: they may be sent before the event that their client left.
            let id = random.below(first_new_id);
            if let Some(record) = checker.requests.get_mut(&id) {
                record.is_answered = true;
            }
            events.push(Event::ClientLeft(RequestId(id)));
            events.push(attempt_ended(next_id + 99, 0, 1, Outcome::Ok, true));
            events.push(Event::ListFailed);
        }
        events.push(Event::Timer(TimerId(0)));
        let actions = gateway.handle(checker.now, events);
        checker.check_actions(&actions);
        all_actions.extend(actions);
    }
    (all_actions, checker.send_count)
}

#[test]
fn random_events_violate_no_invariant() {
    for seed in 1..=8 {
        let (_, sends) = run_with_random_events(seed * 7919, 800);
        assert!(sends > 300, "only {sends} sends");
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(
        run_with_random_events(5, 600).0,
        run_with_random_events(5, 600).0
    );
}

#[test]
fn gateways_in_one_process_share_no_state() {
    let mut first = Harness::with_engines(settings(), 2);
    let mut alone = Harness::with_engines(settings(), 2);
    let mut other = Harness::with_engines(settings(), 2);
    for id in 1..=30 {
        other.submit(id, HEAVY);
        assert_eq!(first.submit(id, LIGHT), alone.submit(id, LIGHT));
    }
}
