//! The renewal of a router's config lease, which also delivers new configuration versions.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use hoptiller_coordination::fault_injection::{self, Fault};
use hoptiller_coordination::{Command, ConfigLeaseGrant, GrantError, Micros};
use hoptiller_coordination_client::{CallError, wire};

use super::{CALL_TIMEOUT, FleetMember};

/// Pause after a watch call to which no replica has responded.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Minimum time between two warnings.
const WARNING_INTERVAL: Micros = 5_000_000;

/// An error of renewing a config lease.
#[derive(Debug, thiserror::Error)]
enum RenewalError {
    #[error(
        "the replicas don't know a configuration version that this router has enforced: \
         a replica was restored from old data"
    )]
    UnknownVersion,
    #[error("the replicas have reached their limit of lease holders")]
    TooManyHolders,
    #[error(
        "the replicas have no configuration version yet; add one with `hoptiller settings put`"
    )]
    NoVersion,
    #[error(transparent)]
    Call(#[from] CallError),
    #[error(transparent)]
    Grant(#[from] GrantError),
}

impl FleetMember {
    /// Renews the lease periodically. Calls `on_change` when the enforced versions change, before any operation under
    /// them. Never returns.
    pub async fn run(self: Rc<Self>, on_change: impl Fn()) {
        // Versions that an earlier incarnation has stored are applied before the first renewal.
        if self.merged_document_satisfies(|_| true) {
            on_change();
        }
        loop {
            let has_new_versions = match self.renew(&on_change).await {
                Ok(has_new_versions) => has_new_versions,
                Err(error) => {
                    self.warn_not_renewed(&error);
                    false
                }
            };
            self.log_lease_transition();
            // Newly enforced versions are reported at once, since other routers wait for them.
            if !has_new_versions {
                self.wait_for_renewal().await;
            }
        }
    }

    /// Waits until the renewal interval has passed, a replica reports a change, or a lease can be released.
    async fn wait_for_renewal(&self) {
        let requested = self.task_leases.listen_renewal_requested();
        let interval = async {
            Timer::after(self.settings.renewal_interval).await;
        };
        future::or(requested, future::or(self.wait_for_change(), interval)).await;
    }

    /// Waits in a watch call until a replica reports a change. Returns also after a failed call.
    async fn wait_for_change(&self) {
        let request = self.watch_request();
        let timeout = self.settings.renewal_interval + CALL_TIMEOUT;
        let response: Result<wire::VersionNumbers, CallError> = self
            .replicas
            .call(wire::WATCH, Some(&request), timeout)
            .await;
        match response {
            Ok(numbers) if self.is_change(&numbers) => {}
            // A replica that lags behind would send the same response over and over.
            Ok(_) => future::pending().await,
            Err(_) => {
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }

    fn watch_request(&self) -> wire::WatchRequest {
        let versions = self.versions();
        let known = wire::VersionNumbers {
            in_force: versions.in_force,
            last: versions.enforced,
            table_revision: self.task_leases.table_revision(),
        };
        wire::WatchRequest {
            known,
            wait_ms: self.settings.renewal_interval.as_millis() as u64,
            watch_leases: self.has_tasks(),
        }
    }

    fn is_change(&self, numbers: &wire::VersionNumbers) -> bool {
        let versions = self.versions();
        let has_new_leases =
            self.has_tasks() && numbers.table_revision > self.task_leases.table_revision();
        numbers.in_force > versions.in_force || numbers.last > versions.enforced || has_new_leases
    }

    /// Renews the lease once. Returns whether other versions are enforced now.
    async fn renew(&self, on_change: &impl Fn()) -> Result<bool, RenewalError> {
        let (id, command) = self.watcher.borrow_mut().start_renewal(self.clock.now());
        let Command::RenewLease {
            holder,
            enforced,
            in_force,
            ..
        } = command
        else {
            return Ok(false);
        };
        let offer = self.has_tasks().then(|| self.task_leases.start_renewal(id));
        let timing = self.settings.lease_timing();
        let request = wire::LeaseRenewalRequest {
            holder,
            enforced_version: enforced,
            in_force,
            term: timing.term,
            drift: timing.drift,
            offer,
        };
        match self.request_renewal(&request).await {
            Ok(grant) => self.accept_grant(id, grant, on_change),
            Err(error) => {
                self.watcher.borrow_mut().abandon_renewal(id);
                self.task_leases.abandon_renewal(id);
                Err(error)
            }
        }
    }

    async fn request_renewal(
        &self,
        request: &wire::LeaseRenewalRequest,
    ) -> Result<ConfigLeaseGrant, RenewalError> {
        let response: wire::LeaseRenewalResponse = self
            .replicas
            .call(wire::RENEW_LEASE, Some(request), CALL_TIMEOUT)
            .await?;
        match response {
            wire::LeaseRenewalResponse::Granted(grant) => Ok(grant),
            wire::LeaseRenewalResponse::UnknownVersion => Err(RenewalError::UnknownVersion),
            wire::LeaseRenewalResponse::TooManyHolders => Err(RenewalError::TooManyHolders),
            wire::LeaseRenewalResponse::NoVersion => Err(RenewalError::NoVersion),
        }
    }

    fn accept_grant(
        &self,
        id: u64,
        grant: ConfigLeaseGrant,
        on_change: &impl Fn(),
    ) -> Result<bool, RenewalError> {
        // This injected fault counts the lease from the response, so that the lease lasts too long.
        if fault_injection::is_injected(Fault::TermFromResponse) {
            self.watcher.borrow_mut().set_sent_at(id, self.clock.now());
        }
        let (serial, leases) = (grant.serial, grant.leases.clone());
        let table = grant.lease_table.clone();
        let accepted = self.watcher.borrow_mut().accept_grant(id, grant);
        let has_new_versions = accepted.inspect_err(|_| self.task_leases.abandon_renewal(id))?;
        self.task_leases
            .accept_grant(id, serial, leases.as_deref(), table.as_ref());
        if has_new_versions {
            on_change();
            self.store_versions();
        }
        Ok(has_new_versions)
    }

    fn store_versions(&self) {
        if let Some(file) = &self.version_file {
            file.store(self.watcher.borrow().versions());
        }
    }

    fn warn_not_renewed(&self, error: &RenewalError) {
        let now = self.clock.now();
        let last = self.last_warning.get();
        if last.is_none_or(|last| now >= last + WARNING_INTERVAL) {
            self.last_warning.set(Some(now));
            tracing::warn!(%error, "config lease not renewed");
        }
    }

    fn log_lease_transition(&self) {
        let versions = self.versions();
        let (in_force, enforced) = (versions.in_force, versions.enforced);
        if self.was_in_doubt.replace(versions.in_doubt) == versions.in_doubt {
            return;
        }
        if versions.in_doubt {
            tracing::warn!(in_force, enforced, "config lease expired");
        } else {
            tracing::info!(in_force, enforced, "config lease granted");
        }
    }
}
