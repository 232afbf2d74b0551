//! The change log's actor: follows the list of ledger engines and tells the broker.

use futures::StreamExt;
use miniserde::{Deserialize, json};
use sedgebeam_discovery::{Follower, FollowerAction, RetryBackoff};
use sedgebeam_port::{ListUpdate, RequestRouter, Target, apply_update};
use sedgebeam_sockets::{SocketStream, set_nodelay};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, FramedRead};

/// A change of the list, as the change log tells it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Change {
    pub seq: u64,
    pub fleet: Fleet,
}

impl Change {
    /// A change that names these engines, as none of the change log.
    pub fn from_targets(targets: Vec<Target>) -> Change {
        let fleet = Fleet {
            is_complete: None,
            targets,
        };
        Change { seq: 0, fleet }
    }

    fn listing(&self) -> ListUpdate {
        match self.fleet.is_complete {
            Some(true) => ListUpdate::Complete,
            _ => ListUpdate::Changes,
        }
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct Fleet {
    #[serde(rename = "all")]
    pub is_complete: Option<bool>,
    pub targets: Vec<Target>,
}

/// How far the change log has been heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeLogPosition {
    pub seq: u64,
    /// It has told all that it had when it was asked.
    pub caught_up: bool,
}

/// The longest line that the change log may write: a whole list of the largest fleet, 3,200 engines, with 640 bytes for each.
const MOST_LINE: usize = 2 << 20;
/// A comment comes each second; after this long without a byte the connection is taken for dead.
const SILENCE: Duration = Duration::from_millis(1800);
/// The length of the line end behind a chunk.
const CHUNK_END: usize = 2;
/// What the change log has to tell of the time before it writes at once: after so long without an event, that
/// was all.
const CAUGHT_UP: Duration = Duration::from_millis(150);
/// A connect may take so long: the system sends a first packet that got lost again after one second (RFC 6298, 2.1).
const CONNECT: Duration = Duration::from_millis(1500);

/// Folds the changes up to the start into the list that they leave.
pub fn fold_changes(changes: Vec<Change>) -> Vec<Target> {
    let mut list: Vec<Target> = Vec::new();
    for change in changes {
        apply_update(&mut list, change.listing(), &change.fleet.targets);
    }
    list
}

/// Follows the change log for ever, wherever it is; where it is nowhere, that it is somewhere is waited for.
pub async fn follow(
    mut address: watch::Receiver<Option<SocketAddr>>,
    position: watch::Sender<ChangeLogPosition>,
    router: RequestRouter,
    mut pauses: RetryBackoff,
) {
    let mut follower = Follower::new(position.borrow().seq);
    loop {
        let before = position.borrow().seq;
        let Some(current) = *address.borrow_and_update() else {
            moved(&mut address).await;
            continue;
        };
        tokio::select! {
                    biased;
                    // The old log tells nothing more: the new one is asked, with the number reached.
         () = moved(&mut address) => pauses.reset(),
        ended = listen(current, &position, &router, &mut follower) => match ended {
        Ok(()) => log::info!("the change log ended the connection after {}", position.borrow().seq),
        Err(error) => log::warn!("the change log after {}: {error}", position.borrow().seq),
                    },
                }
        if position.borrow().seq > before {
            pauses.reset();
        }
        tokio::select! {
            () = moved(&mut address) => {
                pauses.reset();
                sleep(pauses.next_delay()).await;
            }
            () = sleep(pauses.next_delay()) => {}
        }
    }
}

/// Waits until the change log is elsewhere; for ever, where nobody can say so any more.
async fn moved(address: &mut watch::Receiver<Option<SocketAddr>>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// One connection to the change log, until it ends.
async fn listen(
    address: SocketAddr,
    position: &watch::Sender<ChangeLogPosition>,
    router: &RequestRouter,
    follower: &mut Follower,
) -> io::Result<()> {
    let late = |_| io::Error::new(io::ErrorKind::TimedOut, "no word for too long");
    let stream = timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = stream.map_err(late)??;
    set_nodelay(&stream);
    let mut stream = SocketStream::new(stream);
    let after = follower.resume_after();
    let request = format!(
        "GET /changes HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {after}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut lines = FramedRead::new(stream, Events::default());
    loop {
        let event = match timeout(CAUGHT_UP, lines.next()).await {
            Ok(event) => event,
            Err(_) => {
                if lines.decoder().begun {
                    if !tell(follower.handle_silence(), position, router, follower).await {
                        return Ok(());
                    }
                    position.send_modify(|position| position.caught_up = true);
                }
                let rest = timeout(SILENCE - CAUGHT_UP, lines.next());
                rest.await.map_err(late)?
            }
        };
        let Some(event) = event else { return Ok(()) };
        let Some(change) = event? else { continue };
        let (seq, listing) = (change.seq, change.listing());
        let next = follower.handle_event(seq, listing, change.fleet.targets);
        if next == FollowerAction::Reconnect {
            let what = if follower.is_rebuilding() {
                "asking for the whole list"
            } else {
                "asking for what is missing"
            };
            let why = format!("{seq} follows {}: {what}", position.borrow().seq);
            return Err(io::Error::other(why));
        }
        if !tell(next, position, router, follower).await {
            return Ok(());
        }
    }
}

/// Tells the brokers what follows from what the change log said; false where nobody takes it any more.
async fn tell(
    next: FollowerAction,
    position: &watch::Sender<ChangeLogPosition>,
    router: &RequestRouter,
    follower: &mut Follower,
) -> bool {
    let FollowerAction::Publish(seq, listing, targets) = next else {
        return true;
    };
    if router.update_engine_list(listing, targets).await.is_err() {
        return false;
    }
    // Only now: what is dropped while it waits for the broker has not been told.
    follower.mark_published(seq);
    position.send_modify(|position| position.seq = seq);
    true
}

/// Decodes the answer of the change log: its head, and then its events; `None` for a sign of life.
#[derive(Default)]
struct Events {
    begun: bool,
    chunked: bool,
    /// Bytes of the chunk under way that are still to come, with the line end behind it.
    chunk: usize,
    text: Vec<u8>,
    data: Vec<u8>,
}

fn unreadable(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

impl Events {
    /// Takes the head of the answer; false while it is not whole.
    fn head(&mut self, bytes: &mut bytes::BytesMut) -> io::Result<bool> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        let status = response.parse(bytes).map_err(|_| unreadable("not HTTP"))?;
        let httparse::Status::Complete(length) = status else {
            return if bytes.len() > MOST_LINE {
                Err(unreadable("an endless head"))
            } else {
                Ok(false)
            };
        };
        if response.code != Some(200) {
            return Err(unreadable("its status is not 200"));
        }
        self.chunked = response.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("transfer-encoding")
                && header.value.eq_ignore_ascii_case(b"chunked")
        });
        self.begun = true;
        let _ = bytes.split_to(length);
        Ok(true)
    }

    /// Moves what came into the text, without the frame of its chunks.
    fn body(&mut self, bytes: &mut bytes::BytesMut) -> io::Result<()> {
        if !self.chunked {
            self.text.extend_from_slice(&bytes.split());
        }
        while self.chunked && !bytes.is_empty() {
            if self.chunk > 0 {
                let (text, end) = (self.chunk.saturating_sub(CHUNK_END), self.chunk);
                let part = bytes.split_to(if text > 0 { text } else { end }.min(bytes.len()));
                self.chunk -= part.len();
                if text > 0 {
                    self.text.extend_from_slice(&part);
                }
                continue;
            }
            match httparse::parse_chunk_size(bytes).map_err(|_| unreadable("a bad chunk"))? {
                httparse::Status::Partial => break,
                httparse::Status::Complete((start, size)) => {
                    let size = usize::try_from(size).unwrap_or(usize::MAX);
                    self.chunk = size.saturating_add(CHUNK_END);
                    let _ = bytes.split_to(start);
                }
            }
        }
        if self.text.len() > MOST_LINE {
            Err(unreadable("an endless line"))
        } else {
            Ok(())
        }
    }

    /// The next line, without its end.
    fn line(&mut self) -> Option<Vec<u8>> {
        let end = self.text.iter().position(|byte| *byte == b'\n')?;
        let mut line: Vec<u8> = self.text.drain(..=end).collect();
        line.truncate(end);
        line.pop_if(|byte| *byte == b'\r');
        Some(line)
    }
}

impl Decoder for Events {
    type Item = Option<Change>;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut bytes::BytesMut) -> io::Result<Option<Self::Item>> {
        if !self.begun && !self.head(bytes)? {
            return Ok(None);
        }
        self.body(bytes)?;
        while let Some(line) = self.line() {
            if let Some(data) = line.strip_prefix(b"data:") {
                self.data.extend_from_slice(data);
            } else if line.is_empty() && !self.data.is_empty() {
                let data = std::mem::take(&mut self.data);
                let text = std::str::from_utf8(&data).map_err(|_| unreadable("not UTF-8"))?;
                let change = json::from_str(text).map_err(|_| unreadable("an unreadable event"))?;
                return Ok(Some(Some(change)));
            } else if line.starts_with(b":") {
                return Ok(Some(None));
            }
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::BytesMut;

    const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    const DATA: &str = r#"{"seq":41,"fleet":{"rev":7,"all":false,"targets":[{"uid":"s-00c41f7a","endpoint":"127.1.0.9:10080","az":"east","model":"std","pod_group":2,"state":"up","capacity_hint":4,"boot_ms":0}]}}"#;

    /// The numbers of the events in the text, which comes in pieces of so many bytes.
    fn heard(text: &str, piece: usize) -> io::Result<Vec<u64>> {
        let (mut events, mut bytes, mut seqs) = (Events::default(), BytesMut::new(), Vec::new());
        for part in text.as_bytes().chunks(piece) {
            bytes.extend_from_slice(part);
            while let Some(event) = events.decode(&mut bytes)? {
                seqs.extend(event.map(|change| change.seq));
            }
        }
        Ok(seqs)
    }

    #[test]
    fn events_are_read_however_they_are_cut() {
        let body = format!(": hello\nid: 41\ndata: {DATA}\n\n:\n\nid: 41\r\ndata: {DATA}\r\n\r\n");
        let plain = format!("{HEAD}\r\n{body}");
        let mut chunked = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n");
        for part in body.as_bytes().chunks(50) {
            let part = std::str::from_utf8(part).expect("ASCII");
            chunked.push_str(&format!("{:x}\r\n{part}\r\n", part.len()));
        }
        for text in [plain, chunked] {
            for piece in [1, 7, 4096] {
                assert_eq!(heard(&text, piece).expect("is read"), [41, 41]);
            }
        }
    }

    #[test]
    fn what_is_not_the_change_log_ends_the_connection() {
        for text in [
            "HTTP/1.1 404 Not Found\r\n\r\n".to_string(),
            "no HTTP at all\r\n\r\n".to_string(),
            format!("{HEAD}\r\ndata: not JSON\n\n"),
            format!("{HEAD}Transfer-Encoding: chunked\r\n\r\nxyz\r\n"),
            format!("{HEAD}\r\n{}", "x".repeat(MOST_LINE + 1)),
        ] {
            assert!(heard(&text, 4096).is_err(), "{:.60}", text);
        }
    }

    #[test]
    fn the_list_at_the_start_is_what_the_changes_leave() {
        let target = |uid: &str, state: &str| Target {
            uid: uid.to_string(),
            state: state.to_string(),
            ..<Target as Default>::default()
        };
        let change = |all, targets| Change {
            seq: 0,
            fleet: Fleet {
                is_complete: all,
                targets,
            },
        };
        let list = fold_changes(vec![
            change(Some(true), vec![target("old", "up")]),
            change(Some(true), vec![target("a", "up"), target("b", "up")]),
            change(
                Some(false),
                vec![target("a", "draining"), target("b", "removed")],
            ),
        ]);
        assert_eq!(list, [target("a", "draining")]);
    }
}
