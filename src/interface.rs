//! Inputs and outputs of a gateway's state machine: settings, events and actions. Contains no decisions.

use std::ops::{Add, Sub};

/// A point in time or a duration, in microseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

impl Micros {
    /// Stands for a time that is never reached.
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
    /// Order key of a request. A class may require that requests with the same key run in order of arrival.
    Key(u64);
    /// Number of an attempt within its request, from 0.
    AttemptNo(u32);
    /// Identifies a timer that the gateway requests with [`Action::Timer`].
    TimerId(u64);
}

impl Key {
    /// FNV-1a hash of the name, so that every gateway derives the same key.
    pub fn from_name(name: &str) -> Key {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        Key(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
    }
}

/// How often a request of a class may be executed, by the effect of a repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    #[default]
    Repeatable,
    /// Any number of times, but repeats are sent only to engines that drop duplicates of the first attempt:
    /// those in this scope of its engine, for [`Class::dedup_window`].
    Keyed(DedupScope),
    /// At most once: it is not repeated after an attempt that may have run.
    Once,
}

impl Effect {
    /// Whether running a query again under the same id never does harm.
    pub fn is_repeat_harmless(self) -> bool {
        matches!(self, Effect::Repeatable | Effect::Keyed(DedupScope::All))
    }
}

/// The engines that drop each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// A class of query: requests with the same worth, time limits and rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    pub name: String,
    /// Worth of an answer that is on time. Only the ratio to the worth of other classes matters.
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_share: f64,
    /// An answer is on time within this, plus `aim_stretch` times the work divided by the threads.
    pub on_time: Micros,
    /// Multiple of the work divided by the threads that is added to `on_time`.
    pub aim_stretch: f64,
    /// Time after which the client gives up.
    pub give_up: Micros,
    pub effect: Effect,
    /// How long engines drop duplicates of a keyed request.
    pub dedup_window: Micros,
    /// Threads that a query uses on its engine.
    pub threads: f64,
    /// The query is a load: it writes its table group, and holds the group on its engine while it runs.
    pub holds_group: bool,
    /// The query waits while a load holds its table group on the engine.
    pub waits_for_load: bool,
    /// Requests with the same key run one after the other, in order of arrival.
    pub in_key_order: bool,
    /// The client receives the answer while the attempt runs, so that it can't be replaced afterwards.
    pub is_streamed: bool,
    /// If set, the only kinds of engine that run it.
    pub only_kinds: Option<Vec<KindId>>,
    /// If set, the only zones whose engines run it.
    pub only_zones: Option<Vec<ZoneId>>,
    /// Removed from the settings, or replaced by a changed class. It takes no new requests; those that were
    /// accepted keep its settings.
    pub retired: bool,
}

/// A group of clients that is entitled to a share of each class's capacity.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    pub name: String,
    /// Weight among the tenants; if none has one, all are equal.
    pub share: f64,
    /// Requests per second within its share, over all gateways; zero if unknown.
    pub requests_per_second: f64,
}

/// A kind of engine, by its size.
#[derive(Clone, Debug, Default)]
pub struct Kind {
    pub cores: f64,
    pub memory_mb: f64,
}

/// A budget for attempts after the first of each request: in any window, `free_attempts` plus
/// `extra_per_request` for each request accepted in it.
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
    /// With each answer.
    InAnswers,
    /// In reply to [`Action::Probe`].
    InProbes,
}

/// The configuration of a gateway.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways that share the engines.
    pub gateways: u32,
    /// This gateway's index among them, from 0, if configured.
    pub gateway_index: Option<u32>,
    /// Zone of this gateway.
    pub zone: Option<ZoneId>,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub kinds: Vec<Kind>,
    pub list_mode: ListMode,
    pub load_reports: LoadReportMode,
    /// How long queries may still be sent to an engine after it started to drain. No decision depends on
    /// this, as the gateway stops sending at once.
    pub drain_grace: Micros,
    /// Share of its capacity that an engine has when it starts.
    pub start_capacity: f64,
    /// Time after its start when an engine has its full capacity; before, it is cold.
    pub warm_after: Micros,
    /// An engine fails if it is sent more than this multiple of its current capacity within
    /// `overload_window`.
    pub overload_multiple: f64,
    pub overload_window: Micros,
    /// After a request with an attempt that may still run, no other request of its key is sent for this long.
    pub key_quiet_period: Micros,
    pub attempt_budget: Option<AttemptBudget>,
    /// Limit of the attempts per request; zero for no limit.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether a request may have two attempts in flight.
    pub second_copies: bool,
    /// Whether engines may be probed.
    pub may_probe: bool,
    /// Cost of a probe in units of the mean worth of a request; zero if unknown.
    pub probe_cost: f64,
    /// Engines use the memory grant of [`Action::AttemptResources`].
    pub takes_grants: bool,
    /// Engines use the priority of [`Action::AttemptResources`].
    pub takes_priorities: bool,
    /// Engines queue a query while memory is short. Otherwise they grant it less memory, or page.
    pub queues_for_memory: bool,
    /// Largest share of an engine's memory that one query gets.
    pub max_grant_share: f64,
    /// Interval of an engine's notes about the progress of each attempt; zero if it sends none.
    pub note_interval: Micros,
    /// Longest retry delay that clients heed, and so that a refusal advises; zero if clients get no advice.
    pub max_retry_after: Micros,
    /// A final answer may arrive this long after the client's deadline.
    pub answer_slack: Micros,
    /// Shortest interval between two calls of [`crate::Gateway::handle`].
    pub tick: Micros,
}

