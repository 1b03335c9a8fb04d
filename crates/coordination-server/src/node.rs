//! The state that the request handlers and links of one replica share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use hoptiller_coordination::Micros;
use hoptiller_coordination_client::{Clock, Secret, wire};

use crate::config::Config;
use crate::membership::Membership;
use crate::peer_link::PeerLink;
use crate::peer_protocol::{BatchReceiver, LocalView, PeerError};
use crate::replica::Replica;
use crate::replicated_log::{LogError, Message, ReplicatedLog};
use crate::request::{CompletedRequest, RequestId, Response};
use crate::responses;
use crate::storage::{DiskStorage, StorageError, StorageHandle};

/// Maximum time that a request waits for a quorum.
const QUORUM_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of requests that wait for a response at once.
const MAX_PENDING_REQUESTS: usize = 8192;

/// The reason why a replica has stopped on its own initiative.
#[derive(Debug, thiserror::Error)]
pub enum StopReason {
    /// The storage failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// Another replica has replaced this one.
    #[error("another replica has replaced this one")]
    Replaced,
    /// A peer rejects this replica because it was replaced or does not have the disk that it had before.
    #[error("replica {peer} rejects this replica: {error}")]
    RejectedByPeer {
        /// The id of the peer.
        peer: u64,
        /// The peer's reason.
        error: PeerError,
    },
    /// The log can't continue under the new membership.
    #[error("the log can't continue under the new membership: {0}")]
    Log(#[source] LogError),
}

/// An error that leaves a request without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum SubmitError {
    #[error("{MAX_PENDING_REQUESTS} requests are already pending")]
    TooManyPending,
    #[error("this replica is stopping")]
    Stopped,
    #[error(
        "no response from a quorum of replicas within {} s; the request may still take effect",
        QUORUM_TIMEOUT.as_secs()
    )]
    NoQuorum,
}

/// A replica with its clock, storage and links.
pub(crate) struct Node {
    pub(crate) config: Config,
    pub(crate) secret: Secret,
    pub(crate) clock: Clock,
    pub(crate) incarnation: u64,
    pub(crate) disk_id: String,
    pub(crate) storage: StorageHandle,
    pub(crate) replica: RefCell<Replica>,
    /// The values that batches of peers are checked against, for the membership in effect.
    pub(crate) local_view: RefCell<LocalView>,
    pub(crate) batch_receiver: RefCell<BatchReceiver>,
    /// The links to the other members.
    pub(crate) links: RefCell<BTreeMap<u64, Rc<PeerLink>>>,
    pending_requests: RefCell<BTreeMap<RequestId, Sender<Response>>>,
    versions: Cell<wire::VersionNumbers>,
    /// Notified when `versions` has changed.
    versions_changed: Event,
    stop_reason: RefCell<Option<StopReason>>,
    stopped: Event,
}

impl Node {
    /// Creates a node and opens the log in the storage.
    pub(crate) fn open(
        config: Config,
        secret: Secret,
        clock: Clock,
        storage: DiskStorage,
    ) -> Result<Node, LogError> {
        let id = config.replica;
        let (handle, incarnation) = (storage.handle(), storage.incarnation());
        let disk_id = storage.identity().disk_id;
        let initial = Membership::initial(config.replicas.clone());
        let log = ReplicatedLog::open(id, initial, storage)?;
        let replica = Replica::new(id, incarnation, config.lease_timing(), log, clock.now());
        Ok(Node {
            local_view: RefCell::new(local_view(&config, replica.membership())),
            versions: Cell::new(responses::version_numbers(replica.config_state())),
            replica: RefCell::new(replica),
            config,
            secret,
            clock,
            incarnation,
            disk_id,
            storage: handle,
            batch_receiver: RefCell::default(),
            links: RefCell::default(),
            pending_requests: RefCell::default(),
            versions_changed: Event::new(),
            stop_reason: RefCell::default(),
            stopped: Event::new(),
        })
    }

    /// Stops the replica. The first reason is kept until [`Node::stopped`] takes it.
    pub(crate) fn stop(&self, reason: StopReason) {
        self.stop_reason.borrow_mut().get_or_insert(reason);
        self.stopped.notify(usize::MAX);
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stop_reason.borrow().is_some()
    }

    /// Waits until the replica has stopped on its own initiative, and takes the reason. It may be called only once, and
    /// the node must not be used afterwards.
    pub(crate) async fn stopped(&self) -> StopReason {
        loop {
            let stopped = self.stopped.listen();
            if let Some(reason) = self.stop_reason.borrow_mut().take() {
                return reason;
            }
            stopped.await;
        }
    }

