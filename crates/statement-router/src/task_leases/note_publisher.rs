//! Sends the notes of task leases to the replicas.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use async_io::Timer;
use event_listener::Event;
use hoptiller_coordination::{Holder, NoteError, Shard};
use hoptiller_coordination_client::{CallError, CoordinationClient, wire};

/// Timeout of a call to each replica.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a call to which no replica has responded.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The last note of a shard.
struct Note {
    fencing_token: u64,
    text: String,
    is_recorded: bool,
}

impl Note {
    fn is(&self, fencing_token: u64, text: &str) -> bool {
        self.fencing_token == fencing_token && self.text == text
    }
}

/// A publisher that sends notes one at a time, so that no older note arrives after a newer one.
#[derive(Default)]
pub(super) struct NotePublisher {
    notes: RefCell<BTreeMap<Shard, Note>>,
    note_set: Event,
}

impl NotePublisher {
    /// Sets the note of a shard, replacing the previous one.
    pub(super) fn set(&self, shard: Shard, fencing_token: u64, text: String) {
        let mut notes = self.notes.borrow_mut();
        if notes
            .get(&shard)
            .is_some_and(|note| note.is(fencing_token, &text))
        {
            return;
        }
        let note = Note {
            fencing_token,
            text,
            is_recorded: false,
        };
        notes.insert(shard, note);
        self.note_set.notify(usize::MAX);
    }

    /// Sends notes as they are set. Never returns.
    pub(super) async fn run(&self, holder: &Holder, replicas: &CoordinationClient) {
        loop {
            let note_set = self.note_set.listen();
            let Some(request) = self.next_request(holder) else {
                note_set.await;
                continue;
            };
            let result: Result<wire::RecordNoteResult, CallError> = replicas
                .call(wire::RECORD_NOTE, Some(&request), CALL_TIMEOUT)
                .await;
            match result {
                Ok(Ok(())) => self.mark_recorded(&request),
                Ok(Err(error)) => self.discard(&request, error),
                Err(error) => {
                    tracing::debug!(shard = %request.shard, %error, "note not recorded yet");
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn next_request(&self, holder: &Holder) -> Option<wire::RecordNoteRequest> {
        let notes = self.notes.borrow();
        let (shard, note) = notes.iter().find(|(_, note)| !note.is_recorded)?;
        Some(wire::RecordNoteRequest {
            holder: holder.clone(),
            shard: *shard,
            fencing_token: note.fencing_token,
            text: note.text.clone(),
        })
    }

    /// Marks a note as recorded, unless a newer note has been set in the meantime.
    fn mark_recorded(&self, request: &wire::RecordNoteRequest) {
        let mut notes = self.notes.borrow_mut();
        if let Some(note) = notes.get_mut(&request.shard)
            && note.is(request.fencing_token, &request.text)
        {
            note.is_recorded = true;
        }
    }

    /// Removes the note of a lease whose notes the replicas reject.
    fn discard(&self, request: &wire::RecordNoteRequest, error: NoteError) {
        if error == NoteError::TooLong {
            let bytes = request.text.len();
            tracing::error!(shard = %request.shard, bytes, %error, "note rejected");
        }
        self.notes.borrow_mut().retain(|shard, note| {
            *shard != request.shard || note.fencing_token != request.fencing_token
        });
    }
}
