//! The platform's front: sessions of the PostgreSQL protocol, one actor each.

mod codec;
mod inbox;
#[cfg(test)]
mod tests;

use super::advice::RetryAdvice;
use super::connection_drain::ConnectionDrain;
use super::session_slots::{SessionSlot, SessionState};
use super::{FrontContext, failure_message, statement};
use bytes::Bytes;
use codec::{Error, Pg, Said, Say};
use futures::{FutureExt, Sink, SinkExt, Stream as Messages, StreamExt};
use inbox::{Heard, Inbox};
use sedgebeam_port::{Answer, Failure, RequestRouter, ResultLost, ResultPages, SessionKey};
use sedgebeam_sockets::SocketStream;
use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::unconstrained;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::codec::Framed;

/// A connection that has not said what it wants by then is closed.
const STARTUP: Duration = Duration::from_secs(2);
/// A message that stays half for this long, or up to twice as long, ends its session.
const HALF: Duration = Duration::from_secs(1);
/// The pause before anything more is read of a client whose message was of no use, doubled with each in a
/// row: one that sends the same again at once takes no time from the others.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// A client that takes nothing of a short answer for so long has gone: its request is answered, but nobody else would
/// have its place.
const TAKES: Duration = Duration::from_secs(5);
/// Commands that are refused one by one when a session ends before it has come to them.
const MOST_REFUSED: usize = 1024;
/// A connection that is closed has so long to take its last word and go, and may say so much meanwhile.
const FAREWELL: Duration = Duration::from_millis(500);
const MOST_FAREWELL: u64 = 64 * 1024;
/// So many of them in a row end the session, all within the 3 s in which such a client is owed a word.
const MOST_USELESS: u32 = 7;

type Wire = Framed<SocketStream, Pg>;

/// What sessions have in common.
#[derive(Clone)]
pub struct SessionContext {
    pub front_context: FrontContext,
    /// The longest message that a client may send.
    pub max_message_bytes: usize,
    /// Held by connections that are closed without a place: those turned away, and those that gave theirs up.
    pub lingering_closes: Arc<Semaphore>,
}

impl SessionContext {
    /// Ends a connection that has no place. Where too many without one stay already, only what can be done at once is
    /// done: what has come is refused, and with nothing left unread the close is no reset.
    async fn as_may_stay(&self, goodbye: impl Future<Output = ()>) {
        match self.lingering_closes.try_acquire() {
            Ok(_farewell) => goodbye.await,
            Err(_) => {
                let _ = at_once(goodbye);
            }
        }
    }
}

/// Serves a connection until it ends, or until it must go.
pub async fn serve(
    stream: TcpStream,
    serving: SessionContext,
    key: SessionKey,
    leave: ConnectionDrain,
    place: SessionSlot,
) {
    let gives_way = place.eviction();
    let mut session = Session {
        wire: Framed::new(
            SocketStream::new(stream),
            Pg::new(serving.max_message_bytes),
        ),
        shared: serving.front_context.clone(),
        key,
        leave,
        place,
        useless: 0,
        inbox: Inbox::new(serving.max_message_bytes),
        gone: false,
        started: false,
        asked: false,
    };
    let ended = tokio::select! {
        biased;
        () = gives_way.cancelled() => None,
        ended = session.run() => Some(ended),
    };
    match ended {
        None => {
            log::debug!("session {}: gives way", key.0);
            let goodbye = async {
                session.refuse_rest().await;
                session.refuse_first().await;
                farewell(session.wire).await;
            };
            serving.as_may_stay(goodbye).await;
        }
        Some(ended) => {
            if let Err(error) = &ended {
                log::debug!("session {}: {error}", key.0);
                session.complain(error).await;
            }
            session.refuse_rest().await;
            if ended.is_ok() {
                session.refuse_first().await;
            }
            // It is the first to give way to a newcomer now.
            session.place.set_state(SessionState::Unproven);
            let mut closed = std::pin::pin!(farewell(session.wire));
            tokio::select! {
                biased;
                () = &mut closed => return,
                () = gives_way.cancelled() => {}
            }
            serving.as_may_stay(closed).await;
        }
    }
}

/// Why a connection is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    NoFreeSlot,
    Draining,
}

/// Refuses a connection. It may have come to cancel what another session has under way, and for that needs no place.
pub async fn reject_connection(stream: TcpStream, serving: &SessionContext, why: RejectReason) {
    let goodbye = refuse_connection(stream, &serving.front_context, why);
    serving.as_may_stay(goodbye).await;
}

