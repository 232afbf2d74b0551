//! The simulator's messages: decoding of batches into gateway events, and encoding of actions as replies.

use miniserde::json::Value;
use miniserde::{Deserialize, json};
use sedgebeam_core::{
    Action, AttemptEnded, AttemptNo, CellId, Engine, EngineId, EngineState, Event, Key, ListKind,
    LoadReport, Micros, Note, Outcome, Query, RequestId, TableGroupId, TimerId,
};
use sedgebeam_settings::{GatewaySettings, Names, micros_to_millis, millis_to_micros};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Bit of a request's `opts`: the estimate is valid.
const HAS_ESTIMATE: u64 = 1;
/// Bit of a request's `opts`: the client marks the request as a retry.
const IS_RETRY: u64 = 2;

#[derive(Deserialize)]
struct RawBatch {
    ts: f64,
    turn: u64,
    msgs: Vec<RawMessage>,
}

/// The union of the fields of all messages, named as on the wire; `cmd` determines which of them are required.
#[derive(Deserialize)]
struct RawMessage {
    cmd: Option<String>,
    i: Option<u64>,
    rng_seed: Option<u64>,
    facts: Option<Box<GatewaySettings>>,
    buffer: Option<u64>,
    rows_in: Option<Vec<RawEngineRow>>,
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
struct RawEngineRow {
    executor: u64,
    az: Option<String>,
    #[serde(rename = "type")]
    kind: Option<String>,
    bay: Option<u64>,
    status: String,
    started_at: Option<f64>,
}

/// The messages of one line of input.
pub struct Batch {
    pub time_ms: f64,
    pub number: u64,
    pub messages: Vec<Message>,
}

pub enum Message {
    Start {
        instance: u64,
        seed: u64,
        gateway_settings: Box<GatewaySettings>,
    },
    EngineList {
        buffer: u64,
        rows: Vec<EngineRow>,
    },
    /// Delivers the engine list of a buffer to an instance.
    Announce {
        instance: u64,
        kind: AnnounceKind,
        buffer: u64,
    },
    Stop {
        instance: u64,
    },
    /// An event for the gateway of an instance.
    Event {
        instance: u64,
        event: EventMessage,
    },
    /// A message that the adapter does not know or that gateways do not need.
    Ignored,
}

/// A message that carries an event for a gateway.
pub enum EventMessage {
    Request(RequestMessage),
    /// A timer, by its handle.
    Timer(u64),
    /// A note on an attempt: request id, attempt number, code and amount.
    Note(String, u32, u8, f64),
    /// The first part of a result: request id and attempt number.
    Started(String, u32),
    /// The result of a probe: outcome, engine and load report.
    Probed(String, u64, Option<LoadReport>),
    /// The client of a request, by its id, has disconnected.
    ClientLeft(String),
    Ended(EndedMessage),
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AnnounceKind {
    Partial,
    Complete,
    Persisted,
    Error,
}

/// An entry of an engine list.
pub struct EngineRow {
    engine: u64,
    zone: String,
    kind: String,
    cell: u64,
    status: String,
    started_at_ms: f64,
}

pub struct RequestMessage {
    request_id: String,
    class: String,
    tenant: Option<String>,
    key: Option<String>,
    remaining_ms: f64,
    estimated_work_ms: f64,
    memory_mb: f64,
    table_group: u64,
    options: u64,
}

pub struct EndedMessage {
    request_id: String,
    outcome: String,
    attempt_no: u32,
    /// Work of the attempt, in units of 1/4096 ms; zero if unknown.
    cost: u64,
    elapsed_ms: f64,
    request_finished: bool,
    engine: u64,
    load_report: Option<LoadReport>,
}

impl Batch {
    pub fn decode(line: &str) -> Result<Batch, String> {
        let raw: RawBatch =
            json::from_str(line).map_err(|_| "a line is not a batch of messages".to_string())?;
        let messages = raw.msgs.into_iter().map(RawMessage::decode);
        Ok(Batch {
            time_ms: raw.ts,
            number: raw.turn,
            messages: messages.collect::<Result<_, _>>()?,
        })
    }
}

/// Returns a field that is required for this `cmd`.
fn required<T>(cmd: &str, name: &str, value: Option<T>) -> Result<T, String> {
    value.ok_or_else(|| format!("{cmd}: missing field `{name}`"))
}

impl RawMessage {
    fn decode(self) -> Result<Message, String> {
        let cmd = required("message", "cmd", self.cmd.clone())?;
        if cmd == "ledger" {
            let rows = required(&cmd, "rows_in", self.rows_in)?;
            return Ok(Message::EngineList {
                buffer: required(&cmd, "buffer", self.buffer)?,
                rows: rows.into_iter().map(EngineRow::from).collect(),
            });
        }
        let Some(instance) = self.i else {
            return Ok(Message::Ignored);
        };
        Ok(match cmd.as_str() {
            "spawn" => Message::Start {
                instance,
                seed: required(&cmd, "rng_seed", self.rng_seed)?,
                gateway_settings: required(&cmd, "facts", self.facts)?,
            },
            "announce" => Message::Announce {
                instance,
                kind: announce_kind(&required(&cmd, "kind", self.kind)?)?,
                buffer: self.buffer.unwrap_or_default(),
            },
            "down" => Message::Stop { instance },
            _ => match self.decode_event(&cmd)? {
                Some(event) => Message::Event { instance, event },
                None => Message::Ignored,
            },
        })
    }

