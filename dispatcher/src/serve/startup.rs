//! What comes up before clients are taken: operators' calls, the workers, the list of engines and reloading.

use super::Program;
use crate::beside;
use crate::config::Config;
use crate::crew::Crew;
use crate::door;
use crate::duty::Duty;
use crate::reload::{Reload, Source};
use crate::roster::{self, Reached};
use sedgebeam_discovery::RetryBackoff;
use sedgebeam_engines::{ConnectionSlots, NetworkTransport};
use sedgebeam_handover::HandoverMessage;
use sedgebeam_operation::Metrics;
use sedgebeam_port::clock::{Clock, to_duration};
use sedgebeam_port::{AdminRequest, ListUpdate, supervise};
use sedgebeam_settings::ConnectionSettings;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::{Instant, timeout};

/// A process that begins beside another waits so long for the change log: it has to serve within six seconds.
const CATCH_UP: Duration = Duration::from_secs(2);

impl Program {
    /// Starts what answers operators, the drain's clock, and the workers.
    pub(super) async fn start(
        config: Config,
        connections: watch::Receiver<ConnectionSettings>,
        alive: mpsc::Sender<()>,
    ) -> io::Result<Program> {
        let duty = Duty::new(config.passed.is_some());
        let figures = Metrics::default();
        let clock = Clock::start();
        for class in &config.names.classes {
            figures.register_class(class);
        }
        let farewells = Arc::new(Semaphore::new(config.descriptors.farewells));
        open_door(&config, &duty, &figures, clock, &farewells).await?;
        supervise::spawn_critical("the drain", duty.clone().keep_time());
        let wires = NetworkTransport {
            connections,
            metrics: figures.clone(),
            slots: ConnectionSlots::default(),
        };
        let crew = Crew::start(&config, Arc::new(wires), &figures, clock).await?;
        Ok(Program {
            config,
            duty,
            figures,
            clock,
            crew: Arc::new(crew),
            farewells,
            end: watch::channel(false).0,
            alive,
        })
    }

    /// Has the brokers begin with the list of the file, or with what another process has told where that is newer;
    /// the change log's number that goes with it.
    pub(super) async fn restore_list(&self, handed: Option<HandoverMessage>) -> io::Result<u64> {
        let (known, desk) = (&self.config.known, &self.crew.desk);
        let ended = |_| io::Error::other("the broker ended at once");
        let saved = roster::fold(known.changes.clone());
        desk.update_engine_list(ListUpdate::Saved, saved)
            .await
            .map_err(ended)?;
        let Some(share) = handed else {
            return Ok(known.seq);
        };
        let held = share.handover_state_at(self.clock.micros(Instant::now()));
        let stated = share.status;
        let seq = stated.change_log_seq.max(known.seq);
        if stated.change_log_seq > known.seq {
            let told = desk
                .update_engine_list(ListUpdate::Complete, stated.targets)
                .await;
            told.map_err(ended)?;
        }
        desk.restore(held).await;
        beside::set_again(desk, stated.drained_engines, stated.tenants).await;
        log::info!("begun with what the process before it knew, up to change {seq}");
        Ok(seq)
    }

    /// Follows the change log from this number on; where to tell its address, and how far it has come.
    pub(super) fn follow_changelog(
        &self,
        seq: u64,
    ) -> (watch::Sender<Option<SocketAddr>>, watch::Receiver<Reached>) {
        let config = &self.config;
        let (changelog, address) = watch::channel(config.changelog);
        let (reached, heard) = watch::channel(Reached {
            seq,
            caught_up: false,
        });
        let pauses = RetryBackoff::new(config.settings.gateways, config.seed);
        let following = roster::follow(address, reached, self.crew.desk.clone(), pauses);
        supervise::spawn_critical("the change log", following);
        (changelog, heard)
    }

    /// Has the configuration read again at each hangup; the text of the file in use.
    pub(super) fn heed_reloads(
        &self,
        source: Source,
        hangup: Signal,
        changelog: watch::Sender<Option<SocketAddr>>,
        connections: watch::Sender<ConnectionSettings>,
    ) -> watch::Receiver<Arc<str>> {
        let (retired, retired_told) = watch::channel(());
        let names = self.crew.desk.clone();
        supervise::spawn_critical(
            "names",
            async move { names.expire_names(retired_told).await },
        );
        let (in_use, in_use_told) = watch::channel(self.config.text.as_str().into());
        let reload = Reload {
            source,
            running: self.config.file.clone(),
            desk: self.crew.desk.clone(),
            changelog,
            connections,
            in_use,
            retired,
            figures: self.figures.clone(),
        };
        supervise::spawn_critical("reloading", reload.at_hangup(hangup));
        in_use_told
    }

    /// Waits until the list and the engines are there, and says so.
    pub(super) async fn prepare(&self, mut heard: watch::Receiver<Reached>) -> io::Result<()> {
        if self.config.passed.is_some() && self.config.changelog.is_some() {
            let caught_up = heard.wait_for(|reached| reached.caught_up);
            if timeout(CATCH_UP, caught_up).await.is_err() {
                log::warn!("the change log says nothing: beginning with the list known");
            }
        }
        // Once one has answered, the brokers have the list.
        let health = self.crew.desk.administer(AdminRequest::Health).await;
        health.map_err(|_| io::Error::other("the brokers ended at once"))?;
        self.duty.change(|drain, _| drain.set_prepared());
        Ok(())
    }

    /// The longest that a client of any class waits.
    pub(super) fn longest_deadline(&self) -> Duration {
        let classes = self.config.settings.classes.iter();
        let longest = classes.map(|class| class.give_up).max();
        to_duration(longest.unwrap_or_default())
    }
}

async fn open_door(
    config: &Config,
    duty: &Duty,
    figures: &Metrics,
    clock: Clock,
    farewells: &Arc<Semaphore>,
) -> io::Result<()> {
    let Some(address) = config.control else {
        return Ok(());
    };
    let desk = door::Desk {
        duty: duty.clone(),
        figures: figures.clone(),
        clock,
        callers: config.descriptors.callers,
        farewells: farewells.clone(),
    };
    let address = door::open(address, desk).await?;
    log::info!("{} takes calls of operators on {address}", config.name);
    Ok(())
}
