//! Tests of which leases a rollout waits for, and which grants a router accepts.

use hoptiller_coordination::{
    CommandResponse, ConfigLeaseGrant, ConfigState, ConfigWatcher, Decision, ExpiryTracker,
    GrantError, Holder,
};

use crate::common::document;
use crate::support::{
    SECOND, TIMING, complete_rollout, grant_of, poll, propose, watcher, with_attempts,
};

#[test]
fn a_rollout_waits_for_every_valid_lease_and_not_for_an_expired_one() {
    let mut config = ConfigState::default();
    assert_eq!(
        propose(&mut config, "first", None, &with_attempts(3)),
        Ok(1)
    );
    assert_eq!(
        config.in_force(),
        1,
        "the first version contradicts nothing"
    );
    let (mut a, mut b) = (watcher("a"), watcher("b"));
    let mut expiry = ExpiryTracker::default();
    for watcher in [&mut a, &mut b] {
        poll(watcher, &mut config, 0).expect("granted");
    }
    expiry.observe(1, &config);
    assert_eq!(
        propose(&mut config, "second", Some(1), &with_attempts(2)),
        Ok(2)
    );
    assert_eq!(
        complete_rollout(&mut config, expiry.expired_config_leases(SECOND, &TIMING)),
        1
    );
    poll(&mut a, &mut config, 2 * SECOND).expect("granted");
    assert_eq!(
        a.decide(2 * SECOND, "lookup"),
        Decision::Allow {
            in_force: 1,
            enforced: 2
        }
    );
    assert_eq!(
        a.merged_document()
            .map(|merged| merged.engines.max_attempts),
        Some(2),
        "the tighter value of both versions applies at once"
    );
    poll(&mut a, &mut config, 3 * SECOND).expect("granted");
    expiry.observe(3 * SECOND, &config);
    assert_eq!(
        complete_rollout(
            &mut config,
            expiry.expired_config_leases(3 * SECOND, &TIMING)
        ),
        1,
        "router b does not enforce version 2 yet"
    );
    assert_eq!(
        config
            .blocking_holders()
            .map(|(holder, _)| holder.router.as_str())
            .collect::<Vec<_>>(),
        ["b"]
    );
    let expired_at = 1 + TIMING.replica_term() + 1;
    assert!(b.is_in_doubt(TIMING.router_term()) && !b.is_in_doubt(TIMING.router_term() - 1));
    poll(&mut a, &mut config, expired_at - SECOND).expect("granted");
    expiry.observe(expired_at - SECOND, &config);
    assert_eq!(
        complete_rollout(
            &mut config,
            expiry.expired_config_leases(expired_at, &TIMING)
        ),
        2,
        "the lease of router b has expired"
    );
    assert_eq!(b.decide(expired_at, "load"), Decision::Reject);
    assert_eq!(
        b.decide(expired_at, "lookup"),
        Decision::AllowInDoubt {
            in_force: 1,
            enforced: 1
        }
    );
    poll(&mut b, &mut config, expired_at).expect("granted");
    assert_eq!(
        b.decide(expired_at, "load"),
        Decision::Allow {
            in_force: 2,
            enforced: 2
        }
    );
}

#[test]
fn a_lease_renewed_after_it_was_judged_expired_stays_valid() {
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &with_attempts(3)).expect("accepted");
    let mut a = watcher("a");
    poll(&mut a, &mut config, 0).expect("granted");
    let mut expiry = ExpiryTracker::default();
    expiry.observe(0, &config);
    propose(&mut config, "second", None, &with_attempts(2)).expect("accepted");
    let expired = expiry.expired_config_leases(20 * SECOND, &TIMING);
    assert_eq!(expired.len(), 1);
    // The router's renewal comes before the expiry in the log; its response is lost.
    let (_, renewal) = a.start_renewal(20 * SECOND);
    config.apply(renewal);
    assert_eq!(complete_rollout(&mut config, expired), 1);
}

#[test]
fn a_grant_of_a_rolled_back_replica_is_rejected() {
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &with_attempts(3)).expect("accepted");
    let old = config.clone();
    propose(&mut config, "second", None, &with_attempts(2)).expect("accepted");
    let mut a = watcher("a");
    poll(&mut a, &mut config, 0).expect("granted");
    assert_eq!(a.enforced(), 2);
    let (id, renewal) = a.start_renewal(SECOND);
    assert_eq!(old.clone().apply(renewal), CommandResponse::UnknownVersion);
    let versions: Vec<_> = old.version(1).cloned().into_iter().collect();
    let regressed = ConfigLeaseGrant {
        versions,
        ..grant_of(1)
    };
    assert_eq!(
        a.accept_grant(id, regressed),
        Err(GrantError::Regressed {
            reported: 1,
            known: 2
        })
    );
    // Another replica has the same version numbers with other documents.
    let mut other = ConfigState::default();
    propose(&mut other, "first", None, &with_attempts(3)).expect("accepted");
    propose(&mut other, "else", None, &with_attempts(9)).expect("accepted");
    propose(&mut other, "more", None, &with_attempts(8)).expect("accepted");
    assert_eq!(
        poll(&mut a, &mut other, 2 * SECOND),
        Err(GrantError::DigestMismatch(2))
    );
    assert!(
        a.is_in_doubt(TIMING.router_term()),
        "neither response has renewed the lease"
    );
    // A grant contains a document that does not match its digest.
    let mut inconsistent = ConfigLeaseGrant {
        versions: vec![config.version(2).expect("kept").clone()],
        ..grant_of(2)
    };
    inconsistent.versions[0].document.engines.max_attempts = 7;
    let mut b = watcher("b");
    let (id, _) = b.start_renewal(0);
    assert_eq!(
        b.accept_grant(id, inconsistent),
        Err(GrantError::Inconsistent)
    );
}

#[test]
fn versions_of_an_earlier_incarnation_are_known_but_grant_no_lease() {
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &document()).expect("accepted");
    let mut a = watcher("a");
    poll(&mut a, &mut config, 0).expect("granted");
    let restarted = Holder {
        router: "a".into(),
        incarnation: "2".into(),
    };
    let restarted = ConfigWatcher::new(restarted, TIMING, a.versions().to_vec());
    assert_eq!(restarted.decide(SECOND, "load"), Decision::Reject);
    assert_eq!(
        restarted.decide(SECOND, "lookup"),
        Decision::AllowInDoubt {
            in_force: 1,
            enforced: 1
        }
    );
    assert_eq!(restarted.decide(SECOND, "no such class"), Decision::Reject);
    assert_eq!(watcher("c").decide(SECOND, "lookup"), Decision::Reject);
}
