//! The part of a `nextUri` that the router issues: the requested page and the state of the statement when the URI was
//! issued, with an authentication code. From it, a router that has lost all other state can still answer correctly.

use std::fmt::Write as _;

use data_encoding::BASE32_NOPAD;
use thiserror::Error;

use crate::query_id::QueryId;

/// Number of hash bytes in the authentication code: a guess succeeds with a probability of 2^-80.
const CODE_BYTES: usize = 10;
/// Length of the authentication code as text.
const CODE_CHARS: usize = 16;
/// Any number of at most 19 digits fits into a `u64`.
const MAX_PAGE_DIGITS: usize = 19;
const PAGE_PATH_PREFIX: &str = "/v1/statement/";
const QUERY_PATH_PREFIX: &str = "/v1/query/";
/// Initial capacity for paths of pages and of queries, in bytes; sufficient for most.
const PAGE_PATH_CAPACITY: usize = 96;
const QUERY_PATH_CAPACITY: usize = 80;

/// Whether running a statement again is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running the statement again has no further effect.
    Idempotent,
    /// Running the statement again may have a second effect.
    NotIdempotent,
}

impl Idempotency {
    const ALL: [Idempotency; 2] = [Idempotency::Idempotent, Idempotency::NotIdempotent];

    /// Returns the form used in a path: `s` if a retry is safe, `u` if it is unsafe.
    fn as_str(self) -> &'static str {
        match self {
            Idempotency::Idempotent => "s",
            Idempotency::NotIdempotent => "u",
        }
    }
}

/// How far a statement had progressed when the URI was issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No rows had been delivered.
    Waiting,
    /// Rows had been delivered.
    RowsDelivered,
}

impl Phase {
    const ALL: [Phase; 2] = [Phase::Waiting, Phase::RowsDelivered];

    /// Returns the form used in a path.
    fn as_str(self) -> &'static str {
        match self {
            Phase::Waiting => "queued",
            Phase::RowsDelivered => "executing",
        }
    }
}

/// The state of a statement that a URI records for a router that has lost all other state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryState {
    /// Whether running the statement again is safe.
    pub idempotency: Idempotency,
    /// How far the statement had progressed.
    pub phase: Phase,
}

/// A page of a statement's results, with the state recorded when its URI was issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageToken {
    /// Id of the statement.
    pub id: QueryId,
    /// Number of the page, from 0; the same as the number of the response that contains it.
    pub page: u64,
    /// State recorded when the URI was issued.
    pub recovery: RecoveryState,
}

/// The error for a path that is not a token of this router. It does not say which part is wrong, because that would
/// help in guessing a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no such statement")]
pub struct TokenError;

/// The key with which a router authenticates its paths. Paths issued under one key are invalid under any other.
#[derive(Clone)]
pub struct TokenKey([u8; 32]);

impl TokenKey {
    /// Derives the key of a router from its stored secret and its name.
    pub fn new(secret: &[u8], router: &str) -> TokenKey {
        let mut material = secret.to_vec();
        material.push(0);
        material.extend_from_slice(router.as_bytes());
        TokenKey(blake3::derive_key(
            "hoptiller 2026 statement tokens",
            &material,
        ))
    }

    fn authentication_code(&self, message: &[u8]) -> [u8; CODE_CHARS] {
        let hash = blake3::keyed_hash(&self.0, message);
        let mut encoded = [0; CODE_CHARS];
        BASE32_NOPAD.encode_mut(&hash.as_bytes()[..CODE_BYTES], &mut encoded);
        encoded.make_ascii_lowercase();
        encoded
    }

    /// Appends the path of a page, which lies below [`STATEMENT_PATH`](crate::STATEMENT_PATH).
    pub fn push_page_path(&self, out: &mut String, token: &PageToken) {
        // The code covers the rest of the path, so that no part of it can be altered.
        let path_start = out.len();
        out.push_str(PAGE_PATH_PREFIX);
        out.push_str(token.recovery.phase.as_str());
        out.push('/');
        out.push_str(token.id.as_str());
        out.push('/');
        out.push_str(token.recovery.idempotency.as_str());
        let code_start = out.len();
        out.push('/');
        let _ = write!(out, "{}", token.page);
        let code = self.authentication_code(&out.as_bytes()[path_start..]);
        out.insert_str(code_start, std::str::from_utf8(&code).unwrap_or_default());
    }

    /// Returns the path of a page.
    pub fn page_path(&self, token: &PageToken) -> String {
        let mut path = String::with_capacity(PAGE_PATH_CAPACITY);
        self.push_page_path(&mut path, token);
        path
    }

    /// Parses the path of a page.
    ///
    /// # Errors
    ///
    /// Returns an error if the path was not issued under this key or was altered.
    pub fn parse_page_path(&self, path: &str) -> Result<PageToken, TokenError> {
        let token = parse_unauthenticated(path).ok_or(TokenError)?;
        if !constant_time_eq(self.page_path(&token).as_bytes(), path.as_bytes()) {
            return Err(TokenError);
        }
        Ok(token)
    }

    /// Appends the path at which the router reports the history of a statement.
    pub fn push_query_path(&self, out: &mut String, id: &QueryId) {
        let path_start = out.len();
        out.push_str(QUERY_PATH_PREFIX);
        out.push_str(id.as_str());
        let code = self.authentication_code(&out.as_bytes()[path_start..]);
        out.push('/');
        out.push_str(std::str::from_utf8(&code).unwrap_or_default());
    }

    /// Returns the path at which the router reports the history of a statement.
    pub fn query_path(&self, id: &QueryId) -> String {
        let mut path = String::with_capacity(QUERY_PATH_CAPACITY);
        self.push_query_path(&mut path, id);
        path
    }

    /// Parses the path at which the router reports the history of a statement.
    ///
    /// # Errors
    ///
    /// Returns an error if the path was not issued under this key or was altered.
    pub fn parse_query_path(&self, path: &str) -> Result<QueryId, TokenError> {
        let rest = path.strip_prefix(QUERY_PATH_PREFIX).ok_or(TokenError)?;
        let id = QueryId::parse(rest.split('/').next().unwrap_or_default()).ok_or(TokenError)?;
        if !constant_time_eq(self.query_path(&id).as_bytes(), path.as_bytes()) {
            return Err(TokenError);
        }
        Ok(id)
    }
}

/// Parses the path of a page without verifying its authentication code.
fn parse_unauthenticated(path: &str) -> Option<PageToken> {
    let mut parts = path.strip_prefix(PAGE_PATH_PREFIX)?.split('/');
    let [Some(phase), Some(id), Some(code), Some(page), None] =
        std::array::from_fn(|_| parts.next())
    else {
        return None;
    };
    let phase = Phase::ALL
        .into_iter()
        .find(|known| known.as_str() == phase)?;
    // The code follows the letter of the idempotency.
    let idempotency = Idempotency::ALL
        .into_iter()
        .find(|known| code.starts_with(known.as_str()))?;
    let id = QueryId::parse(id)?;
    if page.len() > MAX_PAGE_DIGITS || !page.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    Some(PageToken {
        id,
        page: page.parse().ok()?,
        recovery: RecoveryState { idempotency, phase },
    })
}

/// Compares in time that does not depend on the position of the first difference.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len()
        && a.iter()
            .zip(b)
            .fold(0, |difference, (x, y)| difference | (x ^ y))
            == 0
}

#[cfg(test)]
mod tests;
