//! Two postings of one key, taken before and after the start of an upgrade's second process: they must run one at a time.

use super::upgrade::Platform;
use super::{Breaks, CannotRun, Context};
use crate::pg::Session;
use crate::settings::Variant;
use std::thread;
use std::time::Duration;

pub fn run(context: &Context) -> Result<Breaks, CannotRun> {
    let record = &context.record;
    let variant = Variant {
        ordered_class: true,
        ..Variant::default()
    };
    let mut platform = Platform::start(context, "key-order", variant)?;
    let address = platform.address;
    let statement = |txn: &str, work: u64| {
        format!(
            "/* verb=posting,txn={txn},limit=20000,team=fraser-cpa,item=ledger-4711,cpu=600.0,memory=96 */ INSERT INTO sales_17.entries SELECT day, amount, note FROM staging.batch WHERE tag = 'work-{work}'"
        )
    };
    let send = |txn: &str, work: u64| -> Result<thread::JoinHandle<()>, CannotRun> {
        let mut session = Session::open(address).map_err(|error| error.to_string())?;
        let text = statement(txn, work);
        record.line(&format!("client: sends {text}"));
        session.query(&text).map_err(|error| error.to_string())?;
        let (record, txn) = (record.clone(), txn.to_string());
        Ok(thread::spawn(move || {
            let answer = session.answer(Duration::from_secs(21));
            record.line(&format!("client: {txn} has its answer: {answer:?}"));
        }))
    };
    let first = send("00000000000000a1", 4000)?;
    thread::sleep(Duration::from_millis(300));
    if context.trouble {
        platform.upgrade(context)?;
    }
    thread::sleep(Duration::from_millis(300));
    let second = send("00000000000000a2", 600)?;
    first.join().map_err(|_| "a client panicked")?;
    second.join().map_err(|_| "a client panicked")?;
    if context.trouble {
        platform.wait_for_old();
    }
    let attempts: Vec<_> = platform
        .engines
        .iter()
        .flat_map(|engine| engine.attempts())
        .collect();
    let mut breaks = Vec::new();
    for later in &attempts {
        for earlier in attempts
            .iter()
            .filter(|earlier| earlier.request < later.request)
        {
            let is_out = earlier.ended_ms.is_none_or(|ended| later.began_ms < ended);
            if is_out && earlier.fields.get("obj") == later.fields.get("obj") {
                breaks.push(format!(
                    "{} began while the earlier {} of the same key was out",
                    later.request, earlier.request
                ));
            }
        }
    }
    if attempts.len() < 2 {
        record.line("one of the postings was not run");
    }
    Ok(breaks)
}
