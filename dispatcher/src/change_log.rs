//! Engine discovery: follows the change log over HTTP and sends its changes of the engine list to the brokers.

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

/// An event of the change log: a change of the engine list, or the complete list.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Change {
    pub seq: u64,
    pub fleet: Fleet,
}

impl Change {
    /// A change that adds these engines and has no sequence number of the change log.
    pub fn from_targets(targets: Vec<Target>) -> Change {
        let fleet = Fleet {
            is_complete: None,
            targets,
        };
        Change { seq: 0, fleet }
    }

    fn list_update(&self) -> ListUpdate {
        match self.fleet.is_complete {
            Some(true) => ListUpdate::Complete,
            _ => ListUpdate::Changes,
        }
    }
}

/// The engines that an event lists: all of them, or those that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Fleet {
    #[serde(rename = "all")]
    pub is_complete: Option<bool>,
    pub targets: Vec<Target>,
}

/// The position reached in the change log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeLogPosition {
    /// The sequence number of the last change that the brokers have received.
    pub seq: u64,
    /// Every event that the log held at the time of the request has been received.
    pub caught_up: bool,
}

/// The longest line of the change log: a complete list of the largest fleet, 3,200 engines of 640 bytes each.
const MAX_LINE_BYTES: usize = 2 << 20;
/// The log sends a comment each second; after this long without a byte the connection counts as dead.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
/// The length of the CRLF after each chunk.
const CHUNK_END_BYTES: usize = 2;
/// The log sends its past events at once; after this long without one, all of them have arrived.
const CAUGHT_UP_SILENCE: Duration = Duration::from_millis(150);
/// Time limit of a connect. The system resends a lost first packet after one second (RFC 6298, 2.1).
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Applies changes in order to an empty list; returns the resulting engine list.
pub fn fold_changes(changes: Vec<Change>) -> Vec<Target> {
    let mut engine_list: Vec<Target> = Vec::new();
    for change in changes {
        apply_update(
            &mut engine_list,
            change.list_update(),
            &change.fleet.targets,
        );
    }
    engine_list
}

/// Follows the change log at its current address; never returns. Without an address, waits for one.
pub async fn follow(
    mut address: watch::Receiver<Option<SocketAddr>>,
    position: watch::Sender<ChangeLogPosition>,
    router: RequestRouter,
    mut backoff: RetryBackoff,
) {
    let mut follower = Follower::new(position.borrow().seq);
    loop {
        let previous_seq = position.borrow().seq;
        let Some(current_address) = *address.borrow_and_update() else {
            address_changed(&mut address).await;
            continue;
        };
        tokio::select! {
            biased;
            // Connects to the new address and continues from the sequence number reached.
            () = address_changed(&mut address) => backoff.reset(),
            result = listen(current_address, &position, &router, &mut follower) => match result {
                Ok(()) => log::info!(
                    "the change log closed the connection after change {}",
                    position.borrow().seq
                ),
                Err(error) => log::warn!("the change log after {}: {error}", position.borrow().seq),
            },
        }
        if position.borrow().seq > previous_seq {
            backoff.reset();
        }
        tokio::select! {
            () = address_changed(&mut address) => {
                backoff.reset();
                sleep(backoff.next_delay()).await;
            }
            () = sleep(backoff.next_delay()) => {}
        }
    }
}

