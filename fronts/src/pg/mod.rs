//! The platform's front: sessions of the PostgreSQL protocol, one actor each.

mod codec;

use super::leave::Leave;
use super::places::{Place, Standing};
use super::{Shared, reason, statement};
use bytes::{Bytes, BytesMut};
use codec::{Error, Pg, Said, Say};
use futures::{SinkExt, StreamExt};
use sedgebeam_port::{Answer, Broken, Delivery, Failure, Pending, SessionKey};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::codec::{Encoder, Framed};

/// A connection that has not said what it wants by then is closed.
const STARTUP: Duration = Duration::from_secs(2);
/// A message that stays half for this long, or up to twice as long, ends its session.
const HALF: Duration = Duration::from_secs(1);
/// The pause before anything more is read of a client whose message was of no use, doubled with each in a
/// row: one that sends the same again at once takes no time from the others.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// A connection that is turned away has so long to take its word and go, and may say so much meanwhile.
const FAREWELL: Duration = Duration::from_millis(500);
const MOST_FAREWELL: u64 = 64 * 1024;
/// So many of them in a row end the session, all within the 3 s in which such a client is owed a word.
const MOST_USELESS: u32 = 7;

type Wire = Framed<TcpStream, Pg>;

/// Serves a connection until it ends, or until it must go.
pub async fn serve(
    stream: TcpStream,
    shared: Shared,
    key: SessionKey,
    leave: Leave,
    place: Place,
    longest: usize,
) {
    let gives_way = place.gives_way();
    let session = Session {
        wire: Framed::new(stream, Pg::new(longest)),
        shared,
        key,
        leave,
        place,
        useless: 0,
        held: None,
    };
    tokio::select! {
        biased;
        () = gives_way.cancelled() => log::debug!("session {}: gives way", key.0),
        ended = session.run() => if let Err(error) = ended {
            log::debug!("session {}: {error}", key.0);
        }
    }
}

/// Why a connection is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Away {
    NoPlace,
    Draining,
}

/// Refuses a connection. It is closed only once its client has closed it, or after a while: closing on what the
/// client has said and nobody has read would take the word away from it.
pub async fn turn_away(mut stream: TcpStream, why: Away) {
    let told = match why {
        Away::NoPlace => refusal("53300", "there are too many sessions; nothing ran"),
        Away::Draining => draining(),
    };
    let mut bytes = BytesMut::new();
    // Nothing is read with this one.
    if Pg::new(0).encode(Say::Error(told), &mut bytes).is_err() {
        return;
    }
    let farewell = async {
        stream.write_all(&bytes).await?;
        stream.shutdown().await?;
        let mut rest = stream.take(MOST_FAREWELL);
        tokio::io::copy(&mut rest, &mut tokio::io::sink()).await
    };
    match timeout(FAREWELL, farewell).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => log::debug!("a connection that was turned away: {error}"),
        Err(_) => log::debug!("a connection that was turned away stays"),
    }
}

fn refusal(code: &'static str, message: &str) -> Error {
    Error {
        code,
        message: message.to_string(),
        hint: Some("try again in 1000 ms".to_string()),
    }
}

fn draining() -> Error {
    refusal("57P03", "this dispatcher takes no more work; nothing ran")
}

struct Session {
    wire: Wire,
    shared: Shared,
    key: SessionKey,
    leave: Leave,
    place: Place,
    /// Messages of no use in a row.
    useless: u32,
    /// What the client said while its last query was under way.
    held: Option<Said>,
}

impl Session {
    async fn run(mut self) -> io::Result<()> {
        let started = timeout(STARTUP, self.start()).await;
        if !started.map_err(late)?? {
            return Ok(());
        }
        while let Some(said) = self.listen().await? {
            match said {
                Said::Query(text) => {
                    if !self.query(text).await? {
                        break;
                    }
                }
                Said::Terminate => break,
                Said::Sync => self.wire.send(Say::Ready).await?,
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
                Said::Encrypt => self.wire.send(Say::NoEncryption).await?,
                Said::Startup => {
                    self.wire.send(Say::Welcome(self.key.0)).await?;
                    return Ok(true);
                }
                Said::Cancel(key) => {
                    self.shared.desk.cancel(SessionKey(key)).await;
                    return Ok(false);
                }
                _ => return Ok(false),
            }
        }
        Ok(false)
    }

