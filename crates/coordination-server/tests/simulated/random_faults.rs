//! Random crashes, partitions, message loss and replacements.

use std::collections::BTreeMap;

use hoptiller_coordination::CommandResponse;
use hoptiller_coordination_server::replica::RequestId;

use super::cluster::{Cluster, propose};

#[test]
fn random_faults_lose_no_accepted_version_and_replicas_agree() {
    random_faults("random", false);
}

#[test]
fn random_faults_with_replacements_lose_no_accepted_version() {
    random_faults("replacing", true);
}

fn random_faults(name: &str, replacing: bool) {
    for seed in 0..6 {
        let mut cluster = Cluster::new(&format!("{name}{seed}"), 100 + seed);
        // The members, and which replica is to be replaced by which.
        let (mut members, mut replacement): (Vec<u64>, Option<(u64, u64)>) = (vec![1, 2, 3], None);
        let mut memberships = 1;
        let mut accepted: BTreeMap<u64, u32> = BTreeMap::new();
        let mut open: Vec<(u64, RequestId, u32)> = Vec::new();
        for round in 0..400u32 {
            match cluster.random.below(12) {
                0 => cluster.loss_interval = [0, 20, 5][cluster.random.below(3) as usize],
                1 => {
                    let (a, b) = (
                        cluster.random.below(3) as usize,
                        cluster.random.below(3) as usize,
                    );
                    cluster.blocked.push((members[a], members[b]));
                }
                2 | 3 => cluster.blocked.clear(),
                4 if replacement.is_none()
                    && members.iter().all(|k| cluster.replicas.contains_key(k)) =>
                {
                    let k = members[cluster.random.below(3) as usize];
                    cluster.stop(k);
                    open.retain(|(id, ..)| *id != k);
                    if replacing && cluster.random.below(2) == 0 {
                        replacement = Some((k, members.iter().max().expect("three") + 1));
                    }
                }
                5 | 6 if replacement.is_none() => {
                    if let Some(k) = members
                        .iter()
                        .copied()
                        .find(|k| !cluster.replicas.contains_key(k))
                    {
                        cluster.start(k);
                    }
                }
                // Requested again and again at any replica, as by an administrator who gets no response.
                9 | 10 => {
                    if let Some((lost, new)) = replacement {
                        let k = members[cluster.random.below(3) as usize];
                        if cluster.replicas.contains_key(&k) {
                            cluster.replace(k, lost, new);
                        }
                        if cluster.join(new) {
                            members.retain(|k| *k != lost);
                            members.push(new);
                            (replacement, memberships) = (None, memberships + 1);
                        }
                    }
                }
                7 | 8 => {
                    let k = members[cluster.random.below(3) as usize];
                    if cluster.replicas.contains_key(&k) {
                        let request =
                            cluster.submit(k, propose(&format!("{seed}-{round}"), 1 + round));
                        open.push((k, request, 1 + round));
                    }
                }
                _ => {}
            }
            cluster.run(100);
            open.retain(
                |(k, request, attempts)| match cluster.answers.remove(&(*k, *request)) {
                    None => true,
                    Some(CommandResponse::Proposed(Ok(number))) => {
                        let before = accepted.insert(number, *attempts);
                        assert_eq!(before, None, "version {number} was given to two changes");
                        false
                    }
                    Some(_) => false,
                },
            );
        }
        cluster.loss_interval = 0;
        cluster.blocked.clear();
        // A replica that was not replaced returns.
        for k in members {
            if !cluster.replicas.contains_key(&k) {
                cluster.start(k);
            }
        }
        cluster.run(8000);
        assert_eq!(
            replacing,
            memberships > 2,
            "seed {seed}: {memberships} memberships"
        );
        cluster.replicas.retain(|_, replica| !replica.is_replaced());
        assert!(
            accepted.len() > 5,
            "seed {seed}: only {} changes",
            accepted.len()
        );
        let states: Vec<_> = cluster
            .replicas
            .values()
            .map(|c| c.config_state().clone())
            .collect();
        assert!(
            states.windows(2).all(|f| f[0] == f[1]),
            "seed {seed}: replicas differ"
        );
        for (number, attempts) in accepted {
            if let Some(version) = states[0].version(number) {
                assert_eq!(
                    version.document.engines.max_attempts, attempts,
                    "seed {seed}: version {number}"
                );
            } else {
                assert!(
                    number < states[0].in_force(),
                    "seed {seed}: version {number} is lost"
                );
            }
        }
    }
}