    fn decode_event(self, cmd: &str) -> Result<Option<EventMessage>, String> {
        let req = self.req;
        let request_id = |req: Option<String>| required(cmd, "req", req);
        Ok(Some(match cmd {
            "work_item" => EventMessage::Request(RequestMessage {
                request_id: request_id(req)?,
                class: required(cmd, "band", self.band)?,
                tenant: match self.account {
                    Some(Value::String(name)) => Some(name),
                    _ => None,
                },
                key: self.order_key,
                remaining_ms: required(cmd, "remaining", self.remaining)?,
                estimated_work_ms: self.estimate.unwrap_or_default(),
                memory_mb: self.need_mb.unwrap_or_default(),
                table_group: self.tables.unwrap_or_default(),
                options: self.opts.unwrap_or_default(),
            }),
            "due" => EventMessage::Timer(required(cmd, "handle", self.handle)?),
            "interim" => EventMessage::Note(
                request_id(req)?,
                required(cmd, "seq_no", self.seq_no)?,
                required(cmd, "what", self.what)?,
                self.amount.unwrap_or_default(),
            ),
            "first" => {
                EventMessage::Started(request_id(req)?, required(cmd, "seq_no", self.seq_no)?)
            }
            "status_back" => EventMessage::Probed(
                required(cmd, "outcome", self.outcome)?,
                required(cmd, "executor", self.executor)?,
                load_report(self.load),
            ),
            "client_left" => EventMessage::ClientLeft(request_id(req)?),
            "completed" => EventMessage::Ended(EndedMessage {
                request_id: request_id(req)?,
                outcome: required(cmd, "outcome", self.outcome)?,
                attempt_no: self.seq_no.unwrap_or_default(),
                cost: self.bill.unwrap_or_default(),
                elapsed_ms: self.wait_time.unwrap_or_default(),
                request_finished: self.finished.unwrap_or_default(),
                engine: required(cmd, "executor", self.executor)?,
                load_report: load_report(self.load),
            }),
            _ => return Ok(None),
        }))
    }
}

impl From<RawEngineRow> for EngineRow {
    fn from(raw: RawEngineRow) -> EngineRow {
        EngineRow {
            engine: raw.executor,
            zone: raw.az.unwrap_or_default(),
            kind: raw.kind.unwrap_or_default(),
            cell: raw.bay.unwrap_or_default(),
            status: raw.status,
            started_at_ms: raw.started_at.unwrap_or_default(),
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

fn request_id(text: &str) -> Result<RequestId, String> {
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

fn load_report(values: Option<BTreeMap<String, f64>>) -> Option<LoadReport> {
    let values = values?;
    let entries = values.iter().map(|(name, value)| (name.as_str(), *value));
    Some(sedgebeam_settings::load_report(entries))
}

/// Converts an announced engine list to an event.
pub fn list_event(names: &Names, kind: AnnounceKind, rows: &[EngineRow]) -> Event {
    let engines = rows.iter().map(|row| Engine {
        id: EngineId(row.engine),
        zone: names.zone(&row.zone),
        kind: names.kind(&row.kind),
        cell: CellId(row.cell),
        state: match row.status.as_str() {
            "U" => EngineState::Ready,
            "L" => EngineState::Draining,
            _ => EngineState::Gone,
        },
        started_at: millis_to_micros(row.started_at_ms),
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

impl RequestMessage {
    fn query(self, names: &Names) -> Result<Query, String> {
        let class = names.class(&self.class);
        Ok(Query {
            id: request_id(&self.request_id)?,
            class: class.ok_or_else(|| format!("unknown class {:?}", self.class))?,
            tenant: self.tenant.and_then(|tenant| names.tenant(&tenant)),
            key: self.key.as_deref().map(Key::from_name),
            remaining: millis_to_micros(self.remaining_ms),
            work: match self.options & HAS_ESTIMATE {
                0 => Micros(0),
                _ => millis_to_micros(self.estimated_work_ms),
            },
            memory_mb: self.memory_mb,
            table_group: TableGroupId(self.table_group),
            is_retry: self.options & IS_RETRY != 0,
        })
    }
}

impl EndedMessage {
    fn attempt_ended(self) -> Result<AttemptEnded, String> {
        let outcome = outcome(&self.outcome)?;
        let has_cost = outcome == Outcome::Ok && self.cost > 0;
        Ok(AttemptEnded {
            request: request_id(&self.request_id)?,
            attempt: AttemptNo(self.attempt_no),
            engine: EngineId(self.engine),
            outcome,
            elapsed: millis_to_micros(self.elapsed_ms),
            request_finished: self.request_finished,
            work: has_cost.then_some(Micros::from_millis(self.cost / 4096)),
            load_report: self.load_report,
        })
    }
}

/// Converts a note on an attempt; `None` if gateways do not know its code.
fn note(code: u8, amount: f64) -> Option<Note> {
    Some(match code {
        1 => Note::Progress(amount),
        2 => Note::Spills(amount),
        3 if amount >= 2.0 => Note::WaitsForLoad,
        3 => Note::WaitsForMemory,
        _ => return None,
    })
}

/// Converts a message to the event of a gateway; `None` if it means nothing to the gateway.
pub fn gateway_event(names: &Names, message: EventMessage) -> Result<Option<Event>, String> {
    Ok(Some(match message {
        EventMessage::Request(message) => Event::Request(message.query(names)?),
        EventMessage::Timer(handle) => Event::Timer(TimerId(handle)),
        EventMessage::Note(request, attempt_no, code, amount) => match note(code, amount) {
            Some(note) => Event::Note(request_id(&request)?, AttemptNo(attempt_no), note),
            None => return Ok(None),
        },
        EventMessage::Started(request, attempt_no) => {
            Event::Started(request_id(&request)?, AttemptNo(attempt_no))
        }
        EventMessage::Probed(text, engine, load_report) => {
            Event::Probed(EngineId(engine), outcome(&text)?, load_report)
        }
        EventMessage::ClientLeft(request) => Event::ClientLeft(request_id(&request)?),
        EventMessage::Ended(message) => {
            let mut ended = message.attempt_ended()?;
            ended.work = ended.work.filter(|_| names.reports_cost);
            Event::Ended(ended)
        }
    }))
}

/// An incomplete reply: the text of the line, to which the actions are appended as orders.
pub struct Reply(String);

impl Reply {
    pub fn new(batch_number: u64) -> Reply {
        Reply(format!("{{\"turn\":{batch_number},\"orders\":["))
    }

    /// Completes the line.
    pub fn line(mut self) -> String {
        if self.0.ends_with(',') {
            self.0.pop();
        }
        self.0.push_str("]}\n");
        self.0
    }

    /// Appends the report of a failure of an instance.
    pub fn push_exception(&mut self, instance: u64, message: &str) {
        self.push(
            instance,
            "exception",
            format_args!("\"msg\":{}", json::to_string(message)),
        );
    }

    /// Appends an order.
    fn push(&mut self, instance: u64, cmd: &str, fields: std::fmt::Arguments) {
        // Writing to a string does not fail.
        let _ = write!(self.0, "{{\"cmd\":\"{cmd}\",\"i\":{instance},{fields}}},");
    }

    /// Appends the order for an action of a gateway.
    pub fn push_action(&mut self, instance: u64, action: Action) {
        match action {
            Action::AttemptResources {
                request,
                memory_mb,
                priority,
            } => self.push(
                instance,
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
                // In the simulator, an attempt starts as soon as it is sent.
                starts_by: _,
            } => self.push(
                instance,
                "route",
                format_args!(
                    r#""req":"{:016x}","cap":{:?},"executor":{}"#,
                    request.0,
                    micros_to_millis(timeout),
                    engine.0
                ),
            ),
            Action::Cancel { request, attempt } => self.push(
                instance,
                "abort_attempt",
                format_args!(r#""req":"{:016x}","seq_no":{}"#, request.0, attempt.0),
            ),
            Action::Refuse {
                request,
                retry_after,
            } => self.push(
                instance,
                "not_now",
                format_args!(
                    r#""req":"{:016x}","come_back":{:?}"#,
                    request.0,
                    micros_to_millis(retry_after)
                ),
            ),
            Action::Fail { request } => self.push(
                instance,
                "finish_error",
                format_args!(r#""req":"{:016x}""#, request.0),
            ),
            Action::Timer { timer, at } => self.push(
                instance,
                "set_alarm",
                format_args!(
                    r#""handle":{},"due_at":{:?}"#,
                    timer.0,
                    micros_to_millis(at)
                ),
            ),
            Action::Probe { engine } => {
                self.push(
                    instance,
                    "ask_load",
                    format_args!(r#""executor":{}"#, engine.0),
                );
            }
            Action::SubscribeToEngineList => {
                self.push(instance, "follow", format_args!(r#""enable":true"#))
            }
            Action::Log(message) => {
                self.push(
                    instance,
                    "write_log",
                    format_args!("\"msg\":{}", json::to_string(&message)),
                );
            }
        }
    }
}

#[cfg(test)]
mod tests;
