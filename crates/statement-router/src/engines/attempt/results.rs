//! The validation of an engine's responses and the delivery of their pages of rows.

use std::rc::Rc;

use hoptiller_http::Response;
use hoptiller_policy::{LoadReport, Micros};
use hoptiller_router_core::{EngineError, ResultPage};
use hoptiller_statement::{ErrorName, ErrorType, QueryError, QueryResults, extra};

use super::progress::parse_status;
use super::{AttemptControl, AttemptError, RunningAttempt, Stop};
use crate::engines::load_report;

/// Maximum length of the path of a `nextUri`, in bytes.
const MAX_PATH_BYTES: usize = 4096;
/// Upper limit of a valid report of a statement's work, in ms.
const MAX_WORK_MS: f64 = 1e12;

/// Prefixes of the headers with which an engine changes a client's session.
const SESSION_HEADER_PREFIXES: [&str; 5] = [
    "x-trino-set-",
    "x-trino-clear-",
    "x-trino-added-",
    "x-trino-deallocated-",
    "x-trino-started-",
];

impl RunningAttempt<'_> {
    /// Accepts a response and waits until the next page is to be fetched. Returns whether the response was the last
    /// one.
    pub(super) async fn accept_response(&mut self, response: &Response) -> Result<bool, Stop> {
        let results: QueryResults =
            serde_json::from_slice(&response.body).map_err(AttemptError::InvalidResults)?;
        self.check_query_id(&results.id)?;
        let load_report = load_report::from_header(response);
        if let Some(error) = results.error {
            self.accept_error(error, load_report).await?;
            return Ok(true);
        }
        self.next_path = match results.next_uri.as_deref() {
            None => None,
            Some(uri) => Some(self.path_of(uri).ok_or(AttemptError::InvalidNextUri)?),
        };
        self.report_status(response, &results);
        let has_rows = results.has_rows();
        let is_last = self.next_path.is_none();
        if !is_last && !has_rows {
            if let Some(columns) = results.columns {
                self.columns = Some(columns.into());
            }
            return Ok(false);
        }
        self.deliver_page(response, results, load_report);
        if is_last {
            return Ok(true);
        }
        match self.control.recv().await {
            Ok(AttemptControl::Fetch) => Ok(false),
            Ok(control) => Err(control.into()),
            Err(_) => Err(Stop::Released),
        }
    }

    /// Checks that a response belongs to this statement: a restarted engine can have another statement under the same
    /// URI.
    fn check_query_id(&self, id: &str) -> Result<(), AttemptError> {
        let mut known = self.query_id.borrow_mut();
        if *known.get_or_insert_with(|| id.to_owned()) == id {
            Ok(())
        } else {
            Err(AttemptError::OtherStatement)
        }
    }

    async fn accept_error(
        &self,
        error: QueryError,
        load_report: Option<LoadReport>,
    ) -> Result<(), AttemptError> {
        if error.error_name == ErrorName::ADMINISTRATIVELY_KILLED {
            // Without proof from the engine, the statement may have taken effect.
            let proof = self.fetch_kill_proof().await;
            let reason = format!("{}: {}", error.error_name, error.message);
            self.observer.attempt_killed(self.id, proof, reason);
            return Ok(());
        }
        if error.error_type == ErrorType::UserError {
            let error = EngineError {
                message: error.message,
                code: error.error_code,
                name: error.error_name,
            };
            self.observer.statement_failed(self.id, error);
            return Ok(());
        }
        Err(AttemptError::EngineFailure {
            name: error.error_name,
            message: error.message,
            load_report,
        })
    }

    fn report_status(&self, response: &Response, results: &QueryResults) {
        let status = parse_status(response, &results.stats);
        for progress in status.progress {
            self.observer.progress_reported(self.id, progress);
        }
        if !status.report.status.is_empty() {
            self.observer.status_reported(self.id, status.report);
        }
    }

    fn deliver_page(
        &mut self,
        response: &Response,
        results: QueryResults,
        load_report: Option<LoadReport>,
    ) {
        if let Some(columns) = results.columns {
            self.columns = Some(columns.into());
        }
        self.has_delivered_page = true;
        let session_fields = response
            .headers
            .iter()
            .filter(|(name, _)| is_session_header(name))
            .map(|(name, value)| (name.to_owned(), value.to_owned()));
        let page = ResultPage {
            columns: self.columns.clone(),
            rows: results.data.map(Rc::from),
            session_fields: session_fields.collect(),
            update: results.update_type.map(|kind| (kind, results.update_count)),
            is_last: self.next_path.is_none(),
            load_report,
            work: reported_work(response),
        };
        self.observer.page_received(self.id, page);
    }

    /// Returns the path of a URI at this engine, or `None` for another address or an invalid path: an engine must not
    /// direct the router to other addresses.
    fn path_of(&self, uri: &str) -> Option<String> {
        let path = match uri.strip_prefix("http://") {
            None => uri,
            Some(rest) => {
                let (host, _) = rest.split_once('/')?;
                if host != self.endpoint.addr.to_string() {
                    return None;
                }
                &rest[host.len()..]
            }
        };
        let is_valid = path.starts_with('/')
            && path.len() <= MAX_PATH_BYTES
            && path.bytes().all(|b| b.is_ascii_graphic());
        is_valid.then(|| path.to_owned())
    }
}

/// Returns the work of the statement, in µs.
fn reported_work(response: &Response) -> Option<Micros> {
    let ms = extra::find_number(response.headers.get(extra::COST)?, "work_ms")?;
    (ms > 0.0 && ms < MAX_WORK_MS).then_some((ms * 1000.0) as Micros)
}

fn is_session_header(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    SESSION_HEADER_PREFIXES
        .iter()
        .any(|prefix| name.starts_with(prefix))
}
