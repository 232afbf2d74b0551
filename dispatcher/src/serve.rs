//! Starts the actors, accepts clients, and ends in order.

use crate::admin;
use crate::beside::{self, Folder, Others, Own};
use crate::config::Config;
use crate::crew::Crew;
use crate::door;
use crate::duty::Duty;
use crate::passed;
use crate::reload::{Reload, Source};
use crate::roster::{self, Reached};
use futures::StreamExt;
use futures::future::BoxFuture;
use sedgebeam_engines::{Slots, Wires};
use sedgebeam_fronts::leave::Staying;
use sedgebeam_fronts::places::Places;
use sedgebeam_fronts::{Shared, flight, incoming, pg};
use sedgebeam_handover::Share;
use sedgebeam_operation::{Drain, Figures, Newcomers, Orders};
use sedgebeam_port::clock::{Clock, duration};
use sedgebeam_port::{Asked, Desk, Listing, SessionKey, supervise};
use sedgebeam_roster::Pauses;
use sedgebeam_settings::Connections;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::{JoinHandle, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// On the platform SIGKILL comes the longest deadline after SIGTERM, at most this, and 0.7 s more where another process
/// takes over; what is open then is answered a little before.
const LONGEST_END: Duration = Duration::from_secs(5);
const ANSWERS_LATER: Duration = Duration::from_millis(500);
/// A process that begins beside another waits so long for the change log: it has to serve within six seconds.
const CATCH_UP: Duration = Duration::from_secs(2);
/// A process takes at least this part of the sessions of one dispatcher, whatever another has.
const LEAST_PART: usize = 8;
/// Time between two tries for an address that another process has.
const BIND_AGAIN: Duration = Duration::from_millis(100);
/// Calls that one Flight SQL client may have under way.
const FLIGHT_CALLS: usize = 128;
/// A Flight SQL client that answers no ping for as long again has gone.
const FLIGHT_ALIVE: Duration = Duration::from_secs(10);
/// A pause after an accept that failed, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The signals that the program heeds.
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Heeds them from here on: one that comes before would end the program, whatever it has taken.
    pub fn heed() -> io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

/// This process beside others of its dispatcher, and what the one that serves has told.
pub struct Beside {
    pub folder: Folder,
    pub handed: Option<Share>,
}

/// What the parts of a running program have in common.
struct Program {
    config: Config,
    duty: Duty,
    clock: Clock,
    crew: Arc<Crew>,
    /// For connections that are closed without a place.
    farewells: Arc<Semaphore>,
    /// Hears once the last call is over.
    end: watch::Sender<bool>,
    /// Every session holds one; when the last is dropped, all have ended.
    alive: mpsc::Sender<()>,
}

/// Serves until told to end, and until all that was taken is answered.
pub async fn run(
    config: Config,
    source: Source,
    signals: Signals,
    beside: Option<Beside>,
) -> io::Result<()> {
    let Signals {
        hangup,
        mut terminate,
        mut interrupt,
    } = signals;
    let (duty, figures) = (Duty::new(config.passed.is_some()), Figures::default());
    let clock = Clock::start();
    for class in &config.names.classes {
        figures.class(class);
    }
    let farewells = Arc::new(Semaphore::new(config.descriptors.farewells));
    open_door(&config, &duty, &figures, clock, &farewells)?;
    supervise::vital("the drain", duty.clone().keep_time());
    let (whole, told) = watch::channel(config.connections);
    let (divided, heeded) = watch::channel(config.connections);
    let world = Wires {
        connections: heeded,
        figures: figures.clone(),
        slots: Slots::default(),
    };
    let crew = Arc::new(Crew::start(&config, Arc::new(world), &figures, clock).await?);
    let desk = crew.desk.clone();
    let (folder, handed) = match beside {
        Some(beside) => (Some(beside.folder), beside.handed),
        None => (None, None),
    };
    let seq = begin(&config, &desk, handed).await?;
    let (changelog, address) = watch::channel(config.changelog);
    let (reached, heard) = watch::channel(Reached {
        seq,
        caught_up: false,
    });
    let pauses = Pauses::new(config.settings.gateways, config.seed);
    supervise::vital(
        "the change log",
        roster::follow(address, reached, desk.clone(), pauses),
    );
    let (retired, news) = watch::channel(());
    let names = desk.clone();
    supervise::vital("names", async move { names.forget_names(news).await });
    let (in_use, file) = watch::channel(config.text.as_str().into());
    let reload = Reload {
        source,
        running: config.file.clone(),
        desk: desk.clone(),
        changelog,
        connections: whole,
        in_use,
        retired,
        figures,
    };
    supervise::vital("reloading", reload.at_hangup(hangup));
    let (alive, mut all_ended) = mpsc::channel::<()>(1);
    let program = Program {
        duty: duty.clone(),
        clock,
        crew,
        farewells,
        end: watch::channel(false).0,
        alive,
        config,
    };
    let places = Places::new(program.config.descriptors.sessions);
    let alone = Others {
        parts: 1,
        sessions: 0,
    };
    let (left, others) = watch::channel(alone);
    let limits = Limits {
        sessions: program.config.descriptors.sessions,
        places: places.clone(),
        whole: told,
        divided,
    };
    supervise::vital("limits", limits.divide(others));
    if let Some(folder) = folder {
        let own = Own {
            desk: desk.clone(),
            places: places.clone(),
            orders: duty.subscribe(),
            reached: heard.clone(),
            file,
        };
        supervise::vital("other processes", beside::keep(folder, own, left));
    }
    program.serve_others().await?;
    let (accepting, address) = program.accept(places).await?;
    program.prepare(heard).await?;
    log::info!(
        "{} serves PostgreSQL clients on {address}",
        program.config.name
    );
    let (end, longest) = (program.end.clone(), program.longest_deadline());
    let passed = program.config.passed.is_some();
    drop(program);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    // Said once it holds: whoever reads it may ask at the door at once.
    duty.change(Drain::end);
    log::info!("ending: last call");
    let last_answers = Instant::now() + longest.min(LONGEST_END) + ANSWERS_LATER;
    // Accepting ends by itself then; sessions end when they are idle. The sender is held above.
    let _ = duty.subscribe().wait_for(|orders| orders.over).await;
    let _ = end.send(true);
    let _ = accepting.await;
    let ended = async { while all_ended.recv().await.is_some() {} };
    let mut ended = std::pin::pin!(ended);
    tokio::select! {
        () = &mut ended => {}
        // Where another process goes on, this one is killed before its longest requests end.
        () = sleep_until(last_answers), if passed => {
            log::info!("the last moment: all that is open is answered");
            desk.last_call().await;
            ended.await;
        }
    }
    log::info!("ended: all that was taken is answered");
    Ok(())
}

fn open_door(
    config: &Config,
    duty: &Duty,
    figures: &Figures,
    clock: Clock,
    farewells: &Arc<Semaphore>,
) -> io::Result<()> {
    let Some(address) = config.control else {
        return Ok(());
    };
    let desk = door::Desk {
        duty: duty.clone(),
        figures: figures.clone(),
        clock,
        callers: config.descriptors.callers,
        farewells: farewells.clone(),
    };
    let address = door::open(address, desk)?;
    log::info!("{} takes calls of operators on {address}", config.name);
    Ok(())
}

/// Has the brokers begin with the list of the file, or with what another process has told where that is newer;
/// the change log's number that goes with it.
async fn begin(config: &Config, desk: &Desk, handed: Option<Share>) -> io::Result<u64> {
    let ended = |_| io::Error::other("the broker ended at once");
    let saved = roster::fold(config.known.changes.clone());
    desk.list(Listing::Saved, saved).await.map_err(ended)?;
    let Some(Share { stated, held }) = handed else {
        return Ok(config.known.seq);
    };
    let seq = stated.seq.max(config.known.seq);
    if stated.seq > config.known.seq {
        let told = desk.list(Listing::Complete, stated.targets).await;
        told.map_err(ended)?;
    }
    desk.take_over(held).await;
    beside::set_again(desk, stated.drained, stated.tenants).await;
    log::info!("begun with what the process before it knew, up to change {seq}");
    Ok(seq)
}

/// What of the limits of one dispatcher is this process's.
struct Limits {
    sessions: usize,
    places: Places,
    whole: watch::Receiver<Connections>,
    divided: watch::Sender<Connections>,
}

impl Limits {
    /// Divides them whenever they change, or others do; for ever. Connections to engines are divided evenly. What
    /// sessions the other process has are its own: none of them is closed for being one too many, as a request may
    /// be on its way to it.
    async fn divide(mut self, mut others: watch::Receiver<Others>) {
        loop {
            let (whole, beside) = (*self.whole.borrow_and_update(), *others.borrow_and_update());
            self.divided.send_replace(Connections {
                most: (whole.most / beside.parts).max(1),
                in_all: (whole.in_all / beside.parts).max(1),
                ..whole
            });
            let left = self.sessions.saturating_sub(beside.sessions);
            self.places.limit(left.max(self.sessions / LEAST_PART));
            let changed = tokio::select! {
                changed = self.whole.changed() => changed,
                // Where nobody looks for others there are none.
                changed = others.changed() => match changed {
                    Err(_) => self.whole.changed().await,
                    changed => changed,
                },
            };
            if changed.is_err() {
                return;
            }
        }
    }
}

/// A listener there. Beside another process of this dispatcher, that one's is waited for.
async fn bind(address: SocketAddr, patient: bool) -> io::Result<TcpListener> {
    loop {
        match TcpListener::bind(address).await {
            Err(error) if patient && error.kind() == io::ErrorKind::AddrInUse => {
                sleep(BIND_AGAIN).await;
            }
            bound => return bound,
        }
    }
}

impl Program {
    /// Serves the fronts and the administration that the dispatcher's own file names. Where the clients' socket is passed
    /// another process may hold their addresses still: they come up once it lets them go.
    async fn serve_others(&self) -> io::Result<()> {
        let patient = self.config.passed.is_some();
        let mut comings: Vec<BoxFuture<'static, io::Result<()>>> = Vec::new();
        if let Some(address) = self.config.flight {
            let front = flight::Front::new(
                Shared {
                    desk: self.crew.desk.clone(),
                },
                self.config.seed,
            );
            let (crew, end, alive) = (self.crew.clone(), self.end.clone(), self.alive.downgrade());
            let (name, most) = (self.config.name.clone(), self.config.descriptors.flight);
            comings.push(Box::pin(async move {
                let listener = bind(address, patient).await?;
                log::info!(
                    "{name} serves Flight SQL clients on {}",
                    listener.local_addr()?
                );
                // Without a session left the program is ending.
                if let Some(alive) = alive.upgrade() {
                    serve_flight(listener, &crew, &front, &end, &alive, most);
                }
                Ok(())
            }));
        }
        if let Some(address) = self.config.admin {
            let (desk, end) = (self.crew.desk.clone(), self.end.subscribe());
            let name = self.config.name.clone();
            comings.push(Box::pin(async move {
                let listener = bind(address, patient).await?;
                log::info!("{name} is administered on {}", listener.local_addr()?);
                supervise::vital("the administration", admin::serve(listener, desk, end));
                Ok(())
            }));
        }
        for coming in comings {
            if !patient {
                coming.await?;
                continue;
            }
            supervise::vital("a listener", async move {
                if let Err(error) = coming.await {
                    log::error!("a listener: {error}");
                }
            });
        }
        Ok(())
    }

    /// Accepts clients of the PostgreSQL protocol, as the drain allows; where, too.
    async fn accept(&self, places: Places) -> io::Result<(JoinHandle<Option<()>>, SocketAddr)> {
        let config = &self.config;
        let listener = match config.passed {
            Some(descriptor) => TcpListener::from_std(passed::listener(descriptor)?)?,
            None => TcpListener::bind(config.listen).await?,
        };
        let address = listener.local_addr()?;
        let began = self.clock.micros(Instant::now());
        let sessions = Sessions {
            crew: self.crew.clone(),
            serving: pg::Serving {
                shared: Shared {
                    desk: self.crew.desk.clone(),
                },
                longest: config.message,
                farewells: self.farewells.clone(),
            },
            staying: self.duty.staying(),
            alive: self.alive.clone(),
            places,
            // Two processes of one dispatcher may have one seed, and a client's cancel may come to either.
            next: sedgebeam_core::mix(config.seed ^ sedgebeam_core::mix(began.0)),
        };
        let accepting = sessions.accept(listener, self.duty.subscribe());
        Ok((supervise::vital("accepting", accepting), address))
    }

    /// Waits until the list and the engines are there, and says so.
    async fn prepare(&self, mut heard: watch::Receiver<Reached>) -> io::Result<()> {
        if self.config.passed.is_some() && self.config.changelog.is_some() {
            let caught_up = heard.wait_for(|reached| reached.caught_up);
            if timeout(CATCH_UP, caught_up).await.is_err() {
                log::warn!("the change log says nothing: beginning with the list known");
            }
        }
        // Once one has answered, the brokers have the list.
        let health = self.crew.desk.ask(Asked::Health).await;
        health.map_err(|_| io::Error::other("the brokers ended at once"))?;
        self.duty.change(|drain, _| drain.prepared());
        Ok(())
    }

    fn longest_deadline(&self) -> Duration {
        let classes = self.config.settings.classes.iter();
        let longest = classes.map(|class| class.give_up).max();
        duration(longest.unwrap_or_default())
    }
}

/// Serves Flight SQL clients until the end, and then what they have under way: on the program's own thread,
/// or on the workers, to which connections are handed over.
fn serve_flight(
    listener: TcpListener,
    crew: &Arc<Crew>,
    front: &flight::Front,
    end: &watch::Sender<bool>,
    alive: &mpsc::Sender<()>,
    most: usize,
) {
    let accepted = incoming::accepted(listener, most);
    if !crew.is_several() {
        let alive = alive.clone();
        let serving = flight_server(incoming::placed(accepted), front.clone(), end.subscribe());
        supervise::vital("the Flight SQL front", async move {
            serving.await;
            drop(alive);
        });
        return;
    }
    let mut workers = Vec::new();
    for worker in crew.workers() {
        let (hand_over, taken) = mpsc::channel(most);
        let taken = incoming::taken_over(taken);
        let (serving, alive) = (
            flight_server(taken, front.clone(), end.subscribe()),
            alive.clone(),
        );
        worker.watch("the Flight SQL front of a worker", async move {
            serving.await;
            drop(alive);
        });
        workers.push(hand_over);
    }
    let (crew, mut end) = (crew.clone(), end.subscribe());
    supervise::vital("accepting Flight SQL clients", async move {
        let mut accepted = std::pin::pin!(accepted);
        loop {
            let next = tokio::select! {
                next = accepted.next() => next,
                _ = end.wait_for(|end| *end) => None,
            };
            let Some(connection) = next else { return };
            let (place, _) = crew.place();
            let handed = match incoming::HandedOver::new(connection) {
                Ok(handed) => workers[place].try_send(handed).map_err(io::Error::other),
                Err(error) => Err(error),
            };
            if let Err(error) = handed {
                log::warn!("a Flight SQL client is not handed over: {error}");
            }
        }
    });
}

/// Serves these connections until the end.
async fn flight_server(
    connections: impl futures::Stream<Item = io::Result<incoming::Placed>> + Send + 'static,
    front: flight::Front,
    mut end: watch::Receiver<bool>,
) {
    let served = tonic::transport::Server::builder()
        .concurrency_limit_per_connection(FLIGHT_CALLS)
        .http2_keepalive_interval(Some(FLIGHT_ALIVE))
        .add_service(front.service())
        .serve_with_incoming_shutdown(connections, async move {
            // A sender that is gone has ended too.
            let _ = end.wait_for(|end| *end).await;
        });
    if let Err(error) = served.await {
        log::error!("the Flight SQL front: {error}");
    }
}

struct Sessions {
    crew: Arc<Crew>,
    serving: pg::Serving,
    staying: Staying,
    alive: mpsc::Sender<()>,
    places: Places,
    next: u64,
}

impl Sessions {
    async fn accept(mut self, listener: TcpListener, mut orders: watch::Receiver<Orders>) {
        loop {
            let Orders {
                newcomers, over, ..
            } = *orders.borrow_and_update();
            if over {
                return;
            }
            let accepted = tokio::select! {
                biased;
                changed = orders.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return,
                },
                accepted = listener.accept(), if newcomers != Newcomers::Left => accepted,
            };
            match accepted {
                Ok((stream, _)) if newcomers == Newcomers::TurnedAway => {
                    self.turn_away(stream, pg::Away::Draining);
                }
                Ok((stream, _)) => self.start(stream).await,
                Err(error) => {
                    log::warn!("accepting: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Refuses a connection with a word; where too many are being refused already, without one.
    fn turn_away(&self, stream: TcpStream, why: pg::Away) {
        let Some(farewell) = self.serving.farewell() else {
            return;
        };
        let shared = self.serving.shared.clone();
        supervise::watch(
            "a farewell".to_string(),
            async move {
                pg::turn_away(stream, &shared, why).await;
                drop(farewell);
            },
            || {},
        );
    }

    async fn start(&mut self, stream: TcpStream) {
        let Some((place, gave_way)) = self.places.take() else {
            log::debug!("all sessions are busy: a connection is turned away");
            self.turn_away(stream, pg::Away::NoPlace);
            return;
        };
        if gave_way {
            // Whoever gave way lets its descriptor go before the next one is accepted.
            yield_now().await;
        }
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("a connection ended at once: {error}");
            return;
        }
        self.next = self.next.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let (serving, key) = (self.serving.clone(), SessionKey(self.next));
        let leave = self
            .staying
            .newcomer(sedgebeam_core::mix(key.0) as f64 / u64::MAX as f64);
        let alive = self.alive.clone();
        let (several, (_, worker)) = (self.crew.is_several(), self.crew.place());
        let counted = worker.count();
        let task = async move {
            // It is served where it is read: its socket's events must come on its worker's thread.
            let stream = if several {
                stream.into_std().and_then(TcpStream::from_std)
            } else {
                Ok(stream)
            };
            match stream {
                Ok(stream) => pg::serve(stream, serving, key, leave, place).await,
                Err(error) => log::warn!("a session is not handed over: {error}"),
            }
            drop((alive, counted));
        };
        worker.watch("a session", task);
    }
}
