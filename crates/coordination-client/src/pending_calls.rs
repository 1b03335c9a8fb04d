//! The calls to several replicas that have not completed.

use std::future::Future;
use std::pin::Pin;
use std::task::Poll;

/// The pending calls of one client, each to the replica with an index.
pub(crate) struct PendingCalls<'a, T>(Vec<PendingCall<'a, T>>);

struct PendingCall<'a, T> {
    replica: usize,
    result: Pin<Box<dyn Future<Output = T> + 'a>>,
}

/// The result of a call.
pub(crate) struct CompletedCall<T> {
    pub(crate) replica: usize,
    pub(crate) result: T,
}

impl<'a, T> PendingCalls<'a, T> {
    pub(crate) fn new() -> PendingCalls<'a, T> {
        PendingCalls(Vec::new())
    }

    pub(crate) fn push(&mut self, replica: usize, result: impl Future<Output = T> + 'a) {
        self.0.push(PendingCall {
            replica,
            result: Box::pin(result),
        });
    }

    /// Waits until any call completes, and removes it. Returns `None` if no call is pending.
    pub(crate) async fn next_completed(&mut self) -> Option<CompletedCall<T>> {
        if self.0.is_empty() {
            return None;
        }
        std::future::poll_fn(|cx| {
            for index in 0..self.0.len() {
                if let Poll::Ready(result) = self.0[index].result.as_mut().poll(cx) {
                    let replica = self.0.remove(index).replica;
                    return Poll::Ready(Some(CompletedCall { replica, result }));
                }
            }
            Poll::Pending
        })
        .await
    }
}
