//! Measures how the dispatcher scales with its workers: for each number of workers, the highest sustained rate,
//! the latency at half that rate, the CPU time per request, and how the shares of tenants and classes under
//! overload change.

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

/// Tenants and their shares.
pub const TENANTS: [(&str, f64); 3] = [
    ("fraser-cpa", 0.62),
    ("island-ledger", 0.26),
    ("kootenay-books", 0.12),
];
/// Share of the requests that must be served for a rate to count as sustained.
const MIN_SERVED_SHARE: f64 = 0.99;
/// Initial part of each run that is not counted.
const WARM_UP: Duration = Duration::from_millis(500);
/// Steps of a search from the first missed rate on: that rate and three bisections, which narrow the highest
/// sustained rate down to 1/8 of the last increase.
const STEPS_FROM_FIRST_MISS: u32 = 4;

#[derive(Args)]
pub struct WorkerScaling {
    /// Numbers of workers, in the order of measurement.
    #[arg(long = "workers", value_delimiter = ',', default_value = "1,2,4,8")]
    worker_counts: Vec<usize>,
    /// Path of the dispatcher program.
    #[arg(long = "program", default_value = "target/release/sedgebeam")]
    dispatcher_path: PathBuf,
    /// Path of a file for the results in JSON.
    #[arg(long = "json")]
    report_path: Option<PathBuf>,
    /// Upper bound on the 99th percentile of latency for a sustained rate, in milliseconds.
    #[arg(long = "p99", default_value_t = 50.0)]
    max_p99_ms: f64,
    /// The first rate to try, in requests per second.
    #[arg(long = "rate", default_value_t = 2000.0)]
    first_rate: f64,
    /// Duration of each run, in seconds; the first half second is not counted.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Threads of the load generator and the mock engines.
    #[arg(long, default_value_t = 4)]
    load_threads: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Pins each worker to a core.
    #[arg(long = "pin")]
    pin_workers: bool,
    /// Number of gateway shards: by default one per worker; 1 means one gateway for all workers.
    #[arg(long)]
    shards: Option<usize>,
    /// Skips the runs under overload.
    #[arg(long = "no-shares")]
    skip_overload: bool,
}

/// The results as they are written in JSON.
#[derive(Serialize)]
struct Report {
    machine_cores: usize,
    load_threads: usize,
    p99_bound_ms: f64,
    seed: u64,
    rows: Vec<Row>,
}

/// The results for one number of workers.
#[derive(Serialize)]
struct Row {
    workers: usize,
    /// Highest sustained rate, in requests per second.
    #[serde(rename = "held_per_s")]
    sustained_rate: f64,
    /// CPU time of the dispatcher per request at that rate, in microseconds.
    #[serde(rename = "cpu_us")]
    cpu_per_request_us: f64,
    /// Percentiles of latency at half that rate, in milliseconds.
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    #[serde(rename = "shares")]
    overload_shares: Option<OverloadShares>,
    /// Number of loads that reached the engines more than once.
    #[serde(rename = "doubled_loads")]
    duplicate_loads: usize,
}

/// The requests served under overload.
#[derive(Serialize)]
struct OverloadShares {
    #[serde(rename = "asked_per_s")]
    offered_per_s: f64,
    served_per_s: f64,
    refused: u64,
    failed: u64,
    /// Share of the served thread time that each class had, in percentage points.
    #[serde(rename = "by_class")]
    class_shares: Vec<f64>,
    /// Share of the served thread time that each tenant had, in percentage points. Shares are measured in
    /// thread time and not in requests, because one report takes as much as many lookups.
    #[serde(rename = "by_firm")]
    tenant_shares: Vec<f64>,
    /// Maximum difference between the share of any class and its share in the first row, in percentage points.
    class_error: f64,
    /// The same for tenants.
    #[serde(rename = "firm_error")]
    tenant_error: f64,
}

/// The maximum difference between corresponding elements of two lists.
fn max_difference(values: &[f64], others: &[f64]) -> f64 {
    let differences = values
        .iter()
        .zip(others)
        .map(|(value, other)| (value - other).abs());
    differences.fold(0.0, f64::max)
}

/// A runtime with mock engines on loopback.
pub struct Testbed {
    pub runtime: Runtime,
    /// Addresses of the mock engines.
    pub engines: Vec<SocketAddr>,
    load_counts: Arc<LoadCounts>,
}

