//! The server of a replica: its socket, its clock's ticks and its links.

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

/// Interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Limit of the connections open at once.
const MAX_CONNECTIONS: usize = 4096;

/// Why a replica can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its storage can't be opened.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// Its log can't be opened.
    #[error("the log can't be opened: {0}")]
    Log(#[from] LogError),
    /// It can't listen.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What failed.
        source: io::Error,
    },
    /// It can't join the cluster.
    #[error(transparent)]
    Join(#[from] JoinError),
}

/// The server of a replica.
pub struct Server {
    node: Rc<Node>,
}

impl Server {
    /// Opens the storage of a configuration, or creates it with the id `new_disk_id`.
    ///
    /// # Errors
    ///
    /// When the storage can't be used.
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

    /// Opens the log in a storage.
    ///
    /// # Errors
    ///
    /// When the log can't be opened.
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

    /// Listens, and starts all tasks. Returns the address.
    ///
    /// # Errors
    ///
    /// When it can't listen.
    pub fn start(&self, spawner: &Spawner) -> Result<SocketAddr, StartError> {
        let address = self.node.config.listen_address();
        let bound = server::bind(address).and_then(|listener| {
            let local_address = listener.get_ref().local_addr()?;
            Ok((listener, local_address))
        });
        let (listener, local_address) =
            bound.map_err(|source| StartError::Listen { address, source })?;
        let node = self.node.clone();
        let handler: Handler = Rc::new(move |request| {
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
        spawner.spawn(tick(self.node.clone(), spawner.clone()));
        Ok(local_address)
    }

    /// Waits until the replica has stopped by itself.
    pub async fn stopped(&self) -> StopReason {
        self.node.stopped().await
    }
}

async fn tick(node: Rc<Node>, spawner: Spawner) {
    loop {
        replication::update_links(&node, &spawner);
        Timer::after(TICK_INTERVAL).await;
        node.update(|replica, now| replica.tick(now));
    }
}
