//! The messages of the wire, and what they mean to a gateway.

use miniserde::json::Value;
use miniserde::{Deserialize, json};
use sedgebeam_core::{
    Action, AttemptEnded, AttemptNo, CellId, Engine, EngineId, EngineState, Event, Key, ListKind,
    LoadReport, Micros, Note, Outcome, Query, RequestId, TableGroupId, TimerId,
};
use sedgebeam_settings::{GatewaySettings, Names, micros_to_millis, millis_to_micros};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Bits of a request's `opts`: its estimate counts; its client marks it as a repeat.
const HAS_ESTIMATE: u64 = 1;
const IS_RETRY: u64 = 2;

#[derive(Deserialize)]
struct RawBatch {
    ts: f64,
    turn: u64,
    msgs: Vec<Raw>,
}

/// Any message as it stands in a batch; what it must hold depends on its `cmd`.
#[derive(Deserialize)]
struct Raw {
    cmd: Option<String>,
    i: Option<u64>,
    rng_seed: Option<u64>,
    facts: Option<Box<GatewaySettings>>,
    buffer: Option<u64>,
    rows_in: Option<Vec<RawRow>>,
    kind: Option<String>,
    handle: Option<u64>,
    req: Option<String>,
    seq_no: Option<u32>,
    what: Option<u8>,
    amount: Option<f64>,
    outcome: Option<String>,
    executor: Option<u64>,
    load: Option<BTreeMap<String, f64>>,
    bill: Option<u64>,
    wait_time: Option<f64>,
    finished: Option<bool>,
    band: Option<String>,
    account: Option<Value>,
    order_key: Option<String>,
    remaining: Option<f64>,
    estimate: Option<f64>,
    need_mb: Option<f64>,
    tables: Option<u64>,
    opts: Option<u64>,
}

#[derive(Deserialize)]
struct RawRow {
    executor: u64,
    az: Option<String>,
    #[serde(rename = "type")]
    kind: Option<String>,
    bay: Option<u64>,
    status: String,
    started_at: Option<f64>,
}

pub struct Batch {
    pub ts: f64,
    pub turn: u64,
    pub msgs: Vec<Message>,
}

pub enum Message {
    Spawn {
        i: u64,
        rng_seed: u64,
        facts: Box<GatewaySettings>,
    },
    Ledger {
        buffer: u64,
        rows_in: Vec<Row>,
    },
    Announce {
        i: u64,
        kind: AnnounceKind,
        buffer: u64,
    },
    Down {
        i: u64,
    },
    /// What goes on to the gateway of an instance.
    Event {
        i: u64,
        event: Tell,
    },
    /// A kind that this adapter does not know, or that means nothing to a gateway.
    Unknown,
}

