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

fn random_faults(name: &str, replacing: bool) {
    for seed in 0..6 {
        let mut run = FaultRun::new(name, seed, replacing);
        for round in 0..400 {
            run.inject_fault(round);
            run.cluster.run(100);
            run.collect_answers();
        }
        run.heal();
        run.check();
    }
}

/// A proposal without an answer.
struct OpenProposal {
    replica: u64,
    request: RequestId,
    attempts: u32,
}

/// A replica that is replaced by another.
#[derive(Clone, Copy)]
struct PendingReplacement {
    lost: u64,
    new: u64,
}

struct FaultRun {
    cluster: Cluster,
    seed: u64,
    replacing: bool,
    members: Vec<u64>,
    replacement: Option<PendingReplacement>,
    memberships: u32,
    /// By version: the setting that was proposed with it.
    accepted: BTreeMap<u64, u32>,
    open: Vec<OpenProposal>,
}

impl FaultRun {
    fn new(name: &str, seed: u64, replacing: bool) -> FaultRun {
        FaultRun {
            cluster: Cluster::new(&format!("{name}{seed}"), 100 + seed),
            seed,
            replacing,
            members: vec![1, 2, 3],
            replacement: None,
            memberships: 1,
            accepted: BTreeMap::new(),
            open: Vec::new(),
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
                self.cluster.blocked.push(link);
            }
            2 | 3 => self.cluster.blocked.clear(),
            4 => self.crash(),
            5 | 6 => self.restart(),
            7 | 8 => self.propose(round),
            9 | 10 => self.replace(),
            _ => {}
        }
    }

    /// Stops a replica where all run, in some runs never to return.
    fn crash(&mut self) {
        let all_run = self.members.iter().all(|member| self.is_running(*member));
        if self.replacement.is_some() || !all_run {
            return;
        }
        let lost = self.random_member();
        self.cluster.stop(lost);
        self.open.retain(|proposal| proposal.replica != lost);
        if self.replacing && self.cluster.random.below(2) == 0 {
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

    /// Requested again and again at any replica, as by an administrator who gets no response.
    fn replace(&mut self) {
        let Some(PendingReplacement { lost, new }) = self.replacement else {
            return;
        };
        let replica = self.random_member();
        if self.is_running(replica) {
            self.cluster.replace(replica, lost, new);
        }
        if self.cluster.join(new) {
            self.members.retain(|member| *member != lost);
            self.members.push(new);
            self.replacement = None;
            self.memberships += 1;
        }
    }

    fn propose(&mut self, round: u32) {
        let replica = self.random_member();
        if self.is_running(replica) {
            let attempts = 1 + round;
            let command = propose(&format!("{}-{round}", self.seed), attempts);
            self.open.push(OpenProposal {
                replica,
                request: self.cluster.submit(replica, command),
                attempts,
            });
        }
    }

    fn collect_answers(&mut self) {
        let (answers, accepted) = (&mut self.cluster.answers, &mut self.accepted);
        self.open.retain(
            |proposal| match answers.remove(&(proposal.replica, proposal.request)) {
                None => true,
                Some(CommandResponse::Proposed(Ok(number))) => {
                    let before = accepted.insert(number, proposal.attempts);
                    assert_eq!(before, None, "version {number} was given to two changes");
                    false
                }
                Some(_) => false,
            },
        );
    }

    /// Ends all faults. A replica that was not replaced returns.
    fn heal(&mut self) {
        self.cluster.loss_interval = 0;
        self.cluster.blocked.clear();
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
        let (seed, memberships, accepted) = (self.seed, self.memberships, self.accepted.len());
        assert_eq!(
            self.replacing,
            memberships > 2,
            "seed {seed}: {memberships} memberships"
        );
        assert!(accepted > 5, "seed {seed}: only {accepted} changes");
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
