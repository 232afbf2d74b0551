//! Routes requests from fronts to the brokers of one or several shards, and broadcasts engine list changes, settings
//! and administration requests to all of them.
//!
//! A request goes to the shard selected by a hash of its id, so that all shards get the same mix of requests regardless
//! of the client connection. A shard without a recent heartbeat gets no requests while another shard has one.
//!
//! A request with an order key always goes to the shard selected by the key. It waits until that shard is open, and the
//! shard receives such requests in the order in which they were submitted.

use crate::clock::{to_duration, to_micros};
use crate::replicated_state::ReplicatedState;
use crate::{
    AdminError, AdminRequest, AdminResponse, Answer, BrokerMessage, BrokerSender, Failure,
    ListUpdate, NewRequest, PendingAnswer, SessionKey, Target,
};
use sedgebeam_core::{Effect, HandoverState, Key, Micros, RequestId, Tenant, splitmix64};
use sedgebeam_operation::Metrics;
use sedgebeam_reconfigure::{RuntimeSettings, SettingsTable};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex as SyncMutex, PoisonError, RwLock};
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard, broadcast, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

/// Interval between the heartbeats of a broker if there are several shards.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
/// A shard without a heartbeat for this long gets no requests.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of unmatched cancels that a subscriber may be behind; it misses older ones.
const UNMATCHED_CANCEL_CAPACITY: usize = 1024;
/// Maximum wait for the reply of a broker.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// The router's view of one shard.
struct ShardSlot {
    /// `None` until the shard's broker is registered and after it has died.
    mailbox: watch::Sender<Option<BrokerSender>>,
    /// Time of the broker's last heartbeat, in milliseconds since the router started.
    last_heartbeat_ms: AtomicU64,
    /// Locked by a request with an order key until it is submitted. The lock is fair, which keeps the requests in
    /// order.
    submit_lock: Mutex<()>,
}

impl ShardSlot {
    fn new() -> ShardSlot {
        ShardSlot {
            mailbox: watch::Sender::new(None),
            last_heartbeat_ms: AtomicU64::new(0),
            submit_lock: Mutex::new(()),
        }
    }

    fn mailbox(&self) -> Option<BrokerSender> {
        self.mailbox.borrow().clone()
    }

    /// Waits until the shard's broker is registered.
    async fn wait_until_open(&self) -> BrokerSender {
        let mut mailbox = self.mailbox.subscribe();
        loop {
            if let Some(broker) = mailbox.borrow_and_update().clone() {
                return broker;
            }
            // The channel can't close: `self` owns its sender.
            let _ = mailbox.changed().await;
        }
    }

    /// Waits until the shard's broker is registered and all earlier ordered requests are submitted.
    async fn ordered_route(&self) -> Route<'_> {
        let submit_guard = self.submit_lock.lock().await;
        Route {
            broker: Some(self.wait_until_open().await),
            _submit_guard: Some(submit_guard),
        }
    }
}

/// The broker that a request is submitted to. For an ordered request also the guard that keeps later ones waiting until
/// it is submitted.
struct Route<'router> {
    broker: Option<BrokerSender>,
    _submit_guard: Option<MutexGuard<'router, ()>>,
}

struct Shared {
    slots: Vec<ShardSlot>,
    metrics: Metrics,
    /// The settings that all brokers have applied.
    runtime_settings: RwLock<Arc<RuntimeSettings>>,
    /// Clients choose their request ids: without a seed a client could direct all of its requests to one shard.
    hash_seed: u64,
    started_at: Instant,
    /// The open request of each session, for cancellation.
    sessions: Sessions,
    /// Cancels of sessions that have no open request here.
    unmatched_cancels: broadcast::Sender<UnmatchedCancel>,
    /// Locked during broadcasts, so that all brokers receive them in the same order.
    replicated_state: Mutex<ReplicatedState>,
}

/// The open request of a session.
#[derive(Clone, Debug)]
struct SessionRequest {
    id: RequestId,
    opened_at: Instant,
    cancel_token: CancellationToken,
    /// `None` until the request is routed.
    broker: Option<BrokerSender>,
}

/// A cancel for a session that has no request open here.
#[derive(Clone, Copy, Debug)]
pub struct UnmatchedCancel {
    pub session: SessionKey,
    pub received_at: Instant,
}

type Sessions = Arc<SyncMutex<HashMap<SessionKey, SessionRequest>>>;

