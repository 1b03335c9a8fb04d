//! A mock engine with the configuration that it is started from, so that it can be stopped and started again.

use std::io;
use std::net::SocketAddr;

use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::engine::EngineConfig;

/// A mock engine. It crashes when this is dropped.
pub(crate) struct MockEngine {
    config: EngineConfig,
    running: Option<ServerThread>,
}

impl MockEngine {
    /// An engine that does not run yet.
    pub(crate) fn new(config: EngineConfig) -> MockEngine {
        MockEngine {
            config,
            running: None,
        }
    }

    pub(crate) fn config(&self) -> &EngineConfig {
        &self.config
    }

    /// Starts it where it does not run. From its second start on it has the address of the first, and starts cold.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        if self.running.is_none() {
            let running = self.config.start()?;
            self.config.listen = running.addr;
            self.config.starts_cold = true;
            self.running = Some(running);
        }
        Ok(())
    }

    /// Ends it at once, as if its process had crashed.
    pub(crate) fn crash(&mut self) {
        if let Some(running) = self.running.take() {
            running.crash();
        }
    }

    /// The address that it listens on, while it runs.
    pub(crate) fn running_addr(&self) -> Option<SocketAddr> {
        self.running.as_ref().map(|running| running.addr)
    }
}
