//! The link to one peer: a queue of log messages, the state of the link, and the connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use event_listener::Event;
use hoptiller_coordination::Micros;
use hoptiller_coordination_client::Secret;
use hoptiller_coordination_client::secret::AuthenticationError;
use hoptiller_http::client::{ClientError, Connection};
use hoptiller_http::{Limits, Method, Request};
use serde::Serialize;

use crate::peer_protocol::PeerError;
use crate::replicated_log::Message;

/// Time limit for opening a connection, and for each exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of queued messages. If it is exceeded, all queued messages are dropped, which the log tolerates.
const MAX_QUEUED_MESSAGES: usize = 4096;

/// The link to one peer.
pub(crate) struct PeerLink {
    address: SocketAddr,
    queue: RefCell<VecDeque<Message>>,
    /// Notified when a message is queued or the link is closed.
    changed: Event,
    /// Whether queued messages were dropped.
    overflowed: Cell<bool>,
    /// The time at which the peer last accepted a batch, by the clock that measures leases.
    last_accepted_at: Cell<Option<Micros>>,
    /// Whether the last batch got no response.
    broken: Cell<bool>,
    closed: Cell<bool>,
}

impl PeerLink {
    pub(crate) fn new(address: SocketAddr) -> Rc<PeerLink> {
        Rc::new(PeerLink {
            address,
            queue: RefCell::default(),
            changed: Event::new(),
            overflowed: Cell::new(false),
            last_accepted_at: Cell::new(None),
            broken: Cell::new(false),
            closed: Cell::new(false),
        })
    }

    /// Returns a connection to the peer that is not open yet.
    pub(crate) fn new_connection(&self) -> PeerConnection {
        PeerConnection {
            address: self.address,
            connection: None,
        }
    }

    /// Queues a message.
    pub(crate) fn push(&self, message: Message) {
        let mut queue = self.queue.borrow_mut();
        if queue.len() >= MAX_QUEUED_MESSAGES {
            queue.clear();
            self.overflowed.set(true);
        }
        queue.push_back(message);
        self.changed.notify(1);
    }

    /// Drops all queued messages.
    pub(crate) fn clear(&self) {
        self.queue.borrow_mut().clear();
    }

    /// Waits until messages are queued or the link is closed, and takes the queued messages.
    pub(crate) async fn take_messages(&self) -> Vec<Message> {
        let changed = self.changed.listen();
        if self.queue.borrow().is_empty() && !self.is_closed() {
            changed.await;
        }
        self.queue.borrow_mut().drain(..).collect()
    }

    /// Closes the link, which stops its sender.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.changed.notify(usize::MAX);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Returns whether queued messages were dropped since the last call.
    pub(crate) fn take_overflowed(&self) -> bool {
        self.overflowed.take()
    }

    pub(crate) fn set_last_accepted_at(&self, now: Micros) {
        self.last_accepted_at.set(Some(now));
    }

    /// Returns the time at which the peer last accepted a batch.
    pub(crate) fn last_accepted_at(&self) -> Option<Micros> {
        self.last_accepted_at.get()
    }

    pub(crate) fn set_broken(&self, broken: bool) {
        self.broken.set(broken);
    }

    /// Returns whether the last batch got no response.
    pub(crate) fn is_broken(&self) -> bool {
        self.broken.get()
    }
}

/// An error that leaves a message unaccepted or its outcome unknown.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// The message can't be encoded as JSON.
    #[error(transparent)]
    Encode(serde_json::Error),
    /// There is no response, so it is unknown whether the message arrived.
    #[error(transparent)]
    NoResponse(#[from] ClientError),
    /// The response is not signed with the fleet's secret.
    #[error("status {status}: the response is not signed with the fleet's secret")]
    Unauthenticated {
        /// The HTTP status.
        status: u16,
        /// The cause.
        source: AuthenticationError,
    },
    /// The response body can't be decoded.
    #[error(transparent)]
    Decode(serde_json::Error),
    /// The peer responded with an unexpected status.
    #[error("unexpected status {0}, expected 200 or 409")]
    Status(u16),
    /// The peer has rejected the message.
    #[error(transparent)]
    Rejected(PeerError),
}

impl SendError {
    /// Returns whether the peer has not responded at all.
    pub(crate) fn has_no_response(&self) -> bool {
        matches!(self, SendError::Encode(_) | SendError::NoResponse(_))
    }
}

/// A connection to a peer that is opened on demand.
pub(crate) struct PeerConnection {
    address: SocketAddr,
    connection: Option<Connection<Async<TcpStream>>>,
}

impl PeerConnection {
    /// Closes the connection. The next message opens a new one.
    pub(crate) fn close(&mut self) {
        self.connection = None;
    }

    /// Sends a message and waits until the peer has accepted it.
    pub(crate) async fn send(
        &mut self,
        secret: &Secret,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(), SendError> {
        let mut request = Request::new(Method::Post, path);
        request.body = serde_json::to_vec(body).map_err(SendError::Encode)?;
        let request = secret.sign_request(request);
        let reusable = self
            .connection
            .take()
            .filter(|connection| connection.is_reusable() && !connection.is_stale());
        let mut connection = match reusable {
            Some(connection) => connection,
            None => Connection::open(self.address, EXCHANGE_TIMEOUT, Limits::default()).await?,
        };
        let response = connection.exchange(&request, EXCHANGE_TIMEOUT).await?;
        let status = response.status.0;
        secret
            .verify_response(&request, &response)
            .map_err(|source| SendError::Unauthenticated { status, source })?;
        self.connection = Some(connection);
        match status {
            200 => Ok(()),
            409 => {
                let error = serde_json::from_slice(&response.body).map_err(SendError::Decode)?;
                Err(SendError::Rejected(error))
            }
            status => Err(SendError::Status(status)),
        }
    }
}
