//! One bad client sends a statement of nested comments that never end; the usual clients' requests keep their final answer.

use super::{Breaks, CannotRun, Context};
use crate::change_log::ChangeLog;
use crate::dispatcher::{Folder, Process, free_address, wait_until};
use crate::pg::{self, Answer, Session};
use crate::record::unix_ms;
use crate::resp_engine::Engine;
use crate::settings::{Variant, first_event, settings};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the usual clients wait.
const LIMIT_MS: u64 = 1000;
/// A final answer later than this after the client's time is lost, with the slack for sockets.
const LOST_AFTER_MS: f64 = 500.0 + 50.0;
const CLIENTS: u64 = 4;
/// The bytes of the bad client's statement.
const STATEMENT_BYTES: usize = 262_000;

pub fn run(context: &Context) -> Result<Breaks, CannotRun> {
    let record = &context.record;
    let mut folder = Folder::create("nested-comments");
    // The limits of the example on the deployment page.
    (folder.sockets, folder.memory_mb) = (4096, 2048);
    let engines: Vec<Engine> = ["s-00000001", "s-00000002"]
        .map(|uid| Engine::start(uid, record))
        .to_vec();
    let listed: Vec<(&str, String)> = engines
        .iter()
        .map(|engine| (engine.name.as_str(), engine.address.to_string()))
        .collect();
    let log = ChangeLog::start(first_event(&listed));
    let listen = free_address();
    folder.configure(
        listen,
        None,
        log.address,
        &log.known(),
        &settings(Variant::default()),
    );
    let _dispatcher = Process::dispatcher(
        "dispatcher",
        &context.root,
        &folder,
        listen,
        None,
        None,
        record,
    );
    if !wait_until(Duration::from_secs(10), || pg::is_ready(listen)) {
        return Err("the dispatcher does not become ready".to_string());
    }
    let lost = Arc::new(Mutex::new(Vec::new()));
    let started_at = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, lost) = (record.clone(), lost.clone());
            thread::spawn(move || usual_client(client, listen, started_at, &record, &lost))
        })
        .collect();
    thread::sleep(Duration::from_millis(1500));
    if context.trouble {
        let mut session = Session::open(listen).map_err(|error| error.to_string())?;
        let fields =
            format!("/* verb=lookup,txn=00000000000000bd,limit={LIMIT_MS},team=fraser-cpa */ ");
        let comments = "/* ".repeat((STATEMENT_BYTES - fields.len()) / 3);
        session
            .query(&format!("{fields}{comments}*/"))
            .map_err(|error| error.to_string())?;
        record.line(&format!(
            "bad client: sends a statement of {STATEMENT_BYTES} bytes: {fields}/* /* /* ... */"
        ));
        let answer = session.answer(Duration::from_secs(60));
        record.line(&format!("bad client: has its answer: {answer:?}"));
    }
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    let lost = lost.lock().expect("no client panicked").clone();
    Ok(lost)
}

/// Sends lookups one by one for some seconds, and notes those that are lost.
fn usual_client(
    client: u64,
    listen: std::net::SocketAddr,
    started_at: Instant,
    record: &crate::record::Record,
    lost: &Mutex<Vec<String>>,
) {
    let mut session = Session::open(listen).expect("a session");
    let mut number = 0;
    while started_at.elapsed() < Duration::from_secs(6) {
        number += 1;
        let txn = format!("{:016x}", 0xa000 + client * 0x1_0000 + number);
        let text = format!(
            "/* verb=lookup,txn={txn},limit={LIMIT_MS},team=fraser-cpa,cpu=60.0,memory=16 */ SELECT day, amount, note FROM sales_{}.entries WHERE tag = 'work-20'",
            number % 9
        );
        session.query(&text).expect("the request is written");
        let sent_ms = unix_ms();
        let answer = session.answer(Duration::from_secs(60));
        let answered_ms = record.line(&format!(
            "client {client}: {txn} has its answer: {answer:?}"
        ));
        let late_ms = answered_ms - sent_ms - LIMIT_MS as f64;
        if late_ms > LOST_AFTER_MS || matches!(answer, Answer::Lost(_) | Answer::None) {
            let mut lost = lost.lock().expect("no client panicked");
            lost.push(format!(
                "{txn} had its answer ({answer:?}) {late_ms:.0} ms after its time"
            ));
        }
        thread::sleep(Duration::from_millis(100));
    }
}
