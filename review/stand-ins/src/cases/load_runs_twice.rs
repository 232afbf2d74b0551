//! An engine that speaks Flight SQL crashes while a `journal-load` runs there, or right after its commit. The load must
//! not be sent to another engine.

use super::{Breaks, CannotRun, Context};
use crate::change_log::ChangeLog;
use crate::dispatcher::{Folder, Process, free_address, wait_until};
use crate::pg::{self, Session};
use crate::settings::{Variant, first_event, settings};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

/// How long a load runs on its engine.
const WORK_MS: u64 = 1300;

struct Engine {
    uid: &'static str,
    journal: PathBuf,
    process: Process,
}

impl Engine {
    /// The lines of the engine's journal: what it has begun, committed and handed out.
    fn journal(&self) -> Vec<(f64, String)> {
        let text = std::fs::read_to_string(&self.journal).unwrap_or_default();
        let lines = text.lines().filter_map(|line| line.split_once(' '));
        lines
            .map(|(at, what)| (at.parse().unwrap_or_default(), what.to_string()))
            .collect()
    }

    fn has(&self, what: &str) -> bool {
        self.journal().iter().any(|(_, line)| line == what)
    }
}

pub fn run(context: &Context) -> Result<Breaks, CannotRun> {
    let record = &context.record;
    let folder = Folder::create("load-runs-twice");
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut engines = Vec::new();
    let mut listed = Vec::new();
    for uid in ["s-00000001", "s-00000002", "s-00000003"] {
        let (address, journal) = (free_address(), folder.path.join(uid));
        let child = Command::new(&program)
            .args([
                "flight-engine",
                &address.to_string(),
                &journal.display().to_string(),
                &WORK_MS.to_string(),
            ])
            .stdin(Stdio::null())
            .spawn();
        let child = child.map_err(|error| error.to_string())?;
        engines.push(Engine {
            uid,
            journal,
            process: Process::wrap(uid, child, record),
        });
        if !wait_until(Duration::from_secs(5), || {
            std::net::TcpStream::connect(address).is_ok()
        }) {
            return Err("an engine does not start".to_string());
        }
        listed.push((uid, format!("grpc://{address}")));
    }
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
    let mut session = Session::open(listen).map_err(|error| error.to_string())?;
    let txn = "9b1f03aa5c7e2d41";
    let statement = format!(
        "/* verb=journal-load,txn={txn},limit=20000,team=fraser-cpa,cpu=2400.0,memory=96 */ INSERT INTO sales_17.entries SELECT day, amount, note FROM staging.batch_9"
    );
    record.line(&format!("client: sends {statement}"));
    session
        .query(&statement)
        .map_err(|error| error.to_string())?;
    let committed = format!("commit {txn}");
    if !wait_until(Duration::from_secs(5), || {
        engines.iter().any(|engine| engine.has(&committed))
    }) {
        return Err("no engine has committed the load".to_string());
    }
    if context.trouble {
        // The engine's process dies: its connections are reset, and new ones are refused.
        let first = engines
            .iter()
            .find(|engine| engine.has(&committed))
            .ok_or("no engine")?;
        first.process.signal("KILL");
    }
    let answer = session.answer(Duration::from_secs(21));
    record.line(&format!("client: has its answer: {answer:?}"));
    // A load that has begun elsewhere is let run to its end.
    std::thread::sleep(Duration::from_millis(WORK_MS + 500));
    let mut runs = Vec::new();
    let mut commits = 0;
    for engine in &engines {
        for (at, line) in engine.journal() {
            record.line_at(at, &format!("engine {}: {line}", engine.uid));
            if line.starts_with(&format!("begin {txn}")) {
                runs.push(engine.uid);
            }
            commits += usize::from(line == committed);
        }
    }
    if runs.len() > 1 {
        let engines = runs.join(" and ");
        return Ok(vec![format!(
            "the load {txn} was begun on {engines} and committed {commits} times"
        )]);
    }
    Ok(Vec::new())
}