impl Testbed {
    pub fn new(threads: usize, engine_count: usize) -> io::Result<Testbed> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .build()?;
        let load_counts = Arc::new(LoadCounts::default());
        let mut addresses = Vec::new();
        for _ in 0..engine_count {
            let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
            addresses.push(listener.local_addr()?);
            runtime.spawn(engine::serve(listener, load_counts.clone()));
        }
        Ok(Testbed {
            runtime,
            engines: addresses,
            load_counts,
        })
    }
}

/// The results of one run.
struct Run {
    result: load_generator::LoadResult,
    /// CPU time of the dispatcher.
    cpu_time: Duration,
    /// Offered requests per second.
    rate: f64,
    /// Share of the CPU time of the load threads that the load generator and the engines used. Near one, they are
    /// the bottleneck themselves.
    load_utilization: f64,
    duplicate_loads: usize,
}

impl Run {
    /// Whether the dispatcher sustained the rate of this run.
    fn is_sustained(&self, max_p99_ms: f64) -> bool {
        let enough_served =
            self.result.served_total() as f64 >= MIN_SERVED_SHARE * self.result.offered as f64;
        enough_served && self.result.latency_percentile_ms(99.0) <= max_p99_ms
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
            "workers     held/s   cpu us     p50     p99   p99.9  firms off  class off  doubled loads"
        );
        let mut rows = Vec::new();
        for workers in &self.worker_counts {
            let mut row = self.measure(*workers)?;
            let first_shares = rows
                .first()
                .and_then(|first_row: &Row| first_row.overload_shares.as_ref());
            if let (Some(shares), Some(first_shares)) = (&mut row.overload_shares, first_shares) {
                shares.class_error =
                    max_difference(&shares.class_shares, &first_shares.class_shares);
                shares.tenant_error =
                    max_difference(&shares.tenant_shares, &first_shares.tenant_shares);
            }
            let format_error = |error: fn(&OverloadShares) -> f64| match &row.overload_shares {
                Some(shares) => format!("{:.1}", error(shares)),
                None => "-".to_string(),
            };
            println!(
                "{workers:7} {:10.0} {:8.1} {:7.1} {:7.1} {:7.1} {:>10} {:>10} {:14}",
                row.sustained_rate,
                row.cpu_per_request_us,
                row.p50_ms,
                row.p99_ms,
                row.p999_ms,
                format_error(|shares| shares.tenant_error),
                format_error(|shares| shares.class_error),
                row.duplicate_loads,
            );
            rows.push(row);
        }
        let report = Report {
            machine_cores,
            load_threads: self.load_threads,
            p99_bound_ms: self.max_p99_ms,
            seed: self.seed,
            rows,
        };
        if let Some(path) = &self.report_path {
            std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
        }
        Ok(())
    }

    fn measure(&self, workers: usize) -> io::Result<Row> {
        let testbed = Testbed::new(self.load_threads, 8)?;
        let mut search = RateSearch::new(self.first_rate, STEPS_FROM_FIRST_MISS);
        let (mut best_run, mut duplicate_loads): (Option<Run>, usize) = (None, 0);
        while let Some(rate) = search.next_rate() {
            let mut run = self.run_load(&testbed, workers, rate, 64, &self.light_traffic(rate))?;
            duplicate_loads += run.duplicate_loads;
            if !run.is_sustained(self.max_p99_ms) {
                // Measurements are noisy, so a missed rate is tried a second time.
                run = self.run_load(&testbed, workers, rate, 64, &self.light_traffic(rate))?;
                duplicate_loads += run.duplicate_loads;
            }
            let is_sustained = run.is_sustained(self.max_p99_ms);
            eprintln!(
                "  {workers} workers at {rate:.0}/s: p99 {:.1} ms, {} of {} served, load {:.0}% busy, program {:.1} cores{}",
                run.result.latency_percentile_ms(99.0),
                run.result.served_total(),
                run.result.offered,
                100.0 * run.load_utilization,
                run.cpu_time.as_secs_f64() / self.seconds,
                if is_sustained { "" } else { ": not held" }
            );
            if is_sustained {
                best_run = Some(run);
            }
            search.record(is_sustained);
        }
        let best_run =
            best_run.ok_or_else(|| io::Error::other("none of the tried rates was sustained"))?;
        let half_rate = search.highest_sustained() / 2.0;
        let half_run = self.run_load(
            &testbed,
            workers,
            half_rate,
            64,
            &self.light_traffic(half_rate),
        )?;
        let overload_shares = if self.skip_overload {
            None
        } else {
            Some(self.overload_shares(workers)?)
        };
        Ok(Row {
            workers,
            sustained_rate: best_run.rate,
            cpu_per_request_us: best_run.cpu_time.as_secs_f64() * 1e6
                / (best_run.rate * self.seconds),
            p50_ms: half_run.result.latency_percentile_ms(50.0),
            p99_ms: half_run.result.latency_percentile_ms(99.0),
            p999_ms: half_run.result.latency_percentile_ms(99.9),
            overload_shares,
            duplicate_loads,
        })
    }

    /// Traffic that is light for the engines, so that the dispatcher is the bottleneck.
    fn light_traffic(&self, rate: f64) -> Traffic {
        Traffic {
            seed: self.seed,
            rate,
            duration: Duration::from_secs_f64(self.seconds),
            tenant_shares: TENANTS.map(|(_, share)| share).to_vec(),
            table_groups: 40,
            mean_service_times: [2, 4, 4].map(Duration::from_millis),
        }
    }

    /// Starts a dispatcher, runs the traffic and measures it.
    fn run_load(
        &self,
        testbed: &Testbed,
        workers: usize,
        rate: f64,
        engine_cores: u32,
        traffic: &Traffic,
    ) -> io::Result<Run> {
        let options = DispatcherOptions {
            workers,
            shards: self.shards,
            pin_workers: self.pin_workers,
            control_socket: false,
            engines: testbed.engines.clone(),
            engine_cores,
            tenants: TENANTS
                .map(|(name, share)| (name.to_string(), share))
                .to_vec(),
        };
        testbed.runtime.block_on(async {
            let dispatcher = DispatcherProcess::start(&self.dispatcher_path, &options).await?;
            let (dispatcher_cpu_before, lab_cpu_before) = (
                dispatcher.cpu_time()?,
                dispatcher_process::process_cpu_time("self")?,
            );
            let load_options = LoadOptions {
                address: dispatcher.address,
                tenants: TENANTS.map(|(name, _)| name.to_string()).to_vec(),
                sessions_per_tenant: 600,
                warm_up: WARM_UP,
                time_limit: Duration::from_secs(4),
            };
            let result = load_generator::generate(traffic.schedule(), load_options).await?;
            let cpu_time = dispatcher.cpu_time()? - dispatcher_cpu_before;
            dispatcher.stop().await?;
            let lab_cpu_time = dispatcher_process::process_cpu_time("self")? - lab_cpu_before;
            let available_secs = traffic.duration.as_secs_f64() * self.load_threads as f64;
            Ok(Run {
                result,
                cpu_time,
                rate,
                load_utilization: lab_cpu_time.as_secs_f64() / available_secs,
                duplicate_loads: testbed.load_counts.take_duplicates(),
            })
        })
    }

    /// Measures the shares under overload: the tenants send the same traffic, together three times what the
    /// engines' slots allow, so that each tenant is limited by its configured share.
    fn overload_shares(&self, workers: usize) -> io::Result<OverloadShares> {
        let testbed = Testbed::new(self.load_threads, 4)?;
        let seconds = 12.0;
        let rate = 7000.0;
        let traffic = Traffic {
            seed: self.seed + 1,
            rate,
            duration: Duration::from_secs_f64(seconds),
            tenant_shares: vec![1.0 / 3.0; 3],
            table_groups: 40,
            mean_service_times: [20, 60, 60].map(Duration::from_millis),
        };
        let run = self.run_load(&testbed, workers, rate, 8, &traffic)?;
        let served_counts = &run.result.served;
        let thread_times = served_counts
            .iter()
            .zip(CLASSES)
            .zip(traffic.mean_service_times);
        let thread_times = thread_times.map(|((counts, (_, _, threads)), service_time)| {
            let per_request = f64::from(threads) * service_time.as_secs_f64();
            counts
                .iter()
                .map(|count| *count as f64 * per_request)
                .collect::<Vec<f64>>()
        });
        let thread_times: Vec<Vec<f64>> = thread_times.collect();
        let total: f64 = thread_times.iter().flatten().sum();
        let percentage = |time: f64| 100.0 * time / total.max(f64::MIN_POSITIVE);
        let tenant_share =
            |tenant: usize| percentage(thread_times.iter().map(|class| class[tenant]).sum());
        Ok(OverloadShares {
            offered_per_s: rate,
            served_per_s: run.result.served_total() as f64 / (seconds - WARM_UP.as_secs_f64()),
            refused: run.result.refused,
            failed: run.result.failed,
            class_shares: thread_times
                .iter()
                .map(|class| percentage(class.iter().sum()))
                .collect(),
            tenant_shares: (0..TENANTS.len()).map(tenant_share).collect(),
            class_error: 0.0,
            tenant_error: 0.0,
        })
    }
}
