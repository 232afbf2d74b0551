//! The state of a gateway stays bounded during a long run with many requests and ten thousand engines, of which
//! a few are listed at a time.

mod common;
use common::*;
use sedgebeam_core::*;

const REQUESTS: u64 = 200_000;
const ENGINES: u64 = 10_000;
/// Number of engines that are listed at the same time.
const LISTED_ENGINES: u64 = 20;

/// Submits requests with keys and table groups, and ends their attempts with various outcomes or because their
/// client disconnects; half of the engines are cold. At the end, the state contains no request and only listed
/// engines.
#[test]
fn the_state_stays_bounded_with_many_requests_and_ten_thousand_engines() {
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
    let waves = ENGINES / LISTED_ENGINES;
    let (mut max_sizes, mut attempt_counts) = (StateSizes::default(), AttemptCounts::new());
    for wave in 0..waves {
        let started_at = harness.now;
        let entries = (0..LISTED_ENGINES).map(|index| Engine {
            started_at: if index % 2 == 0 {
                started_at
            } else {
                Micros(0)
            },
            ..engine(1 + wave * LISTED_ENGINES + index)
        });
        let list = Event::List {
            kind: ListKind::Complete,
            engines: entries.collect(),
        };
        let actions = harness.handle_all(vec![list]);
        end_attempts(&mut harness, actions, &mut attempt_counts);
        for number in 0..REQUESTS / waves {
            let id = wave * (REQUESTS / waves) + number + 1;
            harness.now = harness.now + Micros(1500);
            let class = [LIGHT, LIGHT, LIGHT, HEAVY, LOAD][(id % 5) as usize];
            let query = Query {
                key: (class == LOAD).then_some(Key(id)),
                table_group: TableGroupId(id % 5000),
                ..query(id, class)
            };
            let actions = harness.handle_all(vec![Event::Request(query)]);
            end_attempts(&mut harness, actions, &mut attempt_counts);
        }
        let sizes = harness.gateway.state_sizes();
        max_sizes.engines = max_sizes.engines.max(sizes.engines);
        max_sizes.requests = max_sizes.requests.max(sizes.requests);
        max_sizes.keys = max_sizes.keys.max(sizes.keys);
        max_sizes.recent_entries = max_sizes.recent_entries.max(sizes.recent_entries);
    }
    assert!(
        max_sizes.engines <= 2 * LISTED_ENGINES as usize,
        "{max_sizes:?}"
    );
    assert!(
        max_sizes.requests < 200 && max_sizes.keys < 200 && max_sizes.recent_entries < 2000,
        "{max_sizes:?}"
    );
    // After a minute every queued request has passed its deadline.
    harness.now = harness.now + ms(60_000);
    let actions = harness.handle_all(vec![Event::Timer(TimerId(0))]);
    end_attempts(&mut harness, actions, &mut attempt_counts);
    let remaining = harness.gateway.state_sizes();
    assert_eq!(
        (remaining.requests, remaining.queued_requests),
        (0, 0),
        "{remaining:?}"
    );
    assert!(
        remaining.engines <= LISTED_ENGINES as usize,
        "{remaining:?}"
    );
}

/// Guards against a window of the attempt budget that grows with the rate of requests: each request read all of it.
#[test]
fn the_window_of_the_attempt_budget_does_not_grow_with_the_rate_of_requests() {
    let settings = Settings {
        attempt_budget: Some(AttemptBudget {
            window: ms(1000),
            free_attempts: 10.0,
            extra_per_request: 0.2,
        }),
        ..settings()
    };
    let mut harness = Harness::new(settings);
    let (batches, batch_size) = (100, 200);
    for batch in 0..batches {
        harness.now = harness.now + ms(5);
        let ids = (0..batch_size).map(|number| 1 + batch * batch_size + number);
        let requests = ids.map(|id| Event::Request(query(id, LIGHT)));
        harness.handle_all(requests.collect());
    }
    let sizes = harness.gateway.state_sizes();
    assert!(sizes.recent_entries <= batches as usize, "{sizes:?}");
}

/// Number of attempts of each request.
type AttemptCounts = std::collections::HashMap<u64, u32>;

/// Ends all attempts in flight. One in twenty ends with each of these: an error, a timeout, a reset, a failed
/// connection, a client that disconnects. The others end with an answer.
fn end_attempts(
    harness: &mut Harness,
    initial_actions: Vec<Action>,
    attempt_counts: &mut AttemptCounts,
) {
    let mut in_flight: Vec<(u64, u32, u64)> = Vec::new();
    let mut actions = initial_actions;
    loop {
        for action in actions {
            if let Action::Send {
                request, engine, ..
            } = action
            {
                let count = attempt_counts.entry(request.0).or_insert(0);
                in_flight.push((request.0, *count, engine.0));
                *count += 1;
            }
        }
        let Some((id, attempt_no, engine)) = in_flight.pop() else {
            return;
        };
        let mut new_actions = Vec::new();
        let outcome = match splitmix64(id ^ u64::from(attempt_no) << 40) % 20 {
            0 => Outcome::Error,
            1 => Outcome::TimedOut,
            2 => Outcome::Reset,
            3 => Outcome::ConnectFailed,
            4 => {
                new_actions = harness.handle_all(vec![Event::ClientLeft(RequestId(id))]);
                Outcome::Cancelled
            }
            _ => Outcome::Ok,
        };
        new_actions.extend(harness.handle_all(vec![attempt_ended(
            id,
            attempt_no,
            engine,
            outcome,
            outcome == Outcome::Ok,
        )]));
        actions = new_actions;
    }
}
