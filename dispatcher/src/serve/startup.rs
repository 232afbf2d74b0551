//! What comes up before clients are taken: operators' calls, the workers, the list of engines and reloading.

use super::Program;
use crate::change_log::{self, ChangeLogPosition};
use crate::config::Config;
use crate::control_socket;
use crate::drain_manager::DrainManager;
use crate::peer_process;
use crate::reload::{ConfigReloader, ConfigSource};
use crate::worker_pool::WorkerPool;
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
        let drain_manager = DrainManager::new(config.inherited_socket.is_some());
        let metrics = Metrics::default();
        let clock = Clock::start();
        for class in &config.names.classes {
            metrics.register_class(class);
        }
        let farewells = Arc::new(Semaphore::new(config.descriptor_budget.lingering_closes));
        open_control_socket(&config, &drain_manager, &metrics, clock, &farewells).await?;
        supervise::spawn_critical("the drain", drain_manager.clone().run_timer());
        let wires = NetworkTransport {
            connections,
            metrics: metrics.clone(),
            slots: ConnectionSlots::default(),
        };
        let worker_pool = WorkerPool::start(&config, Arc::new(wires), &metrics, clock).await?;
        Ok(Program {
            config,
            drain_manager,
            metrics,
            clock,
            worker_pool: Arc::new(worker_pool),
            farewells,
            end: watch::channel(false).0,
            alive,
        })
    }

    /// Has the brokers begin with the list of the file, or with what another process has told where that is newer;
    /// the change log's number that goes with it.
    pub(super) async fn restore_list(&self, handed: Option<HandoverMessage>) -> io::Result<u64> {
        let (known, router) = (&self.config.known_changes, &self.worker_pool.router);
        let ended = |_| io::Error::other("the broker ended at once");
        let saved = change_log::fold_changes(known.changes.clone());
        router
            .update_engine_list(ListUpdate::Saved, saved)
            .await
            .map_err(ended)?;
        let Some(share) = handed else {
            return Ok(known.seq);
        };
        let held = share.handover_state_at(self.clock.micros(Instant::now()));
        let stated = share.status;
        let seq = stated.change_log_seq.max(known.seq);
        if stated.change_log_seq > known.seq {
            let told = router
                .update_engine_list(ListUpdate::Complete, stated.targets)
                .await;
            told.map_err(ended)?;
        }
        router.restore(held).await;
        peer_process::reapply_admin_settings(router, stated.drained_engines, stated.tenants).await;
        log::info!("begun with what the process before it knew, up to change {seq}");
        Ok(seq)
    }

    /// Follows the change log from this number on; where to tell its address, and how far it has come.
    pub(super) fn follow_changelog(
        &self,
        seq: u64,
    ) -> (
        watch::Sender<Option<SocketAddr>>,
        watch::Receiver<ChangeLogPosition>,
    ) {
        let config = &self.config;
        let (changelog, address) = watch::channel(config.change_log_address);
        let (reached, heard) = watch::channel(ChangeLogPosition {
            seq,
            caught_up: false,
        });
        let pauses = RetryBackoff::new(config.settings.gateways, config.seed);
        let following =
            change_log::follow(address, reached, self.worker_pool.router.clone(), pauses);
        supervise::spawn_critical("the change log", following);
        (changelog, heard)
    }

    /// Has the configuration read again at each hangup; the text of the file in use.
    pub(super) fn heed_reloads(
        &self,
        source: ConfigSource,
        hangup: Signal,
        changelog: watch::Sender<Option<SocketAddr>>,
        connections: watch::Sender<ConnectionSettings>,
    ) -> watch::Receiver<Arc<str>> {
        let (retired, retired_told) = watch::channel(());
        let names = self.worker_pool.router.clone();
        supervise::spawn_critical(
            "names",
            async move { names.expire_names(retired_told).await },
        );
        let (in_use, in_use_told) =
            watch::channel(self.config.platform_config_text.as_str().into());
        let reload = ConfigReloader {
            source,
            applied_config: self.config.platform_config.clone(),
            router: self.worker_pool.router.clone(),
            change_log_address: changelog,
            connection_limits: connections,
            applied_config_text: in_use,
            names_retired: retired,
            metrics: self.metrics.clone(),
        };
        supervise::spawn_critical("reloading", reload.run(hangup));
        in_use_told
    }

    /// Waits until the list and the engines are there, and says so.
    pub(super) async fn prepare(
        &self,
        mut heard: watch::Receiver<ChangeLogPosition>,
    ) -> io::Result<()> {
        if self.config.inherited_socket.is_some() && self.config.change_log_address.is_some() {
            let caught_up = heard.wait_for(|reached| reached.caught_up);
            if timeout(CATCH_UP, caught_up).await.is_err() {
                log::warn!("the change log says nothing: beginning with the list known");
            }
        }
        // Once one has answered, the brokers have the list.
        let health = self
            .worker_pool
            .router
            .administer(AdminRequest::Health)
            .await;
        health.map_err(|_| io::Error::other("the brokers ended at once"))?;
        self.drain_manager.update(|drain, _| drain.set_prepared());
        Ok(())
    }

    /// The longest that a client of any class waits.
    pub(super) fn longest_deadline(&self) -> Duration {
        let classes = self.config.settings.classes.iter();
        let longest = classes.map(|class| class.give_up).max();
        to_duration(longest.unwrap_or_default())
    }
}

async fn open_control_socket(
    config: &Config,
    drain_manager: &DrainManager,
    metrics: &Metrics,
    clock: Clock,
    farewells: &Arc<Semaphore>,
) -> io::Result<()> {
    let Some(address) = config.control_listen else {
        return Ok(());
    };
    let context = control_socket::ControlContext {
        drain_manager: drain_manager.clone(),
        metrics: metrics.clone(),
        clock,
        max_callers: config.descriptor_budget.control_callers,
        lingering_closes: farewells.clone(),
    };
    let address = control_socket::open(address, context).await?;
    log::info!("{} takes calls of operators on {address}", config.name);
    Ok(())
}
