//! The PostgreSQL front: serves each session in a separate task, and tells rejected connections why.

mod codec;
mod inbox;
#[cfg(test)]
mod tests;

use super::connection_drain::ConnectionDrain;
use super::retry_delay::RetryDelay;
use super::session_slots::{SessionSlot, SessionState};
use super::{FrontContext, failure_message, statement};
use bytes::Bytes;
use codec::{ClientMessage, ErrorFields, PgCodec, ServerMessage, row_groups};
use futures::{FutureExt, Sink, SinkExt, Stream, StreamExt};
use inbox::{Inbox, ReceivedMessage};
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

/// A connection that has not completed its startup within this time is closed.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(2);
/// A message that is incomplete for this time, or at most twice this time, ends its session.
const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Base of the pause after a rejected statement. The pause doubles with each consecutive rejection, so that a client
/// that resends the same statement at once does not slow down the others.
const BASE_REJECTION_PAUSE: Duration = Duration::from_millis(10);
/// A client that does not read a short answer within this time is considered disconnected. Its request is answered,
/// but its session would keep a slot that other clients need.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of unprocessed commands that are refused one by one when a session ends.
const MAX_REFUSED_COMMANDS: usize = 1024;
/// Time limit for the client to receive the last message of a closed connection and to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Bound on the bytes that a client may still send within `LINGER_TIMEOUT`.
const MAX_LINGER_BYTES: u64 = 64 * 1024;
/// This many consecutive rejections end the session; with the pauses between them they fit into the 3 s within which
/// the client must get an answer.
const MAX_CONSECUTIVE_REJECTIONS: u32 = 7;

type PgConnection = Framed<SocketStream, PgCodec>;

/// State that all sessions share.
#[derive(Clone)]
pub struct SessionContext {
    pub front_context: FrontContext,
    /// The longest message that a client may send.
    pub max_message_bytes: usize,
    /// Limits the connections that are being closed without a slot: rejected ones and evicted sessions. Each holds a
    /// permit.
    pub lingering_closes: Arc<Semaphore>,
}

impl SessionContext {
    /// Closes a connection that has no slot. Without a free permit `closing` runs only as far as it gets without
    /// waiting: it refuses the commands received so far. That leaves no unread bytes, so the close is not a reset.
    async fn close_without_slot(&self, closing: impl Future<Output = ()>) {
        match self.lingering_closes.try_acquire() {
            Ok(_permit) => closing.await,
            Err(_) => {
                let _ = poll_once(closing);
            }
        }
    }
}

/// Serves a connection until it ends, is evicted or has to close in a drain.
pub async fn serve(
    stream: TcpStream,
    session_context: SessionContext,
    key: SessionKey,
    drain: ConnectionDrain,
    slot: SessionSlot,
) {
    let eviction = slot.eviction();
    let mut session = Session {
        connection: Framed::new(
            SocketStream::new(stream),
            PgCodec::new(session_context.max_message_bytes),
        ),
        front_context: session_context.front_context.clone(),
        key,
        drain,
        slot,
        consecutive_rejections: 0,
        inbox: Inbox::new(session_context.max_message_bytes),
        client_closed: false,
        is_started: false,
        command_received: false,
    };
    let ended = tokio::select! {
        biased;
        () = eviction.cancelled() => None,
        ended = session.run() => Some(ended),
    };
    match ended {
        None => {
            log::debug!("session {}: evicted", key.0);
            let closing = async {
                session.refuse_unprocessed_commands().await;
                session.refuse_first_command().await;
                linger_and_close(session.connection).await;
            };
            session_context.close_without_slot(closing).await;
        }
        Some(ended) => {
            if let Err(error) = &ended {
                log::debug!("session {}: {error}", key.0);
                session.report_protocol_error(error).await;
            }
            session.refuse_unprocessed_commands().await;
            if ended.is_ok() {
                session.refuse_first_command().await;
            }
            // From now on the session is among the first to be evicted for a new one.
            session.slot.set_state(SessionState::Unproven);
            let mut closing = std::pin::pin!(linger_and_close(session.connection));
            tokio::select! {
                biased;
                () = &mut closing => return,
                () = eviction.cancelled() => {}
            }
            session_context.close_without_slot(closing).await;
        }
    }
}

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    NoFreeSlot,
    Draining,
}

