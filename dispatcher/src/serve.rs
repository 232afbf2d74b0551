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

use crate::beside::{self, Member, Others, Own};
use crate::config::Config;
use crate::crew::Crew;
use crate::duty::Duty;
use crate::reload::Source;
use crate::roster::Reached;
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
pub struct Beside {
    pub member: Member,
    pub handed: Option<HandoverMessage>,
}

/// What the parts of a running program have in common.
struct Program {
    config: Config,
    duty: Duty,
    figures: Metrics,
    clock: Clock,
    crew: Arc<Crew>,
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
    source: Source,
    signals: Signals,
    beside: Option<Beside>,
) -> io::Result<()> {
    let Signals {
        hangup,
        mut terminate,
        mut interrupt,
    } = signals;
    let (member, handed) = match beside {
        Some(beside) => (Some(beside.member), beside.handed),
        None => (None, None),
    };
    let (whole, whole_told) = watch::channel(config.connections);
    let (divided, divided_told) = watch::channel(config.connections);
    let (alive, all_ended) = mpsc::channel::<()>(1);
    let program = Program::start(config, divided_told, alive).await?;
    let seq = program.restore_list(handed).await?;
    let (changelog, reached) = program.follow_changelog(seq);
    let file_in_use = program.heed_reloads(source, hangup, changelog, whole);
    let places = SessionSlots::new(program.config.descriptors.sessions);
    let (others_told, others) = watch::channel(Others::NONE);
    let limits = SharedLimits {
        sessions: program.config.descriptors.sessions,
        places: places.clone(),
        whole: whole_told,
        divided,
    };
    supervise::spawn_critical("limits", limits.divide(others));
    if let Some(member) = member {
        let own = Own {
            clock: program.clock,
            desk: program.crew.desk.clone(),
            places: places.clone(),
            orders: program.duty.subscribe(),
            reached: reached.clone(),
            file: file_in_use,
        };
        supervise::spawn_critical("other processes", beside::keep(member, own, others_told));
    }
    let shutdown = program.take_clients(places, reached, all_ended).await?;
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
        places: SessionSlots,
        reached: watch::Receiver<Reached>,
        all_ended: mpsc::Receiver<()>,
    ) -> io::Result<Shutdown> {
        self.open_other_fronts().await?;
        let (accepting, address) = self.accept_sessions(places).await?;
        self.prepare(reached).await?;
        log::info!(
            "{} serves PostgreSQL clients on {address}",
            self.config.name
        );
        Ok(Shutdown {
            longest_deadline: self.longest_deadline(),
            desk: self.crew.desk.clone(),
            duty: self.duty,
            end: self.end,
            accepting,
            all_ended,
        })
    }
}