pub enum Tell {
    WorkItem(WorkItem),
    Due(u64),
    Interim(String, u32, u8, f64),
    First(String, u32),
    StatusBack(String, u64, Option<LoadReport>),
    ClientLeft(String),
    Completed(Completed),
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AnnounceKind {
    Partial,
    Complete,
    Persisted,
    Error,
}

pub struct Row {
    executor: u64,
    az: String,
    kind: String,
    bay: u64,
    status: String,
    started_at: f64,
}

pub struct WorkItem {
    req: String,
    band: String,
    account: Option<String>,
    order_key: Option<String>,
    remaining: f64,
    estimate: f64,
    need_mb: f64,
    tables: u64,
    opts: u64,
}

pub struct Completed {
    req: String,
    outcome: String,
    seq_no: u32,
    bill: u64,
    wait_time: f64,
    finished: bool,
    executor: u64,
    load: Option<LoadReport>,
}

impl Batch {
    pub fn decode(line: &str) -> Result<Batch, String> {
        let raw: RawBatch =
            json::from_str(line).map_err(|_| "a line is not a batch of messages".to_string())?;
        let msgs = raw.msgs.into_iter().map(Raw::message);
        Ok(Batch {
            ts: raw.ts,
            turn: raw.turn,
            msgs: msgs.collect::<Result<_, _>>()?,
        })
    }
}

/// A field that a message of this kind must have.
fn must<T>(cmd: &str, name: &str, value: Option<T>) -> Result<T, String> {
    value.ok_or_else(|| format!("{cmd}: missing field `{name}`"))
}

impl Raw {
    fn message(self) -> Result<Message, String> {
        let cmd = must("message", "cmd", self.cmd.clone())?;
        if cmd == "ledger" {
            let rows = must(&cmd, "rows_in", self.rows_in)?;
            return Ok(Message::Ledger {
                buffer: must(&cmd, "buffer", self.buffer)?,
                rows_in: rows.into_iter().map(Row::from).collect(),
            });
        }
        let Some(i) = self.i else {
            return Ok(Message::Unknown);
        };
        Ok(match cmd.as_str() {
            "spawn" => Message::Spawn {
                i,
                rng_seed: must(&cmd, "rng_seed", self.rng_seed)?,
                facts: must(&cmd, "facts", self.facts)?,
            },
            "announce" => Message::Announce {
                i,
                kind: announce_kind(&must(&cmd, "kind", self.kind)?)?,
                buffer: self.buffer.unwrap_or_default(),
            },
            "down" => Message::Down { i },
            _ => match self.tell(&cmd)? {
                Some(event) => Message::Event { i, event },
                None => Message::Unknown,
            },
        })
    }