/// Rejects a connection. If it carries a cancel request for another session, that is executed, because it needs no
/// slot.
pub async fn reject_connection(
    stream: TcpStream,
    session_context: &SessionContext,
    reason: RejectReason,
) {
    let closing = send_rejection(stream, &session_context.front_context, reason);
    session_context.close_without_slot(closing).await;
}

async fn send_rejection(stream: TcpStream, front_context: &FrontContext, reason: RejectReason) {
    let error = match reason {
        RejectReason::NoFreeSlot => no_slot_error(&front_context.router),
        RejectReason::Draining => draining_error(&front_context.router),
    };
    // With a limit of 0 bytes the codec fails on every message after the startup packet.
    let mut connection = Framed::new(SocketStream::new(stream), PgCodec::new(0));
    let rejection = async {
        connection.send(ServerMessage::ErrorResponse(error)).await?;
        SinkExt::close(&mut connection).await?;
        while let Some(message) = connection.next().await {
            if let ClientMessage::CancelRequest(key) = message? {
                front_context.router.cancel(SessionKey(key)).await;
            }
        }
        io::Result::Ok(())
    };
    match timeout(LINGER_TIMEOUT, rejection).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("rejected connection: {error}"),
        Err(_) => log::debug!("rejected connection: the client did not close it in time"),
    }
    linger_and_close(connection).await;
}

/// Closes a connection without a reset: flushes it, then reads and drops what the client still sends until it closes
/// its side, for a limited time. Closing a socket with unread bytes resets the connection, and the client loses what it
/// has not read yet.
async fn linger_and_close(mut connection: PgConnection) {
    let lingering = async {
        SinkExt::close(&mut connection).await?;
        let mut unread = connection.into_inner().take(MAX_LINGER_BYTES);
        tokio::io::copy(&mut unread, &mut tokio::io::sink()).await
    };
    // After a timeout or an error there is nothing left to do for this client.
    let _ = timeout(LINGER_TIMEOUT, lingering).await;
}

/// The error of a request that did not run, with a retry delay if one is suggested: in the message, in the form that
/// clients parse, and in a hint for people.
fn refusal_error(code: &'static str, reason: &str, retry_delay: Option<RetryDelay>) -> ErrorFields {
    let mut message = reason.to_string();
    let retry_delay_ms = retry_delay.map(RetryDelay::as_millis);
    if let Some(millis) = retry_delay_ms {
        message.push_str(&format!("; later={millis}"));
    }
    ErrorFields {
        code,
        message,
        hint: retry_delay_ms.map(|millis| format!("try again in {millis} ms")),
    }
}

fn busy_error(retry_after: Duration) -> ErrorFields {
    let reason = "too busy to run the statement; it did not run";
    refusal_error("53300", reason, RetryDelay::new(retry_after))
}

fn no_slot_error(router: &RequestRouter) -> ErrorFields {
    let retry_delay = RetryDelay::default_for(&router.runtime_settings().settings);
    refusal_error(
        "53300",
        "there are too many sessions; nothing ran",
        retry_delay,
    )
}

fn draining_error(router: &RequestRouter) -> ErrorFields {
    let retry_delay = RetryDelay::default_for(&router.runtime_settings().settings);
    let reason = "this dispatcher takes no more work; nothing ran";
    refusal_error("57P03", reason, retry_delay)
}

struct Session {
    connection: PgConnection,
    front_context: FrontContext,
    key: SessionKey,
    drain: ConnectionDrain,
    slot: SessionSlot,
    /// Statements rejected in a row.
    consecutive_rejections: u32,
    /// Messages received while the session was busy.
    inbox: Inbox,
    /// The client has closed its side or sent Terminate.
    client_closed: bool,
    /// The startup is complete: commands may follow.
    is_started: bool,
    /// At least one command has been received.
    command_received: bool,
}

