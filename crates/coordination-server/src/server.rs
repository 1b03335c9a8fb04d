//! The server of a replica: its listening socket, its periodic tick and its links to peers.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use hoptiller_coordination_client::{Clock, Secret, wire};
use hoptiller_http::server::{self, Handler, Reply};
use hoptiller_http::{Limits, Spawner};

use crate::config::Config;
use crate::join::JoinError;
use crate::node::Node;
pub use crate::node::StopReason;
use crate::replicated_log::LogError;
use crate::storage::{DiskStorage, StorageError};
use crate::{replication, request_handlers};

const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of connections open at once.
const MAX_CONNECTIONS: usize = 4096;

/// An error that prevents a replica from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The storage can't be opened.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The log can't be opened.
    #[error("the log can't be opened: {0}")]
    Log(#[from] LogError),
    /// The server can't listen on its address.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The replica can't join the cluster.
    #[error(transparent)]
    Join(#[from] JoinError),
}

/// The server of a replica.
pub struct Server {
    node: Rc<Node>,
}

impl Server {
    /// Opens the configured storage, or creates it with the id `new_disk_id`.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage can't be used.
    pub fn open_storage(config: &Config, new_disk_id: &str) -> Result<DiskStorage, StartError> {
        let storage = DiskStorage::open(
            &config.dir,
            &config.fleet,
            config.replica,
            new_disk_id,
            config.max_bytes,
        )?;
        Ok(storage)
    }

    /// Creates a server and opens the log in the storage.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be opened.
    pub fn open(
        config: Config,
        secret: Secret,
        clock: Clock,
        storage: DiskStorage,
    ) -> Result<Server, StartError> {
        let node = Node::open(config, secret, clock, storage)?;
        Ok(Server {
            node: Rc::new(node),
        })
    }

    /// Starts to listen, spawns all tasks and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the server can't listen on its address.
    pub fn start(&self, spawner: &Spawner) -> Result<SocketAddr, StartError> {
        let address = self.node.config.listen_address();
        let bound = server::bind(address).and_then(|listener| {
            let local_address = listener.get_ref().local_addr()?;
            Ok((listener, local_address))
        });
        let (listener, local_address) =
            bound.map_err(|source| StartError::Listen { address, source })?;
        let node = self.node.clone();
        let handler: Handler = Rc::new(move |request, _| {
            let node = node.clone();
            Box::pin(async move { Reply::Send(request_handlers::handle(&node, &request).await) })
        });
        let config = server::Config {
            limits: Limits {
                max_body_bytes: wire::MAX_BODY_BYTES,
                ..Limits::default()
            },
            max_connections: MAX_CONNECTIONS,
            cancels_on_disconnect: true,
            ..server::Config::default()
        };
        let http_spawner = spawner.clone();
        spawner.spawn(async move {
            server::serve(listener, config, handler, http_spawner).await;
        });
        spawner.spawn(run_ticks(self.node.clone(), spawner.clone()));
        Ok(local_address)
    }

    /// Waits until the replica has stopped on its own initiative, and returns the reason. It may be called only once,
    /// and the server must not be used afterwards.
    pub async fn stopped(&self) -> StopReason {
        self.node.stopped().await
    }
}

/// Updates the links and advances the replica at each tick.
async fn run_ticks(node: Rc<Node>, spawner: Spawner) {
    loop {
        replication::update_links(&node, &spawner);
        Timer::after(TICK_INTERVAL).await;
        node.update(|replica, now| replica.tick(now));
    }
}