/// A session's entry in [`Sessions`], removed on drop.
#[derive(Debug)]
pub(crate) struct SessionEntry {
    sessions: Sessions,
    key: SessionKey,
}

impl SessionEntry {
    fn new(sessions: &Sessions, request: &NewRequest) -> Option<SessionEntry> {
        let (key, sessions) = (request.session?, sessions.clone());
        let entry = SessionRequest {
            id: request.id,
            opened_at: Instant::now(),
            cancel_token: request.cancel_token.clone(),
            broker: None,
        };
        sessions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(key, entry);
        Some(SessionEntry { sessions, key })
    }

    /// Sets the broker that is notified when the request is cancelled.
    fn set_broker(&self, broker: &BrokerSender) {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = sessions.get_mut(&self.key) {
            entry.broker = Some(broker.clone());
        }
    }
}

impl Drop for SessionEntry {
    fn drop(&mut self) {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.remove(&self.key);
    }
}

/// Routes requests to brokers and broadcasts messages to all of them; clones share one state.
#[derive(Clone)]
pub struct RequestRouter {
    shared: Arc<Shared>,
}

/// A broker has ended and no longer receives messages.
#[derive(Debug)]
pub struct BrokerClosed;

impl RequestRouter {
    /// Creates a router for `shard_count` shards, none of which is open yet.
    pub fn new(
        shard_count: usize,
        seed: u64,
        metrics: Metrics,
        runtime_settings: RuntimeSettings,
    ) -> RequestRouter {
        RequestRouter {
            shared: Arc::new(Shared {
                slots: (0..shard_count).map(|_| ShardSlot::new()).collect(),
                metrics,
                runtime_settings: RwLock::new(Arc::new(runtime_settings.clone())),
                hash_seed: seed,
                started_at: Instant::now(),
                sessions: Sessions::default(),
                unmatched_cancels: broadcast::Sender::new(UNMATCHED_CANCEL_CAPACITY),
                replicated_state: Mutex::new(ReplicatedState::new(SettingsTable::new(
                    runtime_settings,
                ))),
            }),
        }
    }

    fn slots(&self) -> &[ShardSlot] {
        &self.shared.slots
    }

