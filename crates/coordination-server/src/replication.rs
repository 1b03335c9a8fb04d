//! Sends log messages to the other members, with one task per peer and one batch at a time, and sends the replicated
//! state to a peer with an outdated membership.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use hoptiller_coordination_client::wire;
use hoptiller_http::Spawner;

use crate::node::{Node, StopReason};
use crate::peer_link::{PeerConnection, PeerLink, SendError};
use crate::peer_protocol::{InstallRequest, MessageBatch, PeerError};
use crate::replicated_log::Message;

/// Pause after a batch that the peer has not accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a batch that the peer can't accept because the two replicas are configured differently.
const MISMATCH_PAUSE: Duration = Duration::from_secs(1);

/// Opens a link to each other member and closes links to replicas that are no longer members.
pub(crate) fn update_links(node: &Rc<Node>, spawner: &Spawner) {
    let replica = node.replica.borrow();
    let membership = replica.membership();
    let mut links = node.links.borrow_mut();
    links.retain(|peer, link| {
        let is_member = membership.contains(*peer);
        if !is_member {
            link.close();
        }
        is_member
    });
    for (peer, address) in &membership.addresses {
        if *peer != node.config.replica && !links.contains_key(peer) {
            // This replica's own configuration takes precedence: peers may reach each other at different addresses.
            let link = PeerLink::new(*node.config.replicas.get(peer).unwrap_or(address));
            links.insert(*peer, link.clone());
            spawner.spawn(run_sender(node.clone(), *peer, link));
        }
    }
}

/// Sends batches to one peer until the link is closed or the replica has stopped.
async fn run_sender(node: Rc<Node>, peer: u64, link: Rc<PeerLink>) {
    let mut sender = PeerSender {
        connection: link.new_connection(),
        node,
        peer,
        link,
        next_sequence: 0,
        has_lost_messages: false,
    };
    loop {
        let messages = sender.link.take_messages().await;
        if sender.node.is_stopped() || sender.link.is_closed() {
            return;
        }
        let pause = match sender.send(messages).await {
            Ok(()) => None,
            Err(SendError::Rejected(error)) if error.is_final() => {
                return sender.node.stop(StopReason::RejectedByPeer { peer, error });
            }
            Err(SendError::Rejected(error)) => Some(sender.handle_rejection(error).await),
            Err(error) => Some(sender.handle_failure(&error)),
        };
        if let Some(pause) = pause {
            Timer::after(pause).await;
        }
    }
}

/// The sending side of a link.
struct PeerSender {
    node: Rc<Node>,
    peer: u64,
    link: Rc<PeerLink>,
    connection: PeerConnection,
    /// The sequence number of the next batch.
    next_sequence: u64,
    /// Whether the last batch was not accepted, so that messages are lost.
    has_lost_messages: bool,
}

impl PeerSender {
    async fn send(&mut self, messages: Vec<Message>) -> Result<(), SendError> {
        let batch = self.new_batch(messages);
        self.connection
            .send(&self.node.secret, wire::MESSAGES, &batch)
            .await?;
        self.link.set_broken(false);
        self.link.set_last_accepted_at(self.node.clock.now());
        if std::mem::take(&mut self.has_lost_messages) | self.link.take_overflowed() {
            let peer = self.peer;
            self.node.update(|replica, _| replica.reconnected(peer));
        }
        Ok(())
    }

    fn new_batch(&mut self, messages: Vec<Message>) -> MessageBatch {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let local = self.node.local_view.borrow();
        MessageBatch {
            fleet: local.fleet.clone(),
            from: local.replica,
            to: self.peer,
            replicas: local.replicas.clone(),
            membership: local.membership,
            term: local.lease_timing.term,
            drift: local.lease_timing.drift,
            incarnation: self.node.incarnation,
            sequence,
            disk_id: self.node.disk_id.clone(),
            write_sequence: self.node.storage.write_sequence(),
            messages,
        }
    }

    /// Handles a rejected batch and returns the pause before the next one.
    async fn handle_rejection(&mut self, error: PeerError) -> Duration {
        if let PeerError::MembershipMismatch { sender, receiver } = error {
            self.link.set_broken(false);
            self.has_lost_messages = true;
            if sender > receiver {
                self.send_state().await;
            }
            return RETRY_PAUSE;
        }
        tracing::error!(keeper = self.peer, error = %error, "peer is configured differently");
        MISMATCH_PAUSE
    }

    /// Handles a failure to send a batch and returns the pause before the next one.
    fn handle_failure(&mut self, error: &SendError) -> Duration {
        if !self.has_lost_messages {
            tracing::warn!(keeper = self.peer, error = %error, "link to peer is broken");
        }
        self.has_lost_messages = true;
        // A response means that this direction of the link works, even if the peer reports that it can't reach this
        // replica.
        self.link.set_broken(error.has_no_response());
        self.connection.close();
        RETRY_PAUSE
    }

    /// Sends the replicated state to a peer with an outdated membership.
    async fn send_state(&mut self) {
        let state = self.node.replica.borrow().replicated_state();
        tracing::info!(
            keeper = self.peer,
            list = state.membership.number,
            "sending state to peer"
        );
        let install = InstallRequest {
            fleet: self.node.config.fleet.clone(),
            to: self.peer,
            state,
        };
        let sent = self
            .connection
            .send(&self.node.secret, wire::INSTALL, &install)
            .await;
        if let Err(SendError::Rejected(error)) = sent {
            tracing::warn!(keeper = self.peer, error = %error, "peer rejects the state");
        }
    }
}
