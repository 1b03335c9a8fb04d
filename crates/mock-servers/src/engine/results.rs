//! The responses of the statement API: the query id and the URIs of a statement, its rows, and the `QueryResults` that
//! contain them.

use std::net::SocketAddr;

use hoptiller_http::Response;
use hoptiller_statement::{QueryError, QueryResults, Stats};
use serde_json::value::{RawValue, to_raw_value};
use serde_json::{Value, json};

use crate::workload_profile::WorkloadProfile;

/// Path prefix for polling and cancelling statements.
pub(super) const EXECUTING_PATH: &str = "/v1/statement/executing/";
/// Path prefix for looking up, killing and pausing statements.
pub(super) const QUERY_PATH: &str = "/v1/query/";
/// The length that the protocol states for a `varchar` without a maximum length.
const UNBOUNDED_VARCHAR: u32 = 2_147_483_647;

/// The address of a statement, from which its query id and its URIs are formed.
pub(super) struct QueryAddress {
    engine: SocketAddr,
    incarnation: u64,
    number: u64,
}

impl QueryAddress {
    pub(super) fn new(engine: SocketAddr, incarnation: u64, number: u64) -> Self {
        Self {
            engine,
            incarnation,
            number,
        }
    }

    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Returns the statement number in a query id of any incarnation of the engine.
    pub(super) fn parse_number(query: &str) -> Option<u64> {
        let (_, number) = query.rsplit_once('_')?;
        number.parse().ok()
    }

    /// Returns the statement number in a query id, if the id is of this incarnation of the engine.
    pub(super) fn parse_id(query: &str, incarnation: u64) -> Option<u64> {
        let number = Self::parse_number(query)?;
        (query == Self::format_id(incarnation, number)).then_some(number)
    }

    fn format_id(incarnation: u64, number: u64) -> String {
        format!("standin_{incarnation:x}_{number}")
    }

    fn id(&self) -> String {
        Self::format_id(self.incarnation, self.number)
    }

    fn info_uri(&self) -> String {
        format!("http://{}{QUERY_PATH}{}", self.engine, self.number)
    }

    fn page_uri(&self, page: u64) -> String {
        let Self { engine, number, .. } = self;
        format!("http://{engine}{EXECUTING_PATH}{number}/{page}")
    }
}

/// A response of the statement API.
pub(super) struct QueryResponse {
    stats: Stats,
    next_page: Option<u64>,
    rows: Option<ResultRows>,
    error: Option<QueryError>,
}

impl QueryResponse {
    pub(super) fn new(stats: Stats) -> Self {
        Self {
            stats,
            next_page: None,
            rows: None,
            error: None,
        }
    }

    /// Sets the page that the client polls next.
    pub(super) fn with_next_page(mut self, page: u64) -> Self {
        self.next_page = Some(page);
        self
    }

    pub(super) fn with_rows(mut self, rows: ResultRows) -> Self {
        self.rows = Some(rows);
        self
    }

    pub(super) fn with_error(mut self, error: QueryError) -> Self {
        self.error = Some(error);
        self
    }

    pub(super) fn into_response(self, address: &QueryAddress) -> Response {
        let is_update = self.rows.as_ref().is_some_and(|rows| rows.is_update);
        let (columns, data) = match self.rows {
            Some(rows) => (Some(rows.columns), Some(rows.data)),
            None => (None, None),
        };
        let results = QueryResults {
            id: address.id(),
            info_uri: address.info_uri(),
            next_uri: self.next_page.map(|page| address.page_uri(page)),
            columns,
            data,
            stats: self.stats,
            error: self.error,
            warnings: Vec::new(),
            update_type: is_update.then(|| "INSERT".into()),
            update_count: is_update.then_some(1),
        };
        Response::json(200, serde_json::to_vec(&results).unwrap_or_default())
    }
}

/// The columns and rows of a page. They are the same whenever the page is polled.
pub(super) struct ResultRows {
    columns: Box<RawValue>,
    data: Box<RawValue>,
    /// Whether the statement changed data. Its only row is then the number of changed rows.
    is_update: bool,
}

impl ResultRows {
    pub(super) fn new(node: &str, profile: &WorkloadProfile, page: u64) -> Self {
        if profile.has_effect {
            return Self {
                columns: to_raw(&json!([column("rows", "bigint")])),
                data: to_raw(&json!([[profile.rows]])),
                is_update: true,
            };
        }
        let columns = json!([
            column("id", "bigint"),
            column("engine", "varchar"),
            column("note", "varchar")
        ]);
        let rows_per_page = profile.rows / profile.pages;
        let is_last = page + 1 == profile.pages;
        let first = page * rows_per_page;
        // The last page also contains the remainder.
        let end = if is_last {
            profile.rows
        } else {
            (page + 1) * rows_per_page
        };
        let text = "x".repeat(profile.text_bytes);
        let rows = (first..end).map(|row| json!([row, node, text])).collect();
        Self {
            columns: to_raw(&columns),
            data: to_raw(&Value::Array(rows)),
            is_update: false,
        }
    }
}

fn column(name: &str, kind: &str) -> Value {
    let arguments = if kind == "varchar" {
        json!([{ "kind": "LONG", "value": UNBOUNDED_VARCHAR }])
    } else {
        json!([])
    };
    let signature = json!({ "rawType": kind, "arguments": arguments });
    json!({ "name": name, "type": kind, "typeSignature": signature })
}

fn to_raw(value: &Value) -> Box<RawValue> {
    to_raw_value(value).unwrap_or_default()
}
