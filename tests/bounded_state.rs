//! What a long run leaves behind: many requests, and ten thousand engines that come and go.

mod common;
use common::*;
use sedgebeam_core::*;

const REQUESTS: u64 = 200_000;
const ENGINES: u64 = 10_000;
/// Engines that are listed at once.
const LISTED: u64 = 20;

/// Requests that come, are sent, end in each way there is or are left, with keys, groups and cold engines; at its end
/// nothing of it is remembered but what is listed and lately happened.
#[test]
fn many_requests_and_ten_thousand_engines_leave_nothing_behind() {
    let settings = Settings {
        gateways: 30,
        gateway_index: Some(3),
        key_quiet_period: ms(50),
        attempt_budget: Some(AttemptBudget {
            window: ms(200),
            free_attempts: 10.0,
            extra_per_request: 0.2,
        }),
        ..settings()
    };
    let mut harness = Harness::new(settings);
    let waves = ENGINES / LISTED;
    let (mut most, mut attempts) = (StateSizes::default(), Attempts::new());
    for wave in 0..waves {
        let started_at = harness.now;
        let listed = (0..LISTED).map(|place| Engine {
            started_at: if place % 2 == 0 {
                started_at
            } else {
                Micros(0)
            },
            ..engine(1 + wave * LISTED + place)
        });
        let list = Event::List {
            kind: ListKind::Complete,
            engines: listed.collect(),
        };
        let done = harness.handle_all(vec![list]);
        end(&mut harness, done, &mut attempts);
        for number in 0..REQUESTS / waves {
            let id = wave * (REQUESTS / waves) + number + 1;
            harness.now = harness.now + Micros(1500);
            let class = [LIGHT, LIGHT, LIGHT, HEAVY, LOAD][(id % 5) as usize];
            let query = Query {
                key: (class == LOAD).then_some(Key(id)),
                table_group: TableGroupId(id % 5000),
                ..query(id, class)
            };
            let done = harness.handle_all(vec![Event::Request(query)]);
            end(&mut harness, done, &mut attempts);
        }
        let kept = harness.gateway.state_sizes();
        most.engines = most.engines.max(kept.engines);
        most.requests = most.requests.max(kept.requests);
        most.keys = most.keys.max(kept.keys);
        most.recent_entries = most.recent_entries.max(kept.recent_entries);
    }
    assert!(most.engines <= 2 * LISTED as usize, "{most:?}");
    assert!(
        most.requests < 200 && most.keys < 200 && most.recent_entries < 2000,
        "{most:?}"
    );
    // All that waited has had its time.
    harness.now = harness.now + ms(60_000);
    let done = harness.handle_all(vec![Event::Timer(TimerId(0))]);
    end(&mut harness, done, &mut attempts);
    let left = harness.gateway.state_sizes();
    assert_eq!((left.requests, left.queued_requests), (0, 0), "{left:?}");
    assert!(left.engines <= LISTED as usize, "{left:?}");
}

/// Attempts made, by request.
type Attempts = std::collections::HashMap<u64, u32>;

/// Ends what was sent, one request in twenty each with an error, a time-out, a reset or a client that leaves.
fn end(harness: &mut Harness, done: Vec<Action>, attempts: &mut Attempts) {
    let mut sent: Vec<(u64, u32, u64)> = Vec::new();
    let mut actions = done;
    loop {
        for action in actions {
            if let Action::Send {
                request, engine, ..
            } = action
            {
                let count = attempts.entry(request.0).or_insert(0);
                sent.push((request.0, *count, engine.0));
                *count += 1;
            }
        }
        let Some((id, attempt, engine)) = sent.pop() else {
            return;
        };
        let mut more = Vec::new();
        let how = match splitmix64(id ^ u64::from(attempt) << 40) % 20 {
            0 => Outcome::Error,
            1 => Outcome::TimedOut,
            2 => Outcome::Reset,
            3 => Outcome::ConnectFailed,
            4 => {
                more = harness.handle_all(vec![Event::ClientLeft(RequestId(id))]);
                Outcome::Cancelled
            }
            _ => Outcome::Ok,
        };
        more.extend(harness.handle_all(vec![attempt_ended(
            id,
            attempt,
            engine,
            how,
            how == Outcome::Ok,
        )]));
        actions = more;
    }
}