impl Session {
    async fn run(&mut self) -> io::Result<()> {
        let started = timeout(STARTUP_TIMEOUT, self.startup()).await;
        // Errors of the startup are not reported to the client: it may use another protocol and could not read them.
        if !started.map_err(timed_out)?.map_err(io::Error::other)? {
            return Ok(());
        }
        self.is_started = true;
        while let Some(ReceivedMessage {
            message,
            received_at,
        }) = self.next_message().await?
        {
            self.command_received = true;
            match message {
                ClientMessage::Query(text) => {
                    if !self.run_query(text, received_at).await? {
                        break;
                    }
                }
                ClientMessage::Terminate => break,
                ClientMessage::Sync => self.send(ServerMessage::ReadyForQuery).await?,
                message => {
                    if !self.reject_unsupported(&message).await? {
                        break;
                    }
                }
            }
        }
        Ok(())
    }

    /// Runs the startup; false if no session follows, for example after a cancel request.
    async fn startup(&mut self) -> io::Result<bool> {
        while let Some(message) = self.connection.next().await {
            match message? {
                ClientMessage::EncryptionRequest => {
                    self.send(ServerMessage::EncryptionRefused).await?
                }
                ClientMessage::Startup => {
                    self.send(ServerMessage::SessionStart(self.key.0)).await?;
                    return Ok(true);
                }
                ClientMessage::CancelRequest(key) => {
                    self.front_context.router.cancel(SessionKey(key)).await;
                    return Ok(false);
                }
                _ => return Ok(false),
            }
        }
        Ok(false)
    }

    /// The client's next message; `None` if the client has disconnected or the connection has to close in a drain.
    async fn next_message(&mut self) -> io::Result<Option<ReceivedMessage>> {
        if let Some(received) = self.inbox.pop() {
            return Ok(Some(received));
        }
        self.limit_next_message();
        let message = tokio::select! {
            biased;
            message = read_message(&mut self.connection) => message?,
            () = self.drain.wait_for_idle_close() => return Ok(None),
        };
        self.client_closed = message.is_none();
        Ok(message.map(|message| self.inbox.take_directly(message)))
    }

    /// Limits the next message to the memory that the session has left for statements.
    fn limit_next_message(&mut self) {
        let available_bytes = self.inbox.available_bytes();
        let codec = self.connection.codec_mut();
        codec.set_max_message_bytes(available_bytes);
    }

