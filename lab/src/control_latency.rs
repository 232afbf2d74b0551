//! The experiment on the door: how long operators wait for an answer while the program is asked for more than
//! it can do, and while callers connect and finish nothing.

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

/// A caller comes so often.
const CALL_EVERY: Duration = Duration::from_millis(10);

#[derive(Args)]
pub struct ControlLatency {
    /// The program.
    #[arg(long, default_value = "target/release/sedgebeam")]
    program: PathBuf,
    /// Requests a second: none, and then so many.
    #[arg(long, value_delimiter = ',', default_value = "0,5000,20000,60000")]
    rates: Vec<f64>,
    /// The length of each run, in seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Callers that connect and say half a word.
    #[arg(long, default_value_t = 40)]
    mute: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl ControlLatency {
    pub fn run(&self) -> io::Result<()> {
        println!("rate/s   answered/s   call   calls   p50 ms   p99 ms   most ms   wrong");
        for rate in &self.rates {
            self.at(*rate)?;
        }
        Ok(())
    }

    fn at(&self, rate: f64) -> io::Result<()> {
        let world = Testbed::new(4, 2)?;
        let firms = TENANTS.iter().map(|(name, part)| (name.to_string(), *part));
        let setting = DispatcherOptions {
            workers: 1,
            shards: None,
            pin: false,
            control: true,
            engines: world.engines.clone(),
            engine_cores: 1000,
            firms: firms.collect(),
        };
        world.runtime.block_on(async {
            let program = DispatcherProcess::start(&self.program, &setting).await?;
            let door = program.control.ok_or(io::ErrorKind::NotFound)?;
            let length = Duration::from_secs_f64(self.seconds);
            let traffic = Traffic {
                seed: self.seed,
                rate,
                length,
                firms: TENANTS.iter().map(|(_, part)| *part).collect(),
                groups: 64,
                service: [Duration::from_millis(1); 3],
            };
            let play = LoadOptions {
                address: program.address,
                firms: TENANTS.iter().map(|(name, _)| name.to_string()).collect(),
                sessions: 200,
                warm_up: Duration::from_millis(500),
                limit: Duration::from_secs(5),
            };
            let mute = self.mute;
            let mutes = tokio::spawn(async move { callers_that_finish_nothing(door, mute).await });
            let pings = tokio::spawn(calls(door, "PING", "200", length));
            let infos = tokio::spawn(calls(door, "INFO", "EOF", length));
            let loaded = load_generator::generate(traffic.schedule(), play).await?;
            for (call, told) in [("PING", pings), ("INFO", infos)] {
                let (times, wrong) = told.await.map_err(io::Error::other)??;
                let at = |percent| times.value_at_percentile(percent) as f64 / 1000.0;
                println!(
                    "{rate:>6.0} {:>12.0}   {call}  {:>6} {:>8.2} {:>8.2} {:>9.2} {wrong:>7}",
                    (loaded.served_total() + loaded.refused + loaded.failed) as f64 / self.seconds,
                    times.len(),
                    at(50.0),
                    at(99.0),
                    times.max() as f64 / 1000.0,
                );
            }
            mutes.abort();
            program.stop().await
        })
    }
}

/// Calls one after the other, each due at its time; how long each took, and how many were not answered with
/// this word.
async fn calls(
    door: SocketAddr,
    call: &'static str,
    word: &'static str,
    length: Duration,
) -> io::Result<(Histogram<u64>, u64)> {
    let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    let (start, mut wrong, mut due) = (Instant::now(), 0, Duration::ZERO);
    while due < length {
        sleep((start + due).saturating_duration_since(Instant::now())).await;
        match ask(door, call).await {
            Ok(answer) if answer.contains(word) => {}
            _ => wrong += 1,
        }
        // From when it was due: what waits behind a slow one has waited too.
        let micros = (start + due).elapsed().as_micros().clamp(1, 60_000_000) as u64;
        times.record(micros).map_err(io::Error::other)?;
        due += CALL_EVERY;
    }
    Ok((times, wrong))
}

async fn ask(door: SocketAddr, call: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(door).await?;
    stream.write_all(format!("{call}\n").as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// So many at a time, each for as long as the door bears it.
async fn callers_that_finish_nothing(door: SocketAddr, count: usize) {
    let one = || async move {
        loop {
            if let Ok(mut stream) = TcpStream::connect(door).await {
                // One that is let go is followed by another.
                let _ = stream.write_all(b"PI").await;
                let _ = stream.read(&mut [0; 16]).await;
            }
            sleep(CALL_EVERY).await;
        }
    };
    let all: Vec<_> = (0..count).map(|_| tokio::spawn(one())).collect();
    for caller in all {
        // They end with the run.
        let _ = caller.await;
    }
}
