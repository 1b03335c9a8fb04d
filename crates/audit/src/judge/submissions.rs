//! Collects the submissions from the records of clients.

use std::collections::BTreeMap;

use crate::record::{Outcome, Record};
use crate::verdict::{Rule, Verdict};

/// Prefix of the error that a client records for an HTTP error page. Errors of the service have a name instead.
const HTTP_ERROR_PREFIX: &str = "HTTP ";

/// Submissions by request number.
pub(super) type Submissions<'a> = BTreeMap<u64, Submission<'a>>;

/// A final response, as its client received it.
#[derive(Clone, Copy)]
pub(super) struct FinalResponse {
    pub(super) at: u64,
    pub(super) outcome: Outcome,
}

/// A submission of a statement. Times are in µs since the Unix epoch.
pub(super) struct Submission<'a> {
    pub(super) trace: &'a str,
    pub(super) class: &'a str,
    pub(super) router: &'a str,
    pub(super) key: Option<&'a str>,
    pub(super) submitted_at: u64,
    pub(super) deadline: u64,
    pub(super) admitted_at: Option<u64>,
    pub(super) first_rows_at: Option<u64>,
    pub(super) final_responses: Vec<FinalResponse>,
    pub(super) cancelled: bool,
}

impl Submission<'_> {
    fn receive_rows(&mut self, at: u64) {
        self.first_rows_at.get_or_insert(at);
        // Rows after a final response count as a further response.
        if !self.final_responses.is_empty() {
            self.receive_response(at, Outcome::Served);
        }
    }

    fn receive_response(&mut self, at: u64, outcome: Outcome) {
        self.final_responses.push(FinalResponse { at, outcome });
    }
}

/// Collects the submissions and counts them by class. Responses that are invalid on their own are added as violations
/// of rule 1.
pub(super) fn collect_submissions<'a>(
    records: &'a [Record],
    verdict: &mut Verdict,
) -> Submissions<'a> {
    let mut submissions = Submissions::new();
    for record in records {
        if let Some((request, submission)) = new_submission(record) {
            verdict.tally(submission.class).submitted += 1;
            submissions.insert(request, submission);
            continue;
        }
        check_record_validity(record, verdict);
        update_submission(record, &mut submissions);
    }
    submissions
}

fn new_submission(record: &Record) -> Option<(u64, Submission<'_>)> {
    let Record::Submitted {
        at,
        request,
        trace,
        router,
        class,
        key,
        deadline,
    } = record
    else {
        return None;
    };
    let submission = Submission {
        trace,
        class,
        router,
        key: key.as_deref(),
        submitted_at: *at,
        deadline: *deadline,
        admitted_at: None,
        first_rows_at: None,
        final_responses: Vec::new(),
        cancelled: false,
    };
    Some((*request, submission))
}

fn update_submission(record: &Record, submissions: &mut Submissions) {
    let (Record::Admitted { request, .. }
    | Record::RowsReceived { request, .. }
    | Record::Answered { request, .. }
    | Record::Cancelled { request, .. }) = record
    else {
        return;
    };
    let Some(submission) = submissions.get_mut(request) else {
        return;
    };
    match record {
        Record::Admitted { at, .. } => submission.admitted_at = Some(*at),
        Record::RowsReceived { at, .. } => submission.receive_rows(*at),
        Record::Answered { at, outcome, .. } => submission.receive_response(*at, *outcome),
        Record::Cancelled { .. } => submission.cancelled = true,
        _ => {}
    }
}

fn check_record_validity(record: &Record, verdict: &mut Verdict) {
    match record {
        // An HTTP error is not a valid response, even from a router that was restarted.
        Record::Answered {
            request,
            error: Some(error),
            ..
        } if error.starts_with(HTTP_ERROR_PREFIX) => verdict.add_violation(
            Rule::SingleFinalAnswer,
            format!("request {request}: {error} in place of an answer"),
        ),
        Record::FinalAnswerChanged { at, request } => verdict.add_violation(
            Rule::SingleFinalAnswer,
            format!("request {request}: another answer behind the final one, at {at}"),
        ),
        _ => {}
    }
}
