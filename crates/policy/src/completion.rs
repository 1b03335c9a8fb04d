//! The final response to a request that is abandoned: rejected or failed.

use crate::idempotency::is_client_retry_safe;
use crate::interface::{Action, Class, Limits, RequestId};
use crate::request::Request;

/// Returns the response that abandons a request: a rejection if a retry by the client is safe, and a failure otherwise.
pub(crate) fn abandonment_response(
    id: RequestId,
    request: &Request,
    class: &Class,
    limits: &Limits,
) -> Action {
    if is_client_retry_safe(class.idempotency, request.attempts.never_ran()) {
        let retry_after = limits.retry_after.then_some(limits.max_retry_after);
        Action::Reject {
            request: id,
            retry_after,
        }
    } else {
        Action::Fail(id)
    }
}
