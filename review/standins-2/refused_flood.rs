//! Clients that send the same again as soon as it is turned away make the dispatcher grow beyond its memory limit.

use crate::Verdict;
use crate::stand_ins::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const MEMORY_MB: u64 = 32;
const BAD_CLIENTS: usize = 300;
const USUAL_CLIENTS: usize = 12;
const DURATION: Duration = ms(40_000);

/// One client; a bad one asks again at once, a usual one after a pause. Counts refusals, and answers that are not whole.
fn client(
    listen: std::net::SocketAddr,
    pause: Duration,
    stop: Arc<AtomicBool>,
    refused: Arc<AtomicU64>,
    closed: Arc<AtomicU64>,
) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut client) = Client::connect(listen) else {
            thread::sleep(ms(100));
            continue;
        };
        while !stop.load(Ordering::SeqCst) {
            match client.query(&statement("report", 25_000, "", &new_id()), ms(26_000)) {
                Answer::Refused(_) => drop(refused.fetch_add(1, Ordering::SeqCst)),
                Answer::Closed(_) | Answer::Late => {
                    closed.fetch_add(1, Ordering::SeqCst);
                    break;
                }
                _ => {}
            }
            thread::sleep(pause);
        }
    }
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let mut site = Plans {
        memory_mb: MEMORY_MB,
        behaviour: takes(3000),
        ..Plans::small()
    }
    .start(record)?;
    let (stop, refused) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let closed = Arc::new(AtomicU64::new(0));
    let (closed_usual, closed_bad) = (closed.clone(), Arc::new(AtomicU64::new(0)));
    let bad = if has_trouble { BAD_CLIENTS } else { 0 };
    let mut threads = Vec::new();
    for number in 0..USUAL_CLIENTS + bad {
        let (pause, closed) = match number < USUAL_CLIENTS {
            true => (ms(500), closed_usual.clone()),
            false => (Duration::ZERO, closed_bad.clone()),
        };
        let (listen, stop, refused) = (site.listen, stop.clone(), refused.clone());
        threads.push(thread::spawn(move || {
            client(listen, pause, stop, refused, closed)
        }));
    }
    let (mut peak_kb, mut is_killed) = (0, false);
    for step in 0..DURATION.as_millis() / 100 {
        thread::sleep(ms(100));
        if let Some(status) = site.dispatcher.has_ended() {
            return Ok((false, format!("the dispatcher ended by itself: {status}")));
        }
        // The private memory alone: that of the program's own file is left out.
        let used_kb = site.dispatcher.status_kb("RssAnon").unwrap_or(0);
        peak_kb = peak_kb.max(used_kb);
        if step % 10 == 0 {
            let refused = refused.load(Ordering::SeqCst);
            record.line(&format!("memory {used_kb} kB, refused so far {refused}"));
        }
        if used_kb > MEMORY_MB * 1024 {
            record.line(&format!(
                "memory {used_kb} kB: over the limit, so the platform kills it"
            ));
            site.dispatcher.kill();
            is_killed = true;
            thread::sleep(ms(500));
            break;
        }
    }
    let lost = closed.load(Ordering::SeqCst);
    stop.store(true, Ordering::SeqCst);
    site.dispatcher.kill();
    for thread in threads {
        let _ = thread.join();
    }
    let refused = refused.load(Ordering::SeqCst);
    let limit_kb = MEMORY_MB * 1024;
    Ok((
        !is_killed,
        format!(
            "peak of private memory {peak_kb} kB of {limit_kb} kB after {refused} refusals; requests of usual clients lost with the process: {lost}"
        ),
    ))
}
