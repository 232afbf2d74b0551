//! The desk: where fronts hand in requests and where the list and the administration reach all brokers,
//! whether there is one or there are several shards.
//!
//! A request goes to the shard that its id names, so that shards get the same mixture whatever connection
//! it came on; a shard that has been silent for a while gets nothing, as long as there is another.
//!
//! A request with an order key goes to the shard that its key names and to no other: it waits until that shard is
//! open, and such requests are handed to a shard in the order in which they were submitted.

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
use std::sync::{Arc, Mutex as Lock, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, MutexGuard, oneshot, watch};
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

/// A broker beats so often while there are several.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
/// One that has not for this long gets no request.
const SILENT: Duration = Duration::from_millis(100);
/// What a silent broker would tell is not waited for any longer.
const TELLS_WITHIN: Duration = Duration::from_millis(500);

struct Slot {
    /// None while its broker has not opened yet, or is gone.
    mailbox: watch::Sender<Option<BrokerSender>>,
    /// When its broker last showed that it runs, in milliseconds since the desk's start.
    beat: AtomicU64,
    /// Held by a request with an order key until it is handed over. The lock is fair: none overtakes another.
    ordered: Mutex<()>,
}

impl Slot {
    fn new() -> Slot {
        Slot {
            mailbox: watch::Sender::new(None),
            beat: AtomicU64::new(0),
            ordered: Mutex::new(()),
        }
    }

    fn mailbox(&self) -> Option<BrokerSender> {
        self.mailbox.borrow().clone()
    }

    /// Waits until the broker is open.
    async fn opened(&self) -> BrokerSender {
        let mut mailbox = self.mailbox.subscribe();
        loop {
            if let Some(open) = mailbox.borrow_and_update().clone() {
                return open;
            }
            // The slot holds the sender: the channel can't close meanwhile.
            let _ = mailbox.changed().await;
        }
    }

    /// Waits until the broker is open and all ordered requests before this one are handed over.
    async fn turn(&self) -> Route<'_> {
        let turn = self.ordered.lock().await;
        Route {
            broker: Some(self.opened().await),
            _turn: Some(turn),
        }
    }
}

/// Where a request goes, and for an ordered one the right to be the next that is handed over there.
struct Route<'desk> {
    broker: Option<BrokerSender>,
    _turn: Option<MutexGuard<'desk, ()>>,
}

struct Shared {
    slots: Vec<Slot>,
    figures: Metrics,
    /// The settings that hold at all brokers.
    tuning: RwLock<Arc<RuntimeSettings>>,
    /// Clients choose their ids: without it one could have all that it asks land on one shard.
    seed: u64,
    began: Instant,
    /// What each session has under way, for those who cancel it.
    sessions: Sessions,
    /// Held while all brokers are told something, so that they hear all in the same order.
    standing: Mutex<ReplicatedState>,
}

/// A session's request, how it is called off, and the broker that has it.
#[derive(Clone, Debug)]
struct SessionRequest {
    id: RequestId,
    cancelled: CancellationToken,
    /// None until it is handed over.
    broker: Option<BrokerSender>,
}

type Sessions = Arc<Lock<HashMap<SessionKey, SessionRequest>>>;

/// A session's entry there, taken out when its request is over.
#[derive(Debug)]
pub(crate) struct UnderWay {
    sessions: Sessions,
    key: SessionKey,
}

impl UnderWay {
    fn new(sessions: &Sessions, request: &NewRequest) -> Option<UnderWay> {
        let (key, sessions) = (request.session?, sessions.clone());
        let entry = SessionRequest {
            id: request.id,
            cancelled: request.cancel_token.clone(),
            broker: None,
        };
        sessions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(key, entry);
        Some(UnderWay { sessions, key })
    }

    /// From now on the broker is told of a cancel.
    fn hand_over(&self, broker: &BrokerSender) {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = sessions.get_mut(&self.key) {
            entry.broker = Some(broker.clone());
        }
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.remove(&self.key);
    }
}

#[derive(Clone)]
pub struct RequestRouter {
    shared: Arc<Shared>,
}

/// No broker takes anything any more.
#[derive(Debug)]
pub struct RouterClosed;

impl RequestRouter {
    /// A desk before so many brokers, none of which has come yet.
    pub fn new(
        shards: usize,
        seed: u64,
        figures: Metrics,
        tuning: RuntimeSettings,
    ) -> RequestRouter {
        RequestRouter {
            shared: Arc::new(Shared {
                slots: (0..shards).map(|_| Slot::new()).collect(),
                figures,
                tuning: RwLock::new(Arc::new(tuning.clone())),
                seed,
                began: Instant::now(),
                sessions: Sessions::default(),
                standing: Mutex::new(ReplicatedState::new(SettingsTable::new(tuning))),
            }),
        }
    }

