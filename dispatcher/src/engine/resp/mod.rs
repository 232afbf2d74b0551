//! The actor of an engine that speaks RESP: many attempts on few connections.

mod codec;
mod connection;

use super::{Attempt, End, More, Page, Probe, Report, Reports, ToEngine};
use crate::clock::duration;
use codec::{About, Command, Reply, Word};
use connection::{Came, Connection, Number};
use sedgebeam_core::{AttemptNo, Micros, RequestId};
use sedgebeam_settings::Connections;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, interval};

/// Connections to one engine at the most: far more than its sessions fill, far fewer than the sockets.
const MOST_CONNECTIONS: usize = 24;
/// What came from connections and waits for the actor; they wait beyond it.
const MAILBOX: usize = 1024;
/// An idle connection is closed at this part of the time after which the engine closes it: what crosses
/// the engine's close would look as if it may have run.
const IDLE_PART: f64 = 0.7;
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// An attempt that is out.
struct Out {
    number: AttemptNo,
    connection: Number,
    /// Not yet written, as the connection is only being made.
    unwritten: bool,
}

/// A result of which pages may still be asked for.
struct Pages {
    number: AttemptNo,
    connection: Number,
    parts: u32,
    waiting: Option<(u32, oneshot::Sender<Page>)>,
}

struct Actor {
    endpoint: String,
    settings: Connections,
    reports: Reports,
    came: mpsc::Sender<(Number, Came)>,
    connections: HashMap<Number, Connection>,
    next_connection: u64,
    out: HashMap<RequestId, Out>,
    pages: HashMap<RequestId, Pages>,
    probes: HashMap<u64, Instant>,
    next_probe: u64,
}

/// Runs until its mailbox is closed and nothing of it is out.
pub async fn run(
    endpoint: String,
    settings: Connections,
    mut mailbox: mpsc::Receiver<ToEngine>,
    reports: Reports,
) {
    let (came, mut incoming) = mpsc::channel(MAILBOX);
    let mut actor = Actor {
        endpoint,
        settings,
        reports,
        came,
        connections: HashMap::new(),
        next_connection: 0,
        out: HashMap::new(),
        pages: HashMap::new(),
        probes: HashMap::new(),
        next_probe: 0,
    };
    let mut look = interval(LOOK_EVERY);
    loop {
        tokio::select! {
            message = mailbox.recv() => match message {
                Some(message) => actor.take(message).await,
                // Attempts and results hold a sender of the mailbox: none is left.
                None => return,
            },
            Some((number, came)) = incoming.recv() => actor.came(number, came).await,
            _ = look.tick() => actor.look().await,
        }
    }
}

impl Actor {
    async fn take(&mut self, message: ToEngine) {
        match message {
            ToEngine::Send(attempt) => self.send(attempt).await,
            ToEngine::Abort(id, number) => self.abort(id, number),
            ToEngine::Renice(id, number, rank) => {
                if let Some(out) = self.out.get(&id).filter(|out| out.number == number) {
                    self.command(out.connection, Command::Renice(id, rank));
                }
            }
            ToEngine::Probe => self.probe().await,
            ToEngine::More(more) => self.more(more),
            ToEngine::Done(id, number) => self.done(id, number),
            ToEngine::NothingNew => self.nothing_new().await,
        }
    }

    // ---- Attempts ----

    async fn send(&mut self, attempt: Attempt) {
        let (id, number) = (attempt.request, attempt.number);
        let sent = self
            .connection_for(Some(id))
            .filter(|connection| self.command(*connection, Command::Fetch(attempt)));
        let Some(connection) = sent else {
            self.reports.ended(id, number, End::ConnectFailed).await;
            return;
        };
        let unwritten = match self.connections.get_mut(&connection) {
            Some(connection) => {
                connection.out += 1;
                !connection.up
            }
            None => true,
        };
        self.out.insert(
            id,
            Out {
                number,
                connection,
                unwritten,
            },
        );
    }

