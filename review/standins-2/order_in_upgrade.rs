//! During an upgrade both processes run a request of the same key at the same time.

use crate::Verdict;
use crate::stand_ins::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

const KEY: &str = "rel-kd6b5sum7ecwe";
/// By how much each time limit is longer on sockets.
const SLACK_MS: u64 = 50;

fn load(listen: SocketAddr, name: &'static str, record: &Arc<Record>) -> JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        let id = new_id();
        let answer = match Client::connect(listen) {
            Ok(mut client) => {
                record.line(&format!("client {name}: {id} asks"));
                let text = statement("journal-load", 25_000, &format!(",item={KEY}"), &id);
                client.query(&text, ms(26_000))
            }
            Err(error) => Answer::Closed(error.to_string()),
        };
        record.line(&format!("client {name}: {id} {answer:?}"));
    })
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let socket = TcpListener::bind("127.0.0.1:0")?;
    let listen = socket.local_addr()?;
    let site = Plans {
        behaviour: takes(2800),
        load_keys: ",\"fifo_by_key\":true",
        passed_socket: Some(socket.try_clone()?),
        ..Plans::small()
    }
    .start(record)?;
    let first = load(listen, "a", record);
    thread::sleep(ms(200));
    let mut new_process = None;
    if has_trouble {
        let process = Dispatcher::start(&site.folder.0, listen, free_address()?, Some(&socket))?;
        process.wait_until_ready()?;
        record.line("the new process says yes: SIGTERM to the old one");
        site.dispatcher.signal("TERM");
        new_process = Some(process);
    }
    thread::sleep(ms(100));
    let second = load(listen, "b", record);
    let _ = (first.join(), second.join());
    drop(new_process);
    let mut ran: Vec<Seen> = Vec::new();
    for engine in &site.engines {
        ran.extend(engine.seen.lock().unwrap().iter().cloned());
    }
    ran.retain(|seen| seen.fields.get("obj").is_some_and(|key| key == KEY));
    ran.sort_by_key(|seen| seen.came_at);
    for seen in &ran {
        record.line(&format!("ran: {seen:?}"));
    }
    if ran.len() < 2 {
        return Err(std::io::Error::other("the two loads did not both run"));
    }
    let overlaps = ran.windows(2).any(|pair| {
        let is_other = pair[0].id != pair[1].id;
        is_other
            && pair[0]
                .ended_at
                .is_none_or(|ended_at| pair[1].came_at + SLACK_MS < ended_at)
    });
    let from_to = |seen: &Seen| format!("{}..{:?}", seen.came_at, seen.ended_at);
    Ok((
        !overlaps,
        format!(
            "loads of one key ran at {} and {} ms",
            from_to(&ran[0]),
            from_to(&ran[1])
        ),
    ))
}
