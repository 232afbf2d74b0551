//! A client cancels its waiting load while an upgrade's old process ends: the load must not begin later than 0.1 s after.

use super::upgrade::Platform;
use super::{Breaks, CannotRun, Context};
use crate::pg::{self, Session};
use crate::settings::Variant;
use std::thread;
use std::time::Duration;

/// An attempt may begin this long after the client has cancelled, by the page and its slack for sockets.
const LIMIT_MS: f64 = 100.0 + 50.0;

pub fn run(context: &Context) -> Result<Breaks, CannotRun> {
    let record = &context.record;
    let mut platform = Platform::start(context, "cancel", Variant::default())?;
    let address = platform.address;
    let statement = |txn: &str, work: u64| {
        format!(
            "/* verb=journal-load,txn={txn},limit=20000,team=fraser-cpa,cpu=2400.0,memory=96 */ INSERT INTO sales_17.entries SELECT day, amount, note FROM staging.batch WHERE tag = 'work-{work}'"
        )
    };
    let open = || Session::open(address).map_err(|error| error.to_string());
    let (mut first, mut second) = (open()?, open()?);
    for (session, text) in [
        (&mut first, statement("00000000000000b1", 2200)),
        (&mut second, statement("00000000000000b2", 150)),
    ] {
        record.line(&format!("client: sends {text}"));
        session.query(&text).map_err(|error| error.to_string())?;
        thread::sleep(Duration::from_millis(50));
    }
    let attempts = || -> Vec<_> {
        platform
            .engines
            .iter()
            .flat_map(|engine| engine.attempts())
            .collect()
    };
    let began_ms = |txn: &str| {
        attempts()
            .iter()
            .find(|attempt| attempt.request == txn)
            .map(|attempt| attempt.began_ms)
    };
    let first_began_ms = began_ms("00000000000000b1").ok_or("the first load has not begun")?;
    if began_ms("00000000000000b2").is_some() {
        return Err("the second load does not wait for the first".to_string());
    }
    if context.trouble {
        platform.upgrade(context)?;
    }
    // The second client stops waiting a quarter of a second before the first load ends.
    let elapsed = crate::record::unix_ms() - first_began_ms;
    thread::sleep(Duration::from_millis((1950.0 - elapsed).max(0.0) as u64));
    if crate::record::unix_ms() - first_began_ms > 2050.0 {
        return Err("the upgrade took too long: the first load is about to end".to_string());
    }
    let cancel = pg::cancel(address, second.key).map_err(|error| error.to_string())?;
    let cancelled_ms = record.line("client: 00000000000000b2 is cancelled on a new connection");
    let second_record = record.clone();
    let closing = thread::spawn(move || {
        let answer = second.answer(Duration::from_millis(500));
        second_record.line(&format!(
            "client: 00000000000000b2 until its session is closed: {answer:?}"
        ));
        drop((second, cancel));
    });
    let answer = first.answer(Duration::from_secs(21));
    record.line(&format!(
        "client: 00000000000000b1 has its answer: {answer:?}"
    ));
    closing.join().map_err(|_| "a client panicked")?;
    thread::sleep(Duration::from_millis(500));
    let attempts: Vec<_> = platform
        .engines
        .iter()
        .flat_map(|engine| engine.attempts())
        .collect();
    if context.trouble {
        platform.wait_for_old();
    }
    let late = attempts.iter().filter(|attempt| {
        attempt.request == "00000000000000b2" && attempt.began_ms > cancelled_ms + LIMIT_MS
    });
    let breaks = late.map(|attempt| {
        let delay = attempt.began_ms - cancelled_ms;
        format!(
            "an attempt of {} began {delay:.0} ms after its client had cancelled it",
            attempt.request
        )
    });
    Ok(breaks.collect())
}