    fn mailbox(&self, shard: usize) -> Option<BrokerSender> {
        self.slots().get(shard)?.mailbox()
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.shared.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records a heartbeat of the shard's broker.
    pub fn heartbeat(&self, shard: usize) {
        if let Some(slot) = self.slots().get(shard) {
            slot.last_heartbeat_ms
                .store(self.now_ms(), Ordering::Relaxed);
        }
    }

    /// Whether the shard is open and has sent a heartbeat within `HEARTBEAT_TIMEOUT`.
    pub fn is_alive(&self, shard: usize) -> bool {
        let Some(slot) = self.slots().get(shard) else {
            return false;
        };
        let last_heartbeat_ms = slot.last_heartbeat_ms.load(Ordering::Relaxed);
        slot.mailbox.borrow().is_some()
            && self.now_ms() < last_heartbeat_ms + HEARTBEAT_TIMEOUT.as_millis() as u64
    }

    /// Waits until all shards are open.
    pub async fn wait_until_open(&self) {
        for slot in self.slots() {
            slot.wait_until_open().await;
        }
    }

    /// Registers the broker of a shard: sends it the current settings, engine list and drains, then opens the shard.
    pub async fn open_shard(
        &self,
        shard: usize,
        mailbox: BrokerSender,
    ) -> Result<(), BrokerClosed> {
        let state = self.shared.replicated_state.lock().await;
        // The settings go first because later messages use their numbering of classes, kinds and zones.
        let (applied, _) = oneshot::channel();
        let reconfigure = BrokerMessage::Reconfigure(self.runtime_settings(), applied);
        mailbox.send(reconfigure).await.map_err(|_| BrokerClosed)?;
        let list = BrokerMessage::EngineList(ListUpdate::Saved, state.targets());
        mailbox.send(list).await.map_err(|_| BrokerClosed)?;
        for request in state.replay_requests() {
            let (reply, _) = oneshot::channel();
            let sent = mailbox.send(BrokerMessage::Admin(request, reply)).await;
            sent.map_err(|_| BrokerClosed)?;
        }
        self.heartbeat(shard);
        if let Some(slot) = self.slots().get(shard) {
            slot.mailbox.send_replace(Some(mailbox));
        }
        Ok(())
    }

    /// Closes a shard whose broker has died.
    pub fn close_shard(&self, shard: usize) {
        if let Some(slot) = self.slots().get(shard) {
            slot.mailbox.send_replace(None);
        }
    }

    /// Selects a shard by a hash of `id`; each `hash_round` gives an independent selection.
    fn select_shard(&self, id: u64, hash_round: u64) -> usize {
        (splitmix64(id ^ splitmix64(self.shared.hash_seed ^ hash_round))
            % self.slots().len() as u64) as usize
    }

    /// The broker for a request without an order key: that of the shard selected by its id, or, if that shard is not
    /// alive, of another one.
    fn unordered_broker(&self, id: RequestId) -> Option<BrokerSender> {
        let shards = self.slots().len() as u64;
        if shards == 1 {
            return self.mailbox(0);
        }
        let selected = (0..4 * shards).map(|hash_round| self.select_shard(id.0, hash_round));
        let mut alive = selected.filter(|shard| self.is_alive(*shard));
        let broker = alive.find_map(|shard| self.mailbox(shard));
        broker.or_else(|| self.mailbox(self.select_shard(id.0, 0)))
    }

    /// The shard that all requests with this order key go to, if there is a key and more than one shard.
    fn ordered_slot(&self, request: &NewRequest) -> Option<&ShardSlot> {
        let key = Key::from_name(request.order_key.as_deref()?);
        let slots = self.slots();
        (slots.len() > 1).then(|| &slots[self.select_shard(key.0, 0)])
    }

    /// Selects the broker for a request. An ordered request waits for its shard until its deadline, because no other
    /// shard knows the earlier requests with its key. The error is the answer to a request that is not submitted.
    async fn route(&self, request: &NewRequest) -> Result<Route<'_>, Answer> {
        let Some(slot) = self.ordered_slot(request) else {
            return Ok(Route {
                broker: self.unordered_broker(request.id),
                _submit_guard: None,
            });
        };
        tokio::select! {
            biased;
            () = request.cancel_token.cancelled() => Err(Answer::Failed(Failure::Cancelled)),
            route = slot.ordered_route() => Ok(route),
            // The request has not run, so a retry is safe for any class.
            () = sleep_until(request.deadline) => Err(self.refusal()),
        }
    }

    fn refusal(&self) -> Answer {
        Answer::Refused {
            retry_after: to_duration(self.runtime_settings().settings.max_retry_after),
        }
    }

    /// Submits a request to a broker and returns the future for its answer.
    pub async fn submit(&self, request: NewRequest) -> PendingAnswer {
        let (reply, answer) = oneshot::channel();
        let runtime_settings = self.runtime_settings();
        let class = runtime_settings.settings.classes.get(request.class.0);
        let fallback = match class {
            Some(class) if class.effect == Effect::Repeatable => self.refusal(),
            _ => Answer::Failed(Failure::ShuttingDown),
        };
        let running_request = class.map(|class| self.shared.metrics.start_request(&class.name));
        let session_entry = SessionEntry::new(&self.shared.sessions, &request);
        let route = match self.route(&request).await {
            Ok(route) => route,
            Err(early_answer) => {
                let _ = reply.send(early_answer);
                return PendingAnswer::new(
                    &request,
                    answer,
                    None,
                    fallback,
                    running_request,
                    session_entry,
                );
            }
        };
        if let (Some(session_entry), Some(broker)) = (&session_entry, &route.broker) {
            session_entry.set_broker(broker);
        }
        let broker = route.broker.clone();
        let pending = PendingAnswer::new(
            &request,
            answer,
            broker,
            fallback,
            running_request,
            session_entry,
        );
        if request.cancel_token.is_cancelled() {
            // If it was cancelled before the session's entry had its broker, the broker was not notified.
            let _ = reply.send(Answer::Failed(Failure::Cancelled));
        } else if let Some(broker) = &route.broker {
            // If the broker has ended, the reply is dropped with the message, and the fallback answers.
            let _ = broker.send(BrokerMessage::Submit(request, reply)).await;
        }
        pending
    }

    fn open_brokers(&self) -> impl Iterator<Item = BrokerSender> {
        (0..self.slots().len()).filter_map(|shard| self.mailbox(shard))
    }