    /// The fullest connection with room, or a new one. None that has carried this request before: a late
    /// answer to an earlier attempt must not be taken for one to this.
    fn connection_for(&mut self, request: Option<RequestId>) -> Option<Number> {
        let most = self.settings.max_streams;
        let fit = self.connections.iter().filter(|(_, connection)| {
            connection.out < most && request.is_none_or(|id| !connection.gave_up(id))
        });
        let best = fit.max_by_key(|(number, connection)| (connection.up, connection.out, number.0));
        if let Some((number, _)) = best {
            return Some(*number);
        }
        if self.connections.len() >= MOST_CONNECTIONS {
            return None;
        }
        self.next_connection += 1;
        let number = Number(self.next_connection);
        let timeout = duration(self.settings.connect_timeout);
        let connection =
            Connection::open(number, self.endpoint.clone(), timeout, self.came.clone());
        self.connections.insert(number, connection);
        Some(number)
    }

    /// Hands a command to a connection; false where it is full or gone.
    fn command(&self, number: Number, command: Command) -> bool {
        let connection = self.connections.get(&number);
        connection.is_some_and(|connection| connection.mailbox.try_send(command).is_ok())
    }

    fn abort(&mut self, id: RequestId, number: AttemptNo) {
        let Some(out) = self.out.remove(&id) else {
            return;
        };
        if out.number != number {
            self.out.insert(id, out);
            return;
        }
        self.command(out.connection, Command::Abort(id));
        if let Some(connection) = self.connections.get_mut(&out.connection) {
            connection.give_up(id);
        }
    }

