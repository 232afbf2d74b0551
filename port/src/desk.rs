//! The desk: where fronts hand in requests and where the list and the administration reach all brokers,
//! whether there is one or there are several shards.
//!
//! A request goes to the shard that its id names, so that shards get the same mixture whatever connection
//! it came on; a shard that has been silent for a while gets nothing, as long as there is another.

use crate::clock::{duration, span};
use crate::standing::Standing;
use crate::{
    Answer, Asked, BrokerBox, Denied, Failure, Listing, NewRequest, Pending, SessionKey, Target,
    ToBroker, Told,
};
use sedgebeam_core::{Effect, Held, Key, Micros, RequestId, Tenant, mix};
use sedgebeam_operation::Figures;
use sedgebeam_retune::{Table, Tuning};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex as Lock, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, oneshot, watch};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// A broker beats so often while there are several.
pub const BEAT: Duration = Duration::from_millis(20);
/// One that has not for this long gets no request.
const SILENT: Duration = Duration::from_millis(100);
/// What a silent broker would tell is not waited for any longer.
const TELLS_WITHIN: Duration = Duration::from_millis(500);

struct Slot {
    mailbox: RwLock<Option<BrokerBox>>,
    /// When its broker last showed that it runs, in milliseconds since the desk's start.
    beat: AtomicU64,
}

struct Shared {
    slots: Vec<Slot>,
    figures: Figures,
    /// The settings that hold at all brokers.
    tuning: RwLock<Arc<Tuning>>,
    /// Clients choose their ids: without it one could have all that it asks land on one shard.
    seed: u64,
    began: Instant,
    /// What each session has under way, for those who cancel it.
    sessions: Sessions,
    /// Held while all brokers are told something, so that they hear all in the same order.
    standing: Mutex<Standing>,
}

/// By session its request, how it is called off, and the broker that has it.
type Sessions = Arc<Lock<HashMap<SessionKey, (RequestId, CancellationToken, BrokerBox)>>>;

/// A session's entry there, taken out when its request is over.
#[derive(Debug)]
pub(crate) struct UnderWay {
    sessions: Sessions,
    key: SessionKey,
}

impl UnderWay {
    fn new(sessions: &Sessions, request: &NewRequest, broker: &BrokerBox) -> Option<UnderWay> {
        let (key, sessions) = (request.session?, sessions.clone());
        let entry = (request.id, request.cancelled.clone(), broker.clone());
        sessions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(key, entry);
        Some(UnderWay { sessions, key })
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.remove(&self.key);
    }
}

#[derive(Clone)]
pub struct Desk {
    shared: Arc<Shared>,
}

/// No broker takes anything any more.
#[derive(Debug)]
pub struct Closed;

impl Desk {
    /// A desk before so many brokers, none of which has come yet.
    pub fn new(shards: usize, seed: u64, figures: Figures, tuning: Tuning) -> Desk {
        let slot = |_| Slot {
            mailbox: RwLock::new(None),
            beat: AtomicU64::new(0),
        };
        Desk {
            shared: Arc::new(Shared {
                slots: (0..shards).map(slot).collect(),
                figures,
                tuning: RwLock::new(Arc::new(tuning.clone())),
                seed,
                began: Instant::now(),
                sessions: Sessions::default(),
                standing: Mutex::new(Standing::new(Table::new(tuning))),
            }),
        }
    }

    fn slots(&self) -> &[Slot] {
        &self.shared.slots
    }

    fn mailbox(&self, shard: usize) -> Option<BrokerBox> {
        let mailbox = &self.slots().get(shard)?.mailbox;
        let mailbox = mailbox.read().unwrap_or_else(PoisonError::into_inner);
        mailbox.clone()
    }

