//! Open-loop load on the PostgreSQL front: requests are sent when they are due, independently of earlier ones.
//! Latency is measured from the due time, so that it includes the wait for a free session.

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

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The address for PostgreSQL clients of the dispatcher.
    pub address: SocketAddr,
    /// Names of the tenants, indexed by [`ScheduledRequest::tenant`].
    pub tenants: Vec<String>,
    pub sessions_per_tenant: usize,
    /// Requests that are due before this time are sent but not counted.
    pub warm_up: Duration,
    /// Time limit of each request, from its due time.
    pub time_limit: Duration,
}

/// The outcomes of the requests that were due after the warm-up.
#[derive(Clone)]
pub struct LoadResult {
    /// Time from the due time of a served request to its answer, in microseconds.
    pub latency_micros: Histogram<u64>,
    /// Number of served requests, by class and tenant.
    pub served: Vec<Vec<u64>>,
    /// Number of requests answered with a SQLSTATE of class 53.
    pub refused: u64,
    /// Number of requests with another error, without an answer, or without a session within their time limit.
    pub failed: u64,
    /// Number of requests with any outcome.
    pub offered: u64,
}

impl LoadResult {
    fn new(tenants: usize) -> io::Result<LoadResult> {
        let latency_micros =
            Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        Ok(LoadResult {
            latency_micros,
            served: vec![vec![0; tenants]; CLASSES.len()],
            refused: 0,
            failed: 0,
            offered: 0,
        })
    }

    fn add(&mut self, other: &LoadResult) -> io::Result<()> {
        self.latency_micros
            .add(&other.latency_micros)
            .map_err(io::Error::other)?;
        for (total, count) in self
            .served
            .iter_mut()
            .flatten()
            .zip(other.served.iter().flatten())
        {
            *total += count;
        }
        self.refused += other.refused;
        self.failed += other.failed;
        self.offered += other.offered;
        Ok(())
    }

    pub fn served_total(&self) -> u64 {
        self.served.iter().flatten().sum()
    }

    /// A percentile of the latency in milliseconds.
    pub fn latency_percentile_ms(&self, percent: f64) -> f64 {
        self.latency_micros.value_at_percentile(percent) as f64 / 1000.0
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Answer {
    Served,
    Refused,
    Failed,
}

/// Sends the requests at their due times and waits for all answers.
pub async fn generate(
    requests: Vec<ScheduledRequest>,
    options: LoadOptions,
) -> io::Result<LoadResult> {
    let mut queues = Vec::new();
    let mut sessions = Vec::new();
    let start = Instant::now() + Duration::from_millis(200);
    for tenant in 0..options.tenants.len() {
        // Unbounded, because a request that is due must never wait for earlier ones. The queue cannot grow beyond
        // the requests that were drawn for the run.
        let (queue, requests) = async_channel::unbounded::<ScheduledRequest>();
        for _ in 0..options.sessions_per_tenant {
            sessions.push(tokio::spawn(run_session(
                requests.clone(),
                options.clone(),
                start,
            )));
        }
        queues.push((tenant, queue));
    }
    for request in requests {
        let due_at = start + request.due_after;
        if Instant::now() < due_at {
            sleep_until(due_at.into()).await;
        }
        if let Some((_, queue)) = queues.get(request.tenant) {
            // Sessions receive until the queue is closed, so that this send cannot fail.
            let _ = queue.send(request).await;
        }
    }
    drop(queues);
    let mut total = LoadResult::new(options.tenants.len())?;
    for session in sessions {
        total.add(&session.await.map_err(io::Error::other)??)?;
    }
    Ok(total)
}

/// Runs one session: sends requests from the queue one after the other and reconnects after errors.
async fn run_session(
    requests: async_channel::Receiver<ScheduledRequest>,
    options: LoadOptions,
    start: Instant,
) -> io::Result<LoadResult> {
    let mut result = LoadResult::new(options.tenants.len())?;
    let mut connection = Connection::open(options.address).await.ok();
    while let Ok(request) = requests.recv().await {
        let due_at = start + request.due_after;
        let is_counted = request.due_after >= options.warm_up;
        let answer = match &mut connection {
            Some(connection) => connection.execute(&request, &options, due_at).await,
            None => Err(io::ErrorKind::NotConnected.into()),
        };
        if answer.is_err() {
            sleep(Duration::from_millis(5)).await;
            connection = Connection::open(options.address).await.ok();
        }
        if !is_counted {
            continue;
        }
        result.offered += 1;
        match answer.unwrap_or(Answer::Failed) {
            Answer::Served => {
                result.served[request.class][request.tenant] += 1;
                let micros = due_at.elapsed().as_micros().clamp(1, 60_000_000) as u64;
                result
                    .latency_micros
                    .record(micros)
                    .map_err(io::Error::other)?;
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
        connection.read_answer().await?;
        Ok(connection)
    }

    async fn execute(
        &mut self,
        request: &ScheduledRequest,
        options: &LoadOptions,
        due_at: Instant,
    ) -> io::Result<Answer> {
        let remaining = options.time_limit.saturating_sub(due_at.elapsed());
        if remaining.is_zero() {
            // The time limit passed while the request waited for a session.
            return Ok(Answer::Failed);
        }
        self.stream
            .write_all(&wire::query(&statement(request, options, remaining)))
            .await?;
        self.read_answer().await
    }

    /// Reads messages until the server is ready for the next query.
    async fn read_answer(&mut self) -> io::Result<Answer> {
        let mut answer = Answer::Served;
        loop {
            while let Some((message_type, body)) = wire::message(&mut self.bytes)? {
                match message_type {
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

fn statement(request: &ScheduledRequest, options: &LoadOptions, remaining: Duration) -> String {
    let (class, _, threads) = CLASSES[request.class];
    let cpu_ms = request.service_time.as_secs_f64() * 1000.0 * f64::from(threads);
    let (group, service_micros) = (request.table_group, request.service_time.as_micros());
    let text = if class == "journal-load" {
        format!(
            "INSERT INTO sales_{group}.orders SELECT * FROM staging.batch WHERE takes = {service_micros}"
        )
    } else {
        format!(
            "SELECT day, count(*), max(note) FROM sales_{group}.orders WHERE takes = {service_micros}"
        )
    };
    format!(
        "/* verb={class},txn={:016x},limit={},team={},cpu={cpu_ms:.1},memory=8 */ {text}",
        request.id,
        remaining.as_millis().max(1),
        options.tenants[request.tenant],
    )
}
