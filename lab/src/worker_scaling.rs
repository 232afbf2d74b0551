//! The experiment on several cores: for each number of workers the highest throughput held, latency at half
//! of it, processor time for a request, and how far shares under overload are from what is owed.

use crate::dispatcher_process::{self, DispatcherOptions, DispatcherProcess};
use crate::engine::{self, LoadCounts};
use crate::load_generator::{self, LoadOptions};
use crate::rate_search::RateSearch;
use crate::traffic::{CLASSES, Traffic};
use clap::Args;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};

/// Firms and their shares.
pub const TENANTS: [(&str, f64); 3] = [
    ("fraser-cpa", 0.62),
    ("island-ledger", 0.26),
    ("kootenay-books", 0.12),
];
/// Part of the requests that must be served for a rate to be held.
const SERVED: f64 = 0.99;
/// What does not count of each run.
const WARM_UP: Duration = Duration::from_millis(500);
/// The last part of a search: it is known to within 1/64 of the step that missed.
const STEPS: u32 = 4;

#[derive(Args)]
pub struct WorkerScaling {
    /// Numbers of workers, in the order in which they are measured.
    #[arg(long, value_delimiter = ',', default_value = "1,2,4,8")]
    workers: Vec<usize>,
    /// The program.
    #[arg(long, default_value = "target/release/sedgebeam")]
    program: PathBuf,
    /// Where the figures are written.
    #[arg(long)]
    json: Option<PathBuf>,
    /// The bound on the 99th percentile, in milliseconds.
    #[arg(long, default_value_t = 50.0)]
    p99: f64,
    /// The first rate that is tried, in requests a second.
    #[arg(long, default_value_t = 2000.0)]
    rate: f64,
    /// The length of each run, in seconds; the first half second does not count.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Threads of the load and the stand-in engines.
    #[arg(long, default_value_t = 4)]
    load_threads: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Pins each worker to a core.
    #[arg(long)]
    pin: bool,
    /// Shards of the decision module: one for each worker unless told, or 1 for one module behind all.
    #[arg(long)]
    shards: Option<usize>,
    /// Leaves out the runs under overload.
    #[arg(long)]
    no_shares: bool,
}

#[derive(Serialize)]
struct Report {
    machine_cores: usize,
    load_threads: usize,
    p99_bound_ms: f64,
    seed: u64,
    rows: Vec<Row>,
}

#[derive(Serialize)]
struct Row {
    workers: usize,
    /// Highest rate held, in requests a second.
    held_per_s: f64,
    /// Processor time for a request at that rate, in microseconds.
    cpu_us: f64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    shares: Option<Shares>,
    doubled_loads: usize,
}

/// What was served under overload.
#[derive(Serialize)]
struct Shares {
    asked_per_s: f64,
    served_per_s: f64,
    refused: u64,
    failed: u64,
    /// The part of the served thread time that each class had, in points.
    by_class: Vec<f64>,
    /// The same by firm: what a firm holds is thread time, since a report is worth many lookups.
    by_firm: Vec<f64>,
    /// The farthest that a class, and a firm, is from what it had in the first row, in points.
    class_error: f64,
    firm_error: f64,
}

/// The farthest that two lists of points lie apart.
fn apart(parts: &[f64], others: &[f64]) -> f64 {
    let apart = parts
        .iter()
        .zip(others)
        .map(|(part, other)| (part - other).abs());
    apart.fold(0.0, f64::max)
}

pub struct Testbed {
    pub runtime: Runtime,
    pub engines: Vec<SocketAddr>,
    seen: Arc<LoadCounts>,
}

impl Testbed {
    pub fn new(threads: usize, engines: usize) -> io::Result<Testbed> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .build()?;
        let seen = Arc::new(LoadCounts::default());
        let mut addresses = Vec::new();
        for _ in 0..engines {
            let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
            addresses.push(listener.local_addr()?);
            runtime.spawn(engine::serve(listener, seen.clone()));
        }
        Ok(Testbed {
            runtime,
            engines: addresses,
            seen,
        })
    }
}

