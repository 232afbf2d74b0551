//! A lame duck closes connections on which half a request has been read; the request gets no answer.

use crate::Verdict;
use crate::stand_ins::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLIENTS: u64 = 200;
/// Between the two halves of a message of a client that writes slowly.
const PAUSE: Duration = ms(250);
/// A request that crosses the close of a connection within this time is sent again by its client.
const CROSSING_MS: u64 = 50;

/// A request without an answer; times in milliseconds of the record.
#[derive(Debug)]
struct Unanswered {
    id: String,
    first_half_at: u64,
    closed_at: Option<u64>,
    second_half_at: u64,
}

/// Asks once, rests, and then writes a second request in two halves.
fn client(listen: SocketAddr, number: u64, record: &Record) -> std::io::Result<Option<Unanswered>> {
    let mut client = Client::connect(listen)?;
    let answer = client.query(&statement("lookup", 2500, "", &new_id()), ms(3000));
    record.line(&format!("client {number}: {answer:?}"));
    let mut byte = [0];
    // Rests until its time; a client whose connection is closed meanwhile asks elsewhere.
    client
        .stream
        .set_read_timeout(Some(ms(500 + number * 1400 / CLIENTS)))?;
    if client.stream.peek(&mut byte).is_ok() {
        record.line(&format!(
            "client {number}: its resting connection was closed"
        ));
        return Ok(None);
    }
    let id = new_id();
    let message = query_message(&statement("lookup", 2500, "", &id));
    let (first, second) = message.split_at(message.len() / 2);
    let first_half_at = record.now_ms();
    client.stream.write_all(first)?;
    client.stream.set_read_timeout(Some(PAUSE))?;
    let is_closed = matches!(client.stream.peek(&mut byte), Ok(0));
    let closed_at = is_closed.then(|| record.now_ms());
    let waited = ms(record.now_ms() - first_half_at);
    thread::sleep(PAUSE.saturating_sub(waited));
    let second_half_at = record.now_ms();
    let written = client.stream.write_all(second);
    let answer = client.read_answer(ms(3000));
    record.line(&format!(
        "client {number}: {id} first half at {first_half_at}, closed at {closed_at:?}, second half at {second_half_at} ({written:?}): {answer:?}"
    ));
    let is_unanswered = matches!(answer, Answer::Closed(_) | Answer::Late);
    Ok(is_unanswered.then_some(Unanswered {
        id,
        first_half_at,
        closed_at,
        second_half_at,
    }))
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let site = Plans::small().start(record)?;
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, unanswered, listen) = (record.clone(), unanswered.clone(), site.listen);
            thread::spawn(move || match client(listen, number, &record) {
                Ok(lost) => unanswered.lock().unwrap().extend(lost),
                Err(error) => record.line(&format!("client {number}: {error}")),
            })
        })
        .collect();
    thread::sleep(ms(400));
    if has_trouble {
        record.line(&format!("LAMEDUCK: {:?}", site.dispatcher.call("LAMEDUCK")));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let unanswered = unanswered.lock().unwrap();
    // Half of it had come well before the close, and the close well before the other half: nothing crossed.
    let lost: Vec<&str> = unanswered
        .iter()
        .filter(|request| match request.closed_at {
            Some(closed_at) => {
                closed_at > request.first_half_at + CROSSING_MS
                    && request.second_half_at > closed_at + CROSSING_MS
            }
            None => false,
        })
        .map(|request| request.id.as_str())
        .collect();
    Ok((
        lost.is_empty(),
        format!(
            "requests that were half read when their connection was closed, and got no answer: {} {lost:?}; unanswered in all: {}",
            lost.len(),
            unanswered.len()
        ),
    ))
}
