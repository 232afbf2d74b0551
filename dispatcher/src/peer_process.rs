//! Exchange of state between the processes of one dispatcher, as during an upgrade: usage of shared limits, and the state
//! that a process hands over to its successor.
//!
//! Each process looks for peers ten times a second in a shared directory, and writes its message there only while there is
//! a peer. `cancel_relay` passes on the cancel requests that reach the process without the session.

mod cancel_relay;
mod shared_directory;

pub use shared_directory::{SharedDirectory, SharedDirectoryPath};

use cancel_relay::CancelRelay;
use sedgebeam_core::{HandoverState, Micros, Tenant};
use sedgebeam_fronts::session_slots::SessionSlots;
use sedgebeam_handover::{
    Freshness, HandoverMessage, Incarnation, Phase, ProcessPair, ProcessStatus,
};
use sedgebeam_operation::DrainState;
use sedgebeam_port::clock::Clock;
use sedgebeam_port::supervise;
use sedgebeam_port::{AdminRequest, RequestRouter};
use shared_directory::unix_now;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time between two polls of the shared directory, and its relative jitter in either direction.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const POLL_JITTER: f64 = 0.2;
/// How long a starting process waits for the message of the serving one: three of its poll intervals, and one to spare.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_millis(400);
const PREDECESSOR_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a process tries to join before it starts without having joined; it must be ready within six seconds.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Each live peer, with its last message if there is a valid one.
type PeerMessages = Vec<(Incarnation, Option<HandoverMessage>)>;

/// Whether this process has joined the others of its dispatcher.
pub enum GroupMember {
    Joined(SharedDirectory),
    /// The shared directory can't be written yet, so it is unknown whether there are peers.
    Joining(SharedDirectoryPath),
}

impl GroupMember {
    /// Joins the shared directory and reads the message of the serving process, if there is one.
    pub async fn join(path: SharedDirectoryPath) -> (GroupMember, Option<HandoverMessage>) {
        match timeout(JOIN_TIMEOUT, path.join_with_retries()).await {
            Ok(directory) => {
                let predecessor_message = wait_for_predecessor(&directory).await;
                (GroupMember::Joined(directory), predecessor_message)
            }
            Err(_) => (GroupMember::Joining(path), None),
        }
    }
}

/// Waits for the message of the serving process; `None` if there is no such process or no message in time.
async fn wait_for_predecessor(directory: &SharedDirectory) -> Option<HandoverMessage> {
    let deadline = Instant::now() + PREDECESSOR_TIMEOUT;
    let mut pair = ProcessPair::new(directory.own_incarnation);
    loop {
        let peers = directory.read_peers();
        let is_alone = peers.as_ref().is_ok_and(Vec::is_empty);
        if is_alone || Instant::now() >= deadline {
            return None;
        }
        let peers = peers.unwrap_or_default();
        pair.update(Phase::Starting, peer_phases(&peers));
        let predecessor = pair.predecessor();
        let predecessor_entry = peers
            .into_iter()
            .find(|(incarnation, _)| Some(*incarnation) == predecessor);
        if let Some((_, Some(message))) = predecessor_entry {
            return Some(message);
        }
        sleep(PREDECESSOR_POLL_INTERVAL).await;
    }
}

fn peer_phases(peers: &PeerMessages) -> Vec<(Incarnation, Option<Phase>)> {
    let peers = peers.iter();
    peers
        .map(|(incarnation, message)| (*incarnation, phase(message.as_ref())))
        .collect()
}

fn phase(message: Option<&HandoverMessage>) -> Option<Phase> {
    message.map(|message| message.status.phase)
}

/// What the peers use of the limits of the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerUsage {
    /// Number of processes among which limits are divided, this one included.
    pub process_count: usize,
    /// Sessions of the peers.
    pub session_count: usize,
}

impl PeerUsage {
    /// There are no peers.
    pub const NONE: PeerUsage = PeerUsage {
        process_count: 1,
        session_count: 0,
    };
    /// There may be a peer, of which nothing is known.
    const UNKNOWN: PeerUsage = PeerUsage {
        process_count: 2,
        session_count: 0,
    };
}

