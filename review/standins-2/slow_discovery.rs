//! A change log that takes 2.5 s to answer a call is never heard: an engine that drains goes on getting work.

use crate::Verdict;
use crate::stand_ins::*;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

/// What the change log has to tell counts as told after this time, whether it arrived or not.
const TOLD_AFTER_MS: u64 = 7000;
/// `rules.drain_grace`, and the 50 ms by which each limit is longer on sockets.
const GRACE_MS: u64 = 500 + 50;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let site = Plans {
        log_delay: if has_trouble { ms(2500) } else { ms(0) },
        ..Plans::small()
    }
    .start(record)?;
    let listen = site.listen;
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let Ok(mut client) = Client::connect(listen) else {
                    return;
                };
                for _ in 0..140 {
                    let id = new_id();
                    let text = statement("lookup", 2500, "", &id);
                    // Each client reads another group of tables.
                    let text = text.replace("sales_17", &format!("sales_{number}"));
                    let answer = client.query(&text, ms(3000));
                    if !matches!(answer, Answer::Served(_)) {
                        record.line(&format!("client {number}: {id} {answer:?}"));
                    }
                    thread::sleep(ms(40));
                }
            })
        })
        .collect();
    thread::sleep(ms(3000));
    for (index, drained) in site.engines[..2].iter().enumerate() {
        let seq = 2 + index as u64;
        site.log
            .publish(seq, event(seq, false, &[target(drained, "draining")]));
        drained.is_draining.store(true, Ordering::SeqCst);
    }
    let binds_at = record.now_ms() + TOLD_AFTER_MS + GRACE_MS;
    record.line(&format!("the drain binds from {binds_at} on"));
    for client in clients {
        let _ = client.join();
    }
    let ended_at = record.now_ms();
    let late: usize = site.engines[..2]
        .iter()
        .map(|drained| {
            let seen = drained.seen.lock().unwrap();
            seen.iter().filter(|seen| seen.came_at > binds_at).count()
        })
        .sum();
    Ok((
        late == 0,
        format!("{late} attempts came to draining engines from {binds_at} to {ended_at} ms"),
    ))
}
