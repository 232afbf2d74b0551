//! The listeners of clients and of the administration.

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

/// The opening of a listener.
type Opening = BoxFuture<'static, io::Result<()>>;

/// A listener there. Beside another process of this dispatcher, that one's is waited for.
async fn bind(address: SocketAddr, wait_for_other: bool) -> io::Result<TcpListener> {
    loop {
        match listen(address).await {
            // It has been tried for a while, with pauses.
            Err(error) if wait_for_other && error.kind() == io::ErrorKind::AddrInUse => {}
            bound => return bound,
        }
    }
}

impl Program {
    /// Serves the fronts and the administration that the dispatcher's own file names. Where the clients' socket is passed
    /// another process may hold their addresses still: they come up once it lets them go.
    pub(super) async fn open_other_fronts(&self) -> io::Result<()> {
        let flight = self
            .config
            .flight_listen
            .map(|address| self.open_flight(address));
        let admin = self
            .config
            .admin_listen
            .map(|address| self.open_admin(address));
        for opening in flight.into_iter().chain(admin) {
            if !self.may_have_predecessor() {
                opening.await?;
                continue;
            }
            supervise::spawn_critical("a listener", async move {
                if let Err(error) = opening.await {
                    log::error!("a listener: {error}");
                }
            });
        }
        Ok(())
    }

    /// Another process of this dispatcher may still hold addresses of its listeners.
    fn may_have_predecessor(&self) -> bool {
        self.config.inherited_socket.is_some()
    }

    fn open_flight(&self, address: SocketAddr) -> Opening {
        let shared = FrontContext {
            router: self.worker_pool.router.clone(),
        };
        let front = flight::Front::new(shared, self.config.seed);
        let (worker_pool, end, alive) = (
            self.worker_pool.clone(),
            self.end.clone(),
            self.alive.downgrade(),
        );
        let (name, most) = (
            self.config.name.clone(),
            self.config.descriptor_budget.flight,
        );
        let wait_for_other = self.may_have_predecessor();
        Box::pin(async move {
            let listener = bind(address, wait_for_other).await?;
            let address = listener.local_addr()?;
            log::info!("{name} serves Flight SQL clients on {address}");
            // Without a session left the program is ending.
            if let Some(alive) = alive.upgrade() {
                serve_flight(listener, &worker_pool, &front, &end, &alive, most);
            }
            Ok(())
        })
    }

    fn open_admin(&self, address: SocketAddr) -> Opening {
        let (router, end) = (self.worker_pool.router.clone(), self.end.subscribe());
        let name = self.config.name.clone();
        let wait_for_other = self.may_have_predecessor();
        Box::pin(async move {
            let listener = bind(address, wait_for_other).await?;
            log::info!("{name} is administered on {}", listener.local_addr()?);
            supervise::spawn_critical("the administration", admin::serve(listener, router, end));
            Ok(())
        })
    }

    /// Accepts clients of the PostgreSQL protocol, as the drain allows; where, too.
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
        let began = self.clock.micros(Instant::now());
        let shared = FrontContext {
            router: self.worker_pool.router.clone(),
        };
        let sessions = Sessions {
            worker_pool: self.worker_pool.clone(),
            serving: pg::SessionContext {
                front_context: shared,
                max_message_bytes: config.max_message_bytes,
                lingering_closes: self.farewells.clone(),
            },
            drain_watcher: self.drain_manager.drain_watcher(),
            alive: self.alive.clone(),
            session_slots,
            // Two processes of one dispatcher may have one seed, and a client's cancel may come to either.
            last_key: sedgebeam_core::splitmix64(config.seed ^ sedgebeam_core::splitmix64(began.0)),
        };
        let newcomers_are_ours = config.inherited_socket.is_none();
        let accepting =
            sessions.accept(listener, self.drain_manager.subscribe(), newcomers_are_ours);
        Ok((supervise::spawn_critical("accepting", accepting), address))
    }
}
