//! Startup before clients are accepted: the control socket, the workers, the engine list and configuration reloads.

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

/// How long a process that may have a peer waits for the change log at its start; it must serve within six seconds.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

impl Program {
    /// Starts the control socket, the drain timer and the workers.
    pub(super) async fn start(
        config: Config,
        connection_limits: watch::Receiver<ConnectionSettings>,
        session_guard: mpsc::Sender<()>,
    ) -> io::Result<Program> {
        let drain_manager = DrainManager::new(config.inherited_socket.is_some());
        let metrics = Metrics::default();
        let clock = Clock::start();
        for class in &config.names.classes {
            metrics.register_class(class);
        }
        let lingering_closes = Arc::new(Semaphore::new(config.descriptor_budget.lingering_closes));
        open_control_socket(&config, &drain_manager, &metrics, clock, &lingering_closes).await?;
        supervise::spawn_critical("the drain", drain_manager.clone().run_timer());
        let transport = NetworkTransport {
            connections: connection_limits,
            metrics: metrics.clone(),
            slots: ConnectionSlots::default(),
        };
        let worker_pool = WorkerPool::start(&config, Arc::new(transport), &metrics, clock).await?;
        Ok(Program {
            config,
            drain_manager,
            metrics,
            clock,
            worker_pool: Arc::new(worker_pool),
            lingering_closes,
            listeners_stop: watch::channel(false).0,
            session_guard,
        })
    }

    /// Gives the brokers the engine list of the configuration, or the predecessor's if that is newer, and the state
    /// that the predecessor handed over. Returns the change log's sequence number of the list.
    pub(super) async fn restore_list(
        &self,
        predecessor_message: Option<HandoverMessage>,
    ) -> io::Result<u64> {
        let (known_changes, router) = (&self.config.known_changes, &self.worker_pool.router);
        let broker_ended = |_| io::Error::other("the broker ended at once");
        let saved_list = change_log::fold_changes(known_changes.changes.clone());
        router
            .update_engine_list(ListUpdate::Saved, saved_list)
            .await
            .map_err(broker_ended)?;
        let Some(message) = predecessor_message else {
            return Ok(known_changes.seq);
        };
        let handover_state = message.handover_state_at(self.clock.micros(Instant::now()));
        let status = message.status;
        let seq = status.change_log_seq.max(known_changes.seq);
        if status.change_log_seq > known_changes.seq {
            let update_result = router
                .update_engine_list(ListUpdate::Complete, status.targets)
                .await;
            update_result.map_err(broker_ended)?;
        }
        router.restore(handover_state).await;
        peer_process::reapply_admin_settings(router, status.drained_engines, status.tenants).await;
        log::info!("begun with what the process before it knew, up to change {seq}");
        Ok(seq)
    }

    /// Follows the change log after this sequence number. Returns the sender of its address and the position reached.
    pub(super) fn follow_change_log(
        &self,
        seq: u64,
    ) -> (
        watch::Sender<Option<SocketAddr>>,
        watch::Receiver<ChangeLogPosition>,
    ) {
        let config = &self.config;
        let (address_sender, address) = watch::channel(config.change_log_address);
        let (position, position_receiver) = watch::channel(ChangeLogPosition {
            seq,
            caught_up: false,
        });
        let backoff = RetryBackoff::new(config.settings.gateways, config.seed);
        let follow_task =
            change_log::follow(address, position, self.worker_pool.router.clone(), backoff);
        supervise::spawn_critical("the change log", follow_task);
        (address_sender, position_receiver)
    }

    /// Reloads the configuration at each SIGHUP. Returns the text of the applied platform file.
    pub(super) fn handle_reloads(
        &self,
        source: ConfigSource,
        hangup: Signal,
        change_log_address: watch::Sender<Option<SocketAddr>>,
        connection_limits: watch::Sender<ConnectionSettings>,
    ) -> watch::Receiver<Arc<str>> {
        let (names_retired, names_retired_receiver) = watch::channel(());
        let router = self.worker_pool.router.clone();
        supervise::spawn_critical("names", async move {
            router.expire_names(names_retired_receiver).await
        });
        let (applied_config_text, applied_config_text_receiver) =
            watch::channel(self.config.platform_config_text.as_str().into());
        let reloader = ConfigReloader {
            source,
            applied_config: self.config.platform_config.clone(),
            router: self.worker_pool.router.clone(),
            change_log_address,
            connection_limits,
            applied_config_text,
            names_retired,
            metrics: self.metrics.clone(),
        };
        supervise::spawn_critical("reloading", reloader.run(hangup));
        applied_config_text_receiver
    }

    /// Waits until the brokers have the engine list, then marks the process as prepared.
    pub(super) async fn wait_until_prepared(
        &self,
        mut position: watch::Receiver<ChangeLogPosition>,
    ) -> io::Result<()> {
        if self.config.inherited_socket.is_some() && self.config.change_log_address.is_some() {
            let caught_up = position.wait_for(|position| position.caught_up);
            if timeout(CATCH_UP_TIMEOUT, caught_up).await.is_err() {
                log::warn!(
                    "no complete answer from the change log yet; starting with the last known engine list"
                );
            }
        }
        // A broker answers this request only after it has applied the list.
        let health = self
            .worker_pool
            .router
            .administer(AdminRequest::Health)
            .await;
        health.map_err(|_| io::Error::other("the brokers ended at once"))?;
        self.drain_manager.update(|drain, _| drain.set_prepared());
        Ok(())
    }

    /// The longest time that a client of any class waits for its answer.
    pub(super) fn longest_time_limit(&self) -> Duration {
        let classes = self.config.settings.classes.iter();
        let longest_give_up = classes.map(|class| class.give_up).max();
        to_duration(longest_give_up.unwrap_or_default())
    }
}

async fn open_control_socket(
    config: &Config,
    drain_manager: &DrainManager,
    metrics: &Metrics,
    clock: Clock,
    lingering_closes: &Arc<Semaphore>,
) -> io::Result<()> {
    let Some(address) = config.control_listen else {
        return Ok(());
    };
    let context = control_socket::ControlContext {
        drain_manager: drain_manager.clone(),
        metrics: metrics.clone(),
        clock,
        max_callers: config.descriptor_budget.control_callers,
        lingering_closes: lingering_closes.clone(),
    };
    let address = control_socket::open(address, context).await?;
    log::info!("{} takes calls of operators on {address}", config.name);
    Ok(())
}
