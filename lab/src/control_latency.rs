//! Measures the latency of the control socket while the dispatcher is overloaded and while clients connect to
//! the control socket without completing a command.

use crate::dispatcher_process::{DispatcherOptions, DispatcherProcess};
use crate::load_generator::{self, LoadOptions};
use crate::traffic::Traffic;
use crate::worker_scaling::{TENANTS, Testbed};
use clap::Args;
use hdrhistogram::Histogram;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Interval between the commands, and between the connections of an idle client.
const CALL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Args)]
pub struct ControlLatency {
    /// Path of the dispatcher program.
    #[arg(long = "program", default_value = "target/release/sedgebeam")]
    dispatcher_path: PathBuf,
    /// Request rates to measure, in requests per second; zero measures the control socket without load.
    #[arg(long, value_delimiter = ',', default_value = "0,5000,20000,60000")]
    rates: Vec<f64>,
    /// Duration of each run, in seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Number of clients that connect to the control socket and never complete a command.
    #[arg(long = "mute", default_value_t = 40)]
    idle_clients: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl ControlLatency {
    pub fn run(&self) -> io::Result<()> {
        println!("rate/s   answered/s   call   calls   p50 ms   p99 ms   most ms   wrong");
        for rate in &self.rates {
            self.measure(*rate)?;
        }
        Ok(())
    }

    fn measure(&self, rate: f64) -> io::Result<()> {
        let testbed = Testbed::new(4, 2)?;
        let tenants = TENANTS
            .iter()
            .map(|(name, share)| (name.to_string(), *share));
        let options = DispatcherOptions {
            workers: 1,
            shards: None,
            pin_workers: false,
            control_socket: true,
            engines: testbed.engines.clone(),
            engine_cores: 1000,
            tenants: tenants.collect(),
        };
        testbed.runtime.block_on(async {
            let dispatcher = DispatcherProcess::start(&self.dispatcher_path, &options).await?;
            let control_address = dispatcher.control_address.ok_or(io::ErrorKind::NotFound)?;
            let duration = Duration::from_secs_f64(self.seconds);
            let traffic = Traffic {
                seed: self.seed,
                rate,
                duration,
                tenant_shares: TENANTS.iter().map(|(_, share)| *share).collect(),
                table_groups: 64,
                mean_service_times: [Duration::from_millis(1); 3],
            };
            let load_options = LoadOptions {
                address: dispatcher.address,
                tenants: TENANTS.iter().map(|(name, _)| name.to_string()).collect(),
                sessions_per_tenant: 200,
                warm_up: Duration::from_millis(500),
                time_limit: Duration::from_secs(5),
            };
            let idle_client_count = self.idle_clients;
            let idle_clients =
                tokio::spawn(async move { run_idle_clients(control_address, idle_client_count).await });
            let pings = tokio::spawn(measure_calls(control_address, "PING", "200", duration));
            let infos = tokio::spawn(measure_calls(control_address, "INFO", "EOF", duration));
            let load_result = load_generator::generate(traffic.schedule(), load_options).await?;
            for (call, measurement) in [("PING", pings), ("INFO", infos)] {
                let (latency_micros, wrong_answers) = measurement.await.map_err(io::Error::other)??;
                let percentile_ms =
                    |percent| latency_micros.value_at_percentile(percent) as f64 / 1000.0;
                println!(
                    "{rate:>6.0} {:>12.0}   {call}  {:>6} {:>8.2} {:>8.2} {:>9.2} {wrong_answers:>7}",
                    (load_result.served_total() + load_result.refused + load_result.failed) as f64
                        / self.seconds,
                    latency_micros.len(),
                    percentile_ms(50.0),
                    percentile_ms(99.0),
                    latency_micros.max() as f64 / 1000.0,
                );
            }
            idle_clients.abort();
            dispatcher.stop().await
        })
    }
}

/// Sends the command repeatedly, one call after the other. Returns the latencies in microseconds and the number
/// of calls whose answer did not contain `expected`.
async fn measure_calls(
    control_address: SocketAddr,
    command: &'static str,
    expected: &'static str,
    duration: Duration,
) -> io::Result<(Histogram<u64>, u64)> {
    let mut latency_micros =
        Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    let (start, mut wrong_answers, mut due_after) = (Instant::now(), 0, Duration::ZERO);
    while due_after < duration {
        sleep((start + due_after).saturating_duration_since(Instant::now())).await;
        match call(control_address, command).await {
            Ok(answer) if answer.contains(expected) => {}
            _ => wrong_answers += 1,
        }
        // Latency counts from the due time, so that it includes the wait behind a slow call.
        let micros = (start + due_after)
            .elapsed()
            .as_micros()
            .clamp(1, 60_000_000) as u64;
        latency_micros.record(micros).map_err(io::Error::other)?;
        due_after += CALL_INTERVAL;
    }
    Ok((latency_micros, wrong_answers))
}

async fn call(control_address: SocketAddr, command: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(control_address).await?;
    stream.write_all(format!("{command}\n").as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// Runs clients that never complete a command; each reconnects when its connection is closed.
async fn run_idle_clients(control_address: SocketAddr, count: usize) {
    let run_client = || async move {
        loop {
            if let Ok(mut stream) = TcpStream::connect(control_address).await {
                // Errors are expected: the dispatcher closes idle connections, and the client then reconnects.
                let _ = stream.write_all(b"PI").await;
                let _ = stream.read(&mut [0; 16]).await;
            }
            sleep(CALL_INTERVAL).await;
        }
    };
    let clients: Vec<_> = (0..count).map(|_| tokio::spawn(run_client())).collect();
    for client in clients {
        // The clients run until this task is aborted.
        let _ = client.await;
    }
}
