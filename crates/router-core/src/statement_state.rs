//! The state of a statement and the buffered part of its result.

use crate::response::{FinalResponse, ResultPage};

/// The content of the next response.
#[derive(Debug)]
pub(crate) enum Delivery {
    /// A page of an attempt's result.
    Page {
        attempt: u32,
        page: ResultPage,
        is_first: bool,
    },
    /// The final response.
    Final(FinalResponse),
}

/// The state of a statement.
#[derive(Debug)]
pub(crate) enum StatementState {
    /// The controller decides on the statement: it is queued or has running attempts.
    Pending,
    /// A first page was received but not delivered. If its attempt fails before the delivery, the page is discarded and
    /// another attempt can deliver the result.
    FirstPageReady { attempt: u32, page: ResultPage },
    /// Rows were delivered, so only this attempt can continue.
    Streaming {
        attempt: u32,
        next: Option<ResultPage>,
    },
    /// The final response is settled: it will not change, but may not have been delivered.
    Settled(FinalResponse),
}

impl StatementState {
    /// Returns the size of the buffered page in bytes.
    pub(crate) fn buffered_bytes(&self) -> u64 {
        match self {
            StatementState::FirstPageReady { page, .. }
            | StatementState::Streaming {
                next: Some(page), ..
            } => page.size_bytes(),
            _ => 0,
        }
    }

    /// Returns whether rows of this attempt were delivered, so that only it can continue.
    pub(crate) fn is_streaming_from(&self, attempt: u32) -> bool {
        matches!(self, StatementState::Streaming { attempt: streaming, .. } if *streaming == attempt)
    }

    /// Returns whether a page or the final response is ready for delivery.
    pub(crate) fn has_pending_delivery(&self) -> bool {
        matches!(
            self,
            StatementState::FirstPageReady { .. }
                | StatementState::Streaming { next: Some(_), .. }
                | StatementState::Settled(_)
        )
    }

    /// Discards the first page of an attempt if it has not been delivered yet. Returns the size of the page in bytes.
    pub(crate) fn discard_first_page(&mut self, attempt: u32) -> u64 {
        match self {
            StatementState::FirstPageReady { attempt: ready, .. } if *ready == attempt => {
                let discarded = self.buffered_bytes();
                *self = StatementState::Pending;
                discarded
            }
            _ => 0,
        }
    }

    /// Takes the next page or the final response for delivery. A first page commits the statement to its attempt.
    pub(crate) fn take_delivery(&mut self) -> Option<Delivery> {
        let (attempt, page, is_first) = match std::mem::replace(self, StatementState::Pending) {
            StatementState::FirstPageReady { attempt, page } => (attempt, page, true),
            StatementState::Streaming {
                attempt,
                next: Some(page),
            } => (attempt, page, false),
            StatementState::Settled(response) => {
                *self = StatementState::Settled(response.clone());
                return Some(Delivery::Final(response));
            }
            state => {
                *self = state;
                return None;
            }
        };
        *self = StatementState::Streaming {
            attempt,
            next: None,
        };
        Some(Delivery::Page {
            attempt,
            page,
            is_first,
        })
    }
}
