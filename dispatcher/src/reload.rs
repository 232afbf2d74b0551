//! Configuration reload: SIGHUP makes the dispatcher read its files again.
//!
//! A file is applied completely or not at all. Only the settings and the address of the change log change; every other key
//! needs a restart.

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

/// How often an invalid file is read before the reload fails: the file may be only partly written.
const MAX_ATTEMPTS: u32 = 4;
/// Pause between two attempts. All attempts together must end soon enough that the metric of a reload shows within half
/// a second.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Keys whose content is not compared with the running file: the initial engine list may differ in any way.
const UNCOMPARED_KEYS: [&str; 1] = ["known"];

/// Where the configuration is read from, at the start and at each reload.
pub struct ConfigSource {
    pub environment: Environment,
    /// The path of the dispatcher's own file.
    pub own_config_path: Option<PathBuf>,
}

impl ConfigSource {
    pub fn load(&self) -> Result<Config, ConfigError> {
        config::load(&self.environment, self.own_config_path.as_deref())
    }

    /// Loads the configuration of a process that starts beside another one. A file that the other process would reject at a
    /// reload is not used; the text that the other process uses is loaded instead.
    pub fn load_for_upgrade(&self, peer_config_text: &str) -> Result<Config, ConfigError> {
        let peer_config: Option<Value> = json::from_str(peer_config_text).ok();
        let first_missing_key = |config: &Config| {
            let peer_config = peer_config.as_ref();
            peer_config.and_then(|peer_config| {
                completeness::first_missing_key(
                    peer_config,
                    &config.platform_config,
                    &UNCOMPARED_KEYS,
                )
            })
        };
        let error = match self.load() {
            Ok(config) => match first_missing_key(&config) {
                None => return Ok(config),
                Some(key) => config_error(&key, "missing"),
            },
            Err(error) => error,
        };
        log::warn!("starting with the configuration of the running process: {error}");
        config::load_from_text(
            &self.environment,
            peer_config_text.to_string(),
            self.own_config_path.as_deref(),
        )
    }
}

/// Reloads the configuration and passes it to the components that use it.
pub struct ConfigReloader {
    pub source: ConfigSource,
    /// The platform's file that was applied last.
    pub applied_config: Value,
    pub router: RequestRouter,
    pub change_log_address: watch::Sender<Option<SocketAddr>>,
    pub connection_limits: watch::Sender<ConnectionSettings>,
    /// The text of the platform's file that was applied last.
    pub applied_config_text: watch::Sender<Arc<str>>,
    /// Notified after each reload, as it may have retired classes.
    pub names_retired: watch::Sender<()>,
    pub metrics: Metrics,
}

impl ConfigReloader {
    /// Reloads the configuration at each SIGHUP; returns when the stream of signals ends.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            let mut attempt_no = 1;
            while let Err(error) = self.reload().await {
                log::warn!(
                    "the running configuration is kept ({attempt_no} of {MAX_ATTEMPTS}): {error}"
                );
                if attempt_no == MAX_ATTEMPTS {
                    self.metrics.count_reload(false);
                    break;
                }
                attempt_no += 1;
                tokio::select! {
                    // A new signal announces a newer file: the attempts start again and the earlier reload counts as failed.
                    signal = hangup.recv() => {
                        if signal.is_none() {
                            return;
                        }
                        self.metrics.count_reload(false);
                        attempt_no = 1;
                    }
                    () = sleep(RETRY_DELAY) => {}
                }
            }
        }
    }

    /// Reads the files and applies them if they are valid.
    async fn reload(&mut self) -> Result<(), ConfigError> {
        let config = self.source.load()?;
        if let Some(key) = completeness::first_missing_key(
            &self.applied_config,
            &config.platform_config,
            &UNCOMPARED_KEYS,
        ) {
            return Err(config_error(
                &key,
                "it is in the running configuration and missing from the new one",
            ));
        }
        if !self.router.reconfigure(&config.runtime_settings()).await {
            let reason =
                format!("there are more than {MAX_TABLE_ENTRIES}, including those being retired");
            return Err(config_error(
                "settings.services or settings.tenants",
                reason,
            ));
        }
        self.metrics.count_reload(true);
        self.names_retired.send_replace(());
        self.connection_limits
            .send_replace(config.connection_limits);
        let address_changed = self.change_log_address.send_if_modified(|address| {
            std::mem::replace(address, config.change_log_address) != config.change_log_address
        });
        match (address_changed, config.change_log_address) {
            (false, _) => log::info!("the configuration was read again and taken"),
            (true, Some(address)) => {
                log::info!("configuration applied; the change log is now at {address}")
            }
            (true, None) => log::info!("configuration applied; there is no change log now"),
        }
        self.applied_config = config.platform_config;
        self.applied_config_text
            .send_replace(config.platform_config_text.into());
        Ok(())
    }
}
