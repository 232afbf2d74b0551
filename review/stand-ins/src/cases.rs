//! The cases: what is played, and the check of the rule.

mod cancel_in_upgrade;
mod key_order_in_upgrade;
mod load_runs_twice;
mod nested_comments;
mod placement_after_reload;
mod slow_discovery;
mod upgrade;

use crate::record::Record;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// What a case needs to run.
pub struct Context {
    pub root: String,
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// Why a case could not run.
pub type CannotRun = String;
/// The breaks of the rule that a case found.
pub type Breaks = Vec<String>;

pub fn run(name: &str, root: &str, record_path: &str) -> ExitCode {
    let context = Context {
        root: root.to_string(),
        record: Record::create(record_path),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let case = match name {
        "load-runs-twice" => load_runs_twice::run,
        "key-order-in-upgrade" => key_order_in_upgrade::run,
        "cancel-in-upgrade" => cancel_in_upgrade::run,
        "slow-discovery" => slow_discovery::run,
        "placement-after-reload" => placement_after_reload::run,
        "nested-comments" => nested_comments::run,
        _ => return ExitCode::from(2),
    };
    let record = context.record.clone();
    record.text(&format!(
        "case {name}, disruption {}",
        if context.trouble {
            "played"
        } else {
            "left out"
        }
    ));
    let worker = thread::spawn(move || case(&context));
    for _ in 0..1000 {
        if worker.is_finished() {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let result = if worker.is_finished() {
        worker
            .join()
            .unwrap_or_else(|_| Err("the case panicked".to_string()))
    } else {
        crate::dispatcher::kill_all();
        Err("the case took over 100 s".to_string())
    };
    let (text, status) = match result {
        Err(reason) => (format!("the case could not run: {reason}"), 2),
        Ok(breaks) if breaks.is_empty() => ("the rule held".to_string(), 0),
        Ok(breaks) => (format!("the rule was broken: {}", breaks.join("; ")), 1),
    };
    record.text(&text);
    println!("{name}: {text}");
    ExitCode::from(status)
}
