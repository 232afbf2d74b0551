//! Discovery answers each call late. What it has to tell counts as told 7 s later; from then on a draining engine may get
//! nothing new after the grace of the settings.

use super::{Breaks, CannotRun, Context};
use crate::change_log::ChangeLog;
use crate::dispatcher::{Folder, Process, free_address, wait_until};
use crate::pg::{self, Session};
use crate::resp_engine::Engine;
use crate::settings::{Variant, drain_event, first_event, settings};
use std::thread;
use std::time::{Duration, Instant};

/// How late discovery answers a call.
const WAIT: Duration = Duration::from_millis(2500);
/// After this an event counts as told, whether or not it has arrived.
const TOLD_AFTER_MS: f64 = 7000.0;
/// The grace of the settings, and its slack for sockets.
const GRACE_MS: f64 = 500.0 + 50.0;

pub fn run(context: &Context) -> Result<Breaks, CannotRun> {
    let record = &context.record;
    let folder = Folder::create("slow-discovery");
    let engines: Vec<Engine> = ["s-00000001", "s-00000002", "s-00000003"]
        .map(|uid| Engine::start(uid, record))
        .to_vec();
    let listed: Vec<(&str, String)> = engines
        .iter()
        .map(|engine| (engine.name.as_str(), engine.address.to_string()))
        .collect();
    let wait = if context.trouble {
        WAIT
    } else {
        Duration::ZERO
    };
    let log = ChangeLog::start_slow(first_event(&listed), wait);
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
    let mut session = Session::open(listen).map_err(|error| error.to_string())?;
    let (started_at, mut drained_ms) = (Instant::now(), None);
    let draining = &engines[0];
    let mut number = 0;
    while started_at.elapsed() < Duration::from_secs(15) {
        if drained_ms.is_none() && started_at.elapsed() > Duration::from_secs(3) {
            log.add(drain_event(
                2,
                &draining.name,
                &draining.address.to_string(),
            ));
            drained_ms = Some(record.line(&format!(
                "change log: event 2: {} is draining",
                draining.name
            )));
        }
        number += 1;
        let group = number % 12;
        let text = format!(
            "/* verb=lookup,txn={number:016x},limit=2400,team=fraser-cpa,cpu=60.0,memory=16 */ SELECT day, amount, note FROM sales_{group}.entries WHERE tag = 'work-20'"
        );
        session.query(&text).map_err(|error| error.to_string())?;
        let answer = session.answer(Duration::from_secs(3));
        record.line(&format!("client: {number:016x} has its answer: {answer:?}"));
        thread::sleep(Duration::from_millis(60));
    }
    let told_ms = drained_ms.ok_or("the engine was not drained")? + TOLD_AFTER_MS;
    record.line_at(told_ms, "the drain counts as told from here on");
    let attempts = draining.attempts();
    if attempts.is_empty() {
        return Err("the engine got nothing before its drain either".to_string());
    }
    let late = attempts
        .iter()
        .filter(|attempt| attempt.began_ms > told_ms + GRACE_MS)
        .count();
    if late > 0 {
        let last_ms = attempts
            .last()
            .map_or(0.0, |attempt| attempt.began_ms - told_ms);
        return Ok(vec![format!(
            "{} got {late} requests later than {GRACE_MS} ms after its drain counts as told, the last {last_ms:.0} ms after",
            draining.name
        )]);
    }
    Ok(Vec::new())
}
