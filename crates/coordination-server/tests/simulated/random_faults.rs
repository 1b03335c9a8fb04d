//! Random crashes, partitions, message loss and replacements.

use std::collections::BTreeMap;

use hoptiller_coordination::CommandResponse;
use hoptiller_coordination_server::request::RequestId;

use super::cluster::{Cluster, propose};

#[test]
fn random_faults_lose_no_accepted_version_and_replicas_agree() {
    random_faults("random", false);
}

#[test]
fn random_faults_with_replacements_lose_no_accepted_version() {
    random_faults("replacing", true);
}

fn random_faults(name: &str, with_replacements: bool) {
    for seed in 0..6 {
        let mut run = FaultRun::new(name, seed, with_replacements);
        for round in 0..400 {
            run.inject_fault(round);
            run.cluster.run(100);
            run.collect_responses();
        }
        run.end_faults();
        run.check();
    }
}

/// A proposal without a response.
struct PendingProposal {
    replica: u64,
    request: RequestId,
    attempts: u32,
}

/// A replacement that is not complete.
#[derive(Clone, Copy)]
struct PendingReplacement {
    lost: u64,
    new: u64,
}

struct FaultRun {
    cluster: Cluster,
    seed: u64,
    with_replacements: bool,
    members: Vec<u64>,
    replacement: Option<PendingReplacement>,
    membership_count: u32,
    /// Accepted versions, with the `max_attempts` setting that was proposed for each.
    accepted: BTreeMap<u64, u32>,
    pending_proposals: Vec<PendingProposal>,
}

impl FaultRun {
    fn new(name: &str, seed: u64, with_replacements: bool) -> FaultRun {
        FaultRun {
            cluster: Cluster::new(&format!("{name}{seed}"), 100 + seed),
            seed,
            with_replacements,
            members: vec![1, 2, 3],
            replacement: None,
            membership_count: 1,
            accepted: BTreeMap::new(),
            pending_proposals: Vec::new(),
        }
    }

    fn random_member(&mut self) -> u64 {
        self.members[self.cluster.random.below(3) as usize]
    }

    fn is_running(&self, member: u64) -> bool {
        self.cluster.replicas.contains_key(&member)
    }

    fn inject_fault(&mut self, round: u32) {
        match self.cluster.random.below(12) {
            0 => self.cluster.loss_interval = [0, 20, 5][self.cluster.random.below(3) as usize],
            1 => {
                let link = (self.random_member(), self.random_member());
                self.cluster.blocked_links.push(link);
            }
            2 | 3 => self.cluster.blocked_links.clear(),
            4 => self.crash(),
            5 | 6 => self.restart(),
            7 | 8 => self.propose(round),
            9 | 10 => self.replace(),
            _ => {}
        }
    }

    /// Stops a replica if all are running. In runs with replacements, every second stopped replica on average is never
    /// restarted but replaced.
    fn crash(&mut self) {
        let all_run = self.members.iter().all(|member| self.is_running(*member));
        if self.replacement.is_some() || !all_run {
            return;
        }
        let lost = self.random_member();
        self.cluster.stop(lost);
        self.pending_proposals
            .retain(|proposal| proposal.replica != lost);
        if self.with_replacements && self.cluster.random.below(2) == 0 {
            let new = self.members.iter().max().expect("three") + 1;
            self.replacement = Some(PendingReplacement { lost, new });
        }
    }

    fn restart(&mut self) {
        if self.replacement.is_some() {
            return;
        }
        let stopped = self
            .members
            .iter()
            .find(|member| !self.is_running(**member));
        if let Some(member) = stopped.copied() {
            self.cluster.start(member);
        }
    }

    /// Submits the pending replacement at a random replica, repeatedly, as an administrator does who gets no response.
    fn replace(&mut self) {
        let Some(PendingReplacement { lost, new }) = self.replacement else {
            return;
        };
        let replica = self.random_member();
        if self.is_running(replica) {
            self.cluster.submit_replacement(replica, lost, new);
        }
        if self.cluster.join(new) {
            self.members.retain(|member| *member != lost);
            self.members.push(new);
            self.replacement = None;
            self.membership_count += 1;
        }
    }

    fn propose(&mut self, round: u32) {
        let replica = self.random_member();
        if self.is_running(replica) {
            let attempts = 1 + round;
            let command = propose(&format!("{}-{round}", self.seed), attempts);
            self.pending_proposals.push(PendingProposal {
                replica,
                request: self.cluster.submit(replica, command),
                attempts,
            });
        }
    }

    fn collect_responses(&mut self) {
        let (responses, accepted) = (&mut self.cluster.responses, &mut self.accepted);
        self.pending_proposals.retain(|proposal| {
            match responses.remove(&(proposal.replica, proposal.request)) {
                None => true,
                Some(CommandResponse::Proposed(Ok(number))) => {
                    let previous = accepted.insert(number, proposal.attempts);
                    assert_eq!(previous, None, "two proposals have version {number}");
                    false
                }
                Some(_) => false,
            }
        });
    }

    /// Ends all faults, restarts stopped members, runs for 8 s and removes replaced replicas.
    fn end_faults(&mut self) {
        self.cluster.loss_interval = 0;
        self.cluster.blocked_links.clear();
        for member in self.members.clone() {
            if !self.is_running(member) {
                self.cluster.start(member);
            }
        }
        self.cluster.run(8000);
        self.cluster
            .replicas
            .retain(|_, replica| !replica.is_replaced());
    }

    fn check(&self) {
        let (seed, membership_count, accepted) =
            (self.seed, self.membership_count, self.accepted.len());
        assert_eq!(
            self.with_replacements,
            membership_count > 2,
            "seed {seed}: {membership_count} memberships"
        );
        assert!(
            accepted > 5,
            "seed {seed}: only {accepted} versions were accepted"
        );
        let replicas = self.cluster.replicas.values();
        let states: Vec<_> = replicas.map(|replica| replica.config_state()).collect();
        assert!(
            states.windows(2).all(|pair| pair[0] == pair[1]),
            "seed {seed}: replicas differ"
        );
        for (number, attempts) in &self.accepted {
            if let Some(version) = states[0].version(*number) {
                assert_eq!(
                    version.document.engines.max_attempts, *attempts,
                    "seed {seed}: version {number}"
                );
            } else {
                assert!(
                    *number < states[0].in_force(),
                    "seed {seed}: version {number} is lost"
                );
            }
        }
    }
}
