//! Clients that send several large statements at once make the dispatcher grow beyond its memory limit.

use crate::Verdict;
use crate::stand_ins::*;
use std::io::Write;
use std::sync::Arc;
use std::thread;

const MEMORY_MB: u64 = 32;
const CLIENTS: usize = 500;
/// Each message is shorter than the longest that the dispatcher takes with these limits.
const STATEMENT_BYTES: usize = 17_000;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let mut site = Plans {
        memory_mb: MEMORY_MB,
        behaviour: takes(4000),
        engines: 8,
        ..Plans::small()
    }
    .start(record)?;
    let listen = site.listen;
    // Without the trouble the same clients send statements of the usual length.
    let padding = if has_trouble { STATEMENT_BYTES } else { 0 };
    let threads: Vec<_> = (0..CLIENTS)
        .map(|_| {
            thread::spawn(move || {
                for _ in 0..3 {
                    let Ok(mut client) = Client::connect(listen) else {
                        continue;
                    };
                    let query = || {
                        let text = statement("lookup", 2500, "", &new_id());
                        query_message(&format!("{text} -- {}", "x".repeat(padding)))
                    };
                    let _ = client.stream.set_write_timeout(Some(ms(2000)));
                    // Three at once; of the third the end is still on its way.
                    let mut messages = [query(), query()].concat();
                    let third = query();
                    messages.extend_from_slice(&third[..third.len() - 10]);
                    let _ = client.stream.write_all(&messages);
                    let _ = client.read_answer(ms(3000));
                }
            })
        })
        .collect();
    let (mut peak_kb, mut is_killed) = (0, false);
    for step in 0..400 {
        thread::sleep(ms(20));
        if let Some(status) = site.dispatcher.has_ended() {
            return Ok((false, format!("the dispatcher ended by itself: {status}")));
        }
        // The private memory alone: that of the program's own file is left out.
        let used_kb = site.dispatcher.status_kb("RssAnon").unwrap_or(0);
        peak_kb = peak_kb.max(used_kb);
        if step % 10 == 0 {
            record.line(&format!("memory {used_kb} kB"));
        }
        if used_kb > MEMORY_MB * 1024 {
            record.line(&format!(
                "memory {used_kb} kB: over the limit, so the platform kills it"
            ));
            is_killed = true;
            break;
        }
    }
    site.dispatcher.kill();
    for thread in threads {
        let _ = thread.join();
    }
    let limit_kb = MEMORY_MB * 1024;
    Ok((
        !is_killed,
        format!("peak of private memory {peak_kb} kB of {limit_kb} kB"),
    ))
}