/// Waits until the address of the change log changes; never returns once its sender is dropped.
async fn address_changed(address: &mut watch::Receiver<Option<SocketAddr>>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Receives events over one connection to the change log until it ends.
async fn listen(
    address: SocketAddr,
    position: &watch::Sender<ChangeLogPosition>,
    router: &RequestRouter,
    follower: &mut Follower,
) -> io::Result<()> {
    let timeout_error = |_| io::Error::new(io::ErrorKind::TimedOut, "no data in time");
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(timeout_error)??;
    set_nodelay(&stream);
    let mut stream = SocketStream::new(stream);
    let last_event_id = follower.resume_after();
    let request = format!(
        "GET /changes HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {last_event_id}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut events = FramedRead::new(stream, EventDecoder::default());
    loop {
        let event = match timeout(CAUGHT_UP_SILENCE, events.next()).await {
            Ok(event) => event,
            Err(_) => {
                if events.decoder().has_head {
                    if !update_brokers(follower.handle_silence(), position, router, follower).await
                    {
                        return Ok(());
                    }
                    position.send_modify(|position| position.caught_up = true);
                }
                let next_event = timeout(SILENCE_TIMEOUT - CAUGHT_UP_SILENCE, events.next());
                next_event.await.map_err(timeout_error)?
            }
        };
        let Some(event) = event else { return Ok(()) };
        let Some(change) = event? else { continue };
        let (seq, list_update) = (change.seq, change.list_update());
        let action = follower.handle_event(seq, list_update, change.fleet.targets);
        if action == FollowerAction::Reconnect {
            let retry = if follower.is_rebuilding() {
                "asking for the whole list"
            } else {
                "asking for what is missing"
            };
            let reason = format!("{seq} follows {}: {retry}", position.borrow().seq);
            return Err(io::Error::other(reason));
        }
        if !update_brokers(action, position, router, follower).await {
            return Ok(());
        }
    }
}

/// Sends the brokers the update that the action asks for, if any; returns false if they have ended.
async fn update_brokers(
    action: FollowerAction,
    position: &watch::Sender<ChangeLogPosition>,
    router: &RequestRouter,
    follower: &mut Follower,
) -> bool {
    let FollowerAction::Publish(seq, list_update, targets) = action else {
        return true;
    };
    if router
        .update_engine_list(list_update, targets)
        .await
        .is_err()
    {
        return false;
    }
    // Marked after the update is sent: if this future is dropped while it waits for a broker, the update counts as not
    // sent.
    follower.mark_published(seq);
    position.send_modify(|position| position.seq = seq);
    true
}

/// Decodes the HTTP response of the change log: its head, and then its server-sent events. Yields `None` for a
/// keep-alive comment.
#[derive(Default)]
struct EventDecoder {
    /// The head of the response has been read.
    has_head: bool,
    is_chunked: bool,
    /// Remaining bytes of the current chunk and of the CRLF after it.
    chunk_remaining: usize,
    /// Received text of the body that is not decoded yet.
    text: Vec<u8>,
    /// The data lines of the current event.
    data: Vec<u8>,
}

fn invalid_data(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

impl EventDecoder {
    /// Reads the head of the response; false while it is incomplete.
    fn read_head(&mut self, bytes: &mut bytes::BytesMut) -> io::Result<bool> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        let status = response
            .parse(bytes)
            .map_err(|_| invalid_data("the response is not HTTP"))?;
        let httparse::Status::Complete(length) = status else {
            return if bytes.len() > MAX_LINE_BYTES {
                Err(invalid_data("the response head is too long"))
            } else {
                Ok(false)
            };
        };
        if response.code != Some(200) {
            return Err(invalid_data("the HTTP status is not 200"));
        }
        self.is_chunked = response.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("transfer-encoding")
                && header.value.eq_ignore_ascii_case(b"chunked")
        });
        self.has_head = true;
        let _ = bytes.split_to(length);
        Ok(true)
    }

    /// Moves received bytes of the body to the text, without the framing of chunks.
    fn read_body(&mut self, bytes: &mut bytes::BytesMut) -> io::Result<()> {
        if !self.is_chunked {
            self.text.extend_from_slice(&bytes.split());
        }
        while self.is_chunked && !bytes.is_empty() {
            if self.chunk_remaining > 0 {
                let (text_bytes, end_bytes) = (
                    self.chunk_remaining.saturating_sub(CHUNK_END_BYTES),
                    self.chunk_remaining,
                );
                let piece = bytes.split_to(
                    if text_bytes > 0 {
                        text_bytes
                    } else {
                        end_bytes
                    }
                    .min(bytes.len()),
                );
                self.chunk_remaining -= piece.len();
                if text_bytes > 0 {
                    self.text.extend_from_slice(&piece);
                }
                continue;
            }
            match httparse::parse_chunk_size(bytes)
                .map_err(|_| invalid_data("invalid chunk size"))?
            {
                httparse::Status::Partial => break,
                httparse::Status::Complete((start, size)) => {
                    let size = usize::try_from(size).unwrap_or(usize::MAX);
                    self.chunk_remaining = size.saturating_add(CHUNK_END_BYTES);
                    let _ = bytes.split_to(start);
                }
            }
        }
        if self.text.len() > MAX_LINE_BYTES {
            Err(invalid_data("a line is too long"))
        } else {
            Ok(())
        }
    }

    /// Takes the next complete line, without its line end.
    fn next_line(&mut self) -> Option<Vec<u8>> {
        let end = self.text.iter().position(|byte| *byte == b'\n')?;
        let mut line: Vec<u8> = self.text.drain(..=end).collect();
        line.truncate(end);
        line.pop_if(|byte| *byte == b'\r');
        Some(line)
    }
}

