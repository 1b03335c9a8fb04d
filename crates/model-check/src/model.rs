//! The configuration of the model: its bounds, constants and clocks, and the configuration and clients with which each
//! execution begins.

use hoptiller_coordination::fault_injection::{self, Fault};
use hoptiller_coordination::{
    Command, CommandResponse, ConfigState, Document, Holder, LeaseTiming, MIN_CONSECUTIVE_RENEWALS,
    Micros, Proposal, Shard, Task, TaskLeaseClient,
};

/// Duration of a tick.
pub const TICK: Micros = 1_000_000;

/// The shard that all processes request.
pub(crate) const SHARD: Shard = Shard {
    task: Task::Discovery,
    index: 0,
};
/// Number of replicas.
pub(crate) const REPLICAS: usize = 3;
/// The replica that applies commands late, except those that it appends itself. The others apply commands at once.
pub(crate) const LATE_REPLICA: usize = 2;
/// Bound of the drift that leases allow for, the maximum difference between the rates of two clocks, in millionths. The
/// model runs each clock this much fast or slow.
const DRIFT_MILLIONTHS: u64 = 100_000;
const MILLION: u64 = 1_000_000;

/// The bounds of a check.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Duration of an execution, in ticks.
    pub ticks: u32,
    /// Term of leases, in ticks.
    pub term: u32,
    /// Maximum number of renewal requests of each process.
    pub max_renewals: u32,
    /// Maximum number of crashes of replicas, in total.
    pub max_crashes: u32,
    /// Maximum number of renewal requests that are duplicated, in total.
    pub max_duplicates: u32,
    /// Maximum number of ticks for which an operation is in flight, which is the margin of leases.
    pub max_operation_ticks: u32,
    /// Whether the second process starts only when the check begins, without earlier renewals.
    pub second_starts_late: bool,
    /// Number of processes that request the lease. The second is another incarnation of the first one's router.
    pub processes: usize,
}

/// The model of replicas and processes that contend for one lease.
#[derive(Clone, Debug)]
pub struct LeaseModel {
    /// The bounds of the check.
    pub limits: Limits,
    pub(crate) timing: LeaseTiming,
    /// The configuration in which executions begin.
    pub(crate) initial: ConfigState,
    /// The lease client of each process after enough consecutive renewals, and the id of its next renewal.
    pub(crate) clients: Vec<(TaskLeaseClient, u64)>,
}

/// Returns the identity of a process as a holder. The first two processes are incarnations of one router.
pub(crate) fn holder(process: usize) -> Holder {
    let router = match process {
        0 | 1 => "r1".to_owned(),
        _ => format!("r{process}"),
    };
    let incarnation = match fault_injection::is_injected(Fault::IgnoreIncarnation) {
        true => String::new(),
        false => process.to_string(),
    };
    Holder {
        router,
        incarnation,
    }
}

/// Returns a configuration with one task of one shard.
fn initial_config() -> ConfigState {
    let mut config = ConfigState::default();
    let text = r#"{"form": 1, "kinds": {"a": 8}, "tasks": {"list": 1},
        "classes": {"lookup": {"aim": "1s", "patience": "7s", "repeat": "safe"}}, "engines": {},
        "rules": {"start_capacity": 0.3, "ramp": "14s", "overload": 3, "fall": "2s"}}"#;
    if let Ok(document) = Document::from_json(text.as_bytes()) {
        config.apply(Command::Propose(Box::new(Proposal {
            change_name: "first".to_owned(),
            base: None,
            author: "check".to_owned(),
            proposed_at_ms: 1,
            reason: "check".to_owned(),
            document,
        })));
    }
    config
}

/// Runs renewals of the processes until they are eligible for leases.
fn renew_until_eligible(
    config: &mut ConfigState,
    clients: &mut [(TaskLeaseClient, u64)],
    second_starts_late: bool,
) {
    for _ in 0..=MIN_CONSECUTIVE_RENEWALS + 1 {
        for (process, (leases, next_id)) in clients.iter_mut().enumerate() {
            if process == 1 && second_starts_late {
                continue;
            }
            let renewal = Command::RenewLease {
                holder: holder(process),
                enforced: 1,
                in_force: 1,
                offer: Some(leases.start_renewal(*next_id, 0)),
            };
            if let CommandResponse::LeaseGranted(grant) = config.apply(renewal) {
                let (granted, table) = (grant.leases.as_deref(), grant.lease_table.as_ref());
                leases.accept_grant(*next_id, 0, grant.serial, granted, table);
            }
            *next_id += 1;
        }
    }
}

impl LeaseModel {
    /// Creates a model in which the processes have renewed often enough to be assigned leases, except a second process that
    /// starts late.
    pub fn new(limits: Limits) -> LeaseModel {
        let timing = LeaseTiming {
            term: Micros::from(limits.term) * TICK,
            drift: DRIFT_MILLIONTHS,
        };
        let margin = Micros::from(limits.max_operation_ticks) * TICK;
        let mut initial = initial_config();
        let mut clients = vec![(TaskLeaseClient::new(&timing, margin), 0); limits.processes];
        renew_until_eligible(&mut initial, &mut clients, limits.second_starts_late);
        LeaseModel {
            limits,
            timing,
            initial,
            clients,
        }
    }

    /// Returns the time by a process's clock. The last process's clock is fast by the drift, those of the others are slow.
    pub(crate) fn process_clock(&self, process: usize, now: u32) -> Micros {
        let is_fast = process + 1 == self.limits.processes;
        drifted(now, is_fast)
    }

    /// Returns the time by a replica's clock. The first replica's clock is slow by the drift, those of the others are fast.
    pub(crate) fn replica_clock(&self, replica: usize, now: u32) -> Micros {
        drifted(now, replica != 0)
    }
}

fn drifted(now: u32, is_fast: bool) -> Micros {
    let rate = match is_fast {
        true => MILLION + DRIFT_MILLIONTHS,
        false => MILLION - DRIFT_MILLIONTHS,
    };
    Micros::from(now) * TICK * rate / MILLION
}
