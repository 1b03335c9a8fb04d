//! A router's task leases: the offers and grants in each renewal of its config lease, the authorization of
//! operations, and the notes for the other routers. A note is the latest result of a task, such as the engine list,
//! that the holder of its lease publishes.

mod note_publisher;

use std::cell::RefCell;
use std::time::Duration;

use async_io::Timer;
use event_listener::{Event, EventListener};
use hoptiller_coordination::{
    Holder, LeaseGuard, LeaseOffer, LeaseTableUpdate, LeaseTiming, Micros, Shard, Task,
    TaskLeaseClient, TaskLeaseGrant,
};
use hoptiller_coordination_client::{Clock, CoordinationClient};
use hoptiller_fleet_tasks::{TaskAssignment, task_assignment};

use note_publisher::NotePublisher;

/// Part of each lease term that is not used, so that a request reaches its target before the lease expires.
const EXPIRY_MARGIN: Micros = 100_000;
/// Interval of renewals while leases are handed over. Renewals repeat because each can be lost.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(20);

/// A router's task leases.
pub struct TaskLeases {
    client: RefCell<TaskLeaseClient>,
    clock: Clock,
    notes: NotePublisher,
    changed: Event,
    renewal_requested: Event,
}

impl TaskLeases {
    /// Creates the state of a router that holds no lease yet.
    pub fn new(timing: &LeaseTiming, clock: Clock) -> TaskLeases {
        TaskLeases {
            client: RefCell::new(TaskLeaseClient::new(timing, EXPIRY_MARGIN)),
            clock,
            notes: NotePublisher::default(),
            changed: Event::new(),
            renewal_requested: Event::new(),
        }
    }

    /// Listens for changes of the leases of this router or, as far as known, of others.
    pub fn listen_changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Listens for requests to renew early because a lease can be released.
    pub fn listen_renewal_requested(&self) -> EventListener {
        self.renewal_requested.listen()
    }

    /// Starts a renewal and returns the lease offer to send with it.
    pub fn start_renewal(&self, id: u64) -> LeaseOffer {
        let now = self.clock.now();
        self.client.borrow_mut().start_renewal(id, now)
    }

    /// Accepts the response to a renewal.
    pub fn accept_grant(
        &self,
        id: u64,
        serial: u64,
        leases: Option<&[TaskLeaseGrant]>,
        table: Option<&LeaseTableUpdate>,
    ) {
        let now = self.clock.now();
        let has_changed = self
            .client
            .borrow_mut()
            .accept_grant(id, now, serial, leases, table);
        if has_changed {
            self.changed.notify(usize::MAX);
        }
    }

    /// Abandons a renewal that received no response.
    pub fn abandon_renewal(&self, id: u64) {
        self.client.borrow_mut().abandon_renewal(id);
    }

    /// Returns the known revision of the lease table.
    pub fn table_revision(&self) -> u64 {
        self.client.borrow().table_revision()
    }

    /// Returns which router performs a shard now. `in_doubt` tells whether the config lease of this router has
    /// expired or is not yet granted.
    pub fn assignment(&self, shard: Shard, in_doubt: bool) -> TaskAssignment {
        task_assignment(&self.client.borrow(), self.clock.now(), shard, in_doubt)
    }

    /// Returns the number of shards of a task.
    pub fn shard_count(&self, task: Task) -> u32 {
        self.client.borrow().shard_count(task)
    }

    /// Returns the last note of a shard, from any holder of its lease.
    pub fn last_note(&self, shard: Shard) -> Option<String> {
        let client = self.client.borrow();
        client.shard_status(shard)?.note.clone()
    }

    /// Begins an operation under the lease of a shard. Returns `None` if this router holds no valid lease, has
    /// requested its release, or is handing over its leases. Requests of the operation time out when the lease
    /// expires.
    pub fn begin_operation(&self, shard: Shard) -> Option<LeaseGuard> {
        let now = self.clock.now();
        self.client.borrow_mut().begin_operation(now, shard, 0)
    }

    /// Returns the maximum duration of a request of an operation that is sent now, or `None` if it must no longer be
    /// sent.
    pub fn remaining(&self, guard: &LeaseGuard) -> Option<Duration> {
        let now = self.clock.now();
        let remaining = Duration::from_micros(guard.expires_at.saturating_sub(now));
        self.client
            .borrow()
            .is_still_valid(now, guard)
            .then_some(remaining)
    }

    /// Ends an operation. Requests a renewal if the lease can now be released.
    pub fn end_operation(&self, guard: &LeaseGuard) {
        if self.client.borrow_mut().end_operation(guard) {
            self.renewal_requested.notify(usize::MAX);
        }
    }

    /// Requests the release of a lease whose task cannot be performed here, so that another router takes over.
    pub fn request_release(&self, shard: Shard) {
        self.client.borrow_mut().request_release(shard);
        self.renewal_requested.notify(usize::MAX);
    }

    /// Records a note for the other routers, replacing the previous one.
    pub fn record_note(&self, guard: &LeaseGuard, text: String) {
        self.notes.set(guard.shard, guard.fencing_token, text);
    }

    /// Sends notes to the replicas. Never returns.
    pub async fn publish_notes(&self, holder: &Holder, replicas: &CoordinationClient) {
        self.notes.run(holder, replicas).await;
    }

    /// Accepts no further leases, and waits up to `timeout` until those held are released. Returns whether all are
    /// released.
    pub async fn hand_over(&self, timeout: Duration) -> bool {
        self.client.borrow_mut().drain();
        let deadline = self.clock.now() + timeout.as_micros() as Micros;
        while self.has_outstanding_leases() && self.clock.now() < deadline {
            self.renewal_requested.notify(usize::MAX);
            Timer::after(HAND_OVER_INTERVAL).await;
        }
        !self.has_outstanding_leases()
    }

    fn has_outstanding_leases(&self) -> bool {
        self.client.borrow().outstanding_leases() > 0
    }
}