impl Decoder for EventDecoder {
    type Item = Option<Change>;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut bytes::BytesMut) -> io::Result<Option<Self::Item>> {
        if !self.has_head && !self.read_head(bytes)? {
            return Ok(None);
        }
        self.read_body(bytes)?;
        while let Some(line) = self.next_line() {
            if let Some(data) = line.strip_prefix(b"data:") {
                self.data.extend_from_slice(data);
            } else if line.is_empty() && !self.data.is_empty() {
                let data = std::mem::take(&mut self.data);
                let text = std::str::from_utf8(&data)
                    .map_err(|_| invalid_data("an event is not UTF-8"))?;
                let change = json::from_str(text)
                    .map_err(|_| invalid_data("an event is not a valid change"))?;
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

    /// Decodes the text in pieces of `piece_bytes`; returns the sequence numbers of its events.
    fn decode_seqs(text: &str, piece_bytes: usize) -> io::Result<Vec<u64>> {
        let (mut decoder, mut bytes, mut seqs) =
            (EventDecoder::default(), BytesMut::new(), Vec::new());
        for piece in text.as_bytes().chunks(piece_bytes) {
            bytes.extend_from_slice(piece);
            while let Some(event) = decoder.decode(&mut bytes)? {
                seqs.extend(event.map(|change| change.seq));
            }
        }
        Ok(seqs)
    }

    #[test]
    fn events_are_decoded_whatever_the_sizes_of_the_pieces() {
        let body = format!(": hello\nid: 41\ndata: {DATA}\n\n:\n\nid: 41\r\ndata: {DATA}\r\n\r\n");
        let plain = format!("{HEAD}\r\n{body}");
        let mut chunked = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n");
        for chunk in body.as_bytes().chunks(50) {
            let chunk = std::str::from_utf8(chunk).expect("ASCII");
            chunked.push_str(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
        }
        for text in [plain, chunked] {
            for piece_bytes in [1, 7, 4096] {
                assert_eq!(
                    decode_seqs(&text, piece_bytes).expect("valid events"),
                    [41, 41]
                );
            }
        }
    }

    #[test]
    fn an_invalid_response_is_an_error() {
        for text in [
            "HTTP/1.1 404 Not Found\r\n\r\n".to_string(),
            "no HTTP at all\r\n\r\n".to_string(),
            format!("{HEAD}\r\ndata: not JSON\n\n"),
            format!("{HEAD}Transfer-Encoding: chunked\r\n\r\nxyz\r\n"),
            format!("{HEAD}\r\n{}", "x".repeat(MAX_LINE_BYTES + 1)),
        ] {
            assert!(decode_seqs(&text, 4096).is_err(), "{:.60}", text);
        }
    }

    #[test]
    fn changes_are_applied_in_order_to_the_initial_list() {
        let target = |uid: &str, state: &str| Target {
            uid: uid.to_string(),
            state: state.to_string(),
            ..<Target as Default>::default()
        };
        let change = |is_complete, targets| Change {
            seq: 0,
            fleet: Fleet {
                is_complete,
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
