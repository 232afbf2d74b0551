//! Starts the actors, accepts clients, and ends in order.

use crate::admin;
use crate::config::Config;
use crate::crew::Crew;
use crate::door;
use crate::duty::Duty;
use crate::passed;
use crate::reload::{Reload, Source};
use crate::roster;
use futures::StreamExt;
use sedgebeam_engines::Wires;
use sedgebeam_fronts::leave::Staying;
use sedgebeam_fronts::places::Places;
use sedgebeam_fronts::{Shared, flight, incoming, pg};
use sedgebeam_operation::{Drain, Figures, Newcomers, Orders};
use sedgebeam_port::clock::Clock;
use sedgebeam_port::{Asked, Listing, SessionKey, supervise};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::sleep;

/// Flight SQL clients at once.
const FLIGHT_CONNECTIONS: usize = 96;
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

/// Serves until told to end, and until all that was taken is answered.
pub async fn run(config: Config, source: Source, signals: Signals) -> io::Result<()> {
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
    if let Some(address) = config.control {
        let desk = door::Desk {
            duty: duty.clone(),
            figures: figures.clone(),
            clock,
        };
        let address = door::open(address, desk)?;
        log::info!("{} takes calls of operators on {address}", config.name);
    }
    supervise::vital("the drain", duty.clone().keep_time());
    let (connections, heeded) = watch::channel(config.connections);
    let world = Wires {
        connections: heeded,
        figures: figures.clone(),
    };
    let crew = Crew::start(&config, Arc::new(world), &figures, clock).await?;
    let crew = Arc::new(crew);
    let desk = crew.desk.clone();
    let saved = roster::fold(config.known.changes.clone());
    let told = desk.list(Listing::Saved, saved).await;
    told.map_err(|_| io::Error::other("the broker ended at once"))?;
    let (changelog, address) = watch::channel(config.changelog);
    let follow = roster::follow(address, config.known.seq, desk.clone());
    supervise::vital("the change log", follow);
    let (retired, news) = watch::channel(());
    let names = desk.clone();
    supervise::vital("names", async move { names.forget_names(news).await });
    let reload = Reload {
        source,
        running: config.file.clone(),
        desk: desk.clone(),
        changelog,
        connections,
        retired,
        figures,
    };
    supervise::vital("reloading", reload.at_hangup(hangup));
    let shared = Shared { desk: desk.clone() };
    let (end, _) = watch::channel(false);
    // Every session holds a sender; when the last is dropped, all have ended.
    let (alive, mut all_ended) = mpsc::channel::<()>(1);
    if let Some(address) = config.flight {
        let listener = TcpListener::bind(address).await?;
        log::info!(
            "{} serves Flight SQL clients on {}",
            config.name,
            listener.local_addr()?
        );
        let front = flight::Front::new(shared.clone(), config.seed);
        serve_flight(listener, &crew, &front, &end, &alive);
    }
    if let Some(address) = config.admin {
        let listener = TcpListener::bind(address).await?;
        log::info!(
            "{} is administered on {}",
            config.name,
            listener.local_addr()?
        );
        let serving = admin::serve(listener, shared.desk.clone(), end.subscribe());
        supervise::vital("the administration", serving);
    }
    let listener = match config.passed {
        Some(descriptor) => TcpListener::from_std(passed::listener(descriptor)?)?,
        None => TcpListener::bind(config.listen).await?,
    };
    let address = listener.local_addr()?;
    let sessions = Sessions {
        crew,
        shared,
        staying: duty.staying(),
        alive,
        places: Places::new(config.sessions),
        message: config.message,
        next: config.seed,
    };
    let accepting = supervise::vital("accepting", sessions.accept(listener, duty.subscribe()));
    // Once one has answered, the brokers have the list.
    let health = desk.ask(Asked::Health).await;
    health.map_err(|_| io::Error::other("the brokers ended at once"))?;
    duty.change(|drain, _| drain.prepared());
    log::info!("{} serves PostgreSQL clients on {address}", config.name);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("ending: last call");
    duty.change(Drain::end);
    // Accepting ends by itself then; sessions end when they are idle. The sender is held above.
    let _ = duty.subscribe().wait_for(|orders| orders.over).await;
    let _ = end.send(true);
    let _ = accepting.await;
    while all_ended.recv().await.is_some() {}
    log::info!("ended: all that was taken is answered");
    Ok(())
}

/// Serves Flight SQL clients until the end, and then what they have under way: on the program's own thread,
/// or on the workers, to which connections are handed over.
fn serve_flight(
    listener: TcpListener,
    crew: &Arc<Crew>,
    front: &flight::Front,
    end: &watch::Sender<bool>,
    alive: &mpsc::Sender<()>,
) {
    let accepted = incoming::accepted(listener, FLIGHT_CONNECTIONS);
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
        let (hand_over, taken) = mpsc::channel(FLIGHT_CONNECTIONS);
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
    shared: Shared,
    staying: Staying,
    alive: mpsc::Sender<()>,
    places: Places,
    message: usize,
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
                    log::debug!("turned away: draining");
                    pg::turn_away(&stream, pg::Away::Draining);
                }
                Ok((stream, _)) => self.start(stream).await,
                Err(error) => {
                    log::warn!("accepting: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn start(&mut self, stream: TcpStream) {
        let Some((place, gave_way)) = self.places.take() else {
            log::debug!("all sessions are busy: a connection is turned away");
            pg::turn_away(&stream, pg::Away::NoPlace);
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
        let (shared, key) = (self.shared.clone(), SessionKey(self.next));
        let leave = self
            .staying
            .newcomer(sedgebeam_core::mix(key.0) as f64 / u64::MAX as f64);
        let message = self.message;
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
                Ok(stream) => pg::serve(stream, shared, key, leave, place, message).await,
                Err(error) => log::warn!("a session is not handed over: {error}"),
            }
            drop((alive, counted));
        };
        worker.watch("a session", task);
    }
}
