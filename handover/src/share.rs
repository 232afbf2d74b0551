//! What a process tells the others of its dispatcher, as a file: a head of one line, and JSON.

use crate::pair::{Life, Phase};
use miniserde::{Deserialize, Serialize, json};
use sedgebeam_core::{
    ClassHandover, ClassUsage, EngineHandover, EngineId, EngineUsage, HandoverState, Micros,
    TableGroupId, Tenant,
};
use sedgebeam_roster::Target;

/// Processes of another version say nothing to each other.
pub const VERSION: u32 = 1;
const MARK: &str = "sedgebeam-share";
/// The longest share: that of some thousands of engines.
const MOST_BYTES: usize = 8 << 20;
/// A share of a version that does not say whom it answers is out of date when its wall clock time is this far off.
const LASTS: Micros = Micros::from_millis(2000);

/// What a process tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    pub stated: Stated,
    pub held: HandoverState,
}

/// All of it but what the gateway holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Stated {
    /// The dispatcher's name.
    pub name: String,
    /// When it was written, in Unix microseconds: for versions that go by the wall clock. Others only see that it changes.
    pub at: u64,
    /// The time of the writer's own clock by which the times in what it holds are told; where it is missing, the reader's.
    pub clock: Option<Micros>,
    /// Whom the writer had found when it wrote. Missing in what versions wrote that go by the wall clock.
    pub found: Option<Vec<Life>>,
    pub phase: Phase,
    /// The change log's number, and the list that it left.
    pub seq: u64,
    pub targets: Vec<Target>,
    /// Sessions of clients.
    pub sessions: usize,
    /// What the administration has set: engines that it drained, and shares of tenants with their rates.
    pub drained: Vec<String>,
    pub tenants: Vec<Tenant>,
    /// The platform's file that is in use, as text.
    pub file: String,
}

/// Why a share is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is no share of this version.
    Foreign,
    /// It is not whole.
    Torn,
    /// It is of another dispatcher.
    Other,
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

fn lives(names: &[String]) -> Vec<Life> {
    names.iter().filter_map(|name| Life::named(name)).collect()
}

impl Share {
    pub fn encode(&self) -> Vec<u8> {
        let Stated {
            name,
            at,
            clock,
            found,
            phase,
            seq,
            targets,
            sessions,
            drained,
            tenants,
            file,
        } = self.stated.clone();
        let record = Record {
            name,
            at,
            clock: clock.map(|clock| clock.0),
            found: found.map(|found| found.iter().map(Life::name).collect()),
            phase,
            seq,
            targets,
            sessions,
            drained,
            tenants: tenants.into_iter().map(TenantRecord::from).collect(),
            file,
            engines: self.held.engines.iter().map(EngineRecord::from).collect(),
            classes: self.held.classes.iter().map(ClassRecord::from).collect(),
            multiple: self.held.concurrency_limit,
        };
        let body = json::to_string(&record);
        let sum = crc32fast::hash(body.as_bytes());
        format!("{MARK} {VERSION} {} {sum:08x}\n{body}", body.len()).into_bytes()
    }

    /// Reads a share of the dispatcher of this name.
    pub fn decode(bytes: &[u8], name: &str) -> Result<Share, Refused> {
        if bytes.len() > MOST_BYTES {
            return Err(Refused::Foreign);
        }
        let text = std::str::from_utf8(bytes).map_err(|_| Refused::Torn)?;
        let (head, body) = text.split_once('\n').ok_or(Refused::Torn)?;
        let words: Vec<&str> = head.split(' ').collect();
        let [mark, version, length, sum] = words[..] else {
            return Err(Refused::Foreign);
        };
        if mark != MARK || version.parse() != Ok(VERSION) {
            return Err(Refused::Foreign);
        }
        let whole = length.parse() == Ok(body.len())
            && u32::from_str_radix(sum, 16) == Ok(crc32fast::hash(body.as_bytes()));
        if !whole {
            return Err(Refused::Torn);
        }
        let record: Record = json::from_str(body).map_err(|_| Refused::Foreign)?;
        if record.name != name {
            return Err(Refused::Other);
        }
        Ok(Share {
            stated: Stated {
                name: record.name,
                at: record.at,
                clock: record.clock.map(Micros),
                found: record.found.map(|found| lives(&found)),
                phase: record.phase,
                seq: record.seq,
                targets: record.targets,
                sessions: record.sessions,
                drained: record.drained,
                tenants: record.tenants.into_iter().map(Tenant::from).collect(),
                file: record.file,
            },
            held: HandoverState {
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
    pub fn answers(&self, reader: Life, unix_now: Micros) -> bool {
        match &self.stated.found {
            Some(found) => found.contains(&reader),
            None => self.stated.at.abs_diff(unix_now.0) <= LASTS.0,
        }
    }

    /// What it holds, with times by the clock of a reader at which it is now this time.
    pub fn held_at(&self, now: Micros) -> HandoverState {
        match self.stated.clock {
            Some(clock) => self.held.clone().translate_clock(clock, now),
            None => self.held.clone(),
        }
    }
}
