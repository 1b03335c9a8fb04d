//! Handlers of the HTTP requests of routers, administrators and other replicas.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use hoptiller_coordination::{Command, Holder, LeaseTiming, Proposal, VersionNumber};
use hoptiller_coordination_client::wire;
use hoptiller_http::{Method, Request, Response};
use serde::de::DeserializeOwned;

use crate::membership::Replacement;
use crate::node::{Node, SubmitError};
use crate::peer_protocol::{Delivery, InstallRequest, JoinRequest, MessageBatch, PeerError};
use crate::responses::{self, MICROS_PER_MS};
use crate::storage::PeerDisk;

/// Maximum time that a watch request waits for a change.
const MAX_WATCH_TIME: Duration = Duration::from_secs(30);
/// Maximum length of a router's name and of its incarnation, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// An error that is returned as an HTTP error response.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error(transparent)]
    InvalidBody(#[from] serde_json::Error),
    #[error(
        "the router's name has {router_bytes} bytes, its incarnation {incarnation_bytes}; both must have 1 to \
         {MAX_NAME_BYTES}"
    )]
    InvalidHolderName {
        router_bytes: usize,
        incarnation_bytes: usize,
    },
    #[error("the request is not signed with this fleet's secret")]
    Unauthenticated,
    #[error("unknown method or path: {0}")]
    UnknownPath(String),
    #[error("version {0} does not exist, or its document is no longer stored")]
    UnknownVersion(VersionNumber),
    #[error("version {from} or {to} does not exist, or its document is no longer stored")]
    UnknownVersions {
        from: VersionNumber,
        to: VersionNumber,
    },
    #[error(
        "the request has a lease term (permit) of {} us and a drift of {} millionths, this replica has {} us and {} \
         millionths; set the same values in the router",
        .requested.term, .requested.drift, .configured.term, .configured.drift
    )]
    LeaseTermMismatch {
        requested: LeaseTiming,
        configured: LeaseTiming,
    },
    #[error("the request is for fleet {requested:?}, this replica belongs to fleet {configured:?}")]
    OtherFleet {
        requested: String,
        configured: String,
    },
    #[error(transparent)]
    PeerRejected(PeerError),
    #[error("replica {replica} is not in membership {membership}")]
    NotAMember { replica: u64, membership: u32 },
    #[error("this replica can't reach the sender")]
    LinkBroken,
    #[error("this replica is stopping")]
    Stopped,
    #[error(transparent)]
    Submit(#[from] SubmitError),
}

impl RequestError {
    fn status(&self) -> u16 {
        match self {
            RequestError::InvalidBody(_) | RequestError::InvalidHolderName { .. } => 400,
            RequestError::Unauthenticated => 401,
            RequestError::UnknownPath(_)
            | RequestError::UnknownVersion(_)
            | RequestError::UnknownVersions { .. } => 404,
            RequestError::LeaseTermMismatch { .. }
            | RequestError::OtherFleet { .. }
            | RequestError::PeerRejected(_) => 409,
            RequestError::NotAMember { .. }
            | RequestError::LinkBroken
            | RequestError::Stopped
            | RequestError::Submit(_) => 503,
        }
    }

    fn to_response(&self) -> Response {
        responses::error(self.status(), &self.to_string())
    }
}

/// Authenticates and handles a request. Signs the response, unless the request is not authenticated or the replica is
/// stopping.
pub(crate) async fn handle(node: &Node, request: &Request) -> Response {
    if node.secret.verify_request(request).is_err() {
        return RequestError::Unauthenticated.to_response();
    }
    if node.is_stopped() {
        return RequestError::Stopped.to_response();
    }
    let response = route(node, request)
        .await
        .unwrap_or_else(|error| error.to_response());
    node.secret.sign_response(request, response)
}

