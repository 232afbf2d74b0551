//! New configurations while the program runs: SIGHUP has the files read again.

use crate::config::{self, Config, Environment, Wrong};
use sedgebeam_operation::Figures;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

/// A file that is bad may be half written still: it is read again so often, at this distance.
const TRIES: u32 = 4;
/// What is counted of it must show within half a second.
const BETWEEN: Duration = Duration::from_millis(100);

/// Where the configuration is read from, now and later.
pub struct Source {
    pub environment: Environment,
    pub own: Option<PathBuf>,
}

impl Source {
    pub fn load(&self) -> Result<Config, Wrong> {
        config::load(&self.environment, self.own.as_deref())
    }
}

/// Reads the configuration again at each hangup, for ever. What it changes is the address of the change
/// log; a configuration that is wrong changes nothing.
pub async fn at_hangup(
    mut hangup: Signal,
    source: Source,
    changelog: watch::Sender<Option<SocketAddr>>,
    figures: Figures,
) {
    while hangup.recv().await.is_some() {
        let mut attempt = 1;
        loop {
            match source.load() {
                Ok(config) => {
                    take(config, &changelog);
                    figures.reloaded(true);
                    break;
                }
                Err(wrong) => {
                    log::warn!("the running configuration is kept ({attempt} of {TRIES}): {wrong}");
                }
            }
            if attempt == TRIES {
                figures.reloaded(false);
                break;
            }
            attempt += 1;
            tokio::select! {
                // The next hangup reads a newer file; this one is not waited for any longer.
                again = hangup.recv() => {
                    if again.is_none() {
                        return;
                    }
                    figures.reloaded(false);
                    attempt = 1;
                }
                () = sleep(BETWEEN) => {}
            }
        }
    }
}

fn take(config: Config, changelog: &watch::Sender<Option<SocketAddr>>) {
    let moved = changelog.send_if_modified(|address| {
        std::mem::replace(address, config.changelog) != config.changelog
    });
    match (moved, config.changelog) {
        (false, _) => log::info!("the configuration was read again: nothing that it changes"),
        (true, Some(address)) => log::info!("the change log is at {address} from now on"),
        (true, None) => log::info!("there is no change log from now on"),
    }
}
