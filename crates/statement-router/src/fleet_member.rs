//! A router's membership in a coordinated fleet: its config lease, the configuration versions that it enforces, and its
//! task leases.
//!
//! A lease can expire at any moment, so each operation is authorized right before it begins. A router without
//! `agreement` in its settings has no membership.

mod operation;
mod renewal;
mod version_file;

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use event_listener::EventListener;
use hoptiller_coordination::{ConfigWatcher, Decision, Document, Holder, Micros, Shard, Task};
use hoptiller_coordination_client::{CallError, Clock, CoordinationClient, Secret, wire};
use hoptiller_fleet_tasks::TaskAssignment;
use hoptiller_router_core::group_of;
use hoptiller_statement::extra::ConfigVersions;

use crate::settings::CoordinationSettings;
use crate::task_leases::TaskLeases;
use version_file::VersionFile;

pub use operation::LeasedOperation;

/// Timeout of a call to each replica.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// A router's membership in a coordinated fleet.
pub struct FleetMember {
    watcher: RefCell<ConfigWatcher>,
    clock: Clock,
    replicas: CoordinationClient,
    settings: CoordinationSettings,
    version_file: Option<VersionFile>,
    /// Whether this router can apply the enforced versions. If not, it rejects every class.
    can_apply_versions: Cell<bool>,
    task_leases: TaskLeases,
    last_warning: Cell<Option<Micros>>,
    was_in_doubt: Cell<bool>,
}

impl FleetMember {
    /// Creates the membership of this incarnation of a router, without a lease. The versions that an earlier
    /// incarnation has stored in the state directory are enforced from the start.
    pub fn new(
        settings: CoordinationSettings,
        secret: Secret,
        router: &str,
        incarnation: &str,
        state_dir: Option<&Path>,
        clock: Clock,
    ) -> Rc<FleetMember> {
        let version_file = state_dir.map(VersionFile::new);
        let known = version_file.as_ref().map(VersionFile::load);
        let holder = Holder {
            router: router.to_owned(),
            incarnation: incarnation.to_owned(),
        };
        let replicas = CoordinationClient::new(settings.replicas.clone(), secret);
        replicas.set_preferred(group_of(router) as usize);
        let timing = settings.lease_timing();
        let task_leases = TaskLeases::new(&timing, clock);
        let watcher = ConfigWatcher::new(holder, timing, known.unwrap_or_default());
        Rc::new(FleetMember {
            watcher: RefCell::new(watcher),
            clock,
            replicas,
            settings,
            version_file,
            can_apply_versions: Cell::new(true),
            task_leases,
            last_warning: Cell::new(None),
            was_in_doubt: Cell::new(true),
        })
    }

    /// Returns the versions under which statements of a class may be processed now, or `None` if they must be
    /// rejected.
    pub fn authorize(&self, class: &str) -> Option<ConfigVersions> {
        if !self.can_apply_versions.get() {
            return None;
        }
        let decision = self.watcher.borrow().decide(self.clock.now(), class);
        let (in_force, enforced, in_doubt) = match decision {
            Decision::Allow { in_force, enforced } => (in_force, enforced, false),
            Decision::AllowInDoubt { in_force, enforced } => (in_force, enforced, true),
            Decision::Reject => return None,
        };
        Some(ConfigVersions {
            in_force,
            enforced,
            in_doubt,
        })
    }

    /// Returns the merged document of the enforced versions, or `None` if there is none yet.
    pub fn merged_document(&self) -> Option<Document> {
        self.watcher.borrow().merged_document().cloned()
    }

    fn merged_document_satisfies(&self, predicate: impl FnOnce(&Document) -> bool) -> bool {
        self.watcher
            .borrow()
            .merged_document()
            .is_some_and(predicate)
    }

    /// Returns whether the enforced versions have a class for statements that name none.
    pub fn has_default_class(&self) -> bool {
        self.merged_document_satisfies(|document| document.default_class.is_some())
    }

    /// Returns whether the configured endpoint list lets an engine accept new statements. `started_at_ms` is the
    /// start time of the engine's process in ms since 1970.
    pub fn accepts_work(&self, engine: &str, started_at_ms: u64) -> bool {
        !self.merged_document_satisfies(|document| {
            let list = document.list.as_ref();
            list.is_some_and(|list| !list.accepts_work(engine, started_at_ms))
        })
    }

    /// Sets whether this router can apply the enforced versions.
    pub fn set_can_apply_versions(&self, can_apply_versions: bool) {
        self.can_apply_versions.set(can_apply_versions);
    }

    /// Returns the versions that are enforced now. `in_doubt` is set while the config lease has expired or is not yet
    /// granted.
    pub fn versions(&self) -> ConfigVersions {
        let watcher = self.watcher.borrow();
        ConfigVersions {
            in_force: watcher.in_force(),
            enforced: watcher.enforced(),
            in_doubt: watcher.is_in_doubt(self.clock.now()),
        }
    }

    /// Returns whether the fleet has tasks that one router performs for all.
    fn has_tasks(&self) -> bool {
        self.merged_document_satisfies(|document| !document.tasks.is_empty())
    }

    /// Returns which router performs a shard of a task now.
    pub fn assignment(&self, shard: Shard) -> TaskAssignment {
        if self.has_tasks() {
            self.task_leases.assignment(shard, self.versions().in_doubt)
        } else {
            TaskAssignment::EachRouter
        }
    }

    /// Returns the number of shards of a task.
    pub fn shard_count(&self, task: Task) -> u32 {
        self.task_leases.shard_count(task)
    }

    /// Returns the last note of a shard, from any holder of its lease.
    pub fn last_note(&self, shard: Shard) -> Option<String> {
        self.task_leases.last_note(shard)
    }

    /// Listens for changes of the task leases of any router.
    pub fn listen_leases_changed(&self) -> EventListener {
        self.task_leases.listen_changed()
    }

    /// Begins an operation for the whole fleet under the lease of a shard. Returns `None` if this router holds no
    /// valid lease, has requested its release, or is handing over its leases.
    pub fn begin_operation(self: &Rc<Self>, shard: Shard) -> Option<LeasedOperation> {
        let guard = self.task_leases.begin_operation(shard)?;
        Some(LeasedOperation::new(self.clone(), guard))
    }

    /// Sends the notes of operations to the replicas. Never returns.
    pub async fn publish_notes(self: Rc<Self>) {
        let holder = self.holder();
        self.task_leases
            .publish_notes(&holder, &self.replicas)
            .await;
    }

    /// Accepts no further task leases and releases those held. Returns whether all are released.
    pub async fn hand_over_tasks(&self) -> bool {
        let timeout = self.settings.lease_term / 2;
        !self.has_tasks() || self.task_leases.hand_over(timeout).await
    }

    /// Releases the config lease, after which no operation is allowed under it. If the call fails, the lease expires.
    pub async fn release_lease(&self) {
        let holder = self.holder();
        let released: Result<(), CallError> = self
            .replicas
            .call(wire::RELEASE_LEASE, Some(&holder), CALL_TIMEOUT)
            .await;
        if let Err(error) = released {
            tracing::warn!(%error, "config lease not released; it expires");
        }
    }

    fn holder(&self) -> Holder {
        self.watcher.borrow().holder().clone()
    }
}
