//! Tests of the operations under a lease, the notes of its holder, and its end.

use hoptiller_coordination::{
    Command, CommandResponse, LeaseOffer, MAX_NOTE_BYTES, MIN_CONSECUTIVE_RENEWALS, NoteError,
};

use crate::cluster::{MARGIN, TIMING, TestFleet, holder, shard};

#[test]
fn a_late_response_does_not_restore_a_released_lease() {
    let mut cluster = TestFleet::new(1);
    cluster.join("r0", "1");
    cluster.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    let router = holder("r0", "1");
    assert!(cluster.client(&router).is_holding(cluster.now, shard(0)));
    // A response that grants the lease is late.
    let (late_id, late_grant) = cluster.renew(&router);
    assert_eq!(late_grant.leases.as_ref().map(Vec::len), Some(1));
    cluster.client_mut(&router).request_release(shard(0));
    let (id, grant) = cluster.renew(&router);
    cluster.receive(&router, late_id, &late_grant);
    assert!(
        !cluster.client(&router).is_holding(cluster.now, shard(0)),
        "the router has released the lease with its last renewal"
    );
    cluster.receive(&router, id, &grant);
    assert!(!cluster.client(&router).is_holding(cluster.now, shard(0)));
    // The last renewal was sent before the previous response was received, so only later renewals confirm the release.
    cluster.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    assert!(
        cluster.client(&router).is_holding(cluster.now, shard(0)),
        "there is no other router, so it holds the shard again under another fencing token"
    );
    // An older response without the new lease does not end it.
    let (first_id, mut old) = cluster.renew(&router);
    let (second_id, new) = cluster.renew(&router);
    old.leases = Some(Vec::new());
    cluster.receive(&router, second_id, &new);
    cluster.receive(&router, first_id, &old);
    assert!(cluster.client(&router).is_holding(cluster.now, shard(0)));
}

#[test]
fn a_late_expiry_or_release_frees_nothing() {
    let mut cluster = TestFleet::new(1);
    cluster.join("r0", "1");
    cluster.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    let router = holder("r0", "1");
    // A replica judges the lease expired, but the holder's renewal comes before the expiry in the log.
    cluster.expiry.observe(cluster.now, &cluster.config);
    let expired = cluster
        .expiry
        .expired_task_leases(cluster.now + 2 * TIMING.term, &TIMING);
    assert_eq!(expired.len(), 1);
    let (id, grant) = cluster.renew(&router);
    cluster.receive(&router, id, &grant);
    cluster.config.apply(Command::ExpireTaskLeases(expired));
    assert_eq!(
        cluster.count_held_by(&router),
        1,
        "the lease was renewed in the meantime"
    );
    // A duplicated renewal releases an earlier lease of that shard.
    let token = cluster.config.lease_table().updates_since(0).entries[0]
        .holder
        .as_ref()
        .expect("held")
        .1;
    let offer = Some(LeaseOffer {
        acknowledged_serial: 1,
        accepts_leases: true,
        released: vec![(shard(0), token - 1)],
        table_revision: 0,
    });
    cluster.config.apply(Command::RenewLease {
        holder: router.clone(),
        enforced: 1,
        in_force: 1,
        offer,
    });
    assert_eq!(
        cluster.config.lease_table().updates_since(0).entries[0].holder,
        Some((router, token)),
        "the current lease stays"
    );
}

#[test]
fn an_operation_begins_only_with_time_to_end_and_delays_the_release() {
    let mut cluster = TestFleet::new(1);
    cluster.join("r0", "1");
    cluster.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    let (router, renewed_at) = (holder("r0", "1"), cluster.now);
    let expires_at = renewed_at + TIMING.router_term() - MARGIN;
    let leases = cluster.client_mut(&router);
    assert!(
        leases
            .begin_operation(renewed_at, shard(0), expires_at - renewed_at)
            .is_none(),
        "the operation would end too late"
    );
    let guard = leases
        .begin_operation(renewed_at, shard(0), expires_at - renewed_at - 1)
        .expect("the operation ends in time");
    assert_eq!(guard.expires_at, expires_at);
    assert!(
        leases.is_still_valid(expires_at - 1, &guard) && !leases.is_still_valid(expires_at, &guard),
        "the lease is checked again before the operation is sent"
    );
    leases.drain();
    assert!(
        leases.begin_operation(renewed_at, shard(0), 0).is_none(),
        "no new operation begins while the router drains"
    );
    let (id, grant) = cluster.renew(&router);
    cluster.receive(&router, id, &grant);
    assert_eq!(
        cluster.count_held_by(&router),
        1,
        "the lease is not released while an operation runs under it"
    );
    let leases = cluster.client_mut(&router);
    assert!(
        leases.end_operation(&guard),
        "the lease can be released now"
    );
    let (id, grant) = cluster.renew(&router);
    cluster.receive(&router, id, &grant);
    assert_eq!(cluster.count_held_by(&router), 0);
}

#[test]
fn only_the_current_holder_records_notes_and_a_repeated_note_is_no_change() {
    let mut cluster = TestFleet::new(2);
    cluster.join("r0", "1");
    cluster.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    let router = holder("r0", "1");
    let now = cluster.now;
    let guard = cluster
        .client_mut(&router)
        .begin_operation(now, shard(0), 0)
        .expect("the lease is held");
    let note = |fencing_token, text: &str| Command::RecordNote {
        holder: router.clone(),
        shard: shard(0),
        fencing_token,
        text: text.into(),
    };
    assert_eq!(
        cluster.config.apply(note(guard.fencing_token, "so far")),
        CommandResponse::NoteRecorded(Ok(()))
    );
    assert_eq!(
        cluster.config.apply(note(guard.fencing_token - 1, "old")),
        CommandResponse::NoteRecorded(Err(NoteError::StaleToken))
    );
    let other = Command::RecordNote {
        holder: holder("r0", "2"),
        shard: shard(0),
        fencing_token: guard.fencing_token,
        text: "x".into(),
    };
    assert_eq!(
        cluster.config.apply(other),
        CommandResponse::NoteRecorded(Err(NoteError::StaleToken)),
        "another incarnation does not hold the lease"
    );
    let long = "x".repeat(MAX_NOTE_BYTES + 1);
    assert_eq!(
        cluster.config.apply(note(guard.fencing_token, &long)),
        CommandResponse::NoteRecorded(Err(NoteError::TooLong))
    );
    let revision = cluster.config.lease_table().revision();
    assert_eq!(
        cluster.config.apply(note(guard.fencing_token, "so far")),
        CommandResponse::NoteRecorded(Ok(()))
    );
    assert_eq!(
        cluster.config.lease_table().revision(),
        revision,
        "recording the same note again changes nothing"
    );
    let entries = cluster
        .config
        .lease_table()
        .updates_since(revision - 1)
        .entries;
    assert_eq!(
        entries
            .iter()
            .map(|entry| (entry.shard, entry.note.as_deref()))
            .collect::<Vec<_>>(),
        [(shard(0), Some("so far"))]
    );
    // The next holder continues from the recorded note.
    cluster.join("r1", "1");
    cluster.rounds(MIN_CONSECUTIVE_RENEWALS);
    cluster.routers.remove(&router);
    cluster.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    let next = cluster.client(&holder("r1", "1"));
    assert_eq!(
        next.shard_status(shard(0))
            .and_then(|status| status.note.as_deref()),
        Some("so far")
    );
    assert!(next.is_holding(cluster.now, shard(0)));
}
