//! Whatever happens in whatever order: what was taken is what has ended, has left or is outstanding.

use proptest::prelude::*;
use sedgebeam_operation::{Disposition, Metrics, RunningRequest};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
enum Step {
    Take(usize),
    End(usize, Disposition),
    Leave(usize),
    Forward(usize),
    Reload(bool),
}

const CLASSES: [&str; 3] = ["lookup", "a \"quoted\" class", "journal-load"];

fn step() -> impl Strategy<Value = Step> {
    let how = prop_oneof![
        Just(Disposition::Succeeded),
        Just(Disposition::Declined),
        Just(Disposition::Aborted),
    ];
    prop_oneof![
        4 => (0usize..3).prop_map(Step::Take),
        3 => (0usize..9, how).prop_map(|(which, how)| Step::End(which, how)),
        1 => (0usize..9).prop_map(Step::Leave),
        1 => (0usize..4).prop_map(Step::Forward),
        1 => any::<bool>().prop_map(Step::Reload),
    ]
}

/// The sum of all figures whose name begins so.
fn sum(text: &str, name: &str) -> u64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.map(|line| line.rsplit_once(' ').expect("a value").1);
    values
        .map(|value| value.parse::<u64>().expect("a number"))
        .sum()
}

proptest! {
    #[test]
    fn all_that_was_taken_is_accounted_for_at_any_moment(steps in prop::collection::vec(step(), 0..80)) {
        let (figures, mut open) = (Metrics::default(), Vec::<(usize, RunningRequest)>::new());
        let mut ended: BTreeMap<(usize, &str), u64> = BTreeMap::new();
        let (mut taken, mut left, mut forwards, mut reloads) = (0, 0, 0, [0, 0]);
        for step in steps {
            match step {
                Step::Take(class) => {
                    taken += 1;
                    open.push((class, figures.start_request(CLASSES[class])));
                }
                Step::End(which, how) if which < open.len() => {
                    let (class, running) = open.swap_remove(which);
                    running.finish(how);
                    let word = match how {
                        Disposition::Succeeded => "succeeded",
                        Disposition::Declined => "declined",
                        Disposition::Aborted => "aborted",
                    };
                    *ended.entry((class, word)).or_default() += 1;
                }
                Step::Leave(which) if which < open.len() => {
                    left += 1;
                    drop(open.swap_remove(which));
                }
                Step::Forward(count) => {
                    forwards += count as u64;
                    figures.count_forwards(count);
                }
                Step::Reload(applied) => {
                    reloads[usize::from(applied)] += 1;
                    figures.count_reload(applied);
                }
                Step::End(..) | Step::Leave(_) => {}
            }
            let text = figures.encode(0).expect("is written");
            let results = sum(&text, "dispatcher_results_total");
            prop_assert_eq!(results, ended.values().sum::<u64>());
            prop_assert_eq!(sum(&text, "dispatcher_left_total"), left);
            prop_assert_eq!(sum(&text, "dispatcher_outstanding"), open.len() as u64);
            prop_assert_eq!(results + left + open.len() as u64, taken);
            prop_assert_eq!(sum(&text, "dispatcher_forwards_total"), forwards);
            prop_assert_eq!(sum(&text, "dispatcher_sighup_rejected_total"), reloads[0]);
            prop_assert_eq!(sum(&text, "dispatcher_sighup_applied_total"), reloads[1]);
            for ((class, word), count) in &ended {
                let class = CLASSES[*class].replace('"', "\\\"");
                let line = format!(r#"dispatcher_results_total{{service="{class}",disposition="{word}"}} {count}"#);
                prop_assert!(text.lines().any(|told| told == line), "{} in {}", line, text);
            }
        }
    }
}
