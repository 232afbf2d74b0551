//! Inputs and outputs of a gateway's state machine: settings, events and actions. Contains no decisions.

use std::ops::{Add, Sub};

/// A point in time or a duration, in microseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

impl Micros {
    pub const MAX: Micros = Micros(u64::MAX);

    pub const fn from_millis(millis: u64) -> Micros {
        Micros(millis.saturating_mul(1000))
    }

    /// This duration multiplied by `factor`; a negative or undefined result becomes zero.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// One request of a client; when a client retries, the request gets a new id.
    RequestId(u64);
    /// An engine; all gateways use the same id for it.
    EngineId(u64);
    /// Index into [`Settings::classes`].
    ClassId(usize);
    /// Index into [`Settings::tenants`].
    TenantId(usize);
    /// Index into [`Settings::kinds`].
    KindId(usize);
    /// A zone, numbered by the caller.
    ZoneId(usize);
    /// A cell: engines that share the record of the request keys that they have executed.
    CellId(u64);
    /// The group of tables that a query reads or writes.
    TableGroupId(u64);
    /// Order key of a request: a class may require that requests with one key run in order.
    Key(u64);
    /// Number of an attempt within its request, from 0.
    AttemptNo(u32);
    TimerId(u64);
}

impl Key {
    /// FNV-1a hash of the name, so that every gateway derives the same key.
    pub fn from_name(name: &str) -> Key {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        Key(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
    }
}

/// How often a request of a class may be executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    #[default]
    Repeatable,
    /// Repeats only go to engines that drop duplicates: those in this scope of the first attempt's engine,
    /// for [`Class::dedup_window`].
    Keyed(DedupScope),
    /// At most once: no repeat after an attempt that may have run.
    Once,
}

/// The engines that drop each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

/// A class of query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    pub name: String,
    pub worth: f64,
    /// Share of the worth that an answer earns after the time of `on_time`.
    pub late_share: f64,
    /// An answer is on time within this, plus `aim_stretch` times the work divided by the threads.
    pub on_time: Micros,
    pub aim_stretch: f64,
    /// Time after which the client gives up.
    pub give_up: Micros,
    pub effect: Effect,
    /// How long engines drop duplicates of a keyed request.
    pub dedup_window: Micros,
    pub threads: f64,
    /// A load: writes and holds its table group on its engine while it runs.
    pub holds_group: bool,
    /// Waits while a load holds its table group on the engine.
    pub waits_for_load: bool,
    pub in_key_order: bool,
    /// The client receives the answer while the attempt runs, so that it can't be replaced afterwards.
    pub is_streamed: bool,
    /// If set, the only kinds of engine, or zones, that run it.
    pub only_kinds: Option<Vec<KindId>>,
    pub only_zones: Option<Vec<ZoneId>>,
    /// Removed from the settings, or replaced by a changed class: takes no new requests, while those that were
    /// accepted keep its terms.
    pub retired: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    pub name: String,
    pub share: f64,
    /// Requests per second within its share, over all gateways; zero if unknown.
    pub requests_per_second: f64,
}

/// A kind of engine.
#[derive(Clone, Debug, Default)]
pub struct Kind {
    pub cores: f64,
    pub memory_mb: f64,
}

/// A budget for attempts after the first of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptBudget {
    pub window: Micros,
    pub free_attempts: f64,
    pub extra_per_request: f64,
}

/// How the gateway gets the engine list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListMode {
    /// Changes arrive without a request.
    #[default]
    Pushed,
    /// Changes arrive after [`Action::SubscribeToEngineList`].
    OnRequest,
}

/// How engines report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportMode {
    #[default]
    None,
    InAnswers,
    InProbes,
}

/// The configuration of a gateway.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub gateways: u32,
    /// This gateway's index among them, from 0, if configured.
    pub gateway_index: Option<u32>,
    pub zone: Option<ZoneId>,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub kinds: Vec<Kind>,
    pub list_mode: ListMode,
    pub load_reports: LoadReportMode,
    pub drain_grace: Micros,
    /// A started engine has at least this share of its capacity, and all of it after `warm_after`.
    pub start_capacity: f64,
    pub warm_after: Micros,
    /// An engine fails if it is sent more than this multiple of its capacity during `overload_window`.
    pub overload_multiple: f64,
    pub overload_window: Micros,
    /// After an attempt that may still be running, no request of its key is sent for this long.
    pub key_quiet_period: Micros,
    pub attempt_budget: Option<AttemptBudget>,
    /// Limit of the attempts per request; zero for no limit.
    pub max_attempts: u32,
    pub may_cancel: bool,
    pub second_copies: bool,
    pub may_probe: bool,
    /// Cost of a probe in units of the mean worth of a request; zero if unknown.
    pub probe_cost: f64,
    pub takes_grants: bool,
    pub takes_priorities: bool,
    /// Engines queue a query while memory is short; otherwise they grant it less, or page.
    pub queues_for_memory: bool,
    /// Largest share of an engine's memory that one query gets.
    pub max_grant_share: f64,
    /// Interval of an engine's notes of progress; zero if it sends none.
    pub note_interval: Micros,
    /// Longest retry delay that clients heed; zero if they get no advice.
    pub max_retry_after: Micros,
    /// A final answer may arrive this long after the client's deadline.
    pub answer_slack: Micros,
    /// Shortest interval between two calls of the gateway.
    pub tick: Micros,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// An entry of the engine list.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub id: EngineId,
    pub zone: Option<ZoneId>,
    pub kind: Option<KindId>,
    pub cell: CellId,
    pub state: EngineState,
    /// Time of its last start; zero if that is long ago.
    pub started_at: Micros,
}