async fn refuse_connection(stream: TcpStream, shared: &FrontContext, why: RejectReason) {
    let told = match why {
        RejectReason::NoFreeSlot => no_place(&shared.router),
        RejectReason::Draining => draining(&shared.router),
    };
    // No statement is read with this one.
    let mut wire = Framed::new(SocketStream::new(stream), Pg::new(0));
    let heard = async {
        wire.send(Say::Error(told)).await?;
        SinkExt::close(&mut wire).await?;
        while let Some(said) = wire.next().await {
            if let Said::Cancel(key) = said? {
                shared.router.cancel(SessionKey(key)).await;
            }
        }
        io::Result::Ok(())
    };
    match timeout(FAREWELL, heard).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("a connection that was turned away: {error}"),
        Err(_) => log::debug!("a connection that was turned away stays"),
    }
    farewell(wire).await;
}

/// Closes a connection in order: what is written goes out, and what its client still says is read and dropped until it
/// has closed it too, or for a while. Closing over bytes that nobody has read resets the connection, and that takes away
/// what the client has not read yet.
async fn farewell(mut wire: Wire) {
    let farewell = async {
        SinkExt::close(&mut wire).await?;
        let mut rest = wire.into_inner().take(MOST_FAREWELL);
        tokio::io::copy(&mut rest, &mut tokio::io::sink()).await
    };
    // Whoever stays, or is gone already, has had what there was.
    let _ = timeout(FAREWELL, farewell).await;
}

/// An error that says that nothing ran, and where there is advice when to come back: in the text, as the clients'
/// protocol has it, and in a hint for people.
fn refusal(code: &'static str, reason: &str, advice: Option<RetryAdvice>) -> Error {
    let mut message = reason.to_string();
    let later = advice.map(RetryAdvice::millis);
    if let Some(millis) = later {
        message.push_str(&format!("; later={millis}"));
    }
    Error {
        code,
        message,
        hint: later.map(|millis| format!("try again in {millis} ms")),
    }
}

fn busy(retry_after: Duration) -> Error {
    let reason = "too busy to run the statement; it did not run";
    refusal("53300", reason, RetryAdvice::new(retry_after))
}

fn no_place(desk: &RequestRouter) -> Error {
    let advice = RetryAdvice::usual(&desk.runtime_settings().settings);
    refusal("53300", "there are too many sessions; nothing ran", advice)
}

fn draining(desk: &RequestRouter) -> Error {
    let advice = RetryAdvice::usual(&desk.runtime_settings().settings);
    let reason = "this dispatcher takes no more work; nothing ran";
    refusal("57P03", reason, advice)
}

struct Session {
    wire: Wire,
    shared: FrontContext,
    key: SessionKey,
    leave: ConnectionDrain,
    place: SessionSlot,
    /// Messages of no use in a row.
    useless: u32,
    /// What the client said while the session was busy.
    inbox: Inbox,
    /// The client has closed its side.
    gone: bool,
    /// Its start is over: commands may come.
    started: bool,
    /// A command has come.
    asked: bool,
}

impl Session {
    async fn run(&mut self) -> io::Result<()> {
        let started = timeout(STARTUP, self.start()).await;
        // Whoever speaks another protocol could not read a complaint.
        if !started.map_err(late)?.map_err(io::Error::other)? {
            return Ok(());
        }
        self.started = true;
        while let Some(Heard { said, came }) = self.listen().await? {
            self.asked = true;
            match said {
                Said::Query(text) => {
                    if !self.query(text, came).await? {
                        break;
                    }
                }
                Said::Terminate => break,
                Said::Sync => self.say(Say::Ready).await?,
                said => {
                    if !self.unsupported(&said).await? {
                        break;
                    }
                }
            }
        }
        Ok(())
    }

    /// The start of a session; false where the connection wanted something else.
    async fn start(&mut self) -> io::Result<bool> {
        while let Some(said) = self.wire.next().await {
            match said? {
                Said::Encrypt => self.say(Say::NoEncryption).await?,
                Said::Startup => {
                    self.say(Say::Welcome(self.key.0)).await?;
                    return Ok(true);
                }
                Said::Cancel(key) => {
                    self.shared.router.cancel(SessionKey(key)).await;
                    return Ok(false);
                }
                _ => return Ok(false),
            }
        }
        Ok(false)
    }

    /// What the client says next; `None` when it has gone, or must go.
    async fn listen(&mut self) -> io::Result<Option<Heard>> {
        if let Some(heard) = self.inbox.next() {
            return Ok(Some(heard));
        }
        let said = tokio::select! {
            biased;
            said = next(&mut self.wire) => said?,
            () = self.leave.wait_for_idle_close() => return Ok(None),
        };
        self.gone = said.is_none();
        Ok(said.map(Heard::now))
    }

