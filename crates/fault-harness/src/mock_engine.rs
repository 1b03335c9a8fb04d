//! A mock engine that keeps its configuration, so that it can be crashed and started again.

use std::io;
use std::net::SocketAddr;

use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::engine::EngineConfig;

/// A mock engine, which crashes when the value is dropped.
pub(crate) struct MockEngine {
    config: EngineConfig,
    running: Option<ServerThread>,
}

impl MockEngine {
    /// Creates an engine that is not running yet.
    pub(crate) fn new(config: EngineConfig) -> MockEngine {
        MockEngine {
            config,
            running: None,
        }
    }

    pub(crate) fn config(&self) -> &EngineConfig {
        &self.config
    }

    /// Starts the engine if it is not running. Later starts use the address of the first one, and the engine is cold.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        if self.running.is_none() {
            let running = self.config.start()?;
            self.config.listen = running.addr;
            self.config.starts_cold = true;
            self.running = Some(running);
        }
        Ok(())
    }

    /// Stops the engine at once, as if its process had crashed.
    pub(crate) fn crash(&mut self) {
        if let Some(running) = self.running.take() {
            running.crash();
        }
    }

    /// Returns the address on which the engine listens; `None` if it is not running.
    pub(crate) fn running_addr(&self) -> Option<SocketAddr> {
        self.running.as_ref().map(|running| running.addr)
    }
}
