//! New settings list the kinds of engine in another order while a load waits: it may still run on its own kind alone.

use super::{Breaks, CannotRun, Context};
use crate::change_log::ChangeLog;
use crate::dispatcher::{Folder, Process, free_address, wait_until};
use crate::pg::{self, Session};
use crate::resp_engine::Engine;
use crate::settings::{Variant, first_event_of_kinds, settings};
use std::thread;
use std::time::Duration;

pub fn run(context: &Context) -> Result<Breaks, CannotRun> {
    let record = &context.record;
    let folder = Folder::create("placement");
    let (std, big) = (
        Engine::start("s-00000001", record),
        Engine::start("s-00000002", record),
    );
    let listed = [(&std, "std-12"), (&big, "big-24")];
    let listed =
        listed.map(|(engine, kind)| (engine.name.as_str(), engine.address.to_string(), kind));
    let log = ChangeLog::start(first_event_of_kinds(&listed));
    let listen = free_address();
    let variant = Variant {
        two_kinds: true,
        ..Variant::default()
    };
    folder.configure(listen, None, log.address, &log.known(), &settings(variant));
    let dispatcher = Process::dispatcher(
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
    thread::sleep(Duration::from_millis(1200));
    let mut sessions = Vec::new();
    for (txn, work) in [("00000000000000c1", 2000), ("00000000000000c2", 300)] {
        let text = format!(
            "/* verb=journal-load,txn={txn},limit=20000,team=fraser-cpa,cpu=2400.0,memory=96 */ INSERT INTO sales_17.entries SELECT day, amount, note FROM staging.batch WHERE tag = 'work-{work}'"
        );
        let mut session = Session::open(listen).map_err(|error| error.to_string())?;
        record.line(&format!("client: sends {text}"));
        session.query(&text).map_err(|error| error.to_string())?;
        sessions.push((txn, session));
        thread::sleep(Duration::from_millis(100));
    }
    if context.trouble {
        let variant = Variant {
            kinds_reversed: true,
            ..variant
        };
        folder.configure(listen, None, log.address, &log.known(), &settings(variant));
        dispatcher.signal("HUP");
    }
    for (txn, mut session) in sessions {
        let answer = session.answer(Duration::from_secs(21));
        record.line(&format!("client: {txn} has its answer: {answer:?}"));
    }
    let misplaced = big.attempts();
    Ok(misplaced
        .iter()
        .map(|attempt| format!("{} ran on the kind big-24", attempt.request))
        .collect())
}
