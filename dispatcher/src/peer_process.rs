//! Other processes of one dispatcher: what they hold is heard, and what this one holds is told to them.
//!
//! They look for one another ten times a second in a folder that they share, and write only while there is another.

mod shared_directory;

pub use shared_directory::{SharedDirectory, SharedDirectoryPath};

use sedgebeam_core::{HandoverState, Micros, Tenant};
use sedgebeam_fronts::session_slots::SessionSlots;
use sedgebeam_handover::{
    Freshness, HandoverMessage, Incarnation, Phase, ProcessPair, ProcessStatus,
};
use sedgebeam_operation::DrainState;
use sedgebeam_port::clock::Clock;
use sedgebeam_port::{AdminRequest, RequestRouter};
use shared_directory::unix_now;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time between two looks for others, drawn from so far below to so far above.
const LOOK_EVERY: Duration = Duration::from_millis(100);
const SPREAD: f64 = 0.2;
/// A process that starts waits so long for a share of the one that serves: three looks, and one to spare.
const SHARE_WITHIN: Duration = Duration::from_millis(400);
const SHARE_LOOK: Duration = Duration::from_millis(20);
/// A process that can't join at once tries for so long before it starts without; it has to be ready within six seconds.
const JOIN_WITHIN: Duration = Duration::from_millis(500);

/// What each other process that lives was seen to tell.
type Seen = Vec<(Incarnation, Option<HandoverMessage>)>;

/// This process among those of its dispatcher.
pub enum GroupMember {
    Joined(SharedDirectory),
    /// Its files can't be written yet: whether there are others is not known.
    Joining(SharedDirectoryPath),
}

impl GroupMember {
    /// Joins those that are there, and hears from the one that serves.
    pub async fn join(place: SharedDirectoryPath) -> (GroupMember, Option<HandoverMessage>) {
        match timeout(JOIN_WITHIN, place.join_with_retries()).await {
            Ok(folder) => {
                let handed = handed(&folder).await;
                (GroupMember::Joined(folder), handed)
            }
            Err(_) => (GroupMember::Joining(place), None),
        }
    }
}

/// What the process that serves tells, where there is one.
async fn handed(folder: &SharedDirectory) -> Option<HandoverMessage> {
    let until = Instant::now() + SHARE_WITHIN;
    let mut pair = ProcessPair::new(folder.own);
    loop {
        let seen = folder.read_peers();
        let alone = seen.as_ref().is_ok_and(Vec::is_empty);
        if alone || Instant::now() >= until {
            return None;
        }
        let seen = seen.unwrap_or_default();
        pair.update(Phase::Starting, lives(&seen));
        let heir = pair.predecessor();
        let told = seen.into_iter().find(|(life, _)| Some(*life) == heir);
        if let Some((_, Some(share))) = told {
            return Some(share);
        }
        sleep(SHARE_LOOK).await;
    }
}

fn lives(seen: &Seen) -> Vec<(Incarnation, Option<Phase>)> {
    let lives = seen.iter();
    lives
        .map(|(life, share)| (*life, phase(share.as_ref())))
        .collect()
}

fn phase(share: Option<&HandoverMessage>) -> Option<Phase> {
    share.map(|share| share.status.phase)
}

/// What others leave of the limits of one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerUsage {
    /// Among how many processes limits are divided.
    pub process_count: usize,
    /// Sessions that the others have.
    pub session_count: usize,
}

impl PeerUsage {
    /// There are none.
    pub const NONE: PeerUsage = PeerUsage {
        process_count: 1,
        session_count: 0,
    };
    /// There may be another, of which nothing is known.
    const UNKNOWN: PeerUsage = PeerUsage {
        process_count: 2,
        session_count: 0,
    };
}

/// What this process tells of itself.
pub struct ProcessContext {
    pub clock: Clock,
    pub router: RequestRouter,
    pub session_slots: SessionSlots,
    pub drain_state: watch::Receiver<DrainState>,
    /// The change log's number.
    pub change_log_position: watch::Receiver<crate::change_log::ChangeLogPosition>,
    /// The platform's file that is in use.
    pub applied_config_text: watch::Receiver<Arc<str>>,
}

impl ProcessContext {
    fn phase(&self) -> Phase {
        let orders = *self.drain_state.borrow();
        match orders {
            DrainState {
                is_shutting_down: true,
                ..
            } => Phase::Ending,
            DrainState {
                is_prepared: false, ..
            } => Phase::Starting,
            _ => Phase::Serving,
        }
    }

    fn now(&self) -> Micros {
        self.clock.micros(Instant::now())
    }

    /// What it tells to those that it has found.
    async fn share(&self, name: &str, found: Vec<Incarnation>) -> HandoverMessage {
        // The number first: a list that is newer than its number only hears of some change twice.
        let seq = self.change_log_position.borrow().seq;
        let file = self.applied_config_text.borrow().to_string();
        let (targets, drained, tenants) = self.router.replicated_state().await;
        let held = self.router.handover_state().await;
        HandoverMessage {
            status: ProcessStatus {
                dispatcher_name: name.to_string(),
                written_at_unix_us: unix_now().0,
                writer_clock: Some(self.now()),
                known_processes: Some(found),
                phase: self.phase(),
                change_log_seq: seq,
                targets,
                session_count: self.session_slots.in_use(),
                drained_engines: drained,
                tenants,
                config_text: file,
            },
            handover_state: held,
        }
    }
}

