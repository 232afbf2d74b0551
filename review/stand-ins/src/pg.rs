//! A client of the PostgreSQL protocol 3.0: simple queries, one at a time.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The final answer to a query, as the client sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// All rows, and CommandComplete.
    Served(usize),
    /// EmptyQueryResponse.
    Empty,
    /// An error, by its SQLSTATE code.
    Error(String),
    /// The connection has ended without an answer.
    Lost(String),
    /// No answer within the client's patience.
    None,
}

pub struct Session {
    stream: TcpStream,
    received: Vec<u8>,
    pub key: [u8; 8],
}

fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0main\0\0";
    let mut packet = ((body.len() + 4) as u32).to_be_bytes().to_vec();
    packet.extend_from_slice(body);
    packet
}

impl Session {
    /// Connects and completes the startup.
    pub fn open(address: SocketAddr) -> io::Result<Session> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.write_all(&startup())?;
        let mut session = Session {
            stream,
            received: Vec::new(),
            key: [0; 8],
        };
        let deadline = Instant::now() + Duration::from_secs(3);
        loop {
            match session.next_message(deadline)? {
                Some((b'K', body)) => session.key.copy_from_slice(&body[..8]),
                Some((b'Z', _)) => return Ok(session),
                Some((b'E', _)) => return Err(io::Error::other("an error instead of a session")),
                Some(_) => {}
                None => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }

    pub fn query(&mut self, text: &str) -> io::Result<()> {
        let mut message = vec![b'Q'];
        message.extend_from_slice(&((text.len() + 5) as u32).to_be_bytes());
        message.extend_from_slice(text.as_bytes());
        message.push(0);
        self.stream.write_all(&message)
    }

    /// The next message, by its type; `None` if it is not there in time.
    fn next_message(&mut self, deadline: Instant) -> io::Result<Option<(u8, Vec<u8>)>> {
        loop {
            if self.received.len() >= 5 {
                let length = u32::from_be_bytes(self.received[1..5].try_into().expect("four bytes"))
                    as usize;
                if self.received.len() > length {
                    let message: Vec<u8> = self.received.drain(..=length).collect();
                    return Ok(Some((message[0], message[5..].to_vec())));
                }
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(None);
            }
            self.stream.set_read_timeout(Some(remaining))?;
            let mut buffer = [0; 16384];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.received.extend_from_slice(&buffer[..count]),
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    return Ok(None);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads up to the answer's ReadyForQuery.
    pub fn answer(&mut self, patience: Duration) -> Answer {
        let deadline = Instant::now() + patience;
        let (mut rows, mut answer) = (0, Answer::None);
        loop {
            match self.next_message(deadline) {
                Ok(Some((b'D', _))) => rows += 1,
                Ok(Some((b'C', _))) => answer = Answer::Served(rows),
                Ok(Some((b'I', _))) => answer = Answer::Empty,
                Ok(Some((b'E', body))) => answer = Answer::Error(sqlstate(&body)),
                Ok(Some((b'Z', _))) => return answer,
                Ok(Some(_)) => {}
                Ok(None) => return answer,
                Err(error) if answer == Answer::None => return Answer::Lost(error.to_string()),
                Err(_) => return answer,
            }
        }
    }
}

fn sqlstate(body: &[u8]) -> String {
    let mut fields = body.split(|byte| *byte == 0);
    let code = fields.find_map(|field| field.strip_prefix(b"C"));
    String::from_utf8_lossy(code.unwrap_or_default()).to_string()
}

/// Sends a CancelRequest with a session's key on a new connection; returns the address of this side of it.
pub fn cancel(address: SocketAddr, key: [u8; 8]) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    let mut packet = 16u32.to_be_bytes().to_vec();
    packet.extend_from_slice(&80_877_102u32.to_be_bytes());
    packet.extend_from_slice(&key);
    stream.write_all(&packet)?;
    Ok(stream)
}

/// Whether the dispatcher answers an empty query, as the front asks after a start.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut session) = Session::open(address) else {
        return false;
    };
    session.query(";").is_ok() && session.answer(Duration::from_secs(1)) == Answer::Empty
}