    /// Reads messages from the client into the inbox; ready once the client has disconnected.
    fn poll_inbox(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            self.limit_next_message();
            match Pin::new(&mut self.connection).poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(ClientMessage::Terminate)) | None) => {
                    self.client_closed = true;
                    return Poll::Ready(Ok(()));
                }
                Poll::Ready(Some(message)) => self.inbox.push(message?)?,
            }
        }
    }

    /// Waits for a future while reading from the client; `None` if the client disconnects first.
    async fn wait_while_reading<T>(
        &mut self,
        awaited: impl Future<Output = T>,
    ) -> io::Result<Option<T>> {
        let mut awaited = pin!(awaited);
        poll_fn(|context| {
            if let Poll::Ready(output) = awaited.as_mut().poll(context) {
                return Poll::Ready(Ok(Some(output)));
            }
            self.poll_inbox(context).map_ok(|()| None)
        })
        .await
    }

    /// Flushes the connection while reading from the client; an error if the client has disconnected.
    async fn flush_while_reading(&mut self) -> io::Result<()> {
        poll_fn(|context| {
            let flushed = Pin::new(&mut self.connection).poll_flush(context);
            if flushed.is_ready() {
                return flushed;
            }
            self.poll_inbox(context)
                .map(|read| read.and(Err(io::ErrorKind::UnexpectedEof.into())))
        })
        .await
    }

    /// Refuses the commands that were received but will not be processed; none of them ran.
    async fn refuse_unprocessed_commands(&mut self) {
        for _ in 0..MAX_REFUSED_COMMANDS {
            let message = match self.inbox.pop() {
                Some(received) => Some(received.message),
                None if self.client_closed => None,
                None => {
                    self.limit_next_message();
                    poll_once(self.connection.next())
                        .flatten()
                        .and_then(Result::ok)
                }
            };
            match message {
                Some(ClientMessage::Query(text)) if !is_blank(&text) => {
                    if self.refuse_command().await.is_err() {
                        return;
                    }
                }
                Some(ClientMessage::Terminate) => self.client_closed = true,
                Some(_) => {}
                None => return,
            }
        }
    }

    /// Sends a refusal to a client whose session has received no command, because the first one may be in transit.
    async fn refuse_first_command(&mut self) {
        if self.is_started && !self.command_received && !self.client_closed {
            // Sending fails if the client has disconnected; the session ends either way.
            let _ = self.refuse_command().await;
        }
    }

    async fn refuse_command(&mut self) -> io::Result<()> {
        self.command_received = true;
        let error = if self.drain.closes_after_answer() {
            draining_error(&self.front_context.router)
        } else {
            no_slot_error(&self.front_context.router)
        };
        self.send_error(error).await
    }

    /// Tells the client that its session ends because of malformed or excessive input.
    async fn report_protocol_error(&mut self, error: &io::Error) {
        if error.kind() != io::ErrorKind::InvalidData {
            return;
        }
        let error = ErrorFields {
            code: "08P01",
            message: error.to_string(),
            hint: None,
        };
        // Sending fails if the client has disconnected; the session ends either way.
        let _ = self.send_error(error).await;
    }

    /// Sends an error, followed by ReadyForQuery once the session is started.
    async fn send_error(&mut self, error: ErrorFields) -> io::Result<()> {
        if self.is_started {
            self.connection
                .feed(ServerMessage::ErrorResponse(error))
                .await?;
            return self.send(ServerMessage::ReadyForQuery).await;
        }
        self.send(ServerMessage::ErrorResponse(error)).await
    }

    /// Sends a short message, and waits until it is written to the socket.
    async fn send(&mut self, message: ServerMessage) -> io::Result<()> {
        timeout(WRITE_TIMEOUT, self.connection.send(message))
            .await
            .map_err(timed_out)?
    }

    /// Rejects a statement and pauses before the next one; false if the session has to end or the client has
    /// disconnected.
    async fn reject_statement(&mut self, code: &'static str, message: String) -> io::Result<bool> {
        let error = ErrorFields {
            code,
            message,
            hint: None,
        };
        self.connection
            .feed(ServerMessage::ErrorResponse(error))
            .await?;
        self.send(ServerMessage::ReadyForQuery).await?;
        self.consecutive_rejections += 1;
        if self.consecutive_rejections >= MAX_CONSECUTIVE_REJECTIONS {
            return Ok(false);
        }
        let pause = sleep(BASE_REJECTION_PAUSE * (1 << self.consecutive_rejections));
        Ok(self.wait_while_reading(pause).await?.is_some())
    }

    /// Answers messages of the extended query protocol: with one error, and ReadyForQuery at the next Sync. False if
    /// the client has disconnected or the connection has to close.
    async fn reject_unsupported(&mut self, unsupported: &ClientMessage) -> io::Result<bool> {
        let message = format!("only simple queries are served here, not {unsupported:?}");
        let error = ErrorFields {
            code: "0A000",
            message,
            hint: None,
        };
        self.send(ServerMessage::ErrorResponse(error)).await?;
        loop {
            match self.next_message().await?.map(|received| received.message) {
                Some(ClientMessage::Sync) => break,
                Some(ClientMessage::Terminate) | None => return Ok(false),
                Some(_) => {}
            }
        }
        self.send(ServerMessage::ReadyForQuery).await?;
        Ok(true)
    }

    /// Runs a query and answers it; false if the client has disconnected or the session has to end.
    async fn run_query(&mut self, text: Bytes, received_at: Instant) -> io::Result<bool> {
        if is_blank(&text) {
            // The platform sends an empty query to check whether the dispatcher accepts work.
            let message = if self.drain.accepts_work() {
                ServerMessage::EmptyQueryResponse
            } else {
                ServerMessage::ErrorResponse(draining_error(&self.front_context.router))
            };
            self.connection.feed(message).await?;
            self.send(ServerMessage::ReadyForQuery).await?;
            return Ok(true);
        }
        let runtime_settings = self.front_context.router.runtime_settings();
        let request = statement::parse(&text, received_at, &runtime_settings.names, Some(self.key));
        let answer = match request {
            Ok(request) => {
                // A session that was evicted just now has not submitted the request.
                if !self.slot.set_state(SessionState::Busy) {
                    let error = no_slot_error(&self.front_context.router);
                    self.send_error(error).await?;
                    return Ok(false);
                }
                let router = self.front_context.router.clone();
                // The submission is part of the wait: the client may disconnect before a shard has received the
                // request.
                let answer = async move { router.submit(request).await.await };
                match self.wait_while_reading(answer).await? {
                    Some(answer) => answer,
                    None => return Ok(false),
                }
            }
            Err(statement::InvalidStatement(message)) => {
                return self.reject_statement("42601", message).await;
            }
        };
        match answer {
            Answer::Rows(result) => self.send_result(result).await?,
            Answer::Refused { retry_after } => {
                self.connection
                    .feed(ServerMessage::ErrorResponse(busy_error(retry_after)))
                    .await?;
            }
            Answer::Failed(failure @ (Failure::DuplicateId | Failure::UnknownTenant)) => {
                self.slot.set_state(SessionState::Unproven);
                let error = failure_error(failure);
                return self.reject_statement(error.code, error.message).await;
            }
            Answer::Failed(failure) => {
                self.connection
                    .feed(ServerMessage::ErrorResponse(failure_error(failure)))
                    .await?
            }
        }
        self.send(ServerMessage::ReadyForQuery).await?;
        self.consecutive_rejections = 0;
        Ok(self.slot.set_state(SessionState::Idle) && !self.drain.closes_after_answer())
    }

    /// Sends a result page by page as the client reads them.
    async fn send_result(&mut self, mut result: ResultPages) -> io::Result<()> {
        let mut row_count = 0;
        let deadline = result.deadline();
        self.connection.feed(ServerMessage::RowDescription).await?;
        loop {
            match result.next().await {
                Ok(Some(page)) => {
                    row_count += page.rows.iter().filter(|byte| **byte == b'\n').count() as u64;
                    for rows in row_groups(&page) {
                        self.connection.feed(ServerMessage::DataRows(rows)).await?;
                        // A client that has not read the rows by the deadline is considered disconnected.
                        let flushed = timeout_at(deadline, self.flush_while_reading()).await;
                        flushed.map_err(io::Error::other)??;
                    }
                }
                Ok(None) => {
                    return self
                        .connection
                        .feed(ServerMessage::CommandComplete(row_count))
                        .await;
                }
                Err(ResultLost) => {
                    let message = "the rest of the result was lost with its engine".to_string();
                    let error = ErrorFields {
                        code: "58030",
                        message,
                        hint: None,
                    };
                    return self
                        .connection
                        .feed(ServerMessage::ErrorResponse(error))
                        .await;
                }
            }
        }
    }
}