impl Engine {
    pub fn ready(id: EngineId) -> Engine {
        Engine {
            id,
            ..Engine::default()
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries.
    Changes,
    /// All engines; others no longer exist.
    Complete,
    /// All engines, as saved by this gateway before it restarted.
    Saved,
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Query {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<Key>,
    /// Time until the client gives up this request.
    pub remaining: Micros,
    /// Estimated work, summed over all threads, and memory; zero if unknown.
    pub work: Micros,
    pub memory_mb: f64,
    pub table_group: TableGroupId,
    /// The client marks the request as a retry. No decision depends on this yet.
    pub is_retry: bool,
}

impl Query {
    pub fn new(id: RequestId, class: ClassId, remaining: Micros) -> Query {
        Query {
            id,
            class,
            remaining,
            ..Query::default()
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    /// The engine did not accept the query, as it is full.
    Rejected,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
}

impl Outcome {
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// How busy an engine is, as reported by it; `None` for what it does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub active_queries: Option<f64>,
    pub queries_waiting_for_memory: Option<f64>,
    pub busy_cores_share: Option<f64>,
    pub granted_memory_share: Option<f64>,
}

/// What an engine reports about an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share of the work that is done, from 0 to 1.
    Progress(f64),
    /// Megabytes that the memory grant is short of, so that the query spills to disk.
    Spills(f64),
    WaitsForMemory,
    WaitsForLoad,
}

#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub engine: EngineId,
    pub outcome: Outcome,
    pub elapsed: Micros,
    /// The client has its final answer: no further attempt is needed.
    pub request_finished: bool,
    /// The work that the engine did, if reported.
    pub work: Option<Micros>,
    pub load_report: Option<LoadReport>,
}

#[derive(Clone, Debug)]
pub enum Event {
    List {
        kind: ListKind,
        engines: Vec<Engine>,
    },
    ListFailed,
    Request(Query),
    /// The answer of a streamed attempt has started.
    Started(RequestId, AttemptNo),
    Note(RequestId, AttemptNo, Note),
    Ended(AttemptEnded),
    ClientLeft(RequestId),
    Probed(EngineId, Outcome, Option<LoadReport>),
    Timer(TimerId),
    /// The gateway shuts down: every request without a final answer gets one now.
    Shutdown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Memory grant (zero: the engine chooses) and priority of the request's next attempt.
    AttemptResources {
        request: RequestId,
        memory_mb: f64,
        priority: u8,
    },
    /// Starts the request's next attempt, which times out after `timeout`. If `starts_by` is set and the attempt
    /// can't begin at its engine by then, as connecting takes long, it must not be sent.
    Send {
        request: RequestId,
        engine: EngineId,
        timeout: Micros,
        starts_by: Option<Micros>,
    },
    Cancel {
        request: RequestId,
        attempt: AttemptNo,
    },
    /// Final answer: refused; a retry is harmless, best after `retry_after` (zero: no advice).
    Refuse {
        request: RequestId,
        retry_after: Micros,
    },
    /// Final answer: failed; the query may have run.
    Fail {
        request: RequestId,
    },
    Timer {
        timer: TimerId,
        at: Micros,
    },
    Probe {
        engine: EngineId,
    },
    SubscribeToEngineList,
    Log(String),
}

impl Action {
    pub fn attempt_resources(request: RequestId, memory_mb: f64, priority: u8) -> Action {
        Action::AttemptResources {
            request,
            memory_mb,
            priority,
        }
    }

    pub fn send(request: RequestId, engine: EngineId, timeout: Micros) -> Action {
        Action::Send {
            request,
            engine,
            timeout,
            starts_by: None,
        }
    }

    pub fn refuse(request: RequestId, retry_after: Micros) -> Action {
        Action::Refuse {
            request,
            retry_after,
        }
    }
}
