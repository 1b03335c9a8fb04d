//! Helpers for tests of rollouts: proposals, watchers and renewals with an immediate response.

use hoptiller_coordination::{
    Command, CommandResponse, ConfigLeaseGrant, ConfigState, ConfigWatcher, Document, GrantError,
    Holder, LeaseTiming, Micros, Proposal, Rejection,
};

use crate::common::document;

pub const SECOND: Micros = 1_000_000;
pub const TIMING: LeaseTiming = LeaseTiming {
    term: 10 * SECOND,
    drift: 2000,
};

pub fn propose(
    config: &mut ConfigState,
    change_name: &str,
    base: Option<u64>,
    document: &Document,
) -> Result<u64, Rejection> {
    let proposal = Proposal {
        change_name: change_name.into(),
        base,
        author: "ann".into(),
        proposed_at_ms: 1,
        reason: "a test".into(),
        document: document.clone(),
    };
    match config.apply(Command::Propose(Box::new(proposal))) {
        CommandResponse::Proposed(result) => result,
        other => panic!("{other:?}"),
    }
}

pub fn with_attempts(max_attempts: u32) -> Document {
    let mut document = document();
    document.engines.max_attempts = max_attempts;
    document
}

pub fn watcher(name: &str) -> ConfigWatcher {
    ConfigWatcher::new(
        Holder {
            router: name.into(),
            incarnation: "1".into(),
        },
        TIMING,
        Vec::new(),
    )
}

/// Renews the lease, with an immediate response.
pub fn poll(
    watcher: &mut ConfigWatcher,
    config: &mut ConfigState,
    now: Micros,
) -> Result<bool, GrantError> {
    let (id, renewal) = watcher.start_renewal(now);
    match config.apply(renewal) {
        CommandResponse::LeaseGranted(grant) => watcher.accept_grant(id, grant),
        other => panic!("{other:?}"),
    }
}

/// Returns a grant of one version without its document.
pub fn grant_of(number: u64) -> ConfigLeaseGrant {
    ConfigLeaseGrant {
        in_force: number,
        enforce: number,
        versions: Vec::new(),
        serial: 1,
        leases: None,
        lease_table: None,
    }
}

pub fn complete_rollout(config: &mut ConfigState, expired: Vec<(Holder, u64)>) -> u64 {
    match config.apply(Command::CompleteRollout {
        upto: config.latest(),
        expired,
    }) {
        CommandResponse::InForce(number) => number,
        other => panic!("{other:?}"),
    }
}
