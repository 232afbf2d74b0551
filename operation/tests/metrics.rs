//! In any order of events, accepted requests equal ended plus disconnected plus outstanding ones.

use proptest::prelude::*;
use sedgebeam_operation::{Disposition, Metrics, RunningRequest};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
enum Step {
    Start(usize),
    Finish(usize, Disposition),
    Disconnect(usize),
    Forward(usize),
    /// A reload; the flag is whether the file is applied.
    Reload(bool),
}

const CLASSES: [&str; 3] = ["lookup", "a \"quoted\" class", "journal-load"];

fn step() -> impl Strategy<Value = Step> {
    let disposition = prop_oneof![
        Just(Disposition::Succeeded),
        Just(Disposition::Declined),
        Just(Disposition::Aborted),
    ];
    prop_oneof![
        4 => (0usize..3).prop_map(Step::Start),
        3 => (0usize..9, disposition).prop_map(|(index, disposition)| Step::Finish(index, disposition)),
        1 => (0usize..9).prop_map(Step::Disconnect),
        1 => (0usize..4).prop_map(Step::Forward),
        1 => any::<bool>().prop_map(Step::Reload),
    ]
}

/// The sum of all samples whose name starts with the prefix.
fn sum(text: &str, prefix: &str) -> u64 {
    let lines = text.lines().filter(|line| line.starts_with(prefix));
    let values = lines.map(|line| line.rsplit_once(' ').expect("a value").1);
    values
        .map(|value| value.parse::<u64>().expect("a number"))
        .sum()
}

proptest! {
    #[test]
    fn every_accepted_request_is_counted_exactly_once_at_any_time(steps in prop::collection::vec(step(), 0..80)) {
        let (metrics, mut requests) = (Metrics::default(), Vec::<(usize, RunningRequest)>::new());
        let mut ended: BTreeMap<(usize, &str), u64> = BTreeMap::new();
        let (mut accepted, mut disconnected, mut forwards, mut reloads) = (0, 0, 0, [0, 0]);
        for step in steps {
            match step {
                Step::Start(class) => {
                    accepted += 1;
                    requests.push((class, metrics.start_request(CLASSES[class])));
                }
                Step::Finish(index, disposition) if index < requests.len() => {
                    let (class, request) = requests.swap_remove(index);
                    request.finish(disposition);
                    let label = match disposition {
                        Disposition::Succeeded => "succeeded",
                        Disposition::Declined => "declined",
                        Disposition::Aborted => "aborted",
                    };
                    *ended.entry((class, label)).or_default() += 1;
                }
                Step::Disconnect(index) if index < requests.len() => {
                    disconnected += 1;
                    drop(requests.swap_remove(index));
                }
                Step::Forward(count) => {
                    forwards += count as u64;
                    metrics.count_forwards(count);
                }
                Step::Reload(is_applied) => {
                    reloads[usize::from(is_applied)] += 1;
                    metrics.count_reload(is_applied);
                }
                Step::Finish(..) | Step::Disconnect(_) => {}
            }
            let text = metrics.encode(0).expect("the metrics are encoded");
            let results = sum(&text, "dispatcher_results_total");
            prop_assert_eq!(results, ended.values().sum::<u64>());
            prop_assert_eq!(sum(&text, "dispatcher_left_total"), disconnected);
            prop_assert_eq!(sum(&text, "dispatcher_outstanding"), requests.len() as u64);
            prop_assert_eq!(results + disconnected + requests.len() as u64, accepted);
            prop_assert_eq!(sum(&text, "dispatcher_forwards_total"), forwards);
            prop_assert_eq!(sum(&text, "dispatcher_sighup_rejected_total"), reloads[0]);
            prop_assert_eq!(sum(&text, "dispatcher_sighup_applied_total"), reloads[1]);
            for ((class, label), count) in &ended {
                let class = CLASSES[*class].replace('"', "\\\"");
                let line = format!(r#"dispatcher_results_total{{service="{class}",disposition="{label}"}} {count}"#);
                prop_assert!(text.lines().any(|text_line| text_line == line), "{} in {}", line, text);
            }
        }
    }
}