/// State of an engine in the engine list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// Accepts queries.
    #[default]
    Ready,
    /// Finishes its queries and gets no new ones.
    Draining,
    /// No longer exists.
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
    /// An engine that is ready, of unknown kind and zone.
    pub fn ready(id: EngineId) -> Engine {
        Engine {
            id,
            ..Engine::default()
        }
    }
}

/// What an engine list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The entries that changed.
    Changes,
    /// All engines; those that it lacks no longer exist.
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
    /// Time from now until the client gives up this request.
    pub remaining: Micros,
    /// Estimated work, summed over all threads; zero if unknown.
    pub work: Micros,
    /// Estimated memory; zero if unknown.
    pub memory_mb: f64,
    /// The tables that the query reads or writes.
    pub table_group: TableGroupId,
    /// The client marks the request as a retry. No decision depends on this yet.
    pub is_retry: bool,
}

impl Query {
    /// A request without a tenant, a key or estimates.
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
    /// The engine answered with an error.
    Error,
    /// The engine did not accept the query, as it is full.
    Rejected,
    /// No answer came within the attempt's timeout.
    TimedOut,
    /// No connection to the engine could be established.
    ConnectFailed,
    /// The connection broke after the query may have been sent.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The query was not sent or not run, as it was no longer of use or could not start in time.
    NotSent,
}

impl Outcome {
    /// Whether the engine may have executed the query, in part or in full.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }

    /// Whether the engine may still execute the query.
    pub fn may_still_run(self) -> bool {
        matches!(
            self,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        )
    }
}

/// How busy an engine is, as reported by it; `None` for what it does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of queries that run.
    pub active_queries: Option<f64>,
    /// Number of queries that wait for their memory grant.
    pub queries_waiting_for_memory: Option<f64>,
    /// Share of the cores that are busy, from 0 to 1.
    pub busy_cores_share: Option<f64>,
    /// Share of the memory that is granted to queries, from 0 to 1.
    pub granted_memory_share: Option<f64>,
}

/// What an engine reports about an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share of the work that is done, from 0 to 1.
    Progress(f64),
    /// The query spills to disk, as its memory grant is short of this many megabytes.
    Spills(f64),
    WaitsForMemory,
    /// The query waits for a load that holds its table group.
    WaitsForLoad,
}

/// The end of an attempt, with what the engine reported in its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub engine: EngineId,
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// The client has its final answer, so no further attempt is needed.
    pub request_finished: bool,
    /// The work that the engine did, summed over all threads, if reported.
    pub work: Option<Micros>,
    pub load_report: Option<LoadReport>,
}

/// What happened since the last call of the gateway.
#[derive(Clone, Debug)]
pub enum Event {
    /// Entries of the engine list arrived.
    List {
        kind: ListKind,
        engines: Vec<Engine>,
    },
    /// The subscription to the engine list failed.
    ListFailed,
    Request(Query),
    /// The answer of a streamed attempt has started.
    Started(RequestId, AttemptNo),
    Note(RequestId, AttemptNo, Note),
    Ended(AttemptEnded),
    /// The client no longer waits for the answer.
    ClientLeft(RequestId),
    /// A probe ended, with the engine's load if it reported one.
    Probed(EngineId, Outcome, Option<LoadReport>),
    /// The time of an [`Action::Timer`] has come.
    Timer(TimerId),
    /// The gateway shuts down: every request without a final answer gets one now.
    Shutdown,
}

/// What the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets the memory grant (zero: the engine chooses) and the priority (1 is the lowest) of the request's
    /// next attempt.
    AttemptResources {
        request: RequestId,
        memory_mb: f64,
        priority: u8,
    },
    /// Starts the request's next attempt, which times out after `timeout`. If `starts_by` is set, the attempt
    /// must not be sent unless it can begin at its engine before that time, however long connecting takes.
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
    /// Gives the client the final answer that the request is refused. A retry is harmless; it is advised
    /// after `retry_after` (zero: no advice).
    Refuse {
        request: RequestId,
        retry_after: Micros,
    },
    /// Gives the client the final answer that the request failed. The query may have run.
    Fail { request: RequestId },
    /// Asks for an [`Event::Timer`] at the given time.
    Timer { timer: TimerId, at: Micros },
    /// Asks an engine for its load.
    Probe { engine: EngineId },
    /// Asks for the engine list and its changes.
    SubscribeToEngineList,
    /// Writes a line to the operator's log.
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