    fn tell(self, cmd: &str) -> Result<Option<Tell>, String> {
        let req = self.req;
        let named = |req: Option<String>| must(cmd, "req", req);
        Ok(Some(match cmd {
            "work_item" => Tell::WorkItem(WorkItem {
                req: named(req)?,
                band: must(cmd, "band", self.band)?,
                account: match self.account {
                    Some(Value::String(name)) => Some(name),
                    _ => None,
                },
                order_key: self.order_key,
                remaining: must(cmd, "remaining", self.remaining)?,
                estimate: self.estimate.unwrap_or_default(),
                need_mb: self.need_mb.unwrap_or_default(),
                tables: self.tables.unwrap_or_default(),
                opts: self.opts.unwrap_or_default(),
            }),
            "due" => Tell::Due(must(cmd, "handle", self.handle)?),
            "interim" => Tell::Interim(
                named(req)?,
                must(cmd, "seq_no", self.seq_no)?,
                must(cmd, "what", self.what)?,
                self.amount.unwrap_or_default(),
            ),
            "first" => Tell::First(named(req)?, must(cmd, "seq_no", self.seq_no)?),
            "status_back" => Tell::StatusBack(
                must(cmd, "outcome", self.outcome)?,
                must(cmd, "executor", self.executor)?,
                load(self.load),
            ),
            "client_left" => Tell::ClientLeft(named(req)?),
            "completed" => Tell::Completed(Completed {
                req: named(req)?,
                outcome: must(cmd, "outcome", self.outcome)?,
                seq_no: self.seq_no.unwrap_or_default(),
                bill: self.bill.unwrap_or_default(),
                wait_time: self.wait_time.unwrap_or_default(),
                finished: self.finished.unwrap_or_default(),
                executor: must(cmd, "executor", self.executor)?,
                load: load(self.load),
            }),
            _ => return Ok(None),
        }))
    }
}

impl From<RawRow> for Row {
    fn from(raw: RawRow) -> Row {
        Row {
            executor: raw.executor,
            az: raw.az.unwrap_or_default(),
            kind: raw.kind.unwrap_or_default(),
            bay: raw.bay.unwrap_or_default(),
            status: raw.status,
            started_at: raw.started_at.unwrap_or_default(),
        }
    }
}

fn announce_kind(text: &str) -> Result<AnnounceKind, String> {
    Ok(match text {
        "Partial" => AnnounceKind::Partial,
        "Complete" => AnnounceKind::Complete,
        "Persisted" => AnnounceKind::Persisted,
        "Error" => AnnounceKind::Error,
        other => return Err(format!("announce: unknown kind {other:?}")),
    })
}

fn request(text: &str) -> Result<RequestId, String> {
    u64::from_str_radix(text, 16)
        .map(RequestId)
        .map_err(|_| format!("request id {text:?} is not hexadecimal"))
}

fn outcome(text: &str) -> Result<Outcome, String> {
    Ok(match text {
        "OK" => Outcome::Ok,
        "INTERNAL" => Outcome::Error,
        "RESOURCE_EXHAUSTED" => Outcome::Rejected,
        "DEADLINE_EXCEEDED" => Outcome::TimedOut,
        "UNAVAILABLE" => Outcome::ConnectFailed,
        "ABORTED" => Outcome::Reset,
        "CANCELLED" => Outcome::Cancelled,
        "TOO_LATE" => Outcome::NotSent,
        other => return Err(format!("unknown outcome {other:?}")),
    })
}

fn load(values: Option<BTreeMap<String, f64>>) -> Option<LoadReport> {
    let values = values?;
    let named = values.iter().map(|(name, value)| (name.as_str(), *value));
    Some(sedgebeam_settings::load_report(named))
}

/// The list as the gateway takes it.
pub fn list(names: &Names, kind: AnnounceKind, rows: &[Row]) -> Event {
    let engines = rows.iter().map(|row| Engine {
        id: EngineId(row.executor),
        zone: names.zone(&row.az),
        kind: names.kind(&row.kind),
        cell: CellId(row.bay),
        state: match row.status.as_str() {
            "U" => EngineState::Ready,
            "L" => EngineState::Draining,
            _ => EngineState::Gone,
        },
        started_at: millis_to_micros(row.started_at),
    });
    let kind = match kind {
        AnnounceKind::Partial => ListKind::Changes,
        AnnounceKind::Persisted => ListKind::Saved,
        AnnounceKind::Complete => ListKind::Complete,
        AnnounceKind::Error => return Event::ListFailed,
    };
    Event::List {
        kind,
        engines: engines.collect(),
    }
}

impl WorkItem {
    fn query(self, names: &Names) -> Result<Query, String> {
        let class = names.class(&self.band);
        Ok(Query {
            id: request(&self.req)?,
            class: class.ok_or_else(|| format!("unknown class {:?}", self.band))?,
            tenant: self.account.and_then(|account| names.tenant(&account)),
            key: self.order_key.as_deref().map(Key::from_name),
            remaining: millis_to_micros(self.remaining),
            work: match self.opts & HAS_ESTIMATE {
                0 => Micros(0),
                _ => millis_to_micros(self.estimate),
            },
            memory_mb: self.need_mb,
            table_group: TableGroupId(self.tables),
            is_retry: self.opts & IS_RETRY != 0,
        })
    }
}

impl Completed {
    fn ended(self) -> Result<AttemptEnded, String> {
        let how = outcome(&self.outcome)?;
        let told = how == Outcome::Ok && self.bill > 0;
        Ok(AttemptEnded {
            request: request(&self.req)?,
            attempt: AttemptNo(self.seq_no),
            engine: EngineId(self.executor),
            outcome: how,
            elapsed: millis_to_micros(self.wait_time),
            request_finished: self.finished,
            work: told.then_some(Micros::from_millis(self.bill / 4096)),
            load_report: self.load,
        })
    }
}

/// What is told of an attempt, as the gateway takes it; `None` where it means nothing to it.
fn note(what: u8, amount: f64) -> Option<Note> {
    Some(match what {
        1 => Note::Progress(amount),
        2 => Note::Spills(amount),
        3 if amount >= 2.0 => Note::WaitsForLoad,
        3 => Note::WaitsForMemory,
        _ => return None,
    })
}

/// The event of a gateway that a message stands for.
pub fn event(names: &Names, told: Tell) -> Result<Option<Event>, String> {
    Ok(Some(match told {
        Tell::WorkItem(item) => Event::Request(item.query(names)?),
        Tell::Due(handle) => Event::Timer(TimerId(handle)),
        Tell::Interim(req, seq_no, what, amount) => match note(what, amount) {
            Some(note) => Event::Note(request(&req)?, AttemptNo(seq_no), note),
            None => return Ok(None),
        },
        Tell::First(req, seq_no) => Event::Started(request(&req)?, AttemptNo(seq_no)),
        Tell::StatusBack(how, executor, load) => {
            Event::Probed(EngineId(executor), outcome(&how)?, load)
        }
        Tell::ClientLeft(req) => Event::ClientLeft(request(&req)?),
        Tell::Completed(end) => {
            let mut ended = end.ended()?;
            ended.work = ended.work.filter(|_| names.reports_cost);
            Event::Ended(ended)
        }
    }))
}

/// A reply under way: its text grows order by order.
pub struct Reply(String);

impl Reply {
    pub fn new(turn: u64) -> Reply {
        Reply(format!("{{\"turn\":{turn},\"orders\":["))
    }

