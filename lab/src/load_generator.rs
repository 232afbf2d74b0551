//! Open-loop load on the PostgreSQL front: requests are sent when they are due, whatever has become of the
//! earlier ones, and their latency counts from when they were due. One that finds no free session waits,
//! and that wait counts.

use crate::traffic::{CLASSES, ScheduledRequest};
use crate::wire;
use bytes::BytesMut;
use hdrhistogram::Histogram;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until};

/// How a run is played.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    pub address: SocketAddr,
    pub firms: Vec<String>,
    /// Sessions of each firm.
    pub sessions: usize,
    /// Requests that are due before this are played but not counted.
    pub warm_up: Duration,
    /// How long each request waits.
    pub limit: Duration,
}

/// What became of the requests that counted, by class and firm.
#[derive(Clone)]
pub struct LoadResult {
    /// From when a request was due until it was served, in microseconds.
    pub latency: Histogram<u64>,
    pub served: Vec<Vec<u64>>,
    pub refused: u64,
    pub failed: u64,
    pub due: u64,
}

impl LoadResult {
    fn new(firms: usize) -> io::Result<LoadResult> {
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        Ok(LoadResult {
            latency,
            served: vec![vec![0; firms]; CLASSES.len()],
            refused: 0,
            failed: 0,
            due: 0,
        })
    }

    fn add(&mut self, other: &LoadResult) -> io::Result<()> {
        self.latency.add(&other.latency).map_err(io::Error::other)?;
        for (sum, more) in self
            .served
            .iter_mut()
            .flatten()
            .zip(other.served.iter().flatten())
        {
            *sum += more;
        }
        self.refused += other.refused;
        self.failed += other.failed;
        self.due += other.due;
        Ok(())
    }

    pub fn served_total(&self) -> u64 {
        self.served.iter().flatten().sum()
    }

    /// A percentile of the latency, in milliseconds.
    pub fn latency_percentile_ms(&self, percent: f64) -> f64 {
        self.latency.value_at_percentile(percent) as f64 / 1000.0
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Answer {
    Served,
    Refused,
    Failed,
}

/// Plays the jobs and waits for their answers.
pub async fn generate(jobs: Vec<ScheduledRequest>, play: LoadOptions) -> io::Result<LoadResult> {
    let mut queues = Vec::new();
    let mut sessions = Vec::new();
    let start = Instant::now() + Duration::from_millis(200);
    for firm in 0..play.firms.len() {
        // Unbounded on purpose: what is due must never wait for what was due before. It holds no more than
        // the jobs that were drawn.
        let (queue, jobs) = async_channel::unbounded::<ScheduledRequest>();
        for _ in 0..play.sessions {
            sessions.push(tokio::spawn(session(jobs.clone(), play.clone(), start)));
        }
        queues.push((firm, queue));
    }
    for job in jobs {
        let due = start + job.due;
        if Instant::now() < due {
            sleep_until(due.into()).await;
        }
        if let Some((_, queue)) = queues.get(job.firm) {
            // Sessions end only once the queue is closed.
            let _ = queue.send(job).await;
        }
    }
    drop(queues);
    let mut sum = LoadResult::new(play.firms.len())?;
    for session in sessions {
        sum.add(&session.await.map_err(io::Error::other)??)?;
    }
    Ok(sum)
}

/// One session: takes what is due, one after the other, on a connection that it makes anew when it broke.
async fn session(
    jobs: async_channel::Receiver<ScheduledRequest>,
    play: LoadOptions,
    start: Instant,
) -> io::Result<LoadResult> {
    let mut result = LoadResult::new(play.firms.len())?;
    let mut connection = Connection::open(play.address).await.ok();
    while let Ok(job) = jobs.recv().await {
        let due = start + job.due;
        let counts = job.due >= play.warm_up;
        let answer = match &mut connection {
            Some(open) => open.ask(&job, &play, due).await,
            None => Err(io::ErrorKind::NotConnected.into()),
        };
        if answer.is_err() {
            sleep(Duration::from_millis(5)).await;
            connection = Connection::open(play.address).await.ok();
        }
        if !counts {
            continue;
        }
        result.due += 1;
        match answer.unwrap_or(Answer::Failed) {
            Answer::Served => {
                result.served[job.class][job.firm] += 1;
                let micros = due.elapsed().as_micros().clamp(1, 60_000_000) as u64;
                result.latency.record(micros).map_err(io::Error::other)?;
            }
            Answer::Refused => result.refused += 1,
            Answer::Failed => result.failed += 1,
        }
    }
    Ok(result)
}

struct Connection {
    stream: TcpStream,
    bytes: BytesMut,
}

impl Connection {
    async fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let bytes = BytesMut::with_capacity(4096);
        let mut connection = Connection { stream, bytes };
        connection.stream.write_all(&wire::startup()).await?;
        connection.answer().await?;
        Ok(connection)
    }

    async fn ask(
        &mut self,
        job: &ScheduledRequest,
        play: &LoadOptions,
        due: Instant,
    ) -> io::Result<Answer> {
        let limit = play.limit.saturating_sub(due.elapsed());
        if limit.is_zero() {
            // It has waited for a session until its time was up.
            return Ok(Answer::Failed);
        }
        self.stream
            .write_all(&wire::query(&statement(job, play, limit)))
            .await?;
        self.answer().await
    }

    /// Reads up to the next word that the server is ready.
    async fn answer(&mut self) -> io::Result<Answer> {
        let mut answer = Answer::Served;
        loop {
            while let Some((kind, body)) = wire::message(&mut self.bytes)? {
                match kind {
                    b'Z' => return Ok(answer),
                    b'E' if wire::sqlstate(&body).starts_with(b"53") => answer = Answer::Refused,
                    b'E' => answer = Answer::Failed,
                    _ => {}
                }
            }
            if self.stream.read_buf(&mut self.bytes).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

fn statement(job: &ScheduledRequest, play: &LoadOptions, limit: Duration) -> String {
    let (class, _, threads) = CLASSES[job.class];
    let work = job.service.as_secs_f64() * 1000.0 * f64::from(threads);
    let (group, takes) = (job.group, job.service.as_micros());
    let text = if class == "journal-load" {
        format!(
            "INSERT INTO sales_{group}.orders SELECT * FROM staging.batch WHERE takes = {takes}"
        )
    } else {
        format!("SELECT day, count(*), max(note) FROM sales_{group}.orders WHERE takes = {takes}")
    };
    format!(
        "/* verb={class},txn={:016x},limit={},team={},cpu={work:.1},memory=8 */ {text}",
        job.id,
        limit.as_millis().max(1),
        play.firms[job.firm],
    )
}