    fn slots(&self) -> &[Slot] {
        &self.shared.slots
    }

    fn mailbox(&self, shard: usize) -> Option<BrokerSender> {
        self.slots().get(shard)?.mailbox()
    }

    fn now(&self) -> u64 {
        u64::try_from(self.shared.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// A broker shows that it runs.
    pub fn heartbeat(&self, shard: usize) {
        if let Some(slot) = self.slots().get(shard) {
            slot.beat.store(self.now(), Ordering::Relaxed);
        }
    }

    /// Whether the shard is open and has shown lately that it runs.
    pub fn is_alive(&self, shard: usize) -> bool {
        let Some(slot) = self.slots().get(shard) else {
            return false;
        };
        let beat = slot.beat.load(Ordering::Relaxed);
        slot.mailbox.borrow().is_some() && self.now() < beat + SILENT.as_millis() as u64
    }

    /// Waits until every shard has opened.
    pub async fn wait_until_open(&self) {
        for slot in self.slots() {
            slot.opened().await;
        }
    }

    /// A broker has come: it is told what holds, and then takes requests.
    pub async fn open_shard(
        &self,
        shard: usize,
        mailbox: BrokerSender,
    ) -> Result<(), RouterClosed> {
        let standing = self.shared.standing.lock().await;
        // The settings first: what follows is told in their numbers.
        let (held, _) = oneshot::channel();
        let retune = BrokerMessage::Reconfigure(self.runtime_settings(), held);
        mailbox.send(retune).await.map_err(|_| RouterClosed)?;
        let list = BrokerMessage::EngineList(ListUpdate::Saved, standing.targets());
        mailbox.send(list).await.map_err(|_| RouterClosed)?;
        for asked in standing.replay_requests() {
            let (reply, _) = oneshot::channel();
            let told = mailbox.send(BrokerMessage::Admin(asked, reply)).await;
            told.map_err(|_| RouterClosed)?;
        }
        self.heartbeat(shard);
        if let Some(slot) = self.slots().get(shard) {
            slot.mailbox.send_replace(Some(mailbox));
        }
        Ok(())
    }

    /// A broker has gone.
    pub fn close_shard(&self, shard: usize) {
        if let Some(slot) = self.slots().get(shard) {
            slot.mailbox.send_replace(None);
        }
    }

    /// The shard that a name draws at this turn.
    fn draw(&self, name: u64, turn: u64) -> usize {
        (splitmix64(name ^ splitmix64(self.shared.seed ^ turn)) % self.slots().len() as u64)
            as usize
    }

    /// The mailbox for a request that keeps no order: of the shard that its id names, or of another while that one
    /// is silent.
    fn mailbox_for(&self, id: RequestId) -> Option<BrokerSender> {
        let shards = self.slots().len() as u64;
        if shards == 1 {
            return self.mailbox(0);
        }
        let draws = (0..4 * shards).map(|turn| self.draw(id.0, turn));
        let mut living = draws.filter(|shard| self.is_alive(*shard));
        let living = living.find_map(|shard| self.mailbox(shard));
        living.or_else(|| self.mailbox(self.draw(id.0, 0)))
    }

    /// Where requests of this one's key keep their order, if it has a key and there are several shards.
    fn ordered_slot(&self, request: &NewRequest) -> Option<&Slot> {
        let key = Key::from_name(request.order_key.as_deref()?);
        let slots = self.slots();
        (slots.len() > 1).then(|| &slots[self.draw(key.0, 0)])
    }

    /// Where a request goes. An ordered one waits for its turn as long as its client waits: another shard knows nothing
    /// of those before it. The error is the answer to one that is not handed over.
    async fn route(&self, request: &NewRequest) -> Result<Route<'_>, Answer> {
        let Some(slot) = self.ordered_slot(request) else {
            return Ok(Route {
                broker: self.mailbox_for(request.id),
                _turn: None,
            });
        };
        tokio::select! {
            biased;
            () = request.cancel_token.cancelled() => Err(Answer::Failed(Failure::Cancelled)),
            route = slot.turn() => Ok(route),
            // It has not run: trying again is harmless, whatever its class.
            () = sleep_until(request.deadline) => Err(self.refusal()),
        }
    }

    fn refusal(&self) -> Answer {
        Answer::Refused {
            retry_after: to_duration(self.runtime_settings().settings.max_retry_after),
        }
    }

    /// Hands a request over; the answer is waited for on what this returns.
    pub async fn submit(&self, request: NewRequest) -> PendingAnswer {
        let (reply, answer) = oneshot::channel();
        let tuning = self.runtime_settings();
        let class = tuning.settings.classes.get(request.class.0);
        let lost = match class {
            Some(class) if class.effect == Effect::Repeatable => self.refusal(),
            _ => Answer::Failed(Failure::ShuttingDown),
        };
        let running = class.map(|class| self.shared.figures.start_request(&class.name));
        let under_way = UnderWay::new(&self.shared.sessions, &request);
        let route = match self.route(&request).await {
            Ok(route) => route,
            Err(unsent) => {
                let _ = reply.send(unsent);
                return PendingAnswer::new(&request, answer, None, lost, running, under_way);
            }
        };
        if let (Some(under_way), Some(broker)) = (&under_way, &route.broker) {
            under_way.hand_over(broker);
        }
        let broker = route.broker.clone();
        let pending = PendingAnswer::new(&request, answer, broker, lost, running, under_way);
        if request.cancel_token.is_cancelled() {
            // Cancelled before its session's entry named the broker, which would not hear of the cancel.
            let _ = reply.send(Answer::Failed(Failure::Cancelled));
        } else if let Some(broker) = &route.broker {
            // Where the broker is gone, the reply goes with the message and the answer says so.
            let _ = broker.send(BrokerMessage::Submit(request, reply)).await;
        }
        pending
    }

    fn all(&self) -> impl Iterator<Item = BrokerSender> {
        (0..self.slots().len()).filter_map(|shard| self.mailbox(shard))
    }

    /// Calls off what a session asked. Nothing more of it is sent from here on; the broker hears of it in its turn.
    pub async fn cancel(&self, session: SessionKey) {
        let under_way = {
            let sessions = self.shared.sessions.lock();
            let sessions = sessions.unwrap_or_else(PoisonError::into_inner);
            let under_way = sessions.get(&session).cloned();
            // Before the entry can name a broker: whoever has it named looks at this afterwards.
            if let Some(request) = &under_way {
                request.cancelled.cancel();
            }
            under_way
        };
        if let Some(SessionRequest { id, broker, .. }) = under_way
            && let Some(broker) = broker
        {
            // A broker that is gone has nothing to cancel.
            let _ = broker.send(BrokerMessage::ClientLeft(id)).await;
        }
    }

    /// Tells all brokers of a change of the list, a silent one too: it hears of it first of all.
    pub async fn update_engine_list(
        &self,
        listing: ListUpdate,
        targets: Vec<Target>,
    ) -> Result<(), RouterClosed> {
        let mut standing = self.shared.standing.lock().await;
        standing.apply_listing(listing, &targets);
        let told = self.all().map(|mailbox| {
            let targets = targets.clone();
            async move {
                mailbox
                    .send(BrokerMessage::EngineList(listing, targets))
                    .await
                    .is_ok()
            }
        });
        let told = futures::future::join_all(told).await;
        // Where there are several, one that died is started anew and told then.
        let ended = self.slots().len() == 1 && !told.iter().all(|told| *told);
        if ended { Err(RouterClosed) } else { Ok(()) }
    }

    /// The settings that hold, and the names that requests may use.
    pub fn runtime_settings(&self) -> Arc<RuntimeSettings> {
        let tuning = self.shared.tuning.read();
        tuning.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Has all brokers take new settings; false, and nothing changes, where there is no room for them.
    pub async fn reconfigure(&self, told: &RuntimeSettings) -> bool {
        let mut standing = self.shared.standing.lock().await;
        if standing.table.reconfigure(self.micros(), told).is_none() {
            return false;
        }
        self.spread(&standing.table).await;
        true
    }

    /// Forgets the names that have had their time, now and whenever one has; for ever.
    pub async fn expire_names(&self, mut changed: watch::Receiver<()>) {
        loop {
            let mut standing = self.shared.standing.lock().await;
            if standing.table.expire(self.micros()) {
                self.spread(&standing.table).await;
            }
            let next = standing.table.next_expiry();
            drop(standing);
            let wait = next.map(|next| to_duration(next - self.micros()));
            tokio::select! {
                changed = changed.changed() => if changed.is_err() { return },
                () = sleep(wait.unwrap_or_default()), if wait.is_some() => {}
            }
        }
    }

    /// What the gateways hold, added up; nothing of one that is silent.
    pub async fn handover_state(&self) -> HandoverState {
        let asked = self.all().map(|mailbox| async move {
            let (reply, held) = oneshot::channel();
            mailbox
                .send(BrokerMessage::GetHandoverState(reply))
                .await
                .ok()?;
            timeout(TELLS_WITHIN, held).await.ok()?.ok()
        });
        let held = futures::future::join_all(asked).await;
        let mut held = held.into_iter().flatten();
        let first = held.next().unwrap_or_default();
        held.fold(first, HandoverState::merge)
    }

    /// Tells all brokers what needs no answer; one that is gone needs not hear it.
    async fn tell_all(&self, message: impl Fn() -> BrokerMessage) {
        let told = self.all().map(|mailbox| {
            let message = message();
            async move { mailbox.send(message).await.is_ok() }
        });
        futures::future::join_all(told).await;
    }

    /// Has the gateways begin with what an earlier process held.
    pub async fn restore(&self, held: HandoverState) {
        let held = Arc::new(held);
        self.tell_all(|| BrokerMessage::RestoreHandoverState(held.clone()))
            .await;
    }

    /// What other processes of this dispatcher hold, and whether this one may send to cold engines.
    pub async fn set_peer_process_usage(&self, held: HandoverState, may_warm: bool) {
        let held = Arc::new(held);
        self.tell_all(|| BrokerMessage::SetPeerProcessUsage(held.clone(), may_warm))
            .await;
    }

    /// Has every request that is open answered now.
    pub async fn shut_down(&self) {
        self.tell_all(|| BrokerMessage::Shutdown).await;
    }

    /// The engines listed, those that the administration has drained, and the shares that it has set.
    pub async fn replicated_state(&self) -> (Vec<Target>, Vec<String>, Vec<Tenant>) {
        let standing = self.shared.standing.lock().await;
        let (targets, drained) = (standing.targets(), standing.drained());
        (targets, drained, standing.table.tenant_overrides().to_vec())
    }

    fn micros(&self) -> Micros {
        to_micros(self.shared.began.elapsed())
    }

    /// Tells all brokers of the settings first, and only then those who take requests: no request names what
    /// its broker does not know. A silent broker is not waited for; its mailbox keeps the order.
    async fn spread(&self, table: &SettingsTable) {
        let tuning = Arc::new(table.runtime_settings().clone());
        let told = self.all().map(|mailbox| {
            let (held, done) = oneshot::channel();
            let retune = BrokerMessage::Reconfigure(tuning.clone(), held);
            async move {
                // One that has died is told when another takes its place.
                if mailbox.send(retune).await.is_ok() {
                    let _ = timeout(TELLS_WITHIN, done).await;
                }
            }
        });
        futures::future::join_all(told).await;
        for class in &tuning.settings.classes {
            self.shared.figures.register_class(&class.name);
        }
        *self
            .shared
            .tuning
            .write()
            .unwrap_or_else(PoisonError::into_inner) = tuning;
    }

    /// Asks all brokers, and adds up what they tell.
    pub async fn administer(&self, asked: AdminRequest) -> Result<AdminResponse, AdminError> {
        let mut standing = self.shared.standing.lock().await;
        if let AdminRequest::SetTenant(name, share, per_second) = &asked {
            let tenant = Tenant {
                name: name.clone(),
                share: *share,
                requests_per_second: *per_second,
            };
            if !standing.table.set_tenant(&tenant) {
                return Err(AdminError::Invalid(
                    "there are too many tenants".to_string(),
                ));
            }
            self.spread(&standing.table).await;
        }
        let asking = self.all().map(|mailbox| ask(mailbox, asked.clone()));
        let told = futures::future::join_all(asking).await;
        let mut sum: Option<AdminResponse> = None;
        for told in told.into_iter().flatten() {
            let told = told?;
            sum = Some(match sum {
                Some(sum) => sum.merge(told),
                None => told,
            });
        }
        let sum = sum.ok_or(AdminError::Unavailable)?;
        standing.record(&asked);
        Ok(sum)
    }
}

/// What one broker tells; `None` where it is gone or silent. What was asked reaches a silent one all the same.
async fn ask(
    mailbox: BrokerSender,
    asked: AdminRequest,
) -> Option<Result<AdminResponse, AdminError>> {
    let (reply, told) = oneshot::channel();
    mailbox
        .send(BrokerMessage::Admin(asked, reply))
        .await
        .ok()?;
    timeout(TELLS_WITHIN, told).await.ok()?.ok()
}
