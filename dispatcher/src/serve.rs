//! Serves: starts the parts of the program, takes clients, and ends in order.
//!
//! `startup` brings up what serving needs, `listeners` the fronts, `sessions` and `flight` take the clients of the two
//! protocols, `limits` divides what two processes of one dispatcher share, and `shutdown` ends it all.

mod flight;
mod limits;
mod listeners;
mod sessions;
mod shutdown;
mod signals;
mod startup;

pub use signals::Signals;

use crate::change_log::ChangeLogPosition;
use crate::config::Config;
use crate::drain_manager::DrainManager;
use crate::peer_process::{self, GroupMember, PeerUsage, ProcessContext};
use crate::reload::ConfigSource;
use crate::worker_pool::WorkerPool;
use limits::SharedLimits;
use sedgebeam_fronts::session_slots::SessionSlots;
use sedgebeam_handover::HandoverMessage;
use sedgebeam_operation::Metrics;
use sedgebeam_port::clock::Clock;
use sedgebeam_port::supervise;
use shutdown::Shutdown;
use std::io;
use std::sync::Arc;
use tokio::sync::{Semaphore, mpsc, watch};

/// This process beside others of its dispatcher, and what the one that serves has told.
pub struct GroupMembership {
    pub member: GroupMember,
    pub predecessor_message: Option<HandoverMessage>,
}

/// What the parts of a running program have in common.
struct Program {
    config: Config,
    drain_manager: DrainManager,
    metrics: Metrics,
    clock: Clock,
    worker_pool: Arc<WorkerPool>,
    /// For connections that are closed without a place.
    farewells: Arc<Semaphore>,
    /// Hears once the last call is over.
    end: watch::Sender<bool>,
    /// Every session holds one; when the last is dropped, all have ended.
    alive: mpsc::Sender<()>,
}

/// Serves until told to end, and until all that was taken is answered.
pub async fn run(
    config: Config,
    source: ConfigSource,
    signals: Signals,
    beside: Option<GroupMembership>,
) -> io::Result<()> {
    let Signals {
        hangup,
        mut terminate,
        mut interrupt,
    } = signals;
    let (member, handed) = match beside {
        Some(beside) => (Some(beside.member), beside.predecessor_message),
        None => (None, None),
    };
    let (whole, whole_told) = watch::channel(config.connection_limits);
    let (divided, divided_told) = watch::channel(config.connection_limits);
    let (alive, all_ended) = mpsc::channel::<()>(1);
    let program = Program::start(config, divided_told, alive).await?;
    let seq = program.restore_list(handed).await?;
    let (changelog, reached) = program.follow_changelog(seq);
    let file_in_use = program.heed_reloads(source, hangup, changelog, whole);
    let session_slots = SessionSlots::new(program.config.descriptor_budget.sessions);
    let (others_told, others) = watch::channel(PeerUsage::NONE);
    let limits = SharedLimits {
        sessions: program.config.descriptor_budget.sessions,
        session_slots: session_slots.clone(),
        whole: whole_told,
        divided,
    };
    supervise::spawn_critical("limits", limits.divide(others));
    if let Some(member) = member {
        let own = ProcessContext {
            clock: program.clock,
            router: program.worker_pool.router.clone(),
            session_slots: session_slots.clone(),
            drain_state: program.drain_manager.subscribe(),
            change_log_position: reached.clone(),
            applied_config_text: file_in_use,
        };
        supervise::spawn_critical(
            "other processes",
            peer_process::run(member, own, others_told),
        );
    }
    let shutdown = program
        .take_clients(session_slots, reached, all_ended)
        .await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shutdown.run().await;
    Ok(())
}

impl Program {
    /// Opens all fronts and returns what it takes to end. From then on sessions alone hold the program.
    async fn take_clients(
        self,
        session_slots: SessionSlots,
        reached: watch::Receiver<ChangeLogPosition>,
        all_ended: mpsc::Receiver<()>,
    ) -> io::Result<Shutdown> {
        self.open_other_fronts().await?;
        let (accepting, address) = self.accept_sessions(session_slots).await?;
        self.prepare(reached).await?;
        log::info!(
            "{} serves PostgreSQL clients on {address}",
            self.config.name
        );
        Ok(Shutdown {
            longest_deadline: self.longest_deadline(),
            router: self.worker_pool.router.clone(),
            drain_manager: self.drain_manager,
            end: self.end,
            accepting,
            all_ended,
        })
    }
}
