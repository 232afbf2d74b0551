//! An upgrade: the platform holds the clients' listening socket and starts the command once more; when the new process
//! says that it is ready, the old one gets SIGTERM.

use super::{CannotRun, Context};
use crate::change_log::ChangeLog;
use crate::dispatcher::{Folder, Process, control, free_address, wait_until};
use crate::resp_engine::Engine;
use crate::settings::{Variant, first_event, settings};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

pub struct Platform {
    pub address: SocketAddr,
    pub engines: Vec<Engine>,
    socket: TcpListener,
    // Dropped before the folder, which holds their logs.
    processes: Vec<Process>,
    folder: Folder,
    _log: ChangeLog,
}

fn is_ready(control_address: SocketAddr) -> bool {
    control(control_address, "PING").is_some_and(|answer| answer.starts_with("200"))
}

impl Platform {
    /// Starts engines, a change log and the first process of the dispatcher.
    pub fn start(context: &Context, name: &str, variant: Variant) -> Result<Platform, CannotRun> {
        let engines: Vec<Engine> = ["s-00000001", "s-00000002"]
            .map(|uid| Engine::start(uid, &context.record))
            .to_vec();
        let listed: Vec<(&str, String)> = engines
            .iter()
            .map(|engine| (engine.name.as_str(), engine.address.to_string()))
            .collect();
        let log = ChangeLog::start(first_event(&listed));
        let socket = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = socket.local_addr().map_err(|error| error.to_string())?;
        let folder = Folder::create(name);
        let control_address = free_address();
        folder.configure(
            address,
            Some(control_address),
            log.address,
            &log.known(),
            &settings(variant),
        );
        let mut platform = Platform {
            address,
            engines,
            socket,
            folder,
            processes: Vec::new(),
            _log: log,
        };
        platform.start_process(context, "old process", control_address)?;
        Ok(platform)
    }

    fn start_process(
        &mut self,
        context: &Context,
        name: &str,
        control_address: SocketAddr,
    ) -> Result<(), CannotRun> {
        let process = Process::dispatcher(
            name,
            &context.root,
            &self.folder,
            self.address,
            Some(control_address),
            Some(&self.socket),
            &context.record,
        );
        self.processes.push(process);
        if !wait_until(Duration::from_secs(6), || is_ready(control_address)) {
            return Err(format!("the {name} is not ready within 6 s"));
        }
        context
            .record
            .line(&format!("{name}: says that it is ready"));
        Ok(())
    }

    /// Starts the new process and, once it is ready, sends the old one SIGTERM.
    pub fn upgrade(&mut self, context: &Context) -> Result<(), CannotRun> {
        self.start_process(context, "new process", free_address())?;
        self.processes[0].signal("TERM");
        Ok(())
    }

    /// Waits for the end of the old process, which gets SIGKILL 5.7 s after SIGTERM at the earliest.
    pub fn wait_for_old(&mut self) {
        if !self.processes[0].wait(Duration::from_millis(5700)) {
            self.processes[0].signal("KILL");
        }
    }
}