    /// Cancels the open request of a session. Nothing more of it is sent from now on; the broker is notified as well.
    /// Without an open request here, passes the cancel to the subscribers of unmatched cancels, because the session may be
    /// that of another process of this dispatcher.
    pub async fn cancel(&self, session: SessionKey) {
        let received_at = Instant::now();
        if !self.cancel_request_open_at(session, received_at).await {
            let unmatched_cancel = UnmatchedCancel {
                session,
                received_at,
            };
            // Fails only without subscribers.
            let _ = self.shared.unmatched_cancels.send(unmatched_cancel);
        }
    }

    /// Cancels the request of a session if it is still open and was open at `cancelled_at`; returns whether it was.
    pub async fn cancel_request_open_at(&self, session: SessionKey, cancelled_at: Instant) -> bool {
        let session_request = {
            let sessions = self.shared.sessions.lock();
            let sessions = sessions.unwrap_or_else(PoisonError::into_inner);
            let session_request = sessions.get(&session);
            let session_request =
                session_request.filter(|request| request.opened_at <= cancelled_at);
            // Under the lock, before the entry gets its broker: `submit` checks the token after setting it.
            if let Some(request) = session_request {
                request.cancel_token.cancel();
            }
            session_request.cloned()
        };
        let Some(SessionRequest { id, broker, .. }) = session_request else {
            return false;
        };
        if let Some(broker) = broker {
            // A broker that has ended has nothing to cancel.
            let _ = broker.send(BrokerMessage::ClientLeft(id)).await;
        }
        true
    }

    /// Receives all later cancels for which no request is open here.
    pub fn subscribe_unmatched_cancels(&self) -> broadcast::Receiver<UnmatchedCancel> {
        self.shared.unmatched_cancels.subscribe()
    }

    /// Sends an engine list update to all brokers, including those without recent heartbeats.
    pub async fn update_engine_list(
        &self,
        update: ListUpdate,
        targets: Vec<Target>,
    ) -> Result<(), BrokerClosed> {
        let mut state = self.shared.replicated_state.lock().await;
        state.update_engine_list(update, &targets);
        let sends = self.open_brokers().map(|mailbox| {
            let targets = targets.clone();
            async move {
                mailbox
                    .send(BrokerMessage::EngineList(update, targets))
                    .await
                    .is_ok()
            }
        });
        let sent = futures::future::join_all(sends).await;
        // With several shards, a broker that died is restarted and gets the list when it is registered.
        let has_ended = self.slots().len() == 1 && !sent.iter().all(|sent| *sent);
        if has_ended { Err(BrokerClosed) } else { Ok(()) }
    }

