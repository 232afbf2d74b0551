//! New configurations while the program runs: SIGHUP has the files read again.
//!
//! A file is taken whole or not at all. What it changes are the settings and the address of the change log;
//! every other key takes a restart.

use crate::config::{self, Config, Environment, Wrong, wrong};
use miniserde::json::{self, Value};
use sedgebeam_operation::Metrics;
use sedgebeam_port::RequestRouter;
use sedgebeam_reconfigure::{MAX_TABLE_ENTRIES, completeness};
use sedgebeam_settings::ConnectionSettings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

/// A file that is bad may be half written still: it is read again so often, at this distance.
const TRIES: u32 = 4;
/// What is counted of it must show within half a second.
const BETWEEN: Duration = Duration::from_millis(100);
/// The list so far is news of its own, and need not be of the form that it had.
const SKIPPED: [&str; 1] = ["known"];

/// Where the configuration is read from, now and later.
pub struct Source {
    pub environment: Environment,
    pub own: Option<PathBuf>,
}

impl Source {
    pub fn load(&self) -> Result<Config, Wrong> {
        config::load(&self.environment, self.own.as_deref())
    }

    /// The same at a start beside a process that has a file in use: what it would turn down is not begun with.
    pub fn load_beside(&self, in_use: &str) -> Result<Config, Wrong> {
        let running: Option<Value> = json::from_str(in_use).ok();
        let lacks = |config: &Config| {
            let running = running.as_ref();
            running.and_then(|running| {
                completeness::first_missing_key(running, &config.file, &SKIPPED)
            })
        };
        let why = match self.load() {
            Ok(config) => match lacks(&config) {
                None => return Ok(config),
                Some(key) => wrong(&key, "missing"),
            },
            Err(wrong) => wrong,
        };
        log::warn!("beginning with the configuration in use: {why}");
        config::load_text(&self.environment, in_use.to_string(), self.own.as_deref())
    }
}

/// What hears of a new configuration.
pub struct Reload {
    pub source: Source,
    /// The platform's file that was last taken.
    pub running: Value,
    pub desk: RequestRouter,
    pub changelog: watch::Sender<Option<SocketAddr>>,
    pub connections: watch::Sender<ConnectionSettings>,
    /// The text of the file that is in use.
    pub in_use: watch::Sender<Arc<str>>,
    /// Classes may have been retired.
    pub retired: watch::Sender<()>,
    pub figures: Metrics,
}

impl Reload {
    /// Reads the configuration again at each hangup, for ever.
    pub async fn at_hangup(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            let mut attempt = 1;
            while let Err(wrong) = self.read().await {
                log::warn!("the running configuration is kept ({attempt} of {TRIES}): {wrong}");
                if attempt == TRIES {
                    self.figures.count_reload(false);
                    break;
                }
                attempt += 1;
                tokio::select! {
                    // This hangup reads a newer file; the one before is not waited for any longer.
                    again = hangup.recv() => {
                        if again.is_none() {
                            return;
                        }
                        self.figures.count_reload(false);
                        attempt = 1;
                    }
                    () = sleep(BETWEEN) => {}
                }
            }
        }
    }

    /// Reads the files, and takes them where nothing is wrong with them.
    async fn read(&mut self) -> Result<(), Wrong> {
        let config = self.source.load()?;
        if let Some(key) = completeness::first_missing_key(&self.running, &config.file, &SKIPPED) {
            return Err(wrong(
                &key,
                "it is there in the running configuration, and missing now",
            ));
        }
        if !self.desk.reconfigure(&config.tuning()).await {
            let why = format!("there are more than {MAX_TABLE_ENTRIES}, with those that end");
            return Err(wrong("settings.services or settings.tenants", why));
        }
        self.figures.count_reload(true);
        self.retired.send_replace(());
        self.connections.send_replace(config.connections);
        let moved = self.changelog.send_if_modified(|address| {
            std::mem::replace(address, config.changelog) != config.changelog
        });
        match (moved, config.changelog) {
            (false, _) => log::info!("the configuration was read again and taken"),
            (true, Some(address)) => {
                log::info!("taken; the change log is at {address} from now on")
            }
            (true, None) => log::info!("taken; there is no change log from now on"),
        }
        self.running = config.file;
        self.in_use.send_replace(config.text.into());
        Ok(())
    }
}
