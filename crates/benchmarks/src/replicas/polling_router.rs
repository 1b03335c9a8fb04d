//! The baseline of the rollout benchmark: a router that learns of versions only from renewals of its config lease.

use std::time::Duration;

use async_io::Timer;
use hoptiller_coordination::{Command, ConfigWatcher, Holder};
use hoptiller_coordination_client::{Clock, CoordinationClient, Secret, wire};
use hoptiller_statement_router::settings::CoordinationSettings;

/// Timeout of a renewal at each replica.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Renews a lease at the interval of the settings. The interval has to be short, as the router learns of versions in no
/// other way.
pub(super) async fn renew_forever(
    settings: CoordinationSettings,
    secret: Secret,
    router: String,
    index: usize,
) {
    let clock = Clock::new();
    let timing = settings.lease_timing();
    let holder = Holder {
        router,
        incarnation: "1".into(),
    };
    let mut watcher = ConfigWatcher::new(holder, timing, Vec::new());
    let client = CoordinationClient::new(settings.replicas.clone(), secret);
    client.set_preferred(index);
    loop {
        let (renewal, command) = watcher.start_renewal(clock.now());
        let Command::RenewLease {
            holder,
            enforced,
            in_force,
            offer,
        } = command
        else {
            return;
        };
        let request = wire::LeaseRenewalRequest {
            holder,
            enforced_version: enforced,
            in_force,
            term: timing.term,
            drift: timing.drift,
            offer,
        };
        let response = client
            .call(wire::RENEW_LEASE, Some(&request), CALL_TIMEOUT)
            .await;
        match response {
            Ok(wire::LeaseRenewalResponse::Granted(grant)) => {
                drop(watcher.accept_grant(renewal, grant));
            }
            _ => watcher.abandon_renewal(renewal),
        }
        Timer::after(settings.renewal_interval).await;
    }
}
