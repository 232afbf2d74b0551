//! Opens the listeners of the client fronts and of the administration API.

use super::Program;
use super::flight::serve_flight;
use super::sessions::Sessions;
use crate::{admin, inherited_listener};
use futures::future::BoxFuture;
use sedgebeam_fronts::session_slots::SessionSlots;
use sedgebeam_fronts::{FrontContext, flight, pg};
use sedgebeam_port::supervise;
use sedgebeam_sockets::listen;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Opens one listener and starts serving it.
type OpenListener = BoxFuture<'static, io::Result<()>>;

/// Binds an address. With `wait_for_peer`, waits while a peer process still listens on it.
async fn bind(address: SocketAddr, wait_for_peer: bool) -> io::Result<TcpListener> {
    loop {
        match listen(address).await {
            // `listen` has retried with pauses before it returned this error.
            Err(error) if wait_for_peer && error.kind() == io::ErrorKind::AddrInUse => {}
            result => return result,
        }
    }
}

impl Program {
    /// Opens the Flight SQL front and the administration API where the dispatcher's own file names them. If the
    /// clients' socket is inherited, a peer process may still listen on these addresses: they are opened in the
    /// background, as soon as it releases them.
    pub(super) async fn open_other_fronts(&self) -> io::Result<()> {
        let flight_listener = self
            .config
            .flight_listen
            .map(|address| self.open_flight(address));
        let admin_listener = self
            .config
            .admin_listen
            .map(|address| self.open_admin(address));
        for open_listener in flight_listener.into_iter().chain(admin_listener) {
            if !self.may_have_peer() {
                open_listener.await?;
                continue;
            }
            supervise::spawn_critical("a listener", async move {
                if let Err(error) = open_listener.await {
                    log::error!("can't open a listener: {error}");
                }
            });
        }
        Ok(())
    }

    /// Whether there may be a peer process that still listens on the addresses of this one.
    fn may_have_peer(&self) -> bool {
        self.config.inherited_socket.is_some()
    }

    fn open_flight(&self, address: SocketAddr) -> OpenListener {
        let front_context = FrontContext {
            router: self.worker_pool.router.clone(),
        };
        let front = flight::Front::new(front_context, self.config.seed);
        let (worker_pool, stop, session_guard) = (
            self.worker_pool.clone(),
            self.listeners_stop.clone(),
            self.session_guard.downgrade(),
        );
        let (name, max_connections) = (
            self.config.name.clone(),
            self.config.descriptor_budget.flight,
        );
        let wait_for_peer = self.may_have_peer();
        Box::pin(async move {
            let listener = bind(address, wait_for_peer).await?;
            let address = listener.local_addr()?;
            log::info!("{name} serves Flight SQL clients on {address}");
            // Fails once all sessions have ended, as then the process is ending.
            if let Some(session_guard) = session_guard.upgrade() {
                serve_flight(
                    listener,
                    &worker_pool,
                    &front,
                    &stop,
                    &session_guard,
                    max_connections,
                );
            }
            Ok(())
        })
    }

    fn open_admin(&self, address: SocketAddr) -> OpenListener {
        let (router, stop) = (
            self.worker_pool.router.clone(),
            self.listeners_stop.subscribe(),
        );
        let name = self.config.name.clone();
        let wait_for_peer = self.may_have_peer();
        Box::pin(async move {
            let listener = bind(address, wait_for_peer).await?;
            log::info!("{name} is administered on {}", listener.local_addr()?);
            supervise::spawn_critical("the administration", admin::serve(listener, router, stop));
            Ok(())
        })
    }

    /// Starts to accept PostgreSQL clients as the drain state allows; returns the task that accepts and the listen address.
    pub(super) async fn accept_sessions(
        &self,
        session_slots: SessionSlots,
    ) -> io::Result<(JoinHandle<Option<()>>, SocketAddr)> {
        let config = &self.config;
        let listener = match config.inherited_socket {
            Some(descriptor) => TcpListener::from_std(inherited_listener::open(descriptor)?)?,
            None => listen(config.listen).await?,
        };
        let address = listener.local_addr()?;
        let started_at = self.clock.micros(Instant::now());
        let front_context = FrontContext {
            router: self.worker_pool.router.clone(),
        };
        let sessions = Sessions {
            worker_pool: self.worker_pool.clone(),
            session_context: pg::SessionContext {
                front_context,
                max_message_bytes: config.max_message_bytes,
                lingering_closes: self.lingering_closes.clone(),
            },
            drain_watcher: self.drain_manager.drain_watcher(),
            session_guard: self.session_guard.clone(),
            session_slots,
            // Two processes of one dispatcher may have the same seed, and a client's cancel request may reach either of
            // them; the start time keeps their keys apart.
            last_key: sedgebeam_core::splitmix64(
                config.seed ^ sedgebeam_core::splitmix64(started_at.0),
            ),
        };
        let owns_accept_queue = config.inherited_socket.is_none();
        let accept_loop =
            sessions.accept(listener, self.drain_manager.subscribe(), owns_accept_queue);
        Ok((supervise::spawn_critical("accepting", accept_loop), address))
    }
}
