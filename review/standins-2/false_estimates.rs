//! Requests with a false estimate of their work push a cold engine over.

use crate::Verdict;
use crate::stand_ins::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

const WORK_MS: u64 = 80;
const BAD_CLIENTS: usize = 100;
const USUAL_CLIENTS: usize = 12;
// From the settings: cores, `rules.start_capacity`, `rules.warm_after`, `rules.fall_multiple` and `rules.overload_for`.
const CORES: f64 = 12.0;
const START_CAPACITY: f64 = 0.3;
const WARM_AFTER_MS: f64 = 14_000.0;
const FALL_MULTIPLE: f64 = 4.0;
const WINDOW_MS: u64 = 1000;

/// The most requests of mean work that a cold engine of this age bears in the window.
fn bears(age_ms: u64) -> f64 {
    let share = START_CAPACITY + (1.0 - START_CAPACITY) * (age_ms as f64 / WARM_AFTER_MS).min(1.0);
    let n = FALL_MULTIPLE * CORES * share * WINDOW_MS as f64 / WORK_MS as f64;
    let slack = if n < 30.0 {
        3.0 * n.sqrt() + 3.0
    } else {
        2.0 * n.sqrt() + 2.0
    };
    n + slack
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let site = Plans {
        engines: 2,
        behaviour: takes(WORK_MS),
        ..Plans::small()
    }
    .start(record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..BAD_CLIENTS + USUAL_CLIENTS)
        .map(|number| {
            let (listen, stop) = (site.listen, stop.clone());
            thread::spawn(move || {
                let Ok(mut client) = Client::connect(listen) else {
                    return;
                };
                while !stop.load(Ordering::SeqCst) {
                    let mut text = statement("lookup", 2500, "", &new_id());
                    text = text.replace("sales_17", &format!("sales_{number}"));
                    // Without the trouble the same clients tell the estimate as it is.
                    if has_trouble && number < BAD_CLIENTS {
                        text = text.replace("cpu=80.0", "cpu=0.001");
                    }
                    if matches!(client.query(&text, ms(3000)), Answer::Closed(_)) {
                        return;
                    }
                }
            })
        })
        .collect();
    thread::sleep(ms(4000));
    let cold = Engine::start("s-0badcafe", record, takes(WORK_MS))?;
    let boot_ms = unix_ms();
    let booted_at = record.now_ms();
    let entry = target(&cold, "up").replace("\"boot_ms\":0", &format!("\"boot_ms\":{boot_ms}"));
    site.log.publish(2, event(2, false, &[entry]));
    thread::sleep(ms(8000));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let came: Vec<u64> = cold
        .seen
        .lock()
        .unwrap()
        .iter()
        .map(|seen| seen.came_at)
        .collect();
    let mut worst: Option<(f64, u64, usize)> = None;
    for (first, from) in came.iter().enumerate() {
        let count = came[first..]
            .iter()
            .take_while(|at| **at < from + WINDOW_MS)
            .count();
        let age_ms = from + WINDOW_MS - booted_at;
        let share = count as f64 / bears(age_ms);
        if worst.is_none_or(|(worst, ..)| share > worst) {
            worst = Some((share, age_ms, count));
        }
    }
    let Some((share, age_ms, count)) = worst else {
        return Ok((true, "nothing came to the cold engine".to_string()));
    };
    let bears = bears(age_ms);
    Ok((
        share <= 1.0,
        format!(
            "{count} requests came to the cold engine in the second before its age of {age_ms} ms; it bears {bears:.0}"
        ),
    ))
}