/// The components of this process whose state goes into its messages.
pub struct ProcessContext {
    pub clock: Clock,
    pub router: RequestRouter,
    pub session_slots: SessionSlots,
    pub drain_state: watch::Receiver<DrainState>,
    pub change_log_position: watch::Receiver<crate::change_log::ChangeLogPosition>,
    /// The text of the platform's file that is in use.
    pub applied_config_text: watch::Receiver<Arc<str>>,
}

impl ProcessContext {
    fn phase(&self) -> Phase {
        let drain_state = *self.drain_state.borrow();
        match drain_state {
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

    /// Composes the message for the peers found.
    async fn compose_message(
        &self,
        dispatcher_name: &str,
        peers: Vec<Incarnation>,
    ) -> HandoverMessage {
        // The sequence number is read before the list: a list newer than its number at worst gets a change twice.
        let seq = self.change_log_position.borrow().seq;
        let config_text = self.applied_config_text.borrow().to_string();
        let (targets, drained_engines, tenants) = self.router.replicated_state().await;
        let handover_state = self.router.handover_state().await;
        HandoverMessage {
            status: ProcessStatus {
                dispatcher_name: dispatcher_name.to_string(),
                written_at_unix_us: unix_now().0,
                writer_clock: Some(self.now()),
                known_processes: Some(peers),
                phase: self.phase(),
                change_log_seq: seq,
                targets,
                session_count: self.session_slots.in_use(),
                drained_engines,
                tenants,
                config_text,
            },
            handover_state,
        }
    }
}

/// Exchanges messages with the peers and publishes their usage; never returns.
pub async fn run(
    member: GroupMember,
    context: ProcessContext,
    peer_usage: watch::Sender<PeerUsage>,
) {
    // Subscribed before joining, so that no cancel is missed meanwhile.
    let unmatched_cancels = context.router.subscribe_unmatched_cancels();
    let (directory, published_process_count) = match member {
        GroupMember::Joined(directory) => (directory, Some(PeerUsage::NONE.process_count)),
        GroupMember::Joining(path) => {
            // Assumes a peer that sends to cold engines and has half of all limits.
            peer_usage.send_replace(PeerUsage::UNKNOWN);
            context
                .router
                .set_peer_process_usage(HandoverState::default(), false)
                .await;
            (path.join_with_retries().await, None)
        }
    };
    let directory = Arc::new(directory);
    let (live_peers, live_peers_receiver) = watch::channel(Vec::new());
    // A task of its own: the exchange may wait for brokers, and a cancel may not.
    let cancel_relay = CancelRelay::new(
        directory.clone(),
        context.router.clone(),
        unmatched_cancels,
        live_peers_receiver,
    );
    supervise::spawn_critical("cancels of other processes", cancel_relay.run());
    PeerExchange::new(directory, context, live_peers)
        .run(published_process_count, peer_usage)
        .await;
}

/// The exchange of messages through the shared directory.
struct PeerExchange {
    directory: Arc<SharedDirectory>,
    context: ProcessContext,
    pair: ProcessPair,
    peers: PeerMessages,
    freshness: Freshness,
    live_peers: watch::Sender<Vec<Incarnation>>,
    jitter_seed: u64,
}

impl PeerExchange {
    fn new(
        directory: Arc<SharedDirectory>,
        context: ProcessContext,
        live_peers: watch::Sender<Vec<Incarnation>>,
    ) -> PeerExchange {
        let Incarnation { generation, nonce } = directory.own_incarnation;
        PeerExchange {
            pair: ProcessPair::new(directory.own_incarnation),
            jitter_seed: generation ^ u64::from(nonce),
            directory,
            context,
            peers: Vec::new(),
            freshness: Freshness::default(),
            live_peers,
        }
    }

    /// Polls and publishes; never returns. `published_process_count` is the number of processes among which limits were
    /// divided before; `None` if that was only assumed.
    async fn run(
        mut self,
        mut published_process_count: Option<usize>,
        peer_usage: watch::Sender<PeerUsage>,
    ) {
        let process_count_without_peers = Some(PeerUsage::NONE.process_count);
        loop {
            self.refresh_peers().await;
            let usage = self.peer_usage();
            let process_count = Some(usage.process_count);
            if process_count != published_process_count {
                log::info!("{} processes serve as one dispatcher", usage.process_count);
            }
            peer_usage.send_if_modified(|published| std::mem::replace(published, usage) != usage);
            // Updates the brokers before the message is published: a peer that reads it may take capacity that the
            // brokers must have released by then.
            if process_count != process_count_without_peers
                || published_process_count != process_count_without_peers
            {
                self.update_brokers().await;
            }
            if process_count != process_count_without_peers {
                self.publish_message().await;
            }
            published_process_count = process_count;
            sleep_until(Instant::now() + self.next_poll_delay()).await;
        }
    }

    /// Reads the live peers and their messages. If that fails, the peers of the last poll count as alive, and their
    /// phases as unknown.
    async fn refresh_peers(&mut self) {
        let directory = self.directory.clone();
        let peers = tokio::task::spawn_blocking(move || directory.read_peers()).await;
        match peers.map_err(io::Error::other).and_then(|peers| peers) {
            Ok(peers) => self.peers = peers,
            Err(error) => {
                log::warn!("can't look for other processes: {error}");
                self.peers
                    .iter_mut()
                    .for_each(|(_, message)| *message = None);
            }
        }
        let now = self.context.now();
        for (incarnation, message) in &mut self.peers {
            let is_fresh = |received: &HandoverMessage| {
                self.freshness
                    .is_fresh(*incarnation, received.status.written_at_unix_us, now)
            };
            *message = message.take().filter(is_fresh);
        }
        let live_peers = self.live_peers();
        self.freshness.retain(&live_peers);
        self.live_peers.send_if_modified(|published| {
            let is_changed = *published != live_peers;
            *published = live_peers;
            is_changed
        });
        self.pair
            .update(self.context.phase(), peer_phases(&self.peers));
    }

    fn live_peers(&self) -> Vec<Incarnation> {
        self.peers
            .iter()
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }

    fn peer_usage(&self) -> PeerUsage {
        let messages = self
            .peers
            .iter()
            .filter_map(|(_, message)| message.as_ref());
        PeerUsage {
            process_count: self.pair.process_count(),
            session_count: messages.map(|message| message.status.session_count).sum(),
        }
    }

    async fn update_brokers(&self) {
        let now = self.context.now();
        let messages = self
            .peers
            .iter()
            .filter_map(|(_, message)| message.as_ref());
        let usage = messages.fold(HandoverState::default(), |sum, message| {
            sum.merge(message.handover_state_at(now))
        });
        self.context
            .router
            .set_peer_process_usage(usage, self.pair.may_use_cold_engines())
            .await;
    }

    async fn publish_message(&self) {
        let message = self
            .context
            .compose_message(&self.directory.dispatcher_name, self.live_peers())
            .await;
        let directory = self.directory.clone();
        let write_result = tokio::task::spawn_blocking(move || directory.publish(&message)).await;
        if let Err(error) = write_result
            .map_err(io::Error::other)
            .and_then(|result| result)
        {
            log::warn!("can't write the message for the other process: {error}");
        }
    }

    fn next_poll_delay(&mut self) -> Duration {
        self.jitter_seed = sedgebeam_core::splitmix64(self.jitter_seed);
        // From -1 to 1.
        let offset = 2.0 * (self.jitter_seed as f64 / u64::MAX as f64) - 1.0;
        POLL_INTERVAL.mul_f64(1.0 + POLL_JITTER * offset)
    }
}

/// Applies the drains and tenant shares that operators had set in the previous process.
pub async fn reapply_admin_settings(
    router: &RequestRouter,
    drained_engines: Vec<String>,
    tenants: Vec<Tenant>,
) {
    let tenants = tenants.into_iter();
    let tenants = tenants.map(|tenant| {
        AdminRequest::SetTenant(tenant.name, tenant.share, tenant.requests_per_second)
    });
    let drains = drained_engines
        .into_iter()
        .map(|uid| AdminRequest::Drain(uid, true));
    for request in drains.chain(tenants) {
        if let Err(error) = router.administer(request).await {
            log::info!("can't reapply a setting of the previous process: {error:?}");
        }
    }
}