    /// The whole line.
    pub fn line(mut self) -> String {
        if self.0.ends_with(',') {
            self.0.pop();
        }
        self.0.push_str("]}\n");
        self.0
    }

    pub fn exception(&mut self, i: u64, msg: &str) {
        self.push(
            i,
            "exception",
            format_args!("\"msg\":{}", json::to_string(msg)),
        );
    }

    fn push(&mut self, i: u64, cmd: &str, fields: std::fmt::Arguments) {
        // Writing to a string does not fail.
        let _ = write!(self.0, "{{\"cmd\":\"{cmd}\",\"i\":{i},{fields}}},");
    }

    pub fn order(&mut self, i: u64, action: Action) {
        match action {
            Action::AttemptResources {
                request,
                memory_mb,
                priority,
            } => self.push(
                i,
                "limits_for",
                format_args!(
                    r#""req":"{:016x}","mem_mb":{memory_mb:?},"prio":{priority}"#,
                    request.0
                ),
            ),
            Action::Send {
                request,
                engine,
                timeout,
                // There an attempt begins as it is sent.
                starts_by: _,
            } => self.push(
                i,
                "route",
                format_args!(
                    r#""req":"{:016x}","cap":{:?},"executor":{}"#,
                    request.0,
                    micros_to_millis(timeout),
                    engine.0
                ),
            ),
            Action::Cancel { request, attempt } => self.push(
                i,
                "abort_attempt",
                format_args!(r#""req":"{:016x}","seq_no":{}"#, request.0, attempt.0),
            ),
            Action::Refuse {
                request,
                retry_after,
            } => self.push(
                i,
                "not_now",
                format_args!(
                    r#""req":"{:016x}","come_back":{:?}"#,
                    request.0,
                    micros_to_millis(retry_after)
                ),
            ),
            Action::Fail { request } => self.push(
                i,
                "finish_error",
                format_args!(r#""req":"{:016x}""#, request.0),
            ),
            Action::Timer { timer, at } => self.push(
                i,
                "set_alarm",
                format_args!(
                    r#""handle":{},"due_at":{:?}"#,
                    timer.0,
                    micros_to_millis(at)
                ),
            ),
            Action::Probe { engine } => {
                self.push(i, "ask_load", format_args!(r#""executor":{}"#, engine.0));
            }
            Action::SubscribeToEngineList => {
                self.push(i, "follow", format_args!(r#""enable":true"#))
            }
            Action::Log(msg) => {
                self.push(
                    i,
                    "write_log",
                    format_args!("\"msg\":{}", json::to_string(&msg)),
                );
            }
        }
    }
}

#[cfg(test)]
mod tests;
