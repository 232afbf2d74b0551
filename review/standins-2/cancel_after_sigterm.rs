//! After SIGTERM a cancel finds nobody who listens; the cancelled load begins all the same.

use crate::Verdict;
use crate::stand_ins::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;

/// An attempt that begins later than this after its client has cancelled is a break, and so with the 50 ms of sockets.
const ALLOWED_MS: u64 = 100 + 50;
const FIRST_LOAD_MS: u64 = 2200;

/// Sends a CancelRequest on a new connection; the error if that is not possible.
fn cancel(listen: SocketAddr, key: &[u8]) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&listen, ms(400))?;
    let mut message = 16u32.to_be_bytes().to_vec();
    message.extend_from_slice(&80_877_102u32.to_be_bytes());
    message.extend_from_slice(key);
    stream.write_all(&message)
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let site = Plans {
        engines: 2,
        behaviour: takes(FIRST_LOAD_MS),
        ..Plans::small()
    }
    .start(record)?;
    let listen = site.listen;
    let mut first = Client::connect(listen)?;
    let first_id = new_id();
    let started_at = record.now_ms();
    first.stream.write_all(&query_message(&statement(
        "journal-load",
        20_000,
        "",
        &first_id,
    )))?;
    thread::sleep(ms(100));
    // It reads the same group of tables, so it waits until the first load has ended.
    let mut second = Client::connect(listen)?;
    let id = new_id();
    second
        .stream
        .write_all(&query_message(&statement("journal-load", 20_000, "", &id)))?;
    record.line(&format!("the second client asks for {id}"));
    thread::sleep(ms(300));
    if has_trouble {
        record.line("SIGTERM");
        site.dispatcher.signal("TERM");
    }
    // A quarter of a second before the first load ends, the second client stops waiting.
    thread::sleep(ms(started_at + FIRST_LOAD_MS - 250).saturating_sub(ms(record.now_ms())));
    let cancelled_at = record.now_ms();
    let result = cancel(listen, &second.key);
    record.line(&format!("the second client cancels {id}: {result:?}"));
    thread::sleep(ms(500));
    drop(second);
    record.line("the second client closes its session");
    let answer = first.read_answer(ms(4000));
    record.line(&format!("the first client: {answer:?}"));
    let mut begun: Vec<u64> = Vec::new();
    for engine in &site.engines {
        let seen = engine.seen.lock().unwrap();
        begun.extend(
            seen.iter()
                .filter(|seen| seen.id == id)
                .map(|seen| seen.came_at),
        );
    }
    if begun.iter().any(|at| *at < cancelled_at) {
        return Err(std::io::Error::other("the second load did not wait"));
    }
    let late = begun.iter().find(|at| **at > cancelled_at + ALLOWED_MS);
    Ok((
        late.is_none(),
        format!(
            "the load was cancelled at {cancelled_at} ms ({result:?}) and came to engines at {begun:?} ms"
        ),
    ))
}