async fn route(node: &Node, request: &Request) -> Result<Response, RequestError> {
    match (&request.method, request.path()) {
        (Method::Post, wire::MESSAGES) => Ok(receive_batch(node, parse_body(request)?)),
        (Method::Post, wire::RENEW_LEASE) => renew_lease(node, parse_body(request)?).await,
        (Method::Post, wire::RELEASE_LEASE) => {
            let holder: Holder = parse_body(request)?;
            submit_command(node, Command::ReleaseLease(holder)).await
        }
        (Method::Post, wire::RECORD_NOTE) => record_note(node, parse_body(request)?).await,
        (Method::Get, wire::LEASES) => {
            let leases = responses::leases(&node.replica.borrow(), node.clock.now());
            Ok(responses::ok(&leases))
        }
        (Method::Post, wire::PROPOSE) => {
            let proposal: Proposal = parse_body(request)?;
            submit_command(node, Command::Propose(Box::new(proposal))).await
        }
        (Method::Post, wire::REPLACE) => {
            let replacement: Replacement = parse_body(request)?;
            let response = node
                .submit(|replica, now| replica.submit_replacement(now, replacement))
                .await?;
            Ok(responses::from_log(response))
        }
        (Method::Post, wire::STATE) => admit_replica(node, &parse_body(request)?),
        (Method::Post, wire::INSTALL) => Ok(install_state(node, parse_body(request)?)),
        (Method::Post, wire::WATCH) => Ok(watch(node, parse_body(request)?).await),
        (Method::Post, wire::SHOW) => show_version(node, parse_body(request)?),
        (Method::Post, wire::DIFF) => diff_versions(node, parse_body(request)?),
        (Method::Get, wire::HISTORY) => {
            let replica = node.replica.borrow();
            let heads: Vec<_> = replica.config_state().history().collect();
            Ok(responses::ok(&heads))
        }
        (Method::Get, wire::STATUS) => Ok(status(node)),
        (method, path) => {
            let unknown = format!("{} {path}", method.as_str());
            Err(RequestError::UnknownPath(unknown))
        }
    }
}

fn parse_body<T: DeserializeOwned>(request: &Request) -> Result<T, RequestError> {
    Ok(serde_json::from_slice(&request.body)?)
}

async fn submit_command(node: &Node, command: Command) -> Result<Response, RequestError> {
    let response = node.submit(|replica, _| replica.submit(command)).await?;
    Ok(responses::from_log(response))
}

async fn renew_lease(
    node: &Node,
    request: wire::LeaseRenewalRequest,
) -> Result<Response, RequestError> {
    let configured = node.config.lease_timing();
    let requested = LeaseTiming {
        term: request.term,
        drift: request.drift,
    };
    if requested != configured {
        return Err(RequestError::LeaseTermMismatch {
            requested,
            configured,
        });
    }
    let is_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    if !is_name(&request.holder.router) || !is_name(&request.holder.incarnation) {
        return Err(RequestError::InvalidHolderName {
            router_bytes: request.holder.router.len(),
            incarnation_bytes: request.holder.incarnation.len(),
        });
    }
    let command = Command::RenewLease {
        holder: request.holder,
        enforced: request.enforced_version,
        in_force: request.in_force,
        offer: request.offer,
    };
    submit_command(node, command).await
}

async fn record_note(
    node: &Node,
    request: wire::RecordNoteRequest,
) -> Result<Response, RequestError> {
    let command = Command::RecordNote {
        holder: request.holder,
        shard: request.shard,
        fencing_token: request.fencing_token,
        text: request.text,
    };
    submit_command(node, command).await
}

async fn watch(node: &Node, request: wire::WatchRequest) -> Response {
    let known = request.known;
    let changed = node.wait_for_versions(|mut current| {
        if !request.watch_leases {
            current.table_revision = known.table_revision;
        }
        current != known
    });
    let timeout = async {
        Timer::after(Duration::from_millis(request.wait_ms).min(MAX_WATCH_TIME)).await;
    };
    future::or(changed, timeout).await;
    responses::ok(&node.versions())
}

fn show_version(node: &Node, request: wire::VersionRequest) -> Result<Response, RequestError> {
    let replica = node.replica.borrow();
    let config = replica.config_state();
    let number = request.number.unwrap_or(config.latest());
    config
        .version(number)
        .map(responses::ok)
        .ok_or(RequestError::UnknownVersion(number))
}