/// Polls a future once; returns its output if it completes without waiting. Tokio's cooperative budget does not apply,
/// because it could leave received bytes unread.
fn poll_once<T>(future: impl Future<Output = T>) -> Option<T> {
    unconstrained(future).now_or_never()
}

fn timed_out<E>(_: E) -> io::Error {
    io::Error::new(
        io::ErrorKind::TimedOut,
        "a startup or a message was not completed in time",
    )
}

/// The next message; `None` if the client has disconnected. Fails if a message stays incomplete for too long: otherwise
/// it would occupy its session, and the memory of the bytes received so far, forever.
async fn read_message(connection: &mut PgConnection) -> io::Result<Option<ClientMessage>> {
    let mut is_partial = false;
    loop {
        match timeout(PARTIAL_MESSAGE_TIMEOUT, connection.next()).await {
            Ok(message) => return message.transpose(),
            Err(elapsed) if is_partial => return Err(timed_out(elapsed)),
            Err(_) => is_partial = !connection.read_buffer().is_empty(),
        }
    }
}

/// Whether a query consists only of white space and semicolons.
fn is_blank(text: &[u8]) -> bool {
    let is_separator = |byte: &u8| byte.is_ascii_whitespace() || *byte == b';';
    text.iter().all(is_separator)
}

fn failure_error(failure: Failure) -> ErrorFields {
    let code = match failure {
        Failure::OutcomeUnknown => "58000",
        Failure::Cancelled => "57014",
        Failure::DuplicateId => "42710",
        Failure::UnknownTenant => "42704",
        Failure::ShuttingDown => "57P01",
    };
    ErrorFields {
        code,
        message: failure_message(failure).to_string(),
        hint: None,
    }
}