    /// Reads what the client says into the inbox; ready once it has gone.
    fn poll_inbox(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            match Pin::new(&mut self.wire).poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(Said::Terminate)) | None) => {
                    self.gone = true;
                    return Poll::Ready(Ok(()));
                }
                Poll::Ready(Some(said)) => self.inbox.keep(said?)?,
            }
        }
    }

    /// Waits for something else while the client is listened to; `None` when it has gone.
    async fn watch<T>(&mut self, awaited: impl Future<Output = T>) -> io::Result<Option<T>> {
        let mut awaited = pin!(awaited);
        poll_fn(|context| {
            if let Poll::Ready(done) = awaited.as_mut().poll(context) {
                return Poll::Ready(Ok(Some(done)));
            }
            self.poll_inbox(context).map_ok(|()| None)
        })
        .await
    }

    /// Writes out what is to be said while the client is listened to; an error when it has gone.
    async fn flush(&mut self) -> io::Result<()> {
        poll_fn(|context| {
            let flushed = Pin::new(&mut self.wire).poll_flush(context);
            if flushed.is_ready() {
                return flushed;
            }
            self.poll_inbox(context)
                .map(|gone| gone.and(Err(io::ErrorKind::UnexpectedEof.into())))
        })
        .await
    }

    /// Refuses the commands that the client has sent and that the session does not come to any more: nothing of them ran.
    async fn refuse_rest(&mut self) {
        for _ in 0..MOST_REFUSED {
            let said = match self.inbox.next() {
                Some(heard) => Some(heard.said),
                None if self.gone => None,
                None => at_once(self.wire.next()).flatten().and_then(Result::ok),
            };
            match said {
                Some(Said::Query(text)) if !is_empty(&text) => {
                    if self.refuse_one().await.is_err() {
                        return;
                    }
                }
                Some(Said::Terminate) => self.gone = true,
                Some(_) => {}
                None => return,
            }
        }
    }

    /// Refuses the first command of a session that has asked nothing: it may be on its way.
    async fn refuse_first(&mut self) {
        if self.started && !self.asked && !self.gone {
            // A client that has gone hears nothing.
            let _ = self.refuse_one().await;
        }
    }

    async fn refuse_one(&mut self) -> io::Result<()> {
        self.asked = true;
        let told = if self.leave.closes_after_answer() {
            draining(&self.shared.router)
        } else {
            no_place(&self.shared.router)
        };
        self.tell_error(told).await
    }

    /// Tells the client why its session ends.
    async fn complain(&mut self, error: &io::Error) {
        if error.kind() != io::ErrorKind::InvalidData {
            return;
        }
        let told = Error {
            code: "08P01",
            message: error.to_string(),
            hint: None,
        };
        // A client that has gone hears nothing.
        let _ = self.tell_error(told).await;
    }

    /// Answers a command with an error; one of a session that has started is told that the next may come.
    async fn tell_error(&mut self, told: Error) -> io::Result<()> {
        if self.started {
            self.wire.feed(Say::Error(told)).await?;
            return self.say(Say::Ready).await;
        }
        self.say(Say::Error(told)).await
    }

    /// Says something short, and waits until the client has taken it.
    async fn say(&mut self, say: Say) -> io::Result<()> {
        timeout(TAKES, self.wire.send(say)).await.map_err(late)?
    }

    /// Answers what is of no use, and reads on only after a pause; false where that was once too often.
    async fn reject(&mut self, code: &'static str, message: String) -> io::Result<bool> {
        let told = Error {
            code,
            message,
            hint: None,
        };
        self.wire.feed(Say::Error(told)).await?;
        self.say(Say::Ready).await?;
        self.useless += 1;
        if self.useless >= MOST_USELESS {
            return Ok(false);
        }
        let pause = sleep(FIRST_PAUSE * (1 << self.useless));
        Ok(self.watch(pause).await?.is_some())
    }

    /// Answers a message of the extended protocol: one error, and nothing more up to its Sync.
    async fn unsupported(&mut self, said: &Said) -> io::Result<bool> {
        let message = format!("only simple queries are served here, not {said:?}");
        let told = Error {
            code: "0A000",
            message,
            hint: None,
        };
        self.say(Say::Error(told)).await?;
        loop {
            match self.listen().await?.map(|heard| heard.said) {
                Some(Said::Sync) => break,
                Some(Said::Terminate) | None => return Ok(false),
                Some(_) => {}
            }
        }
        self.say(Say::Ready).await?;
        Ok(true)
    }

    /// Answers a query that came at this moment; false when the client has gone meanwhile, or must go.
    async fn query(&mut self, text: Bytes, came: Instant) -> io::Result<bool> {
        if is_empty(&text) {
            // The platform's front asks in this way whether the dispatcher takes work.
            let told = if self.leave.accepts_work() {
                Say::Empty
            } else {
                Say::Error(draining(&self.shared.router))
            };
            self.wire.feed(told).await?;
            self.say(Say::Ready).await?;
            return Ok(true);
        }
        let tuning = self.shared.router.runtime_settings();
        let request = statement::parse(&text, came, &tuning.names, Some(self.key));
        let answer = match request {
            Ok(request) => {
                // One that must give way at this moment has sent nothing on.
                if !self.place.set_state(SessionState::Busy) {
                    let told = no_place(&self.shared.router);
                    self.tell_error(told).await?;
                    return Ok(false);
                }
                let desk = self.shared.router.clone();
                // The client may go also while its request waits to be handed over.
                let answer = async move { desk.submit(request).await.await };
                match self.watch(answer).await? {
                    Some(answer) => answer,
                    None => return Ok(false),
                }
            }
            Err(statement::InvalidStatement(message)) => {
                return self.reject("42601", message).await;
            }
        };
        match answer {
            Answer::Rows(delivery) => self.pass(delivery).await?,
            Answer::Refused { retry_after } => {
                self.wire.feed(Say::Error(busy(retry_after))).await?;
            }
            Answer::Failed(failure @ (Failure::DuplicateId | Failure::UnknownTenant)) => {
                self.place.set_state(SessionState::Unproven);
                let told = failed(failure);
                return self.reject(told.code, told.message).await;
            }
            Answer::Failed(failure) => self.wire.feed(Say::Error(failed(failure))).await?,
        }
        self.say(Say::Ready).await?;
        self.useless = 0;
        Ok(self.place.set_state(SessionState::Idle) && !self.leave.closes_after_answer())
    }

    /// Passes a result on, page by page as the client takes them.
    async fn pass(&mut self, mut delivery: ResultPages) -> io::Result<()> {
        let mut rows = 0;
        let deadline = delivery.deadline();
        self.wire.feed(Say::Columns).await?;
        loop {
            match delivery.next().await {
                Ok(Some(page)) => {
                    rows += page.rows.iter().filter(|byte| **byte == b'\n').count() as u64;
                    self.wire.feed(Say::Rows(page)).await?;
                    // A client that takes nothing until its deadline has gone.
                    let taken = timeout_at(deadline, self.flush()).await;
                    taken.map_err(io::Error::other)??;
                }
                Ok(None) => return self.wire.feed(Say::Complete(rows)).await,
                Err(ResultLost) => {
                    let message = "the rest of the result was lost with its engine".to_string();
                    let told = Error {
                        code: "58030",
                        message,
                        hint: None,
                    };
                    return self.wire.feed(Say::Error(told)).await;
                }
            }
        }
    }
}