/// Takes part as long as the process runs, and tells what the others leave.
pub async fn run(member: GroupMember, own: ProcessContext, left: watch::Sender<PeerUsage>) {
    let (folder, known) = match member {
        GroupMember::Joined(folder) => (folder, Some(PeerUsage::NONE.process_count)),
        GroupMember::Joining(place) => {
            // As beside one that sends to cold engines and has half of all limits.
            left.send_replace(PeerUsage::UNKNOWN);
            own.router
                .set_peer_process_usage(HandoverState::default(), false)
                .await;
            (place.join_with_retries().await, None)
        }
    };
    Meeting::new(folder, own).hold(known, left).await;
}

/// This process's regular looks for the others.
struct Meeting {
    folder: Arc<SharedDirectory>,
    own: ProcessContext,
    pair: ProcessPair,
    seen: Seen,
    freshness: Freshness,
    seed: u64,
}

impl Meeting {
    fn new(folder: SharedDirectory, own: ProcessContext) -> Meeting {
        let Incarnation { generation, nonce } = folder.own;
        Meeting {
            pair: ProcessPair::new(folder.own),
            seed: generation ^ u64::from(nonce),
            folder: Arc::new(folder),
            own,
            seen: Vec::new(),
            freshness: Freshness::default(),
        }
    }

    /// Looks and tells for ever. Until now limits were divided among so many processes; `None` where that was a guess.
    async fn hold(mut self, mut known: Option<usize>, left: watch::Sender<PeerUsage>) {
        let alone = Some(PeerUsage::NONE.process_count);
        loop {
            self.look().await;
            let others = self.others();
            let parts = Some(others.process_count);
            if parts != known {
                log::info!("{} processes serve as one dispatcher", others.process_count);
            }
            left.send_if_modified(|left| std::mem::replace(left, others) != others);
            // The brokers first: what is told next may have the other begin with what this one must leave.
            if parts != alone || known != alone {
                self.tell_brokers().await;
            }
            if parts != alone {
                self.tell_others().await;
            }
            known = parts;
            sleep_until(Instant::now() + self.pause()).await;
        }
    }

    /// Sees who is there. Where that fails for a moment, those seen last are still there, in a phase that is not known.
    async fn look(&mut self) {
        let folder = self.folder.clone();
        let seen = tokio::task::spawn_blocking(move || folder.read_peers()).await;
        match seen.map_err(io::Error::other).and_then(|seen| seen) {
            Ok(seen) => self.seen = seen,
            Err(error) => {
                log::warn!("looking for other processes: {error}");
                self.seen.iter_mut().for_each(|(_, share)| *share = None);
            }
        }
        let now = self.own.now();
        for (life, share) in &mut self.seen {
            let fresh = |told: &HandoverMessage| {
                self.freshness
                    .is_fresh(*life, told.status.written_at_unix_us, now)
            };
            *share = share.take().filter(fresh);
        }
        self.freshness.retain(&self.found());
        self.pair.update(self.own.phase(), lives(&self.seen));
    }

    fn found(&self) -> Vec<Incarnation> {
        self.seen.iter().map(|(life, _)| *life).collect()
    }

    fn others(&self) -> PeerUsage {
        let told = self.seen.iter().filter_map(|(_, share)| share.as_ref());
        PeerUsage {
            process_count: self.pair.process_count(),
            session_count: told.map(|share| share.status.session_count).sum(),
        }
    }

    async fn tell_brokers(&self) {
        let now = self.own.now();
        let told = self.seen.iter().filter_map(|(_, share)| share.as_ref());
        let held = told.fold(HandoverState::default(), |sum, share| {
            sum.merge(share.handover_state_at(now))
        });
        self.own
            .router
            .set_peer_process_usage(held, self.pair.may_use_cold_engines())
            .await;
    }

    async fn tell_others(&self) {
        let share = self
            .own
            .share(&self.folder.dispatcher_name, self.found())
            .await;
        let folder = self.folder.clone();
        let written = tokio::task::spawn_blocking(move || folder.publish(&share)).await;
        if let Err(error) = written.map_err(io::Error::other).and_then(|done| done) {
            log::warn!("telling the other process: {error}");
        }
    }

    fn pause(&mut self) -> Duration {
        self.seed = sedgebeam_core::splitmix64(self.seed);
        let draw = 2.0 * (self.seed as f64 / u64::MAX as f64) - 1.0;
        LOOK_EVERY.mul_f64(1.0 + SPREAD * draw)
    }
}

/// Has brokers begin with what the administration had set before.
pub async fn reapply_admin_settings(
    router: &RequestRouter,
    drained: Vec<String>,
    tenants: Vec<Tenant>,
) {
    let tenants = tenants.into_iter();
    let tenants = tenants.map(|t| AdminRequest::SetTenant(t.name, t.share, t.requests_per_second));
    let drains = drained
        .into_iter()
        .map(|uid| AdminRequest::Drain(uid, true));
    for asked in drains.chain(tenants) {
        if let Err(denied) = router.administer(asked).await {
            log::info!("what was set before is not set again: {denied:?}");
        }
    }
}