    /// The current settings, and the names that requests may use.
    pub fn runtime_settings(&self) -> Arc<RuntimeSettings> {
        let runtime_settings = self.shared.runtime_settings.read();
        runtime_settings
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Applies new settings at all brokers. Returns false and changes nothing if their names exceed the table's limits.
    pub async fn reconfigure(&self, runtime_settings: &RuntimeSettings) -> bool {
        let mut state = self.shared.replicated_state.lock().await;
        if state
            .table
            .reconfigure(self.micros(), runtime_settings)
            .is_none()
        {
            return false;
        }
        self.broadcast_settings(&state.table).await;
        true
    }

    /// Removes retired names as they expire; runs until `changed` is closed.
    pub async fn expire_names(&self, mut changed: watch::Receiver<()>) {
        loop {
            let mut state = self.shared.replicated_state.lock().await;
            if state.table.expire(self.micros()) {
                self.broadcast_settings(&state.table).await;
            }
            let next_expiry = state.table.next_expiry();
            drop(state);
            let wait = next_expiry.map(|expiry| to_duration(expiry - self.micros()));
            tokio::select! {
                changed = changed.changed() => if changed.is_err() { return },
                () = sleep(wait.unwrap_or_default()), if wait.is_some() => {}
            }
        }
    }

    /// The sum of the handover states of all gateways, without those of brokers that do not reply in time.
    pub async fn handover_state(&self) -> HandoverState {
        let replies = self.open_brokers().map(|mailbox| async move {
            let (reply, state) = oneshot::channel();
            mailbox
                .send(BrokerMessage::GetHandoverState(reply))
                .await
                .ok()?;
            timeout(REPLY_TIMEOUT, state).await.ok()?.ok()
        });
        let states = futures::future::join_all(replies).await;
        let mut states = states.into_iter().flatten();
        let first = states.next().unwrap_or_default();
        states.fold(first, HandoverState::merge)
    }

    /// Sends a message that needs no reply to all brokers; brokers that have ended are ignored.
    async fn broadcast(&self, message: impl Fn() -> BrokerMessage) {
        let sends = self.open_brokers().map(|mailbox| {
            let message = message();
            async move { mailbox.send(message).await.is_ok() }
        });
        futures::future::join_all(sends).await;
    }

    /// Restores the handover state of an earlier process at all gateways.
    pub async fn restore(&self, state: HandoverState) {
        let state = Arc::new(state);
        self.broadcast(|| BrokerMessage::RestoreHandoverState(state.clone()))
            .await;
    }

    /// Sets the usage by other processes of this dispatcher, and whether this one may send to cold engines.
    pub async fn set_peer_process_usage(&self, usage: HandoverState, may_use_cold_engines: bool) {
        let usage = Arc::new(usage);
        self.broadcast(|| BrokerMessage::SetPeerProcessUsage(usage.clone(), may_use_cold_engines))
            .await;
    }

    /// Has the brokers answer all open requests now.
    pub async fn shut_down(&self) {
        self.broadcast(|| BrokerMessage::Shutdown).await;
    }

    /// The listed engines, the uids of those drained by the administration, and the tenants that it has set.
    pub async fn replicated_state(&self) -> (Vec<Target>, Vec<String>, Vec<Tenant>) {
        let state = self.shared.replicated_state.lock().await;
        let (targets, drained) = (state.targets(), state.drained());
        (targets, drained, state.table.tenant_overrides().to_vec())
    }

    /// The time since the router started.
    fn micros(&self) -> Micros {
        to_micros(self.shared.started_at.elapsed())
    }

    /// Applies the settings at all brokers first and only then publishes them to fronts, so that no request uses a name
    /// that its broker does not know. The wait for each broker is limited: a slow one still gets the settings before
    /// later requests, because its mailbox keeps the order.
    async fn broadcast_settings(&self, table: &SettingsTable) {
        let runtime_settings = Arc::new(table.runtime_settings().clone());
        let replies = self.open_brokers().map(|mailbox| {
            let (applied, done) = oneshot::channel();
            let reconfigure = BrokerMessage::Reconfigure(runtime_settings.clone(), applied);
            async move {
                // The successor of a broker that has died gets the settings when it is registered.
                if mailbox.send(reconfigure).await.is_ok() {
                    let _ = timeout(REPLY_TIMEOUT, done).await;
                }
            }
        });
        futures::future::join_all(replies).await;
        for class in &runtime_settings.settings.classes {
            self.shared.metrics.register_class(&class.name);
        }
        *self
            .shared
            .runtime_settings
            .write()
            .unwrap_or_else(PoisonError::into_inner) = runtime_settings;
    }

    /// Sends an administration request to all brokers and merges their responses.
    pub async fn administer(&self, request: AdminRequest) -> Result<AdminResponse, AdminError> {
        let mut state = self.shared.replicated_state.lock().await;
        if let AdminRequest::SetTenant(name, share, requests_per_second) = &request {
            let tenant = Tenant {
                name: name.clone(),
                share: *share,
                requests_per_second: *requests_per_second,
            };
            if !state.table.set_tenant(&tenant) {
                return Err(AdminError::Invalid(
                    "there are too many tenants".to_string(),
                ));
            }
            self.broadcast_settings(&state.table).await;
        }
        let replies = self
            .open_brokers()
            .map(|mailbox| send_admin_request(mailbox, request.clone()));
        let responses = futures::future::join_all(replies).await;
        let mut sum: Option<AdminResponse> = None;
        for response in responses.into_iter().flatten() {
            let response = response?;
            sum = Some(match sum {
                Some(sum) => sum.merge(response),
                None => response,
            });
        }
        let sum = sum.ok_or(AdminError::Unavailable)?;
        state.record(&request);
        Ok(sum)
    }
}

/// One broker's response; `None` if it has ended or does not reply in time. A slow broker still gets the request.
async fn send_admin_request(
    mailbox: BrokerSender,
    request: AdminRequest,
) -> Option<Result<AdminResponse, AdminError>> {
    let (reply, response) = oneshot::channel();
    mailbox
        .send(BrokerMessage::Admin(request, reply))
        .await
        .ok()?;
    timeout(REPLY_TIMEOUT, response).await.ok()?.ok()
}
