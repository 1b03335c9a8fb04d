//! The part of a `nextUri` that the router issues: which page is requested, and what was known of the statement
//! when that URI was issued, with an authentication code. A router that has lost all else answers truthfully from
//! it.

use std::fmt::Write as _;

use data_encoding::BASE32_NOPAD;
use thiserror::Error;

use crate::query_id::QueryId;

/// The bytes of the hash that the authentication code keeps: a guess succeeds with a probability of 2^-80.
const CODE_BYTES: usize = 10;
/// The length of the authentication code as text.
const CODE_LETTERS: usize = 16;
/// At most 19 digits fit into a `u64` whichever they are.
const MAX_PAGE_DIGITS: usize = 19;
const PAGE_PREFIX: &str = "/v1/statement/";
const QUERY_PREFIX: &str = "/v1/query/";
/// Room for most paths of pages and of queries, in bytes.
const PAGE_PATH_CAPACITY: usize = 96;
const QUERY_PATH_CAPACITY: usize = 80;

/// Whether running a statement again is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again has no further effect.
    Idempotent,
    /// Running it again may have a second effect.
    NotIdempotent,
}

impl Idempotency {
    const ALL: [Idempotency; 2] = [Idempotency::Idempotent, Idempotency::NotIdempotent];

    /// The form in a path.
    fn as_str(self) -> &'static str {
        match self {
            Idempotency::Idempotent => "s",
            Idempotency::NotIdempotent => "u",
        }
    }
}

/// How far a statement had come when the URI was issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No rows had been delivered.
    Waiting,
    /// Rows had been delivered.
    RowsDelivered,
}

impl Phase {
    const ALL: [Phase; 2] = [Phase::Waiting, Phase::RowsDelivered];

    /// The form in a path.
    fn as_str(self) -> &'static str {
        match self {
            Phase::Waiting => "queued",
            Phase::RowsDelivered => "executing",
        }
    }
}

/// What a URI says of its statement to a router that has lost all else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryState {
    /// Whether running the statement again is safe.
    pub idempotency: Idempotency,
    /// How far the statement had come.
    pub phase: Phase,
}

/// A page of a statement's results, with what was known when its URI was issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageToken {
    /// The statement.
    pub id: QueryId,
    /// The number of the page, from 0.
    pub page: u64,
    /// What was known when the URI was issued.
    pub recovery: RecoveryState,
}

/// A path that is no token of this router. It does not say which part is wrong, lest that helps in guessing one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no such statement")]
pub struct TokenError;

/// The key with which a router authenticates its paths. Paths of one key are invalid under another.
#[derive(Clone)]
pub struct TokenKey([u8; 32]);

impl TokenKey {
    /// The key of a router, derived from its stored secret and its name.
    pub fn new(secret: &[u8], router: &str) -> TokenKey {
        let mut material = secret.to_vec();
        material.push(0);
        material.extend_from_slice(router.as_bytes());
        TokenKey(blake3::derive_key(
            "hoptiller 2026 statement tokens",
            &material,
        ))
    }

    fn authentication_code(&self, message: &[u8]) -> [u8; CODE_LETTERS] {
        let hash = blake3::keyed_hash(&self.0, message);
        let mut letters = [0; CODE_LETTERS];
        BASE32_NOPAD.encode_mut(&hash.as_bytes()[..CODE_BYTES], &mut letters);
        letters.make_ascii_lowercase();
        letters
    }

    /// Appends the path of a page, which lies below [`STATEMENT_PATH`](crate::STATEMENT_PATH).
    pub fn push_page_path(&self, out: &mut String, token: &PageToken) {
        // The whole path without its code is authenticated, so that nothing in it can be altered.
        let path_start = out.len();
        out.push_str(PAGE_PREFIX);
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

    /// The path of a page.
    pub fn page_path(&self, token: &PageToken) -> String {
        let mut path = String::with_capacity(PAGE_PATH_CAPACITY);
        self.push_page_path(&mut path, token);
        path
    }

    /// Parses the path of a page.
    ///
    /// # Errors
    ///
    /// Where the path was not issued under this key, or any character of it was altered.
    pub fn parse_page_path(&self, path: &str) -> Result<PageToken, TokenError> {
        let token = parse_unauthenticated(path).ok_or(TokenError)?;
        if !constant_time_eq(self.page_path(&token).as_bytes(), path.as_bytes()) {
            return Err(TokenError);
        }
        Ok(token)
    }

    /// Appends the path at which the course of a statement is reported.
    pub fn push_query_path(&self, out: &mut String, id: &QueryId) {
        let path_start = out.len();
        out.push_str(QUERY_PREFIX);
        out.push_str(id.as_str());
        let code = self.authentication_code(&out.as_bytes()[path_start..]);
        out.push('/');
        out.push_str(std::str::from_utf8(&code).unwrap_or_default());
    }

    /// The path at which the course of a statement is reported.
    pub fn query_path(&self, id: &QueryId) -> String {
        let mut path = String::with_capacity(QUERY_PATH_CAPACITY);
        self.push_query_path(&mut path, id);
        path
    }

    /// Parses the path at which the course of a statement is reported.
    ///
    /// # Errors
    ///
    /// Where the path was not issued under this key, or any character of it was altered.
    pub fn parse_query_path(&self, path: &str) -> Result<QueryId, TokenError> {
        let rest = path.strip_prefix(QUERY_PREFIX).ok_or(TokenError)?;
        let id = QueryId::parse(rest.split('/').next().unwrap_or_default()).ok_or(TokenError)?;
        if !constant_time_eq(self.query_path(&id).as_bytes(), path.as_bytes()) {
            return Err(TokenError);
        }
        Ok(id)
    }
}

/// Parses the path of a page without looking at its authentication code.
fn parse_unauthenticated(path: &str) -> Option<PageToken> {
    let mut parts = path.strip_prefix(PAGE_PREFIX)?.split('/');
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

/// Compares in a time that does not depend on where the first difference is.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len()
        && a.iter()
            .zip(b)
            .fold(0, |difference, (x, y)| difference | (x ^ y))
            == 0
}

#[cfg(test)]
mod tests;