    fn now(&self) -> u64 {
        u64::try_from(self.shared.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// A broker shows that it runs.
    pub fn beat(&self, shard: usize) {
        if let Some(slot) = self.slots().get(shard) {
            slot.beat.store(self.now(), Ordering::Relaxed);
        }
    }

    /// Whether the shard has shown lately that it runs.
    pub fn lives(&self, shard: usize) -> bool {
        let slot = self.slots().get(shard);
        let beat = slot.map_or(0, |slot| slot.beat.load(Ordering::Relaxed));
        self.now() < beat + SILENT.as_millis() as u64
    }

    /// A broker has come: it is told what holds, and then takes requests.
    pub async fn open(&self, shard: usize, mailbox: BrokerBox) -> Result<(), Closed> {
        let standing = self.shared.standing.lock().await;
        // The settings first: what follows is told in their numbers.
        let (held, _) = oneshot::channel();
        let retune = ToBroker::Retune(self.tuning(), held);
        mailbox.send(retune).await.map_err(|_| Closed)?;
        let list = ToBroker::List(Listing::Saved, standing.targets());
        mailbox.send(list).await.map_err(|_| Closed)?;
        for asked in standing.replay() {
            let (reply, _) = oneshot::channel();
            let told = mailbox.send(ToBroker::Admin(asked, reply)).await;
            told.map_err(|_| Closed)?;
        }
        self.beat(shard);
        if let Some(slot) = self.slots().get(shard) {
            let mut place = slot.mailbox.write().unwrap_or_else(PoisonError::into_inner);
            *place = Some(mailbox);
        }
        Ok(())
    }

    /// A broker has gone.
    pub fn close(&self, shard: usize) {
        if let Some(slot) = self.slots().get(shard) {
            let mut place = slot.mailbox.write().unwrap_or_else(PoisonError::into_inner);
            *place = None;
        }
    }

    /// The mailbox for a request: of the shard that its id names, or its key, as requests of one key keep their order; or of
    /// another while that one is silent.
    fn mailbox_for(&self, request: &NewRequest) -> Option<BrokerBox> {
        let shards = self.slots().len() as u64;
        if shards == 1 {
            return self.mailbox(0);
        }
        let key = request.order_key.as_deref().map(Key::of);
        let name = key.map_or(request.id.0, |key| key.0);
        let draw = |turn: u64| (mix(name ^ mix(self.shared.seed ^ turn)) % shards) as usize;
        // Of one that keeps an order the shard is waited for as long as it is there: another knows nothing of those before.
        let own = key.and_then(|_| self.mailbox(draw(0)));
        if own.is_some() {
            return own;
        }
        let mut living = (0..4 * shards).map(draw).filter(|shard| self.lives(*shard));
        let living = living.find_map(|shard| self.mailbox(shard));
        living.or_else(|| self.mailbox(draw(0)))
    }

    /// Hands a request over; the answer is waited for on what this returns.
    pub async fn submit(&self, request: NewRequest) -> Pending {
        let (reply, answer) = oneshot::channel();
        let tuning = self.tuning();
        let class = tuning.settings.classes.get(request.class.0);
        let lost = match class {
            Some(class) if class.effect == Effect::Repeatable => Answer::Refused {
                retry_after: duration(tuning.settings.max_retry_after),
            },
            _ => Answer::Failed(Failure::Ending),
        };
        let running = class.map(|class| self.shared.figures.take(&class.name));
        let mailbox = self.mailbox_for(&request);
        let under_way = mailbox.as_ref();
        let under_way =
            under_way.and_then(|broker| UnderWay::new(&self.shared.sessions, &request, broker));
        let pending = Pending::new(&request, answer, mailbox.clone(), lost, running, under_way);
        if let Some(mailbox) = mailbox {
            // Where the broker is gone, the reply goes with the message and the answer says so.
            let _ = mailbox.send(ToBroker::Submit(request, reply)).await;
        }
        pending
    }

    fn all(&self) -> impl Iterator<Item = BrokerBox> {
        (0..self.slots().len()).filter_map(|shard| self.mailbox(shard))
    }

    /// Calls off what a session asked. Nothing more of it is sent from here on; the broker hears of it in its turn.
    pub async fn cancel(&self, session: SessionKey) {
        let under_way = {
            let sessions = self.shared.sessions.lock();
            let sessions = sessions.unwrap_or_else(PoisonError::into_inner);
            sessions.get(&session).cloned()
        };
        if let Some((id, cancelled, broker)) = under_way {
            cancelled.cancel();
            // A broker that is gone has nothing to cancel.
            let _ = broker.send(ToBroker::ClientLeft(id)).await;
        }
    }

    /// Tells all brokers of a change of the list, a silent one too: it hears of it first of all.
    pub async fn list(&self, listing: Listing, targets: Vec<Target>) -> Result<(), Closed> {
        let mut standing = self.shared.standing.lock().await;
        standing.list(listing, &targets);
        let told = self.all().map(|mailbox| {
            let targets = targets.clone();
            async move { mailbox.send(ToBroker::List(listing, targets)).await.is_ok() }
        });
        let told = futures::future::join_all(told).await;
        // Where there are several, one that died is started anew and told then.
        let ended = self.slots().len() == 1 && !told.iter().all(|told| *told);
        if ended { Err(Closed) } else { Ok(()) }
    }

    /// The settings that hold, and the names that requests may use.
    pub fn tuning(&self) -> Arc<Tuning> {
        let tuning = self.shared.tuning.read();
        tuning.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Has all brokers take new settings; false, and nothing changes, where there is no room for them.
    pub async fn retune(&self, told: &Tuning) -> bool {
        let mut standing = self.shared.standing.lock().await;
        if standing.table.retune(self.micros(), told).is_none() {
            return false;
        }
        self.spread(&standing.table).await;
        true
    }

    /// Forgets the names that have had their time, now and whenever one has; for ever.
    pub async fn forget_names(&self, mut changed: watch::Receiver<()>) {
        loop {
            let mut standing = self.shared.standing.lock().await;
            if standing.table.expire(self.micros()) {
                self.spread(&standing.table).await;
            }
            let next = standing.table.next_expiry();
            drop(standing);
            let wait = next.map(|next| duration(next - self.micros()));
            tokio::select! {
                changed = changed.changed() => if changed.is_err() { return },
                () = sleep(wait.unwrap_or_default()), if wait.is_some() => {}
            }
        }
    }

    /// What the gateways hold, added up; nothing of one that is silent.
    pub async fn held_over(&self) -> Held {
        let asked = self.all().map(|mailbox| async move {
            let (reply, held) = oneshot::channel();
            mailbox.send(ToBroker::HeldOver(reply)).await.ok()?;
            timeout(TELLS_WITHIN, held).await.ok()?.ok()
        });
        let held = futures::future::join_all(asked).await;
        let mut held = held.into_iter().flatten();
        let first = held.next().unwrap_or_default();
        held.fold(first, Held::and)
    }

    /// Tells all brokers what needs no answer; one that is gone needs not hear it.
    async fn tell_all(&self, message: impl Fn() -> ToBroker) {
        let told = self.all().map(|mailbox| {
            let message = message();
            async move { mailbox.send(message).await.is_ok() }
        });
        futures::future::join_all(told).await;
    }

    /// Has the gateways begin with what an earlier process held.
    pub async fn take_over(&self, held: Held) {
        let held = Arc::new(held);
        self.tell_all(|| ToBroker::TakeOver(held.clone())).await;
    }

    /// What other processes of this dispatcher hold, and whether this one may send to cold engines.
    pub async fn beside(&self, held: Held, may_warm: bool) {
        let held = Arc::new(held);
        self.tell_all(|| ToBroker::Beside(held.clone(), may_warm))
            .await;
    }

    /// Has every request that is open answered now.
    pub async fn last_call(&self) {
        self.tell_all(|| ToBroker::LastCall).await;
    }

    /// The engines listed, those that the administration has drained, and the shares that it has set.
    pub async fn standing(&self) -> (Vec<Target>, Vec<String>, Vec<Tenant>) {
        let standing = self.shared.standing.lock().await;
        let (targets, drained) = (standing.targets(), standing.drained());
        (targets, drained, standing.table.set().to_vec())
    }

    fn micros(&self) -> Micros {
        span(self.shared.began.elapsed())
    }

    /// Tells all brokers of the settings first, and only then those who take requests: no request names what
    /// its broker does not know. A silent broker is not waited for; its mailbox keeps the order.
    async fn spread(&self, table: &Table) {
        let tuning = Arc::new(table.tuning().clone());
        let told = self.all().map(|mailbox| {
            let (held, done) = oneshot::channel();
            let retune = ToBroker::Retune(tuning.clone(), held);
            async move {
                // One that has died is told when another takes its place.
                if mailbox.send(retune).await.is_ok() {
                    let _ = timeout(TELLS_WITHIN, done).await;
                }
            }
        });
        futures::future::join_all(told).await;
        for class in &tuning.settings.classes {
            self.shared.figures.class(&class.name);
        }
        *self
            .shared
            .tuning
            .write()
            .unwrap_or_else(PoisonError::into_inner) = tuning;
    }

    /// Asks all brokers, and adds up what they tell.
    pub async fn ask(&self, asked: Asked) -> Result<Told, Denied> {
        let mut standing = self.shared.standing.lock().await;
        if let Asked::SetTenant(name, share, per_second) = &asked {
            let tenant = Tenant {
                name: name.clone(),
                share: *share,
                per_second: *per_second,
            };
            if !standing.table.set_tenant(&tenant) {
                return Err(Denied::Invalid("there are too many tenants".to_string()));
            }
            self.spread(&standing.table).await;
        }
        let asking = self.all().map(|mailbox| ask(mailbox, asked.clone()));
        let told = futures::future::join_all(asking).await;
        let mut sum: Option<Told> = None;
        for told in told.into_iter().flatten() {
            let told = told?;
            sum = Some(match sum {
                Some(sum) => sum.and(told),
                None => told,
            });
        }
        let sum = sum.ok_or(Denied::Silent)?;
        standing.set(&asked);
        Ok(sum)
    }
}

/// What one broker tells; `None` where it is gone or silent. What was asked reaches a silent one all the same.
async fn ask(mailbox: BrokerBox, asked: Asked) -> Option<Result<Told, Denied>> {
    let (reply, told) = oneshot::channel();
    mailbox.send(ToBroker::Admin(asked, reply)).await.ok()?;
    timeout(TELLS_WITHIN, told).await.ok()?.ok()
}
