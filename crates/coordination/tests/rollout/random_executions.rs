//! Random executions of rollouts with and without an injected fault.

use hoptiller_coordination::{
    Command, CommandResponse, ConfigLeaseGrant, ConfigState, ConfigWatcher, Decision,
    ExpiryTracker, GrantError, Holder, Micros,
};

use crate::support::{SECOND, TIMING, complete_rollout, propose, watcher, with_attempts};

const ROUTERS: usize = 4;
/// The index of the replica's clock, behind those of the routers.
const REPLICA: usize = ROUTERS;
const TICKS: u64 = 1200;
const TICK: Micros = 50_000;
/// The interval of the renewals of a router, in ticks.
const RENEWAL_TICKS: u64 = 10;
/// The interval at which the replica expires leases, in ticks.
const EXPIRY_CHECK_TICKS: u64 = 7;
/// The interval at which a replica that loses its leases restarts, in ticks: a multiple of the one of expiry checks.
const RESTART_TICKS: u64 = 210;

/// A fault that is simulated in an execution and must be found. The faults of the package itself need a cargo feature.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SimulatedFault {
    /// A router counts its lease from the response instead of the renewal.
    TermFromResponse,
    /// A lease never expires.
    LeaseNeverExpires,
    /// A version comes in force without waiting for the lease holders.
    SkipRolloutWait,
    /// A replica that restarts has lost the leases that it granted.
    LoseLeases,
}

/// A pseudo-random generator (SplitMix64), which makes an execution reproducible from its seed.
struct SeededGenerator(u64);

impl SeededGenerator {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % n
    }
}

/// A message in transit: a renewal, or the response to one.
struct Message {
    due: Micros,
    router: usize,
    id: u64,
    request: Option<Command>,
    grant: Option<ConfigLeaseGrant>,
}

/// An execution of four routers, a replica, and the messages between them.
struct Execution {
    fault: Option<SimulatedFault>,
    generator: SeededGenerator,
    config: ConfigState,
    routers: Vec<ConfigWatcher>,
    /// The rates of the clocks, in millionths of true time. They differ by the drift at most; the replica's is the
    /// last.
    rates_millionths: Vec<u64>,
    expiry: ExpiryTracker,
    messages: Vec<Message>,
    disconnected_until: Vec<Micros>,
    changes: u64,
}

impl Execution {
    fn new(seed: u64, fault: Option<SimulatedFault>) -> Execution {
        let mut generator = SeededGenerator(seed);
        let mut config = ConfigState::default();
        propose(&mut config, "0", None, &with_attempts(3)).expect("accepted");
        Execution {
            fault,
            config,
            routers: (0..ROUTERS).map(|n| watcher(&n.to_string())).collect(),
            rates_millionths: (0..=REPLICA)
                .map(|_| 999_000 + generator.below(2001))
                .collect(),
            expiry: ExpiryTracker::default(),
            messages: Vec::new(),
            disconnected_until: vec![0; ROUTERS],
            changes: 0,
            generator,
        }
    }

    fn clock(&self, process: usize, now: Micros) -> Micros {
        now * self.rates_millionths[process] / 1_000_000 + process as u64 * 77 * SECOND
    }

    /// Proposes another value than the last one, since a change that changes nothing contradicts nothing.
    fn propose_change(&mut self) {
        self.changes += 1;
        let latest = self.config.version(self.config.latest()).expect("kept");
        let last = latest.document.engines.max_attempts;
        let next = 1 + (last + self.generator.below(4) as u32) % 5;
        let _ = propose(
            &mut self.config,
            &self.changes.to_string(),
            None,
            &with_attempts(next),
        );
    }

    fn disconnect_a_router(&mut self, now: Micros) {
        let router = self.generator.below(ROUTERS as u64) as usize;
        self.disconnected_until[router] = now + self.generator.below(25) * SECOND;
    }

    /// Returns the delay of a message. On a slow link, a renewal or its response may take longer than a lease is valid.
    fn link_delay(&mut self) -> Micros {
        match self.generator.below(10) {
            0 => self.generator.below(14) * SECOND,
            _ => 0,
        }
    }

    /// Returns whether a message from or to a router is delivered.
    fn is_delivered(&mut self, router: usize, now: Micros) -> bool {
        self.disconnected_until[router] < now && self.generator.below(8) != 0
    }

    fn renew(&mut self, router: usize, now: Micros) {
        let delay = self.link_delay() + self.generator.below(200_000);
        let clock = self.clock(router, now);
        let (id, renewal) = self.routers[router].start_renewal(clock);
        if self.is_delivered(router, now) {
            self.messages.push(Message {
                due: now + delay,
                router,
                id,
                request: Some(renewal),
                grant: None,
            });
        }
    }

