//! What goes into and comes out of a gateway: settings, events, actions. No decisions.

use std::ops::{Add, Sub};

/// A point in time or a length of time, in microseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

impl Micros {
    pub const MAX: Micros = Micros(u64::MAX);

    pub const fn from_millis(millis: u64) -> Micros {
        Micros(millis.saturating_mul(1000))
    }

    /// This length multiplied by `factor`; a negative or undefined result is zero.
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
    /// One request of a client; a client's next try has another id.
    RequestId(u64);
    /// An engine, the same at every gateway.
    EngineId(u64);
    /// Place in [`Settings::classes`].
    ClassId(usize);
    /// Place in [`Settings::tenants`].
    TenantId(usize);
    /// Place in [`Settings::kinds`].
    KindId(usize);
    /// A zone, numbered by the caller.
    ZoneId(usize);
    /// A cell: engines that share which keys they have seen.
    CellId(u64);
    /// The group of tables that a query reads or writes.
    TableGroupId(u64);
    /// Requests with the same key may have to keep their order.
    Key(u64);
    /// Names an attempt within its request, from 0.
    AttemptNo(u32);
    /// Names a timer.
    TimerId(u64);
}

impl Key {
    /// The key of this name: the same at every gateway.
    pub fn from_name(name: &str) -> Key {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        Key(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
    }
}

/// What may happen to a request of a class when it is sent more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    #[default]
    Repeatable,
    /// Only where repeats are dropped: within this group, for [`Class::window`].
    Keyed(DedupScope),
    /// Never, once it may have run.
    Once,
}

/// The engines that drop each other's repeats.
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
    /// Share of the worth that a late answer earns.
    pub late_share: f64,
    /// Wanted within this, plus `aim_stretch` times the work over the threads.
    pub on_time: Micros,
    pub aim_stretch: f64,
    /// The client gives up after this.
    pub give_up: Micros,
    pub effect: Effect,
    /// How long a repeat of a keyed request is dropped.
    pub dedup_window: Micros,
    pub threads: f64,
    /// A load: holds its table group on its engine while it runs.
    pub holds_group: bool,
    /// Stands still while a load holds its table group.
    pub waits_for_load: bool,
    pub in_key_order: bool,
    /// The answer is streamed: the client has it from its start on.
    pub is_streamed: bool,
    /// Where given, the only kinds, or zones, it may be sent to.
    pub only_kinds: Option<Vec<KindId>>,
    pub only_zones: Option<Vec<ZoneId>>,
    /// It has vanished from the settings, or has other terms there: what is under way of it ends as it began.
    pub retired: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    pub name: String,
    pub share: f64,
    /// Requests a second within its share, over all gateways; zero where not told.
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

/// How the list of engines comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListMode {
    /// Changes come by themselves.
    #[default]
    Pushed,
    /// Changes come after [`Action::Follow`].
    OnRequest,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportMode {
    #[default]
    None,
    InAnswers,
    InProbes,
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub gateways: u32,
    /// This gateway's number among them, where told.
    pub gateway_index: Option<u32>,
    pub zone: Option<ZoneId>,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub kinds: Vec<Kind>,
    pub list_mode: ListMode,
    pub load_reports: LoadReportMode,
    pub drain_grace: Micros,
    /// A starting engine can do at least this share of its capacity, and all of it after `warm_after`.
    pub start_capacity: f64,
    pub warm_after: Micros,
    /// Sent more than this multiple of what it can do, for `overload_for`, it falls over.
    pub overload_multiple: f64,
    pub overload_window: Micros,
    /// A key rests this long after an attempt that may still be running.
    pub key_quiet_period: Micros,
    pub attempt_budget: Option<AttemptBudget>,
    /// Most attempts for a request; zero where not told.
    pub max_attempts: u32,
    pub may_cancel: bool,
    pub second_copies: bool,
    pub may_probe: bool,
    /// What a probe costs, in mean requests' worth; zero where not told.
    pub probe_cost: f64,
    pub takes_grants: bool,
    pub takes_priorities: bool,
    /// A query waits in the engine's line while memory is short; else it gets less, or all slow down.
    pub queues_for_memory: bool,
    /// Most of an engine's memory that one query gets.
    pub max_grant_share: f64,
    /// Time between notes of progress; zero where there are none.
    pub note_interval: Micros,
    /// The longest advice that clients follow; zero where they get none.
    pub max_retry_after: Micros,
    /// A final answer may come this long after the client's deadline.
    pub answer_slack: Micros,
    /// The shortest time between two calls.
    pub tick: Micros,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// An entry of the list of engines.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub id: EngineId,
    pub zone: Option<ZoneId>,
    pub kind: Option<KindId>,
    pub cell: CellId,
    pub state: EngineState,
    /// When it last started; zero for long ago.
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
    /// Only what changed.
    Changes,
    /// All engines; others are gone.
    Complete,
    /// All engines as this gateway last saw them, before it restarted.
    Saved,
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Query {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<Key>,
    /// Time until the client gives up this try.
    pub remaining: Micros,
    /// Estimated work of all its threads, and memory; zero where not told.
    pub work: Micros,
    pub memory_mb: f64,
    pub table_group: TableGroupId,
    /// The client says that it has tried before, where clients mark that; nothing is decided by it yet.
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
    /// Turned away unseen.
    Rejected,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Not sent.
    NotSent,
}

impl Outcome {
    /// Whether the attempt may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// What an engine says of its load; a value it does not give is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries that it holds.
    pub active_queries: Option<f64>,
    /// Queries that wait for memory.
    pub queries_waiting_for_memory: Option<f64>,
    /// Share of its cores that is busy.
    pub busy_cores_share: Option<f64>,
    /// Share of its memory that is granted.
    pub granted_memory_share: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share done.
    Progress(f64),
    /// Megabytes missing.
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
    /// The request is finished: nothing more is owed for it.
    pub request_finished: bool,
    /// The work that it took, where told.
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
    /// Word on an attempt that is out.
    Note(RequestId, AttemptNo, Note),
    Ended(AttemptEnded),
    ClientLeft(RequestId),
    /// What a probe found.
    Probed(EngineId, Outcome, Option<LoadReport>),
    Timer(TimerId),
    /// The gateway ends: all that has no final answer yet gets one now.
    Shutdown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Memory (zero: the engine chooses) and priority for what is sent next.
    AttemptResources {
        request: RequestId,
        memory_mb: f64,
        priority: u8,
    },
    /// Start the request's next attempt; it times out after `timeout`. Where `starts_by` is told it must have begun at
    /// its engine by then, however long its connection takes, or not at all.
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
    /// Final answer: turned away, harmless to try again after `retry_after` (zero: no advice).
    Refuse {
        request: RequestId,
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise.
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
    /// Ask for the list of engines and its changes.
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