    /// Takes an attempt that has had its answer on this connection. A late answer on an older one must
    /// leave the attempt that is out now alone.
    fn answered(&mut self, connection: Number, id: RequestId) -> Option<Out> {
        let out = self.out.get(&id);
        out.filter(|out| out.connection == connection)?;
        let out = self.out.remove(&id)?;
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.ended();
        }
        Some(out)
    }

    // ---- Pages ----

    fn more(&mut self, more: More) {
        let Some(pages) = self.pages.get_mut(&more.request) else {
            return;
        };
        if pages.number != more.number {
            return;
        }
        let connection = pages.connection;
        pages.waiting = Some((more.page, more.reply));
        if !self.command(connection, Command::More(more.request, more.page)) {
            self.pages.remove(&more.request);
        }
    }

    fn done(&mut self, id: RequestId, number: AttemptNo) {
        if self
            .pages
            .get(&id)
            .is_some_and(|pages| pages.number == number)
            && let Some(pages) = self.pages.remove(&id)
        {
            self.command(pages.connection, Command::Done(id));
        }
    }

    fn page(&mut self, id: RequestId, number: u32, rows: bytes::Bytes) {
        let Some(pages) = self.pages.get_mut(&id) else {
            return;
        };
        // A page that was not asked for is not passed on.
        if let Some((_, reply)) = pages.waiting.take_if(|(asked, _)| *asked == number) {
            let last = number + 1 >= pages.parts;
            let _ = reply.send(Page { rows, last });
        }
    }

    // ---- Answers ----

    async fn came(&mut self, number: Number, came: Came) {
        match came {
            Came::Up => {
                if let Some(connection) = self.connections.get_mut(&number) {
                    connection.up = true;
                }
                let here = self.out.values_mut().filter(|out| out.connection == number);
                here.for_each(|out| out.unwritten = false);
            }
            Came::Reply(reply) => self.reply(number, reply).await,
            Came::Down { unwritten } => self.down(number, &unwritten).await,
        }
    }

    async fn reply(&mut self, connection: Number, reply: Reply) {
        let id = match reply.about {
            About::Request(id) => id,
            About::Tag(tag) => return self.probed(tag, reply.word).await,
        };
        match reply.word {
            Word::Note(note) => {
                let out = self.out.get(&id).filter(|out| out.connection == connection);
                if let Some((out, note)) = out.zip(note) {
                    self.reports.tell(Report::Note(id, out.number, note)).await;
                }
            }
            Word::Rows { page, rows } => self.page(id, page, rows),
            Word::Ok {
                parts,
                work,
                load,
                rows,
            } => {
                let Some(out) = self.answered(connection, id) else {
                    // Called off meanwhile: nobody wants its pages.
                    self.command(connection, Command::Done(id));
                    return;
                };
                let last = parts <= 1;
                if !last {
                    let pages = Pages {
                        number: out.number,
                        connection,
                        parts,
                        waiting: None,
                    };
                    self.pages.insert(id, pages);
                }
                // Whole milliseconds, as the simulator's bill has them.
                let work = work.map(|work| Micros::from_millis(work as u64));
                let page = Page { rows, last };
                self.reports
                    .ended(id, out.number, End::Ok { page, work, load })
                    .await;
            }
            Word::Err if self.pages.contains_key(&id) => {
                // A page is lost: its reader sees the end of the channel.
                self.pages.remove(&id);
            }
            word => self.failed(connection, id, word).await,
        }
    }

    async fn failed(&mut self, connection: Number, id: RequestId, word: Word) {
        let end = match word {
            Word::Busy => End::Busy,
            Word::Void => End::Void,
            _ => End::Error,
        };
        if let Some(out) = self.answered(connection, id) {
            self.reports.ended(id, out.number, end).await;
        }
    }

    // ---- Connections ----

    async fn down(&mut self, number: Number, unwritten: &[RequestId]) {
        let was_up = self
            .connections
            .remove(&number)
            .is_some_and(|connection| connection.up);
        self.pages.retain(|_, pages| pages.connection != number);
        let here = self.out.extract_if(|_, out| out.connection == number);
        let lost: Vec<(RequestId, AttemptNo)> = here.map(|(id, out)| (id, out.number)).collect();
        for (id, attempt) in lost {
            let never = !was_up || unwritten.contains(&id);
            let end = if never {
                End::ConnectFailed
            } else {
                End::Reset
            };
            self.reports.ended(id, attempt, end).await;
        }
    }

    /// What waits for a connection to come up has not been written and is taken back.
    async fn nothing_new(&mut self) {
        let waiting = self.out.extract_if(|_, out| out.unwritten);
        let waiting: Vec<(RequestId, Out)> = waiting.collect();
        for (id, out) in waiting {
            self.connections.remove(&out.connection);
            self.reports.ended(id, out.number, End::ConnectFailed).await;
        }
    }

    async fn look(&mut self) {
        let now = Instant::now();
        let idle = duration(self.settings.idle).mul_f64(IDLE_PART);
        let paged: Vec<Number> = self.pages.values().map(|pages| pages.connection).collect();
        self.connections.retain(|number, connection| {
            let busy = connection.out > 0 || !connection.up || paged.contains(number);
            busy || now < connection.used + idle
        });
        let limit = duration(self.settings.connect_timeout);
        let late = self.probes.extract_if(|_, asked| now >= *asked + limit);
        for _ in late.collect::<Vec<_>>() {
            self.reports.tell(Report::Probed(Probe::Silent)).await;
        }
    }

    // ---- Probes ----

    async fn probe(&mut self) {
        self.next_probe += 1;
        let tag = self.next_probe;
        let connection = self.connection_for(None);
        if connection.is_some_and(|number| self.command(number, Command::Stats(tag))) {
            self.probes.insert(tag, Instant::now());
        } else {
            self.reports
                .tell(Report::Probed(Probe::ConnectFailed))
                .await;
        }
    }

    async fn probed(&mut self, tag: u64, word: Word) {
        if self.probes.remove(&tag).is_none() {
            return;
        }
        let probe = match word {
            Word::Up(load) => Probe::Up(load),
            _ => Probe::Down,
        };
        self.reports.tell(Report::Probed(probe)).await;
    }
}
