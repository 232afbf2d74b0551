//! Clients that send unsupported messages between short queries make the dispatcher grow beyond its memory limit.

use crate::Verdict;
use crate::stand_ins::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

const MEMORY_MB: u64 = 192;
const CLIENTS: usize = 100;
/// Pairs of a query and an unsupported message that a client sends ahead of the answer to its first query.
const PAIRS: usize = 31;
/// Shorter than the longest message that the dispatcher takes with these limits.
const UNSUPPORTED_BYTES: usize = 100_000;

fn query() -> Vec<u8> {
    query_message(&statement("lookup", 2500, "", &new_id()))
}

/// A message of the extended query protocol (Parse), which is not served.
fn unsupported(length: usize) -> Vec<u8> {
    let mut message = vec![b'P'];
    message.extend_from_slice(&(length as u32 + 4).to_be_bytes());
    message.resize(message.len() + length, b'x');
    message
}

fn bad_client(listen: SocketAddr, length: usize) -> std::io::Result<()> {
    let mut client = Client::connect(listen)?;
    client.stream.set_write_timeout(Some(ms(3000)))?;
    client.stream.write_all(&query())?;
    thread::sleep(ms(30));
    for _ in 0..PAIRS {
        client
            .stream
            .write_all(&[query(), unsupported(length)].concat())?;
    }
    client.read_answer(ms(4000));
    Ok(())
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let mut site = Plans {
        memory_mb: MEMORY_MB,
        behaviour: takes(2400),
        engines: 8,
        ..Plans::small()
    }
    .start(record)?;
    let listen = site.listen;
    // Without the trouble the same clients send as many messages, short ones.
    let length = if has_trouble { UNSUPPORTED_BYTES } else { 100 };
    let threads: Vec<_> = (0..CLIENTS)
        .map(|_| {
            thread::spawn(move || {
                for _ in 0..3 {
                    let _ = bad_client(listen, length);
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
