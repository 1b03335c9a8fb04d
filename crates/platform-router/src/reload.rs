//! Reloading of the configuration file. A running router adopts only the coordinator's address from it.

use std::time::Duration;

use async_io::Timer;
use hoptiller_platform_protocol::Config;

use crate::router::Router;
use crate::startup::{StartError, read_config};

/// Pause before reading again a file that is invalid, perhaps because it is only partly written.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const MAX_TRIES: usize = 100;

impl Router {
    /// Reloads the configuration file and connects to the coordinator that it names. The current configuration remains
    /// in use until the file is valid. A later call replaces an earlier one that is still retrying. Gives up after
    /// `MAX_TRIES` tries. The configuration of another router counts as invalid.
    pub async fn reload(&self) {
        let reload = self.reloads_requested.get() + 1;
        self.reloads_requested.set(reload);
        let file = self.config_file.display();
        for _ in 0..MAX_TRIES {
            match self.read_own_config() {
                Ok(config) => {
                    tracing::info!(coordinator = %config.coordinator, "configuration reloaded");
                    return self.watch_client.set_addr(config.coordinator);
                }
                Err(error) => {
                    tracing::warn!(%file, %error, "configuration not reloaded, trying again");
                }
            }
            Timer::after(RETRY_INTERVAL).await;
            if self.reloads_requested.get() != reload {
                return;
            }
        }
        tracing::error!(%file, tries = MAX_TRIES, "configuration not reloaded");
    }

    fn read_own_config(&self) -> Result<Config, StartError> {
        match read_config(&self.config_file) {
            Ok(config) if config.name != self.name => Err(StartError::OtherRouter {
                expected: self.name.clone(),
                found: config.name,
            }),
            result => result,
        }
    }
}
