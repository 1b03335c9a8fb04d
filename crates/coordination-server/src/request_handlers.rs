//! The handlers of the HTTP interface: for routers, administrators and other replicas.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use hoptiller_coordination::{Command, Holder, Proposal};
use hoptiller_coordination_client::wire;
use hoptiller_http::{Method, Request, Response};
use serde::de::DeserializeOwned;

use crate::membership::Replacement;
use crate::node::{Node, SubmitError};
use crate::peer_protocol::{Delivery, InstallRequest, JoinRequest, MessageBatch, PeerError};
use crate::responses;
use crate::storage::PeerDisk;

/// Limit of the time that a watch waits.
const MAX_WATCH_TIME: Duration = Duration::from_secs(30);
/// Limit of the length of a router's name and incarnation, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1000;

/// Why a request is answered with an error.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error(transparent)]
    Body(#[from] serde_json::Error),
    #[error("names of 1 to {MAX_NAME_BYTES} bytes are wanted")]
    HolderName,
    #[error("the call is not signed with this fleet's secret")]
    Unauthenticated,
    #[error("no such call")]
    UnknownPath,
    #[error("there is no such version, or its text is no longer kept")]
    UnknownVersion,
    #[error("one of the versions is not there, or its text is no longer kept")]
    UnknownVersions,
    #[error("permits last {term} us here, drift {drift}: set the router alike")]
    LeaseTermMismatch { term: u64, drift: u64 },
    #[error("this is fleet {0:?}")]
    OtherFleet(String),
    #[error(transparent)]
    PeerRejected(PeerError),
    #[error("keeper {replica} is none of list {membership}")]
    NotAMember { replica: u64, membership: u32 },
    #[error("this keeper does not reach that one")]
    LinkBroken,
    #[error("this keeper is ending")]
    Stopped,
    #[error(transparent)]
    Submit(#[from] SubmitError),
}

impl RequestError {
    fn status(&self) -> u16 {
        match self {
            RequestError::Body(_) | RequestError::HolderName => 400,
            RequestError::Unauthenticated => 401,
            RequestError::UnknownPath
            | RequestError::UnknownVersion
            | RequestError::UnknownVersions => 404,
            RequestError::LeaseTermMismatch { .. }
            | RequestError::OtherFleet(_)
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

/// Handles an authenticated request; the response is authenticated too.
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
        (Method::Post, wire::MESSAGES) => Ok(receive_batch(node, parse(request)?)),
        (Method::Post, wire::RENEW_LEASE) => renew_lease(node, parse(request)?).await,
        (Method::Post, wire::RELEASE_LEASE) => {
            let holder: Holder = parse(request)?;
            submit_command(node, Command::ReleaseLease(holder)).await
        }
        (Method::Post, wire::RECORD_NOTE) => record_note(node, parse(request)?).await,
        (Method::Get, wire::LEASES) => {
            let leases = responses::leases(&node.replica.borrow(), node.clock.now());
            Ok(responses::ok(&leases))
        }
        (Method::Post, wire::PROPOSE) => {
            let proposal: Proposal = parse(request)?;
            submit_command(node, Command::Propose(Box::new(proposal))).await
        }
        (Method::Post, wire::REPLACE) => {
            let replacement: Replacement = parse(request)?;
            let response = node
                .submit(|replica, now| replica.replace(now, replacement))
                .await?;
            Ok(responses::completed(response))
        }
        (Method::Post, wire::STATE) => admit(node, &parse(request)?),
        (Method::Post, wire::INSTALL) => Ok(install(node, parse(request)?)),
        (Method::Post, wire::WATCH) => Ok(watch(node, parse(request)?).await),
        (Method::Post, wire::SHOW) => show_version(node, parse(request)?),
        (Method::Post, wire::DIFF) => diff_versions(node, parse(request)?),
        (Method::Get, wire::HISTORY) => {
            let replica = node.replica.borrow();
            let heads: Vec<_> = replica.config_state().history().collect();
            Ok(responses::ok(&heads))
        }
        (Method::Get, wire::STATUS) => Ok(status(node)),
        _ => Err(RequestError::UnknownPath),
    }
}

fn parse<T: DeserializeOwned>(request: &Request) -> Result<T, RequestError> {
    Ok(serde_json::from_slice(&request.body)?)
}

async fn submit_command(node: &Node, command: Command) -> Result<Response, RequestError> {
    let response = node.submit(|replica, _| replica.submit(command)).await?;
    Ok(responses::completed(response))
}

async fn renew_lease(
    node: &Node,
    request: wire::LeaseRenewalRequest,
) -> Result<Response, RequestError> {
    let bounds = node.config.bounds();
    if (request.term, request.drift) != (bounds.term, bounds.drift) {
        return Err(RequestError::LeaseTermMismatch {
            term: bounds.term,
            drift: bounds.drift,
        });
    }
    let is_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    if !is_name(&request.holder.router) || !is_name(&request.holder.incarnation) {
        return Err(RequestError::HolderName);
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
    config
        .version(request.number.unwrap_or(config.latest()))
        .map(responses::ok)
        .ok_or(RequestError::UnknownVersion)
}

fn diff_versions(node: &Node, request: wire::DiffRequest) -> Result<Response, RequestError> {
    let replica = node.replica.borrow();
    replica
        .config_state()
        .differences(request.from, request.to)
        .map(|differences| responses::ok(&differences))
        .ok_or(RequestError::UnknownVersions)
}

fn status(node: &Node) -> Response {
    let now = node.clock.now();
    let links = node.links.borrow();
    let peers = links.iter().map(|(peer, link)| wire::PeerStatus {
        replica: *peer,
        heard_ms_ago: link
            .heard_at()
            .map(|at| now.saturating_sub(at) / MICROS_PER_MS),
    });
    let replica = node.replica.borrow();
    let status = responses::status(node.config.replica, &replica, now, peers.collect());
    responses::ok(&status)
}

/// A peer sends log messages.
fn receive_batch(node: &Node, batch: MessageBatch) -> Response {
    // Where links carry messages one way only, two replicas could take the lead from each other for ever, as one hears
    // what the other can't answer. Such a link counts as broken both ways.
    let is_broken = node
        .links
        .borrow()
        .get(&batch.from)
        .is_some_and(|link| link.is_broken());
    if is_broken {
        return RequestError::LinkBroken.to_response();
    }
    let received = node.batches.borrow_mut().receive(
        &node.local.borrow(),
        &mut node.storage.peers_mut(),
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

/// A new replica requests the replicated state.
fn admit(node: &Node, join: &JoinRequest) -> Result<Response, RequestError> {
    let replica = node.replica.borrow();
    let membership = replica.membership();
    if join.fleet != node.config.fleet {
        return Err(RequestError::OtherFleet(node.config.fleet.clone()));
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
    // A replica that was admitted before, and has lost its disk since, may have promised what it no longer knows.
    let mut disks = node.storage.peers_mut();
    let known = disks.entry(join.replica).or_insert_with(|| PeerDisk {
        disk_id: join.disk_id.clone(),
        write_sequence: 0,
    });
    if known.disk_id != join.disk_id {
        return Err(RequestError::PeerRejected(PeerError::OtherDisk {
            known: known.disk_id.clone(),
        }));
    }
    Ok(responses::ok(&replica.replicated_state()))
}

/// A peer sends the replicated state, as this replica's membership is outdated.
fn install(node: &Node, request: InstallRequest) -> Response {
    let replica = node.config.replica;
    let mismatch = |reason: String| responses::json(409, &PeerError::ConfigMismatch(reason));
    if request.fleet != node.config.fleet || request.to != replica {
        return mismatch(format!("this is keeper {replica}"));
    }
    if !request.state.membership.contains(replica) {
        return mismatch("that list does not name this keeper".into());
    }
    node.update(|replica, now| replica.install(now, request.state));
    responses::ok(&())
}