    fn deliver_due_messages(&mut self, now: Micros) {
        let messages = std::mem::take(&mut self.messages);
        let (due, rest): (Vec<Message>, Vec<Message>) =
            messages.into_iter().partition(|m| m.due <= now);
        self.messages = rest;
        for mut message in due {
            if let Some(renewal) = message.request.take() {
                self.receive_renewal(message, renewal, now);
            } else if let Some(grant) = message.grant {
                self.receive_grant(message.router, message.id, grant, now);
            }
        }
    }

    fn receive_renewal(&mut self, message: Message, renewal: Command, now: Micros) {
        let CommandResponse::LeaseGranted(grant) = self.config.apply(renewal) else {
            return;
        };
        let delay = self.link_delay();
        if self.is_delivered(message.router, now) {
            self.messages.push(Message {
                due: now + delay + TICK,
                request: None,
                grant: Some(grant),
                ..message
            });
        }
    }

    fn receive_grant(&mut self, router: usize, id: u64, grant: ConfigLeaseGrant, now: Micros) {
        let clock = self.clock(router, now);
        let watcher = &mut self.routers[router];
        if self.fault == Some(SimulatedFault::TermFromResponse) {
            watcher.set_sent_at(id, clock);
        }
        let accepted = watcher.accept_grant(id, grant);
        assert!(
            matches!(accepted, Ok(_) | Err(GrantError::Unsolicited)),
            "all grants come from one log: {accepted:?}"
        );
    }

    fn expire_leases(&mut self, tick: u64, now: Micros) {
        let mut expired = self
            .expiry
            .expired_config_leases(self.clock(REPLICA, now), &TIMING);
        let loses_leases = self.fault == Some(SimulatedFault::LoseLeases);
        if self.fault == Some(SimulatedFault::SkipRolloutWait)
            || (loses_leases && tick.is_multiple_of(RESTART_TICKS))
        {
            let all = self.config.holders();
            expired = all
                .map(|(holder, held): (&Holder, _)| (holder.clone(), held.serial))
                .collect();
        }
        complete_rollout(&mut self.config, expired);
    }

    /// Returns whether two routers enforce versions that contradict each other: the latest version that one enforces is
    /// older than the version in force for the other.
    fn has_conflict(&self, now: Micros) -> bool {
        let enforcing = self.routers.iter().enumerate();
        let versions: Vec<(u64, u64)> = enforcing
            .filter_map(
                |(n, router)| match router.decide(self.clock(n, now), "lookup") {
                    Decision::Allow { in_force, enforced } => Some((in_force, enforced)),
                    Decision::AllowInDoubt { in_force, enforced }
                        if self.fault == Some(SimulatedFault::LeaseNeverExpires) =>
                    {
                        Some((in_force, enforced))
                    }
                    _ => None,
                },
            )
            .collect();
        let contradict = |a: &(u64, u64), b: &(u64, u64)| a.1 < b.0;
        versions
            .iter()
            .any(|a| versions.iter().any(|b| contradict(a, b)))
    }

    /// Executes one tick, and returns whether there is a conflict after it.
    fn tick(&mut self, tick: u64) -> bool {
        let now = tick * TICK;
        if self.generator.below(60) == 0 {
            self.propose_change();
        }
        if self.generator.below(80) == 0 {
            self.disconnect_a_router(now);
        }
        if let Some(router) = (0..ROUTERS).find(|n| tick % RENEWAL_TICKS == *n as u64) {
            self.renew(router, now);
        }
        self.deliver_due_messages(now);
        self.expiry.observe(self.clock(REPLICA, now), &self.config);
        if tick.is_multiple_of(EXPIRY_CHECK_TICKS) {
            self.expire_leases(tick, now);
        }
        self.has_conflict(now)
    }
}

/// Executes a minute, and returns the number of ticks after which two routers enforced versions that contradict each
/// other, and the version in force at the end.
fn count_violations(seed: u64, fault: Option<SimulatedFault>) -> (u64, u64) {
    let mut execution = Execution::new(seed, fault);
    let violations = (0..TICKS).filter(|tick| execution.tick(*tick)).count();
    (violations as u64, execution.config.in_force())
}

#[test]
fn routers_never_enforce_conflicting_versions_in_300_random_executions_and_faults_are_found() {
    let (mut violations, mut completed_rollouts) = (0, 0);
    for seed in 0..300 {
        let (found, in_force) = count_violations(seed, None);
        violations += found;
        completed_rollouts += in_force - 1;
    }
    assert_eq!(violations, 0);
    assert!(
        completed_rollouts > 1000,
        "too few rollouts to prove anything: {completed_rollouts}"
    );
    for fault in [
        SimulatedFault::TermFromResponse,
        SimulatedFault::LeaseNeverExpires,
        SimulatedFault::SkipRolloutWait,
        SimulatedFault::LoseLeases,
    ] {
        let found = (0..60)
            .filter(|seed| count_violations(*seed, Some(fault)).0 > 0)
            .count();
        println!("{fault:?}: found in {found} of 60 executions");
        assert!(found >= 6, "{fault:?}: found in {found} of 60");
    }
}
