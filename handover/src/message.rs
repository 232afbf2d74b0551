//! The message that a process writes to a file for the other processes of its dispatcher.

use crate::framing::{self, Format, MessageError};
use crate::process_pair::{Incarnation, Phase};
use miniserde::{Deserialize, Serialize, json};
use sedgebeam_core::{
    ClassHandover, ClassUsage, EngineHandover, EngineId, EngineUsage, HandoverState, Micros,
    TableGroupId, Tenant,
};
use sedgebeam_discovery::Target;

/// Processes ignore messages of another format version.
pub const FORMAT_VERSION: u32 = 1;
const FORMAT: Format = Format {
    name: "sedgebeam-share",
    version: FORMAT_VERSION,
    // Enough for several thousand engines.
    max_bytes: 8 << 20,
};
/// Maximum difference between the wall-clock times of writer and reader, for messages of versions
/// that do not list the processes that the writer had found.
const MAX_CLOCK_SKEW: Micros = Micros::from_millis(2000);

/// The state that a process hands over to the other processes of its dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct HandoverMessage {
    pub status: ProcessStatus,
    pub handover_state: HandoverState,
}

/// What a process reports of itself, apart from the state of its gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessStatus {
    pub dispatcher_name: String,
    /// For versions that compare the wall clock; the current version only checks that it changes.
    pub written_at_unix_us: u64,
    /// The writer's clock at the time of writing, to which times in the handover state refer.
    /// Without it, they refer to the reader's clock.
    pub writer_clock: Option<Micros>,
    /// The processes that the writer had found when it wrote. `None` in messages of versions that
    /// compare the wall clock.
    pub known_processes: Option<Vec<Incarnation>>,
    pub phase: Phase,
    /// Sequence number of the change log, and the engine list at that number.
    pub change_log_seq: u64,
    pub targets: Vec<Target>,
    /// Number of client sessions.
    pub session_count: usize,
    /// Set by operators at run time: drained engines, and the shares and rates of tenants.
    pub drained_engines: Vec<String>,
    pub tenants: Vec<Tenant>,
    /// Text of the configuration file that is in use.
    pub config_text: String,
}

/// The JSON form of a message. The field names of this and the following records are part of the
/// format.
#[derive(Serialize, Deserialize)]
struct MessageRecord {
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
    fn from(engine: &EngineHandover) -> EngineRecord {
        let (ejected_until, stalled_until) = engine.ejected_until;
        EngineRecord {
            engine: engine.engine.0,
            threads: engine.usage.threads,
            memory_mb: engine.usage.memory_mb,
            groups: engine
                .usage
                .table_groups
                .iter()
                .map(|group| group.0)
                .collect(),
            sent: engine
                .recent_sends
                .iter()
                .map(|(at, work)| (at.0, *work))
                .collect(),
            pace: engine.service_time_ratio,
            rests_until: (ejected_until.0, stalled_until.0),
        }
    }
}

impl From<EngineRecord> for EngineHandover {
    fn from(record: EngineRecord) -> EngineHandover {
        let recent_sends = record.sent.into_iter();
        EngineHandover {
            engine: EngineId(record.engine),
            usage: EngineUsage {
                threads: record.threads,
                memory_mb: record.memory_mb,
                table_groups: record.groups.into_iter().map(TableGroupId).collect(),
            },
            recent_sends: recent_sends.map(|(at, work)| (Micros(at), work)).collect(),
            service_time_ratio: record.pace,
            ejected_until: (Micros(record.rests_until.0), Micros(record.rests_until.1)),
        }
    }
}

impl From<&ClassHandover> for ClassRecord {
    fn from(class: &ClassHandover) -> ClassRecord {
        ClassRecord {
            name: class.name.clone(),
            threads: class.usage.threads,
            memory_mb: class.usage.memory_mb,
            ratio: class.usual_ratio,
            pace: class.service_time_ratio,
            took: class.mean_attempt_us,
            work: class.mean_work_us,
            taken: class.accepted_requests,
            spilled: class.spill_margin,
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

fn parse_incarnations(names: &[String]) -> Vec<Incarnation> {
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
        let record = MessageRecord {
            name: dispatcher_name,
            at: written_at_unix_us,
            clock: writer_clock.map(|clock| clock.0),
            found: known_processes
                .map(|processes| processes.iter().map(Incarnation::name).collect()),
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
        framing::encode(&FORMAT, &json::to_string(&record))
    }

    /// Decodes a message of the dispatcher `dispatcher_name`.
    pub fn decode(bytes: &[u8], dispatcher_name: &str) -> Result<HandoverMessage, MessageError> {
        let body = framing::decode(&FORMAT, bytes)?;
        let record: MessageRecord =
            json::from_str(body).map_err(|_| MessageError::UnsupportedFormat)?;
        if record.name != dispatcher_name {
            return Err(MessageError::OtherDispatcher);
        }
        Ok(HandoverMessage {
            status: ProcessStatus {
                dispatcher_name: record.name,
                written_at_unix_us: record.at,
                writer_clock: record.clock.map(Micros),
                known_processes: record.found.map(|names| parse_incarnations(&names)),
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

    /// Whether the message was written after `reader` started; a file that was left over from an
    /// earlier upgrade was not. `unix_now` is the current Unix time.
    pub fn is_addressed_to(&self, reader: Incarnation, unix_now: Micros) -> bool {
        match &self.status.known_processes {
            Some(processes) => processes.contains(&reader),
            None => self.status.written_at_unix_us.abs_diff(unix_now.0) <= MAX_CLOCK_SKEW.0,
        }
    }

    /// The handover state, with its times converted to the reader's clock, whose time is `now`.
    pub fn handover_state_at(&self, now: Micros) -> HandoverState {
        match self.status.writer_clock {
            Some(writer_now) => self.handover_state.clone().translate_clock(writer_now, now),
            None => self.handover_state.clone(),
        }
    }
}
