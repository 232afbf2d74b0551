//! Starts the actors, accepts clients, and ends in order.

use crate::admin;
use crate::config::Config;
use crate::reload::{self, Source};
use crate::roster;
use sedgebeam_broker as broker;
use sedgebeam_engines::Wires;
use sedgebeam_fronts::places::Places;
use sedgebeam_fronts::{Shared, flight, incoming, pg};
use sedgebeam_port::clock::Clock;
use sedgebeam_port::{Listing, SessionKey, ToBroker, supervise};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

/// For so long after SIGTERM connections and requests go on coming, with some to spare.
const LAST_CALL: Duration = Duration::from_millis(700);
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
    let (broker, mailbox, incoming) = broker::new(broker::Setup {
        settings: config.settings.clone(),
        names: config.names.clone(),
        most_open: config.connections.max_open,
        seed: config.seed,
        clock: Clock::start(),
        world: Arc::new(Wires {
            connections: config.connections,
        }),
    });
    supervise::vital("the broker", broker.run(incoming));
    let saved = ToBroker::List(Listing::Saved, roster::fold(config.known.changes.clone()));
    mailbox.send(saved).await.map_err(io::Error::other)?;
    let (changelog, address) = watch::channel(config.changelog);
    let follow = roster::follow(address, config.known.seq, mailbox.clone());
    supervise::vital("the change log", follow);
    let reloading = reload::at_hangup(hangup, source, changelog);
    supervise::vital("reloading", reloading);
    let shared = Shared {
        broker: mailbox,
        names: Arc::new(config.names.clone()),
    };
    let (end, ending) = watch::channel(false);
    // Every session holds a sender; when the last is dropped, all have ended.
    let (alive, mut all_ended) = mpsc::channel::<()>(1);
    if let Some(address) = config.flight {
        let listener = TcpListener::bind(address).await?;
        log::info!(
            "{} serves Flight SQL clients on {}",
            config.name,
            listener.local_addr()?
        );
        let serving = serve_flight(listener, shared.clone(), config.seed, end.subscribe());
        let alive = alive.clone();
        supervise::vital("the Flight SQL front", async move {
            let served = serving.await;
            drop(alive);
            served
        });
    }
    if let Some(address) = config.admin {
        let listener = TcpListener::bind(address).await?;
        log::info!(
            "{} is administered on {}",
            config.name,
            listener.local_addr()?
        );
        let serving = admin::serve(listener, shared.broker.clone(), end.subscribe());
        supervise::vital("the administration", serving);
    }
    let listener = TcpListener::bind(config.listen).await?;
    log::info!(
        "{} serves PostgreSQL clients on {}",
        config.name,
        listener.local_addr()?
    );
    let sessions = Sessions {
        shared,
        ending,
        alive,
        places: Places::new(config.sessions),
        message: config.message,
        next: config.seed,
    };
    let accepting = supervise::vital("accepting", sessions.accept(listener, end.subscribe()));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("ending: last call");
    sleep_until(Instant::now() + LAST_CALL).await;
    // Accepting has ended by itself once this is sent; sessions end when they are idle.
    let _ = end.send(true);
    let _ = accepting.await;
    while all_ended.recv().await.is_some() {}
    log::info!("ended: all that was taken is answered");
    Ok(())
}

/// Serves Flight SQL clients until the end, and then what they have under way.
async fn serve_flight(
    listener: TcpListener,
    shared: Shared,
    seed: u64,
    mut end: watch::Receiver<bool>,
) {
    let served = tonic::transport::Server::builder()
        .concurrency_limit_per_connection(FLIGHT_CALLS)
        .http2_keepalive_interval(Some(FLIGHT_ALIVE))
        .add_service(flight::service(shared, seed))
        .serve_with_incoming_shutdown(incoming::places(listener, FLIGHT_CONNECTIONS), async move {
            // A sender that is gone has ended too.
            let _ = end.wait_for(|end| *end).await;
        });
    if let Err(error) = served.await {
        log::error!("the Flight SQL front: {error}");
    }
}

struct Sessions {
    shared: Shared,
    ending: watch::Receiver<bool>,
    alive: mpsc::Sender<()>,
    places: Places,
    message: usize,
    next: u64,
}

impl Sessions {
    async fn accept(mut self, listener: TcpListener, mut end: watch::Receiver<bool>) {
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = end.wait_for(|end| *end) => return,
            };
            match accepted {
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
            pg::turn_away(&stream);
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
        let session = pg::serve(
            stream,
            self.shared.clone(),
            SessionKey(self.next),
            self.ending.clone(),
            place,
            self.message,
        );
        let alive = self.alive.clone();
        let task = async move {
            session.await;
            drop(alive);
        };
        supervise::watch("a session".to_string(), task, || {});
    }
}
