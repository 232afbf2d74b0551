//! The workers that serve connections: one on the main thread, or several, each with a separate thread and runtime. The
//! first ones, as many as there are shards, also run a broker with one shard of the gateway each.
//!
//! Connections are accepted on the main thread and transferred to workers; a request goes to the shard that its id names.
//! A crash of one broker leaves the others running: its requests are answered, its leases on engines return to the other
//! shards, and it is restarted.

use crate::config::Config;
use core_affinity::CoreId;
use sedgebeam_broker::shards::{Shard, ShardLeases};
use sedgebeam_broker::{self as broker, BrokerConfig};
use sedgebeam_leases::placement::{self, WorkerLoad};
use sedgebeam_operation::Metrics;
use sedgebeam_port::clock::Clock;
use sedgebeam_port::{EngineTransport, RequestRouter, supervise};
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::Duration;
use tokio::runtime::{Builder, Handle};
use tokio::time::sleep;

/// Delay before a crashed broker is restarted, so that one that crashes at once doesn't make the loop spin.
const RESTART_DELAY: Duration = Duration::from_millis(50);

/// A thread that serves connections.
#[derive(Clone)]
pub struct Worker {
    runtime: Handle,
    connections: Arc<AtomicUsize>,
}

/// Counts one connection of a worker while it exists.
pub struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Worker {
    fn new(runtime: Handle) -> Worker {
        Worker {
            runtime,
            connections: Arc::default(),
        }
    }

    /// Spawns a task on the worker's runtime and logs its panic, if any.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        supervise::spawn_supervised_on(&self.runtime, name.to_string(), task, || {});
    }

    pub fn track_connection(&self) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.connections.clone())
    }
}

/// All workers, and the router that hands requests to their brokers.
pub struct WorkerPool {
    pub router: RequestRouter,
    workers: Vec<Worker>,
    /// The first `shard_count` workers have a shard each.
    shard_count: usize,
    /// Number of connections placed; rotates the choice among equally loaded workers.
    placement_count: AtomicUsize,
    /// Number of brokers restarted after a crash.
    broker_restarts: Arc<AtomicUsize>,
}

impl WorkerPool {
    /// Starts the workers and their brokers: on the main thread, or on one thread each where there are several workers.
    pub async fn start(
        config: &Config,
        engine_transport: Arc<dyn EngineTransport>,
        metrics: &Metrics,
        clock: Clock,
    ) -> io::Result<WorkerPool> {
        let runtime_settings = config.runtime_settings();
        let router = RequestRouter::new(
            config.shards,
            config.seed,
            metrics.clone(),
            runtime_settings.clone(),
        );
        let broker_config = BrokerConfig {
            runtime_settings: Arc::new(runtime_settings),
            seed: config.seed,
            clock,
            metrics: metrics.clone(),
            engine_transport,
            shard: None,
        };
        if config.workers > 1 {
            WorkerPool::start_sharded(config, router, broker_config).await
        } else {
            WorkerPool::start_single(router, broker_config).await
        }
    }

    async fn start_single(
        router: RequestRouter,
        broker_config: BrokerConfig,
    ) -> io::Result<WorkerPool> {
        let (broker, mailbox, messages) = broker::new(broker_config);
        supervise::spawn_critical("the broker", broker.run(messages));
        let open_result = router.open_shard(0, mailbox).await;
        open_result.map_err(|_| io::Error::other("the broker ended at once"))?;
        Ok(WorkerPool {
            router,
            workers: vec![Worker::new(Handle::current())],
            shard_count: 1,
            placement_count: AtomicUsize::new(0),
            broker_restarts: Arc::default(),
        })
    }

