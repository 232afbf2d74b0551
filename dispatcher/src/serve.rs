//! Runs the dispatcher: starts its components, serves clients and shuts down gracefully.
//!
//! `startup` starts what serving needs, `listeners` opens the fronts, `sessions` and `flight` serve the clients of the two
//! protocols, `limits` divides limits among the processes of one dispatcher, and `shutdown` ends the process.

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

/// The membership of this process among those of its dispatcher, and the message of the one that served before it.
pub struct GroupMembership {
    pub member: GroupMember,
    pub predecessor_message: Option<HandoverMessage>,
}

/// The components that a running dispatcher shares.
struct Program {
    config: Config,
    drain_manager: DrainManager,
    metrics: Metrics,
    clock: Clock,
    worker_pool: Arc<WorkerPool>,
    /// Permits for rejected connections in their lingering close.
    lingering_closes: Arc<Semaphore>,
    /// Set to true once no new requests are taken; the listeners then stop.
    listeners_stop: watch::Sender<bool>,
    /// Each session holds a clone; all have ended when the last one is dropped.
    session_guard: mpsc::Sender<()>,
}

/// Serves until SIGTERM or SIGINT, and then until every accepted request is answered.
pub async fn run(
    config: Config,
    config_source: ConfigSource,
    signals: Signals,
    membership: Option<GroupMembership>,
) -> io::Result<()> {
    let Signals {
        hangup,
        mut terminate,
        mut interrupt,
    } = signals;
    let (member, predecessor_message) = match membership {
        Some(membership) => (Some(membership.member), membership.predecessor_message),
        None => (None, None),
    };
    let (dispatcher_limits, dispatcher_limits_receiver) = watch::channel(config.connection_limits);
    let (process_limits, process_limits_receiver) = watch::channel(config.connection_limits);
    let (session_guard, sessions_ended) = mpsc::channel::<()>(1);
    let program = Program::start(config, process_limits_receiver, session_guard).await?;
    let known_seq = program.restore_list(predecessor_message).await?;
    let (change_log_address, change_log_position) = program.follow_change_log(known_seq);
    let applied_config_text =
        program.handle_reloads(config_source, hangup, change_log_address, dispatcher_limits);
    let session_slots = SessionSlots::new(program.config.descriptor_budget.sessions);
    let (peer_usage_sender, peer_usage) = watch::channel(PeerUsage::NONE);
    let shared_limits = SharedLimits {
        max_sessions: program.config.descriptor_budget.sessions,
        session_slots: session_slots.clone(),
        dispatcher_limits: dispatcher_limits_receiver,
        process_limits,
    };
    supervise::spawn_critical("limits", shared_limits.run(peer_usage));
    if let Some(member) = member {
        let process_context = ProcessContext {
            clock: program.clock,
            router: program.worker_pool.router.clone(),
            session_slots: session_slots.clone(),
            drain_state: program.drain_manager.subscribe(),
            change_log_position: change_log_position.clone(),
            applied_config_text,
        };
        supervise::spawn_critical(
            "other processes",
            peer_process::run(member, process_context, peer_usage_sender),
        );
    }
    let shutdown = program
        .open_fronts(session_slots, change_log_position, sessions_ended)
        .await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shutdown.run().await;
    Ok(())
}

impl Program {
    /// Opens all fronts and returns the handles for the shutdown. Consumes the program with its session guard, so that
    /// only sessions hold one afterwards.
    async fn open_fronts(
        self,
        session_slots: SessionSlots,
        change_log_position: watch::Receiver<ChangeLogPosition>,
        sessions_ended: mpsc::Receiver<()>,
    ) -> io::Result<Shutdown> {
        self.open_other_fronts().await?;
        let (accept_task, address) = self.accept_sessions(session_slots).await?;
        self.wait_until_prepared(change_log_position).await?;
        log::info!(
            "{} serves PostgreSQL clients on {address}",
            self.config.name
        );
        Ok(Shutdown {
            longest_time_limit: self.longest_time_limit(),
            router: self.worker_pool.router.clone(),
            drain_manager: self.drain_manager,
            listeners_stop: self.listeners_stop,
            accept_task,
            sessions_ended,
        })
    }
}
