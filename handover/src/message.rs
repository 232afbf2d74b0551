//! What a process tells the others of its dispatcher, as a file: a head of one line, and JSON.

use crate::process_pair::{Incarnation, Phase};
use miniserde::{Deserialize, Serialize, json};
use sedgebeam_core::{
    ClassHandover, ClassUsage, EngineHandover, EngineId, EngineUsage, HandoverState, Micros,
    TableGroupId, Tenant,
};
use sedgebeam_discovery::Target;

/// Processes of another version say nothing to each other.
pub const FORMAT_VERSION: u32 = 1;
const MARK: &str = "sedgebeam-share";
/// The longest share: that of some thousands of engines.
const MOST_BYTES: usize = 8 << 20;
/// A share of a version that does not say whom it answers is out of date when its wall clock time is this far off.
const LASTS: Micros = Micros::from_millis(2000);

/// What a process tells.
#[derive(Clone, Debug, PartialEq)]
pub struct HandoverMessage {
    pub status: ProcessStatus,
    pub handover_state: HandoverState,
}

/// All of it but what the gateway holds.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessStatus {
    /// The dispatcher's name.
    pub dispatcher_name: String,
    /// When it was written, in Unix microseconds: for versions that go by the wall clock. Others only see that it changes.
    pub written_at_unix_us: u64,
    /// The time of the writer's own clock by which the times in what it holds are told; where it is missing, the reader's.
    pub writer_clock: Option<Micros>,
    /// Whom the writer had found when it wrote. Missing in what versions wrote that go by the wall clock.
    pub known_processes: Option<Vec<Incarnation>>,
    pub phase: Phase,
    /// The change log's number, and the list that it left.
    pub change_log_seq: u64,
    pub targets: Vec<Target>,
    /// Sessions of clients.
    pub session_count: usize,
    /// What the administration has set: engines that it drained, and shares of tenants with their rates.
    pub drained_engines: Vec<String>,
    pub tenants: Vec<Tenant>,
    /// The platform's file that is in use, as text.
    pub config_text: String,
}

/// Why a share is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// It is no share of this version.
    UnsupportedFormat,
    /// It is not whole.
    Corrupt,
    /// It is of another dispatcher.
    OtherDispatcher,
}

#[derive(Serialize, Deserialize)]
struct Record {
    name: String,
    at: u64,
    clock: Option<u64>,
    found: Option<Vec<String>>,
    phase: Phase,
    seq: u64,
    targets: Vec<Target>,
    sessions: usize,
    drained: Vec<String>,
    tenants: Vec<TenantRecord>,
    file: String,
    engines: Vec<EngineRecord>,
    classes: Vec<ClassRecord>,
    multiple: f64,
}

#[derive(Serialize, Deserialize)]
struct TenantRecord {
    name: String,
    portion: f64,
    allowance_per_s: f64,
}

#[derive(Serialize, Deserialize)]
struct EngineRecord {
    engine: u64,
    threads: f64,
    memory_mb: f64,
    groups: Vec<u64>,
    sent: Vec<(u64, f64)>,
    pace: f64,
    rests_until: (u64, u64),
}

#[derive(Serialize, Deserialize)]
struct ClassRecord {
    name: String,
    threads: f64,
    memory_mb: f64,
    ratio: Option<f64>,
    pace: f64,
    took: Option<f64>,
    work: Option<f64>,
    taken: f64,
    spilled: f64,
}

impl From<Tenant> for TenantRecord {
    fn from(tenant: Tenant) -> TenantRecord {
        TenantRecord {
            name: tenant.name,
            portion: tenant.share,
            allowance_per_s: tenant.requests_per_second,
        }
    }
}

impl From<TenantRecord> for Tenant {
    fn from(record: TenantRecord) -> Tenant {
        Tenant {
            name: record.name,
            share: record.portion,
            requests_per_second: record.allowance_per_s,
        }
    }
}

impl From<&EngineHandover> for EngineRecord {
    fn from(held: &EngineHandover) -> EngineRecord {
        let (rests, jammed) = held.ejected_until;
        EngineRecord {
            engine: held.engine.0,
            threads: held.usage.threads,
            memory_mb: held.usage.memory_mb,
            groups: held
                .usage
                .table_groups
                .iter()
                .map(|group| group.0)
                .collect(),
            sent: held
                .recent_sends
                .iter()
                .map(|(at, work)| (at.0, *work))
                .collect(),
            pace: held.service_time_ratio,
            rests_until: (rests.0, jammed.0),
        }
    }
}

impl From<EngineRecord> for EngineHandover {
    fn from(record: EngineRecord) -> EngineHandover {
        let sent = record.sent.into_iter();
        EngineHandover {
            engine: EngineId(record.engine),
            usage: EngineUsage {
                threads: record.threads,
                memory_mb: record.memory_mb,
                table_groups: record.groups.into_iter().map(TableGroupId).collect(),
            },
            recent_sends: sent.map(|(at, work)| (Micros(at), work)).collect(),
            service_time_ratio: record.pace,
            ejected_until: (Micros(record.rests_until.0), Micros(record.rests_until.1)),
        }
    }
}

