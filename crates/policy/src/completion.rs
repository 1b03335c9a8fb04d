//! The final answer to a request that is not served: rejected or failed.

use crate::idempotency::is_client_retry_harmless;
use crate::interface::{Action, Class, Limits, RequestId};
use crate::request::Request;

/// The answer that abandons a request: rejected where trying again is harmless, failed where that can't be told.
pub(crate) fn abandonment_response(
    id: RequestId,
    request: &Request,
    class: &Class,
    limits: &Limits,
) -> Action {
    if is_client_retry_harmless(class.idempotency, request.attempts.never_ran()) {
        let retry_after = limits.retry_after.then_some(limits.max_retry_after);
        Action::Reject {
            request: id,
            retry_after,
        }
    } else {
        Action::Fail(id)
    }
}