/// A run and the processor time that the program used for it.
struct Run {
    result: load_generator::LoadResult,
    cpu: Duration,
    rate: f64,
    /// What part of their threads' time the load and the engines used: near one, they gave in themselves.
    load_busy: f64,
    doubled_loads: usize,
}

impl Run {
    fn holds(&self, p99_ms: f64) -> bool {
        let served = self.result.served_total() as f64 >= SERVED * self.result.due as f64;
        served && self.result.latency_percentile_ms(99.0) <= p99_ms
    }
}

impl WorkerScaling {
    pub fn run(&self) -> io::Result<()> {
        let machine_cores = std::thread::available_parallelism()?.get();
        println!(
            "{machine_cores} cores; {} threads of load and engines",
            self.load_threads
        );
        println!(
            "workers     held/s   cpu us     p50     p99   p99.9  firms off  class off  take_duplicates loads"
        );
        let mut rows = Vec::new();
        for workers in &self.workers {
            let mut row = self.row(*workers)?;
            let first = rows.first().and_then(|first: &Row| first.shares.as_ref());
            if let (Some(shares), Some(first)) = (&mut row.shares, first) {
                shares.class_error = apart(&shares.by_class, &first.by_class);
                shares.firm_error = apart(&shares.by_firm, &first.by_firm);
            }
            let off = |pick: fn(&Shares) -> f64| match &row.shares {
                Some(shares) => format!("{:.1}", pick(shares)),
                None => "-".to_string(),
            };
            println!(
                "{workers:7} {:10.0} {:8.1} {:7.1} {:7.1} {:7.1} {:>10} {:>10} {:14}",
                row.held_per_s,
                row.cpu_us,
                row.p50_ms,
                row.p99_ms,
                row.p999_ms,
                off(|shares| shares.firm_error),
                off(|shares| shares.class_error),
                row.doubled_loads,
            );
            rows.push(row);
        }
        let report = Report {
            machine_cores,
            load_threads: self.load_threads,
            p99_bound_ms: self.p99,
            seed: self.seed,
            rows,
        };
        if let Some(path) = &self.json {
            std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
        }
        Ok(())
    }

    fn row(&self, workers: usize) -> io::Result<Row> {
        let world = Testbed::new(self.load_threads, 8)?;
        let mut search = RateSearch::new(self.rate, STEPS);
        let (mut best, mut doubled_loads): (Option<Run>, usize) = (None, 0);
        while let Some(rate) = search.next_rate() {
            let mut run = self.play(&world, workers, rate, 64, &self.light(rate))?;
            doubled_loads += run.doubled_loads;
            if !run.holds(self.p99) {
                // Machines are noisy: what is missed once is tried again before it is believed.
                run = self.play(&world, workers, rate, 64, &self.light(rate))?;
                doubled_loads += run.doubled_loads;
            }
            let held = run.holds(self.p99);
            eprintln!(
                "  {workers} workers at {rate:.0}/s: p99 {:.1} ms, {} of {} served, load {:.0}% busy, program {:.1} cores{}",
                run.result.latency_percentile_ms(99.0),
                run.result.served_total(),
                run.result.due,
                100.0 * run.load_busy,
                run.cpu.as_secs_f64() / self.seconds,
                if held { "" } else { ": not held" }
            );
            if held {
                best = Some(run);
            }
            search.record(held);
        }
        let best = best.ok_or_else(|| io::Error::other("not even the first rate is held"))?;
        let half = search.highest_sustained() / 2.0;
        let half = self.play(&world, workers, half, 64, &self.light(half))?;
        let shares = if self.no_shares {
            None
        } else {
            Some(self.shares(workers)?)
        };
        Ok(Row {
            workers,
            held_per_s: best.rate,
            cpu_us: best.cpu.as_secs_f64() * 1e6 / (best.rate * self.seconds),
            p50_ms: half.result.latency_percentile_ms(50.0),
            p99_ms: half.result.latency_percentile_ms(99.0),
            p999_ms: half.result.latency_percentile_ms(99.9),
            shares,
            doubled_loads,
        })
    }