    /// Applies a change to the replica and performs its effects: responses, messages to peers, a new membership.
    /// Returns `None` if the replica has stopped or the change stops it. After a failure of the storage or the log
    /// nothing is sent, after a replacement only the responses are.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut Replica, Micros) -> T) -> Option<T> {
        if self.is_stopped() {
            return None;
        }
        let mut replica = self.replica.borrow_mut();
        let result = change(&mut replica, self.clock.now());
        let (completed, messages) = (replica.take_completed(), replica.take_messages());
        if let Some(error) = self.storage.take_failure() {
            self.stop(StopReason::Storage(error));
            return None;
        }
        if let Some(error) = replica.take_failure() {
            self.stop(StopReason::Log(error));
            return None;
        }
        self.respond(completed);
        self.update_membership(replica.membership());
        if replica.is_replaced() {
            self.stop(StopReason::Replaced);
            return None;
        }
        self.send(messages);
        self.update_versions(responses::version_numbers(replica.config_state()));
        Some(result)
    }

    fn respond(&self, completed: Vec<CompletedRequest>) {
        let mut pending = self.pending_requests.borrow_mut();
        for CompletedRequest {
            request_id,
            response,
        } in completed
        {
            if let Some(sender) = pending.remove(&request_id) {
                // Fails if the request has just timed out.
                let _ = sender.try_send(response);
            }
        }
    }

    fn update_membership(&self, membership: &Membership) {
        if membership.number == self.local_view.borrow().membership {
            return;
        }
        *self.local_view.borrow_mut() = local_view(&self.config, membership);
        tracing::info!(list = membership.number, keepers = ?membership.replica_ids(), "membership changed");
        // Messages queued under the previous membership are void.
        for link in self.links.borrow().values() {
            link.clear();
        }
    }

    fn send(&self, messages: Vec<Message>) {
        let links = self.links.borrow();
        for message in messages {
            if let Some(link) = links.get(&message.receiver()) {
                link.push(message);
            }
        }
    }

    fn update_versions(&self, versions: wire::VersionNumbers) {
        if self.versions.replace(versions) != versions {
            tracing::info!(
                in_force = versions.in_force,
                last = versions.last,
                "versions changed"
            );
            self.versions_changed.notify(usize::MAX);
        }
    }

    /// Returns the current version numbers.
    pub(crate) fn versions(&self) -> wire::VersionNumbers {
        self.versions.get()
    }

    /// Waits until the version numbers satisfy a condition.
    pub(crate) async fn wait_for_versions(&self, condition: impl Fn(wire::VersionNumbers) -> bool) {
        loop {
            let changed = self.versions_changed.listen();
            if condition(self.versions()) {
                return;
            }
            changed.await;
        }
    }

    /// Submits a request that goes through the log and waits for its response.
    pub(crate) async fn submit(
        &self,
        submit: impl FnOnce(&mut Replica, Micros) -> RequestId,
    ) -> Result<Response, SubmitError> {
        if self.pending_requests.borrow().len() >= MAX_PENDING_REQUESTS {
            return Err(SubmitError::TooManyPending);
        }
        let (sender, receiver) = async_channel::bounded(1);
        let request_id = self.update(submit).ok_or(SubmitError::Stopped)?;
        self.pending_requests
            .borrow_mut()
            .insert(request_id, sender);
        let _guard = PendingRequestGuard {
            node: self,
            request_id,
        };
        let response = async { receiver.recv().await.ok() };
        let timeout = async {
            Timer::after(QUORUM_TIMEOUT).await;
            None
        };
        future::or(response, timeout)
            .await
            .ok_or(SubmitError::NoQuorum)
    }
}

/// Returns the values that batches of peers are checked against under a membership.
fn local_view(config: &Config, membership: &Membership) -> LocalView {
    LocalView {
        fleet: config.fleet.clone(),
        replica: config.replica,
        replicas: membership.replica_ids(),
        membership: membership.number,
        removed: membership.removed.clone(),
        lease_timing: config.lease_timing(),
    }
}

/// Guard that cancels its request if it is dropped before the response arrives, however the waiting task ends.
struct PendingRequestGuard<'a> {
    node: &'a Node,
    request_id: RequestId,
}

impl Drop for PendingRequestGuard<'_> {
    fn drop(&mut self) {
        let sender = self
            .node
            .pending_requests
            .borrow_mut()
            .remove(&self.request_id);
        if sender.is_some() {
            self.node.replica.borrow_mut().cancel(self.request_id);
        }
    }
}