impl From<&ClassHandover> for ClassRecord {
    fn from(held: &ClassHandover) -> ClassRecord {
        ClassRecord {
            name: held.name.clone(),
            threads: held.usage.threads,
            memory_mb: held.usage.memory_mb,
            ratio: held.usual_ratio,
            pace: held.service_time_ratio,
            took: held.mean_attempt_us,
            work: held.mean_work_us,
            taken: held.accepted_requests,
            spilled: held.spill_margin,
        }
    }
}

impl From<ClassRecord> for ClassHandover {
    fn from(record: ClassRecord) -> ClassHandover {
        ClassHandover {
            name: record.name,
            usage: ClassUsage {
                threads: record.threads,
                memory_mb: record.memory_mb,
            },
            usual_ratio: record.ratio,
            service_time_ratio: record.pace,
            mean_attempt_us: record.took,
            mean_work_us: record.work,
            accepted_requests: record.taken,
            spill_margin: record.spilled,
        }
    }
}

fn lives(names: &[String]) -> Vec<Incarnation> {
    names
        .iter()
        .filter_map(|name| Incarnation::parse(name))
        .collect()
}

impl HandoverMessage {
    pub fn encode(&self) -> Vec<u8> {
        let ProcessStatus {
            dispatcher_name,
            written_at_unix_us,
            writer_clock,
            known_processes,
            phase,
            change_log_seq,
            targets,
            session_count,
            drained_engines,
            tenants,
            config_text,
        } = self.status.clone();
        let record = Record {
            name: dispatcher_name,
            at: written_at_unix_us,
            clock: writer_clock.map(|clock| clock.0),
            found: known_processes.map(|found| found.iter().map(Incarnation::name).collect()),
            phase,
            seq: change_log_seq,
            targets,
            sessions: session_count,
            drained: drained_engines,
            tenants: tenants.into_iter().map(TenantRecord::from).collect(),
            file: config_text,
            engines: self
                .handover_state
                .engines
                .iter()
                .map(EngineRecord::from)
                .collect(),
            classes: self
                .handover_state
                .classes
                .iter()
                .map(ClassRecord::from)
                .collect(),
            multiple: self.handover_state.concurrency_limit,
        };
        let body = json::to_string(&record);
        let sum = crc32fast::hash(body.as_bytes());
        format!("{MARK} {FORMAT_VERSION} {} {sum:08x}\n{body}", body.len()).into_bytes()
    }

    /// Reads a share of the dispatcher of this name.
    pub fn decode(bytes: &[u8], name: &str) -> Result<HandoverMessage, MessageError> {
        if bytes.len() > MOST_BYTES {
            return Err(MessageError::UnsupportedFormat);
        }
        let text = std::str::from_utf8(bytes).map_err(|_| MessageError::Corrupt)?;
        let (head, body) = text.split_once('\n').ok_or(MessageError::Corrupt)?;
        let words: Vec<&str> = head.split(' ').collect();
        let [mark, version, length, sum] = words[..] else {
            return Err(MessageError::UnsupportedFormat);
        };
        if mark != MARK || version.parse() != Ok(FORMAT_VERSION) {
            return Err(MessageError::UnsupportedFormat);
        }
        let whole = length.parse() == Ok(body.len())
            && u32::from_str_radix(sum, 16) == Ok(crc32fast::hash(body.as_bytes()));
        if !whole {
            return Err(MessageError::Corrupt);
        }
        let record: Record = json::from_str(body).map_err(|_| MessageError::UnsupportedFormat)?;
        if record.name != name {
            return Err(MessageError::OtherDispatcher);
        }
        Ok(HandoverMessage {
            status: ProcessStatus {
                dispatcher_name: record.name,
                written_at_unix_us: record.at,
                writer_clock: record.clock.map(Micros),
                known_processes: record.found.map(|found| lives(&found)),
                phase: record.phase,
                change_log_seq: record.seq,
                targets: record.targets,
                session_count: record.sessions,
                drained_engines: record.drained,
                tenants: record.tenants.into_iter().map(Tenant::from).collect(),
                config_text: record.file,
            },
            handover_state: HandoverState {
                engines: record
                    .engines
                    .into_iter()
                    .map(EngineHandover::from)
                    .collect(),
                classes: record
                    .classes
                    .into_iter()
                    .map(ClassHandover::from)
                    .collect(),
                concurrency_limit: record.multiple,
            },
        })
    }

    /// Whether it was written since this reader came, at this Unix time: a file that was left by an earlier meeting was not.
    pub fn is_addressed_to(&self, reader: Incarnation, unix_now: Micros) -> bool {
        match &self.status.known_processes {
            Some(found) => found.contains(&reader),
            None => self.status.written_at_unix_us.abs_diff(unix_now.0) <= LASTS.0,
        }
    }

    /// What it holds, with times by the clock of a reader at which it is now this time.
    pub fn handover_state_at(&self, now: Micros) -> HandoverState {
        match self.status.writer_clock {
            Some(clock) => self.handover_state.clone().translate_clock(clock, now),
            None => self.handover_state.clone(),
        }
    }
}
