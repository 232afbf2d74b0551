//! New configurations while the program runs: SIGHUP has the files read again.
//!
//! A file is taken whole or not at all. What it changes are the settings and the address of the change log;
//! every other key takes a restart.

use crate::config::{self, Config, ConfigError, Environment, config_error};
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
pub struct ConfigSource {
    pub environment: Environment,
    pub own_config_path: Option<PathBuf>,
}

impl ConfigSource {
    pub fn load(&self) -> Result<Config, ConfigError> {
        config::load(&self.environment, self.own_config_path.as_deref())
    }

    /// The same at a start beside a process that has a file in use: what it would turn down is not begun with.
    pub fn load_for_upgrade(&self, in_use: &str) -> Result<Config, ConfigError> {
        let running: Option<Value> = json::from_str(in_use).ok();
        let lacks = |config: &Config| {
            let running = running.as_ref();
            running.and_then(|running| {
                completeness::first_missing_key(running, &config.platform_config, &SKIPPED)
            })
        };
        let why = match self.load() {
            Ok(config) => match lacks(&config) {
                None => return Ok(config),
                Some(key) => config_error(&key, "missing"),
            },
            Err(wrong) => wrong,
        };
        log::warn!("beginning with the configuration in use: {why}");
        config::load_from_text(
            &self.environment,
            in_use.to_string(),
            self.own_config_path.as_deref(),
        )
    }
}

/// What hears of a new configuration.
pub struct ConfigReloader {
    pub source: ConfigSource,
    /// The platform's file that was last taken.
    pub applied_config: Value,
    pub router: RequestRouter,
    pub change_log_address: watch::Sender<Option<SocketAddr>>,
    pub connection_limits: watch::Sender<ConnectionSettings>,
    /// The text of the file that is in use.
    pub applied_config_text: watch::Sender<Arc<str>>,
    /// Classes may have been retired.
    pub names_retired: watch::Sender<()>,
    pub metrics: Metrics,
}

impl ConfigReloader {
    /// Reads the configuration again at each hangup, for ever.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            let mut attempt = 1;
            while let Err(wrong) = self.read().await {
                log::warn!("the running configuration is kept ({attempt} of {TRIES}): {wrong}");
                if attempt == TRIES {
                    self.metrics.count_reload(false);
                    break;
                }
                attempt += 1;
                tokio::select! {
                                   // This hangup reads a newer file; the one before is not waited for any longer.
                                   again = hangup.recv() => {
                                       if again.is_none() {
                                           return;
                                       }
                self.metrics.count_reload(false);
                                       attempt = 1;
                                   }
                                   () = sleep(BETWEEN) => {}
                               }
            }
        }
    }

    /// Reads the files, and takes them where nothing is wrong with them.
    async fn read(&mut self) -> Result<(), ConfigError> {
        let config = self.source.load()?;
        if let Some(key) =
            completeness::first_missing_key(&self.applied_config, &config.platform_config, &SKIPPED)
        {
            return Err(config_error(
                &key,
                "it is there in the running configuration, and missing now",
            ));
        }
        if !self.router.reconfigure(&config.runtime_settings()).await {
            let why = format!("there are more than {MAX_TABLE_ENTRIES}, with those that end");
            return Err(config_error("settings.services or settings.tenants", why));
        }
        self.metrics.count_reload(true);
        self.names_retired.send_replace(());
        self.connection_limits
            .send_replace(config.connection_limits);
        let moved = self.change_log_address.send_if_modified(|address| {
            std::mem::replace(address, config.change_log_address) != config.change_log_address
        });
        match (moved, config.change_log_address) {
            (false, _) => log::info!("the configuration was read again and taken"),
            (true, Some(address)) => {
                log::info!("taken; the change log is at {address} from now on")
            }
            (true, None) => log::info!("taken; there is no change log from now on"),
        }
        self.applied_config = config.platform_config;
        self.applied_config_text
            .send_replace(config.platform_config_text.into());
        Ok(())
    }
}