fn diff_versions(node: &Node, request: wire::DiffRequest) -> Result<Response, RequestError> {
    let replica = node.replica.borrow();
    let wire::DiffRequest { from, to } = request;
    replica
        .config_state()
        .differences(from, to)
        .map(|differences| responses::ok(&differences))
        .ok_or(RequestError::UnknownVersions { from, to })
}

fn status(node: &Node) -> Response {
    let now = node.clock.now();
    let links = node.links.borrow();
    let peers = links.iter().map(|(peer, link)| wire::PeerStatus {
        replica: *peer,
        heard_ms_ago: link
            .last_accepted_at()
            .map(|at| now.saturating_sub(at) / MICROS_PER_MS),
    });
    let replica = node.replica.borrow();
    let status = responses::status(node.config.replica, &replica, now, peers.collect());
    responses::ok(&status)
}

/// Receives a batch of log messages from a peer.
fn receive_batch(node: &Node, batch: MessageBatch) -> Response {
    // If a link carried messages in one direction only, two replicas could take the leadership from each other forever:
    // one receives messages that it can't answer. Therefore a link that is broken in one direction counts as broken in
    // both.
    let is_broken = node
        .links
        .borrow()
        .get(&batch.from)
        .is_some_and(|link| link.is_broken());
    if is_broken {
        return RequestError::LinkBroken.to_response();
    }
    let received = node.batch_receiver.borrow_mut().receive(
        &node.local_view.borrow(),
        &mut node.storage.peer_disks_mut(),
        &batch,
    );
    match received {
        Ok(Delivery::Stale) => {}
        Ok(delivery) => {
            node.update(|replica, now| {
                if delivery == Delivery::AfterGap {
                    replica.reconnected(batch.from);
                }
                replica.handle_messages(now, batch.messages);
            });
        }
        Err(error) => {
            if !matches!(error, PeerError::MembershipMismatch { .. }) {
                tracing::warn!(keeper = batch.from, error = %error, "messages of peer rejected");
            }
            return responses::json(409, &error);
        }
    }
    responses::ok(&())
}

/// Sends the replicated state to a new replica that joins.
fn admit_replica(node: &Node, join: &JoinRequest) -> Result<Response, RequestError> {
    let replica = node.replica.borrow();
    let membership = replica.membership();
    if join.fleet != node.config.fleet {
        return Err(RequestError::OtherFleet {
            requested: join.fleet.clone(),
            configured: node.config.fleet.clone(),
        });
    }
    if membership.removed.contains(&join.replica) {
        return Err(RequestError::PeerRejected(PeerError::Replaced));
    }
    if !membership.contains(join.replica) {
        return Err(RequestError::NotAMember {
            replica: join.replica,
            membership: membership.number,
        });
    }
    // A replica that was admitted before and has lost its disk since may have made promises that it no longer knows.
    let mut disks = node.storage.peer_disks_mut();
    let known_disk = disks.entry(join.replica).or_insert_with(|| PeerDisk {
        disk_id: join.disk_id.clone(),
        write_sequence: 0,
    });
    if known_disk.disk_id != join.disk_id {
        return Err(RequestError::PeerRejected(PeerError::OtherDisk {
            known: known_disk.disk_id.clone(),
        }));
    }
    Ok(responses::ok(&replica.replicated_state()))
}

/// Installs the replicated state that a peer sends because this replica's membership is outdated.
fn install_state(node: &Node, request: InstallRequest) -> Response {
    let replica = node.config.replica;
    let mismatch = |reason: String| responses::json(409, &PeerError::ConfigMismatch(reason));
    if request.fleet != node.config.fleet || request.to != replica {
        return mismatch(format!(
            "the receiver is replica {replica} of fleet {:?}",
            node.config.fleet
        ));
    }
    if !request.state.membership.contains(replica) {
        return mismatch(format!("the membership does not contain replica {replica}"));
    }
    node.update(|replica, now| replica.install(now, request.state));
    responses::ok(&())
}