    /// What the client says next; `None` when it has gone, or must go.
    async fn listen(&mut self) -> io::Result<Option<Said>> {
        if let Some(said) = self.held.take() {
            return Ok(Some(said));
        }
        tokio::select! {
            biased;
            said = next(&mut self.wire) => match said {
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    let message = error.to_string();
                    let told = Error { code: "08P01", message, hint: None };
                    self.wire.send(Say::Error(told)).await?;
                    Ok(None)
                }
                said => said,
            },
            () = self.leave.when_idle() => Ok(None),
        }
    }

    /// Answers what is of no use, and reads on only after a pause; false where that was once too often.
    async fn reject(&mut self, code: &'static str, message: String) -> io::Result<bool> {
        let told = Error {
            code,
            message,
            hint: None,
        };
        self.wire.feed(Say::Error(told)).await?;
        self.wire.send(Say::Ready).await?;
        self.useless += 1;
        if self.useless >= MOST_USELESS {
            return Ok(false);
        }
        sleep(FIRST_PAUSE * (1 << self.useless)).await;
        Ok(true)
    }

    /// Answers a message of the extended protocol: one error, and nothing more up to its Sync.
    async fn unsupported(&mut self, said: &Said) -> io::Result<bool> {
        let message = format!("only simple queries are served here, not {said:?}");
        let told = Error {
            code: "0A000",
            message,
            hint: None,
        };
        self.wire.send(Say::Error(told)).await?;
        loop {
            match self.listen().await? {
                Some(Said::Sync) => break,
                Some(Said::Terminate) | None => return Ok(false),
                Some(_) => {}
            }
        }
        self.wire.send(Say::Ready).await?;
        Ok(true)
    }

    /// Answers a query; false when the client has gone meanwhile, or must go.
    async fn query(&mut self, text: Bytes) -> io::Result<bool> {
        let came = Instant::now();
        if is_empty(&text) {
            // The platform's front asks in this way whether the dispatcher takes work.
            let told = if self.leave.ready() {
                Say::Empty
            } else {
                Say::Error(draining())
            };
            self.wire.feed(told).await?;
            self.wire.send(Say::Ready).await?;
            return Ok(true);
        }
        let tuning = self.shared.desk.tuning();
        let request = statement::read(&text, came, &tuning.names, Some(self.key));
        let answer = match request {
            Ok(request) => {
                // One that must give way at this moment has sent nothing on.
                if !self.place.stand(Standing::Busy) {
                    return Ok(false);
                }
                let pending = self.shared.desk.submit(request).await;
                match self.wait(pending).await? {
                    Some(answer) => answer,
                    None => return Ok(false),
                }
            }
            Err(statement::Unusable(message)) => {
                return self.reject("42601", message).await;
            }
        };
        match answer {
            Answer::Rows(delivery) => self.pass(delivery).await?,
            Answer::Refused { retry_after } => {
                let hint = format!("try again in {} ms", retry_after.as_millis().max(1));
                let message = "too busy to run the statement; it did not run".to_string();
                let told = Error {
                    code: "53300",
                    message,
                    hint: Some(hint),
                };
                self.wire.feed(Say::Error(told)).await?;
            }
            Answer::Failed(failure @ (Failure::Duplicate | Failure::Tenant)) => {
                self.place.stand(Standing::Stranger);
                let told = failed(failure);
                return self.reject(told.code, told.message).await;
            }
            Answer::Failed(failure) => self.wire.feed(Say::Error(failed(failure))).await?,
        }
        self.wire.send(Say::Ready).await?;
        self.useless = 0;
        Ok(self.place.stand(Standing::Idle) && !self.leave.after_answer())
    }

    /// Waits for the answer and watches the client meanwhile; `None` when it has gone.
    async fn wait(&mut self, mut pending: Pending) -> io::Result<Option<Answer>> {
        loop {
            tokio::select! {
                biased;
                answer = &mut pending => return Ok(Some(answer)),
                said = self.wire.next(), if self.held.is_none() => match said.transpose()? {
                    None | Some(Said::Terminate) => return Ok(None),
                    said => self.held = said,
                }
            }
        }
    }

    /// Passes a result on, page by page as the client takes them.
    async fn pass(&mut self, mut delivery: Delivery) -> io::Result<()> {
        let mut rows = 0;
        let deadline = delivery.deadline();
        self.wire.feed(Say::Columns).await?;
        loop {
            match delivery.next().await {
                Ok(Some(page)) => {
                    rows += page.rows.iter().filter(|byte| **byte == b'\n').count() as u64;
                    self.wire.feed(Say::Rows(page)).await?;
                    // A client that takes nothing until its deadline has gone.
                    let taken = timeout_at(deadline, self.wire.flush()).await;
                    taken.map_err(io::Error::other)??;
                }
                Ok(None) => return self.wire.feed(Say::Complete(rows)).await,
                Err(Broken) => {
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
        Failure::Unanswered => "58000",
        Failure::Cancelled => "57014",
        Failure::Duplicate => "42710",
        Failure::Tenant => "42704",
        Failure::Ending => "57P01",
    };
    Error {
        code,
        message: reason(failure).to_string(),
        hint: None,
    }
}
