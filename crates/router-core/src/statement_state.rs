//! How far a statement has come, and what of its result is buffered.

use crate::response::{FinalResponse, ResultPage};

/// What the next response holds.
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

/// How far a statement has come.
#[derive(Debug)]
pub(crate) enum StatementState {
    /// With the controller: it is queued, or its attempts run.
    Pending,
    /// A first page was received and not delivered: another attempt could still replace it.
    FirstPageReady { attempt: u32, page: ResultPage },
    /// Rows were delivered: only this attempt can continue.
    Streaming {
        attempt: u32,
        next: Option<ResultPage>,
    },
    /// The final response is settled.
    Settled(FinalResponse),
}

impl StatementState {
    /// Size of the buffered page in bytes.
    pub(crate) fn buffered_bytes(&self) -> u64 {
        match self {
            StatementState::FirstPageReady { page, .. }
            | StatementState::Streaming {
                next: Some(page), ..
            } => page.size_bytes(),
            _ => 0,
        }
    }

    /// Whether rows of this attempt were delivered, so that only it can continue.
    pub(crate) fn is_streaming_from(&self, attempt: u32) -> bool {
        matches!(self, StatementState::Streaming { attempt: streaming, .. } if *streaming == attempt)
    }

    /// Whether there is something new to deliver.
    pub(crate) fn has_undelivered(&self) -> bool {
        matches!(
            self,
            StatementState::FirstPageReady { .. }
                | StatementState::Streaming { next: Some(_), .. }
                | StatementState::Settled(_)
        )
    }

    /// Discards the first page of an attempt if it is not delivered yet. Returns its size in bytes.
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

    /// Takes what is new to deliver. A first page commits the statement to its attempt.
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