/// What can be done without waiting, and all of it: the scheduler's budget is no reason to leave what has come unread.
fn at_once<T>(action: impl Future<Output = T>) -> Option<T> {
    unconstrained(action).now_or_never()
}

fn late<E>(_: E) -> io::Error {
    io::Error::new(
        io::ErrorKind::TimedOut,
        "a start or a message did not come whole in time",
    )
}

/// The next message, `None` when the client has gone. Guards against messages that begin and never end:
/// they would hold their session, and what has come of them, for good.
async fn next(wire: &mut Wire) -> io::Result<Option<Said>> {
    let mut half = false;
    loop {
        match timeout(HALF, wire.next()).await {
            Ok(said) => return said.transpose(),
            Err(elapsed) if half => return Err(late(elapsed)),
            Err(_) => half = !wire.read_buffer().is_empty(),
        }
    }
}

fn is_empty(text: &[u8]) -> bool {
    let blank = |byte: &u8| byte.is_ascii_whitespace() || *byte == b';';
    text.iter().all(blank)
}

fn failed(failure: Failure) -> Error {
    let code = match failure {
        Failure::OutcomeUnknown => "58000",
        Failure::Cancelled => "57014",
        Failure::DuplicateId => "42710",
        Failure::UnknownTenant => "42704",
        Failure::ShuttingDown => "57P01",
    };
    Error {
        code,
        message: failure_message(failure).to_string(),
        hint: None,
    }
}
