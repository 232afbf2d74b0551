//! The workers: one on the program's own thread, or several, each with a thread, a runtime and a shard of
//! the decision module of its own.
//!
//! Connections are accepted on the program's thread and handed over to workers; a request goes to the
//! shard that its id names. A broker that dies takes no other with it: what it had taken is answered, its
//! part of the engines returns to the others, and it is started anew.

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

/// A broker that has died is started anew after this: one that dies at once must not spin.
const REBIRTH: Duration = Duration::from_millis(50);

/// One worker.
#[derive(Clone)]
pub struct Worker {
    runtime: Handle,
    connections: Arc<AtomicUsize>,
}

/// Counts a connection at its worker until it is dropped.
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

    /// Runs a task there; its panic is logged.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        supervise::spawn_supervised_on(&self.runtime, name.to_string(), task, || {});
    }

    pub fn track_connection(&self) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.connections.clone())
    }
}

/// All workers, and the router before their brokers.
pub struct WorkerPool {
    pub router: RequestRouter,
    workers: Vec<Worker>,
    /// The first so many of them have a shard.
    shards: usize,
    turn: AtomicUsize,
    /// Brokers that have come after one that had died.
    restarts: Arc<AtomicUsize>,
}

impl WorkerPool {
    /// Starts the brokers, on threads of their own where there are several workers.
    pub async fn start(
        config: &Config,
        engine_transport: Arc<dyn EngineTransport>,
        metrics: &Metrics,
        clock: Clock,
    ) -> io::Result<WorkerPool> {
        let tuning = config.runtime_settings();
        let router =
            RequestRouter::new(config.shards, config.seed, metrics.clone(), tuning.clone());
        let setup = BrokerConfig {
            runtime_settings: Arc::new(tuning),
            seed: config.seed,
            clock,
            metrics: metrics.clone(),
            engine_transport,
            shard: None,
        };
        if config.workers > 1 {
            WorkerPool::several(config, router, setup).await
        } else {
            WorkerPool::alone(router, setup).await
        }
    }

    async fn alone(router: RequestRouter, setup: BrokerConfig) -> io::Result<WorkerPool> {
        let (broker, mailbox, incoming) = broker::new(setup);
        supervise::spawn_critical("the broker", broker.run(incoming));
        let opened = router.open_shard(0, mailbox).await;
        opened.map_err(|_| io::Error::other("the broker ended at once"))?;
        Ok(WorkerPool {
            router,
            workers: vec![Worker::new(Handle::current())],
            shards: 1,
            turn: AtomicUsize::new(0),
            restarts: Arc::default(),
        })
    }

    async fn several(
        config: &Config,
        router: RequestRouter,
        setup: BrokerConfig,
    ) -> io::Result<WorkerPool> {
        let tuning = &setup.runtime_settings;
        let (open, settings) = (tuning.max_open_requests, &tuning.settings);
        let shared = ShardLeases::new(config.shards, open, settings, router.clone());
        widen_descriptors(config.max_descriptors);
        let cores = if config.pin_workers {
            core_affinity::get_core_ids().unwrap_or_default()
        } else {
            Vec::new()
        };
        let (mut workers, restarts) = (Vec::new(), Arc::<AtomicUsize>::default());
        for shard in 0..config.workers {
            let core = cores.get(shard % cores.len().max(1)).copied();
            let worker = Worker::new(thread(shard, core)?);
            workers.push(worker.clone());
            if shard >= config.shards {
                continue;
            }
            let setup = BrokerConfig {
                shard: Some(Shard::new(shared.clone(), shard)),
                ..setup.clone()
            };
            let life = live(
                shard,
                setup,
                router.clone(),
                shared.clone(),
                restarts.clone(),
            );
            worker.spawn("a worker", life);
        }
        let pool = WorkerPool {
            router,
            workers,
            shards: config.shards,
            turn: AtomicUsize::new(0),
            restarts,
        };
        // Clients are accepted once every shard takes requests.
        pool.router.wait_until_open().await;
        Ok(pool)
    }

    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Whether connections must be handed over to another thread.
    pub fn has_several_workers(&self) -> bool {
        self.workers.len() > 1
    }

    /// The worker for a new connection.
    pub fn choose_worker(&self) -> (usize, &Worker) {
        let load = |(shard, worker): (usize, &Worker)| WorkerLoad {
            connections: worker.connections.load(Ordering::Relaxed),
            is_alive: shard >= self.shards || self.router.is_alive(shard),
        };
        let loads: Vec<WorkerLoad> = self.workers.iter().enumerate().map(load).collect();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let place = placement::choose_worker(&loads, turn);
        (place, &self.workers[place])
    }

    /// Brokers that were started after another had died, and serve.
    pub fn broker_restarts(&self) -> usize {
        self.restarts.load(Ordering::Relaxed)
    }
}

/// Has the system make its table of descriptors as large as it may become, while there is one thread: when it
/// grows in a process of several, whoever needs a descriptor waits for all processors, and a burst of new
/// connections is not accepted in time (measured: a tenth of 900 at once was tried again by the clients'
/// systems, a second later).
fn widen_descriptors(sockets: usize) {
    let Ok(highest) = i32::try_from(sockets.saturating_sub(1)) else {
        return;
    };
    match rustix::io::fcntl_dupfd_cloexec(std::io::stderr(), highest) {
        Ok(descriptor) => drop(descriptor),
        // Fewer may be allowed than the configuration says; they are then had one by one.
        Err(error) => log::debug!("descriptors up to {highest}: {error}"),
    }
}

/// Starts a thread with a runtime, which runs until the program ends.
fn thread(shard: usize, core: Option<CoreId>) -> io::Result<Handle> {
    let (told, hears) = mpsc::channel();
    let run = move || {
        if let Some(core) = core
            && !core_affinity::set_for_current(core)
        {
            log::warn!("worker {shard} can't be pinned to core {}", core.id);
        }
        match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => {
                // Whoever asked for it waits for this word.
                let _ = told.send(Ok(runtime.handle().clone()));
                runtime.block_on(std::future::pending::<()>());
            }
            Err(error) => drop(told.send(Err(error))),
        }
    };
    let name = format!("worker-{shard}");
    std::thread::Builder::new().name(name).spawn(run)?;
    hears.recv().map_err(io::Error::other)?
}

/// The life of a shard: its broker, and another one whenever that has died.
async fn live(
    shard: usize,
    setup: BrokerConfig,
    router: RequestRouter,
    shared: Arc<ShardLeases>,
    restarts: Arc<AtomicUsize>,
) {
    for life in 0.. {
        let (broker, mailbox, incoming) = broker::new(setup.clone());
        let running = tokio::spawn(broker.run(incoming));
        // A broker that is gone already is told of below.
        let _ = router.open_shard(shard, mailbox).await;
        if life > 0 {
            restarts.fetch_add(1, Ordering::Relaxed);
        }
        let ended = running.await;
        router.close_shard(shard);
        match ended {
            Ok(()) => return,
            Err(error) => log::error!("the broker of worker {shard} died: {error}"),
        }
        shared.shard_crashed(shard);
        sleep(REBIRTH).await;
    }
}
