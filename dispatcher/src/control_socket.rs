//! The door for operators: one line from each caller, and its answer.
//!
//! It has a thread of its own and reads what is published, so that no call waits for the brokers or behind
//! requests. Callers that connect and finish nothing hold a bounded number of places for a bounded time.

use crate::drain_manager::DrainManager;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sedgebeam_operation::control_command::{ControlCommand, MAX_LINE_BYTES};
use sedgebeam_operation::{Drain, Metrics};
use sedgebeam_port::clock::Clock;
use sedgebeam_sockets::{SocketStream, listen};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener as Bound};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// A caller has so long for its line and for taking its answer.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// What a caller still says when it has its answer is read for so long, and so much of it: closing on bytes
/// that nobody has read would take the answer away from it.
const FAREWELL: Duration = Duration::from_millis(500);
const MOST_FAREWELL: u64 = 64 * 1024;
/// A pause after an accept that failed, so that a lack of descriptors does not spin.
const PAUSE: Duration = Duration::from_millis(20);

/// What the door answers from.
#[derive(Clone)]
pub struct ControlContext {
    pub drain_manager: DrainManager,
    pub metrics: Metrics,
    pub clock: Clock,
    /// Callers at once; beyond it whoever has been here for longest without a whole line gives way.
    pub max_callers: usize,
    /// Held by callers that have their answer and are still there.
    pub lingering_closes: Arc<Semaphore>,
}

/// Opens the door, on a thread of its own.
pub async fn open(address: SocketAddr, context: ControlContext) -> io::Result<SocketAddr> {
    let listener = listen(address).await?.into_std()?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let run = move || {
        let kept = runtime.block_on(async { tokio::spawn(keep(listener, context)).await });
        // Without a door the front would take the dispatcher for dead, and nobody would know why.
        log::error!("the door died: {kept:?}");
        std::process::exit(1);
    };
    std::thread::Builder::new()
        .name("door".to_string())
        .spawn(run)?;
    Ok(address)
}

/// Serves callers for ever.
async fn keep(listener: Bound, context: ControlContext) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut callers = FuturesUnordered::new();
    let mut waiting: VecDeque<CancellationToken> = VecDeque::new();
    // Each caller without its answer has one of these.
    let places = Arc::new(());
    loop {
        waiting.retain(|caller| !caller.is_cancelled());
        let full = Arc::strong_count(&places) > context.max_callers;
        tokio::select! {
            biased;
            Some(()) = callers.next() => {}
            // Those who take their answer soon have it; more than these wait to be accepted.
            accepted = listener.accept(), if !full || !waiting.is_empty() => match accepted {
                Ok((stream, _)) => {
                    if full && let Some(longest) = waiting.pop_front() {
                        longest.cancel();
                    }
                    let gives_way = CancellationToken::new();
                    waiting.push_back(gives_way.clone());
                    callers.push(caller(SocketStream::new(stream), context.clone(), gives_way, places.clone()));
                }
                Err(error) => {
                    log::warn!("the door: {error}");
                    sleep(PAUSE).await;
                }
            }
        }
    }
}

/// One caller, until it has its answer, its time is over or it gives way.
async fn caller(
    mut stream: SocketStream,
    context: ControlContext,
    gives_way: CancellationToken,
    place: Arc<()>,
) {
    let asked = tokio::select! {
        biased;
        asked = timeout(CALL_LIMIT, line(&mut stream)) => asked,
        () = gives_way.cancelled() => return,
    };
    // It waits for nobody any more, and so gives way to nobody.
    gives_way.cancel();
    let answered = match asked {
        Ok(Ok(Some(line))) => answer(&mut stream, &context, &line).await,
        Ok(Ok(None)) => return,
        Ok(Err(error)) => Err(error),
        Err(_) => Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "no whole line in time",
        )),
    };
    if let Err(error) = answered {
        log::debug!("a caller at the door: {error}");
        return;
    }
    drop(place);
    // Where too many stay with their answer, those who come now go without a farewell.
    if let Ok(_farewell) = context.lingering_closes.try_acquire() {
        let mut rest = stream.take(MOST_FAREWELL);
        let mut sink = tokio::io::sink();
        // Whether it is read to its end matters no more.
        let _ = timeout(FAREWELL, tokio::io::copy(&mut rest, &mut sink)).await;
    }
}

/// The line of a caller; `None` where it ended without a word.
async fn line(stream: &mut SocketStream) -> io::Result<Option<Vec<u8>>> {
    let mut line = Vec::new();
    let mut bytes = [0; MAX_LINE_BYTES];
    loop {
        let room = bytes.len() - line.len();
        let count = stream.read(&mut bytes[..room]).await?;
        line.extend_from_slice(&bytes[..count]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return Ok(Some(line));
        }
        // A caller that ends its side has said all that it will.
        if count == 0 || line.len() >= MAX_LINE_BYTES {
            return Ok(Some(line).filter(|line| !line.is_empty()));
        }
    }
}

async fn answer(
    stream: &mut SocketStream,
    context: &ControlContext,
    line: &[u8],
) -> io::Result<()> {
    let told = told(context, line);
    timeout(CALL_LIMIT, stream.write_all(told.as_bytes())).await??;
    stream.shutdown().await
}

fn told(context: &ControlContext, line: &[u8]) -> String {
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
            log::info!("lame duck: clients are sent away");
            context.drain_manager.update(Drain::start_lame_duck);
            "200 draining\n".to_string()
        }
        Some(ControlCommand::Rejoin) if context.drain_manager.update(|drain, _| drain.rejoin()) => {
            log::info!("rejoined: clients are taken");
            "200 serving\n".to_string()
        }
        Some(ControlCommand::Rejoin) => "400 the process is ending\n".to_string(),
        None => "400 no such call\n".to_string(),
    }
}