    /// Traffic that engines bear easily: the program is what gives in.
    fn light(&self, rate: f64) -> Traffic {
        Traffic {
            seed: self.seed,
            rate,
            length: Duration::from_secs_f64(self.seconds),
            firms: TENANTS.map(|(_, share)| share).to_vec(),
            groups: 40,
            service: [2, 4, 4].map(Duration::from_millis),
        }
    }

    fn play(
        &self,
        world: &Testbed,
        workers: usize,
        rate: f64,
        engine_cores: u32,
        traffic: &Traffic,
    ) -> io::Result<Run> {
        let setting = DispatcherOptions {
            workers,
            shards: self.shards,
            pin: self.pin,
            control: false,
            engines: world.engines.clone(),
            engine_cores,
            firms: TENANTS
                .map(|(name, share)| (name.to_string(), share))
                .to_vec(),
        };
        world.runtime.block_on(async {
            let program = DispatcherProcess::start(&self.program, &setting).await?;
            let (before, own) = (
                program.cpu_time()?,
                dispatcher_process::process_cpu_time("self")?,
            );
            let play = LoadOptions {
                address: program.address,
                firms: TENANTS.map(|(name, _)| name.to_string()).to_vec(),
                sessions: 600,
                warm_up: WARM_UP,
                limit: Duration::from_secs(4),
            };
            let result = load_generator::generate(traffic.schedule(), play).await?;
            let cpu = program.cpu_time()? - before;
            program.stop().await?;
            let own = dispatcher_process::process_cpu_time("self")? - own;
            let most = traffic.length.as_secs_f64() * self.load_threads as f64;
            Ok(Run {
                result,
                cpu,
                rate,
                load_busy: own.as_secs_f64() / most,
                doubled_loads: world.seen.take_duplicates(),
            })
        })
    }

    /// Three times what the engines' slots allow, from three firms alike: what each gets is its share.
    fn shares(&self, workers: usize) -> io::Result<Shares> {
        let world = Testbed::new(self.load_threads, 4)?;
        let seconds = 12.0;
        let rate = 7000.0;
        let traffic = Traffic {
            seed: self.seed + 1,
            rate,
            length: Duration::from_secs_f64(seconds),
            firms: vec![1.0 / 3.0; 3],
            groups: 40,
            service: [20, 60, 60].map(Duration::from_millis),
        };
        let run = self.play(&world, workers, rate, 8, &traffic)?;
        let served = &run.result.served;
        let times = served.iter().zip(CLASSES).zip(traffic.service);
        let times = times.map(|((counts, (_, _, threads)), service)| {
            let each = f64::from(threads) * service.as_secs_f64();
            counts
                .iter()
                .map(|count| *count as f64 * each)
                .collect::<Vec<f64>>()
        });
        let times: Vec<Vec<f64>> = times.collect();
        let sum: f64 = times.iter().flatten().sum();
        let points = |time: f64| 100.0 * time / sum.max(f64::MIN_POSITIVE);
        let firm = |firm: usize| points(times.iter().map(|class| class[firm]).sum());
        Ok(Shares {
            asked_per_s: rate,
            served_per_s: run.result.served_total() as f64 / (seconds - WARM_UP.as_secs_f64()),
            refused: run.result.refused,
            failed: run.result.failed,
            by_class: times
                .iter()
                .map(|class| points(class.iter().sum()))
                .collect(),
            by_firm: (0..TENANTS.len()).map(firm).collect(),
            class_error: 0.0,
            firm_error: 0.0,
        })
    }
}
