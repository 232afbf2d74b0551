//! The control socket: operators connect, send one command line and get its answer.
//!
//! It runs on a separate thread and reads only published state, so that no command waits for the brokers or for requests.
//! The number of callers without a complete line is bounded, and so is the time that each may take.

use crate::drain_manager::DrainManager;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sedgebeam_operation::control_command::{ControlCommand, MAX_LINE_BYTES};
use sedgebeam_operation::{Drain, Metrics};
use sedgebeam_port::clock::Clock;
use sedgebeam_sockets::{SocketStream, listen};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Time limit for receiving a command line, and again for sending its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Bounds of the lingering close, in which further input is read and discarded after the answer. A close with unread
/// input resets the connection, and the caller could lose its answer.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_LINGERING_CLOSE_BYTES: u64 = 64 * 1024;
/// Pause after a failed accept, so that a lack of descriptors doesn't make the loop spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What the commands read and change.
#[derive(Clone)]
pub struct ControlContext {
    pub drain_manager: DrainManager,
    pub metrics: Metrics,
    pub clock: Clock,
    /// Concurrent callers without an answer. Beyond that, the oldest one without a complete line is disconnected.
    pub max_callers: usize,
    /// Permits for callers in their lingering close.
    pub lingering_closes: Arc<Semaphore>,
}

/// Opens the control socket and serves it on a separate thread; returns its address.
pub async fn open(address: SocketAddr, context: ControlContext) -> io::Result<SocketAddr> {
    let listener = listen(address).await?.into_std()?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let run = move || {
        let result = runtime.block_on(async { tokio::spawn(serve(listener, context)).await });
        // Without this socket the platform's front would consider the dispatcher dead, and nothing would show the reason.
        log::error!("the control socket failed: {result:?}");
        std::process::exit(1);
    };
    std::thread::Builder::new()
        // The name stays as it is: operators' tools show threads by name.
        .name("door".to_string())
        .spawn(run)?;
    Ok(address)
}

/// Serves callers; returns only on an error.
async fn serve(listener: StdTcpListener, context: ControlContext) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut callers = FuturesUnordered::new();
    // The callers without a complete line, oldest first.
    let mut evictable_callers: VecDeque<CancellationToken> = VecDeque::new();
    // Each caller without an answer holds a clone.
    let caller_guard = Arc::new(());
    loop {
        evictable_callers.retain(|eviction| !eviction.is_cancelled());
        let is_full = Arc::strong_count(&caller_guard) > context.max_callers;
        tokio::select! {
            biased;
            Some(()) = callers.next() => {}
            // When all callers have sent their line, further ones wait in the accept queue until an answer is sent.
            accepted = listener.accept(), if !is_full || !evictable_callers.is_empty() => match accepted {
                Ok((stream, _)) => {
                    if is_full && let Some(oldest) = evictable_callers.pop_front() {
                        oldest.cancel();
                    }
                    let eviction = CancellationToken::new();
                    evictable_callers.push_back(eviction.clone());
                    callers.push(serve_caller(
                        SocketStream::new(stream),
                        context.clone(),
                        eviction,
                        caller_guard.clone(),
                    ));
                }
                Err(error) => {
                    log::warn!("can't accept a caller of the control socket: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Serves one caller until it has its answer, its time is over or it is evicted.
async fn serve_caller(
    mut stream: SocketStream,
    context: ControlContext,
    eviction: CancellationToken,
    caller_guard: Arc<()>,
) {
    let received = tokio::select! {
        biased;
        received = timeout(CALL_TIMEOUT, read_line(&mut stream)) => received,
        () = eviction.cancelled() => return,
    };
    // A caller whose line is complete can't be evicted any more: this removes it from the evictable callers.
    eviction.cancel();
    let result = match received {
        Ok(Ok(Some(line))) => send_answer(&mut stream, &context, &line).await,
        Ok(Ok(None)) => return,
        Ok(Err(error)) => Err(error),
        Err(_) => Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "no complete line in time",
        )),
    };
    if let Err(error) = result {
        log::debug!("control socket caller: {error}");
        return;
    }
    drop(caller_guard);
    // Without a free permit the connection is closed at once.
    if let Ok(_permit) = context.lingering_closes.try_acquire() {
        let mut remaining_input = stream.take(MAX_LINGERING_CLOSE_BYTES);
        let mut sink = tokio::io::sink();
        // The answer is sent, so a failure here doesn't matter.
        let _ = timeout(
            LINGERING_CLOSE_TIMEOUT,
            tokio::io::copy(&mut remaining_input, &mut sink),
        )
        .await;
    }
}

/// Reads the line of a caller; `None` if the caller closed its side without sending anything.
async fn read_line(stream: &mut SocketStream) -> io::Result<Option<Vec<u8>>> {
    let mut line = Vec::new();
    let mut buffer = [0; MAX_LINE_BYTES];
    loop {
        let remaining_bytes = buffer.len() - line.len();
        let count = stream.read(&mut buffer[..remaining_bytes]).await?;
        line.extend_from_slice(&buffer[..count]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return Ok(Some(line));
        }
        // The end of the stream, or the maximum length, ends the line too.
        if count == 0 || line.len() >= MAX_LINE_BYTES {
            return Ok(Some(line).filter(|line| !line.is_empty()));
        }
    }
}

async fn send_answer(
    stream: &mut SocketStream,
    context: &ControlContext,
    line: &[u8],
) -> io::Result<()> {
    let answer = execute_command(context, line);
    timeout(CALL_TIMEOUT, stream.write_all(answer.as_bytes())).await??;
    stream.shutdown().await
}

/// Executes a command line; returns the text of its answer.
fn execute_command(context: &ControlContext, line: &[u8]) -> String {
    match ControlCommand::parse(line) {
        Some(ControlCommand::Ping) if context.drain_manager.state().is_ready => {
            "200 ready\n".to_string()
        }
        Some(ControlCommand::Ping) => "400 not ready\n".to_string(),
        Some(ControlCommand::Info) => {
            match context
                .metrics
                .encode(context.clock.micros(Instant::now()).0)
            {
                Ok(text) => format!("200 figures\n{text}"),
                Err(error) => format!("400 {error}\n"),
            }
        }
        Some(ControlCommand::LameDuck) => {
            log::info!("lame duck: draining client connections");
            context.drain_manager.update(Drain::start_lame_duck);
            "200 draining\n".to_string()
        }
        Some(ControlCommand::Rejoin) if context.drain_manager.update(|drain, _| drain.rejoin()) => {
            log::info!("rejoined: accepting clients");
            "200 serving\n".to_string()
        }
        Some(ControlCommand::Rejoin) => "400 the process is ending\n".to_string(),
        None => "400 no such call\n".to_string(),
    }
}