    async fn start_sharded(
        config: &Config,
        router: RequestRouter,
        broker_config: BrokerConfig,
    ) -> io::Result<WorkerPool> {
        let runtime_settings = &broker_config.runtime_settings;
        let (max_open_requests, settings) = (
            runtime_settings.max_open_requests,
            &runtime_settings.settings,
        );
        let shard_leases =
            ShardLeases::new(config.shards, max_open_requests, settings, router.clone());
        preallocate_descriptor_table(config.max_descriptors);
        let cores = if config.pin_workers {
            core_affinity::get_core_ids().unwrap_or_default()
        } else {
            Vec::new()
        };
        let (mut workers, broker_restarts) = (Vec::new(), Arc::<AtomicUsize>::default());
        for index in 0..config.workers {
            let core = cores.get(index % cores.len().max(1)).copied();
            let worker = Worker::new(spawn_runtime_thread(index, core)?);
            workers.push(worker.clone());
            if index >= config.shards {
                continue;
            }
            let broker_config = BrokerConfig {
                shard: Some(Shard::new(shard_leases.clone(), index)),
                ..broker_config.clone()
            };
            let supervision = supervise_broker(
                index,
                broker_config,
                router.clone(),
                shard_leases.clone(),
                broker_restarts.clone(),
            );
            worker.spawn("a worker", supervision);
        }
        let pool = WorkerPool {
            router,
            workers,
            shard_count: config.shards,
            placement_count: AtomicUsize::new(0),
            broker_restarts,
        };
        // The caller accepts clients once this function returns, so each shard must take requests by then.
        pool.router.wait_until_open().await;
        Ok(pool)
    }

    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Whether connections must be transferred to another thread.
    pub fn has_several_workers(&self) -> bool {
        self.workers.len() > 1
    }

    /// Chooses the worker for a new connection; returns its index too.
    pub fn choose_worker(&self) -> (usize, &Worker) {
        let load = |(index, worker): (usize, &Worker)| WorkerLoad {
            connections: worker.connections.load(Ordering::Relaxed),
            is_alive: index >= self.shard_count || self.router.is_alive(index),
        };
        let loads: Vec<WorkerLoad> = self.workers.iter().enumerate().map(load).collect();
        let placement_count = self.placement_count.fetch_add(1, Ordering::Relaxed);
        let index = placement::choose_worker(&loads, placement_count);
        (index, &self.workers[index])
    }

    /// The number of brokers that were restarted after a crash and take requests.
    pub fn broker_restarts(&self) -> usize {
        self.broker_restarts.load(Ordering::Relaxed)
    }
}

/// Makes the kernel grow the process's descriptor table to its full size while the process has one thread. When the table
/// of a process with several threads grows, each new descriptor waits for all processors, and a burst of connections is not
/// accepted in time: of 900 simultaneous connects, a tenth were retried by the clients' systems after a second.
fn preallocate_descriptor_table(max_descriptors: usize) {
    let Ok(highest_descriptor) = i32::try_from(max_descriptors.saturating_sub(1)) else {
        return;
    };
    match rustix::io::fcntl_dupfd_cloexec(std::io::stderr(), highest_descriptor) {
        Ok(descriptor) => drop(descriptor),
        // The system may allow fewer than the configuration states; the table then grows on demand.
        Err(error) => {
            log::debug!("can't preallocate descriptors up to {highest_descriptor}: {error}")
        }
    }
}

/// Starts a thread with a runtime that runs until the process ends.
fn spawn_runtime_thread(index: usize, core: Option<CoreId>) -> io::Result<Handle> {
    let (handle_sender, handle_receiver) = mpsc::channel();
    let run = move || {
        if let Some(core) = core
            && !core_affinity::set_for_current(core)
        {
            log::warn!("worker {index} can't be pinned to core {}", core.id);
        }
        match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => {
                // Can't fail: the thread that spawned this one waits for the handle.
                let _ = handle_sender.send(Ok(runtime.handle().clone()));
                runtime.block_on(std::future::pending::<()>());
            }
            Err(error) => drop(handle_sender.send(Err(error))),
        }
    };
    let name = format!("worker-{index}");
    std::thread::Builder::new().name(name).spawn(run)?;
    handle_receiver.recv().map_err(io::Error::other)?
}

/// Runs the broker of a shard and restarts it after each crash.
async fn supervise_broker(
    shard: usize,
    broker_config: BrokerConfig,
    router: RequestRouter,
    shard_leases: Arc<ShardLeases>,
    broker_restarts: Arc<AtomicUsize>,
) {
    for restart_count in 0.. {
        let (broker, mailbox, messages) = broker::new(broker_config.clone());
        let broker_task = tokio::spawn(broker.run(messages));
        // Fails if the broker has ended already, which is handled below.
        let _ = router.open_shard(shard, mailbox).await;
        if restart_count > 0 {
            broker_restarts.fetch_add(1, Ordering::Relaxed);
        }
        let result = broker_task.await;
        router.close_shard(shard);
        match result {
            Ok(()) => return,
            Err(error) => log::error!("the broker of worker {shard} crashed: {error}"),
        }
        shard_leases.shard_crashed(shard);
        sleep(RESTART_DELAY).await;
    }
}
