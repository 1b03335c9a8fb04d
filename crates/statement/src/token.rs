//! Owns the part of a `nextUri` that is ours: which page is asked for, and what was known of the statement
//! when that URI was given out, authenticated. A router that lost all else answers truthfully from it.

use std::fmt::Write as _;

use data_encoding::BASE32_NOPAD;

use crate::ids::QueryId;

/// What repeating a statement may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing.
    Safe,
    /// A second effect.
    Unsafe,
}

/// How far a statement had come when the URI was given out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No rows had been delivered.
    Waiting,
    /// Rows had been delivered.
    Rows,
}

/// What a URI tells of its statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// What repeating it may do.
    pub repeat: Repeat,
    /// How far it had come.
    pub phase: Phase,
}

/// A page of a statement, with what was known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// The statement.
    pub id: QueryId,
    /// Which answer, from 0.
    pub page: u64,
    /// What was known when the URI was given out.
    pub known: Known,
}

/// A path that is no token of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenError;

impl std::fmt::Display for TokenError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "no such statement")
    }
}

impl std::error::Error for TokenError {}

/// A router's key. Tokens of one key mean nothing to another.
#[derive(Clone)]
pub struct Key([u8; 32]);

/// Bytes of the authentication code that travel: 2^-80 for a guess.
const CODE: usize = 10;

/// The code's length in letters.
const LETTERS: usize = 16;

impl Key {
    /// The key of a router, from the secret that it keeps and its own name.
    pub fn new(secret: &[u8], router: &str) -> Key {
        let mut material = secret.to_vec();
        material.push(0);
        material.extend_from_slice(router.as_bytes());
        Key(blake3::derive_key(
            "hoptiller 2026 statement tokens",
            &material,
        ))
    }

    fn code(&self, what: &[u8]) -> [u8; LETTERS] {
        let hash = blake3::keyed_hash(&self.0, what);
        let mut letters = [0; LETTERS];
        BASE32_NOPAD.encode_mut(&hash.as_bytes()[..CODE], &mut letters);
        letters.make_ascii_lowercase();
        letters
    }

    /// Puts the path of a token below [`STATEMENT`](crate::STATEMENT) behind a text.
    pub fn push_path(&self, out: &mut String, token: &Token) {
        // Authenticated is the path without its code, so that nothing in it can be altered.
        let from = out.len();
        out.push_str("/v1/statement/");
        out.push_str(phase_name(token.known.phase));
        out.push('/');
        out.push_str(token.id.as_str());
        out.push('/');
        out.push_str(repeat_name(token.known.repeat));
        let slug = out.len();
        out.push('/');
        let _ = write!(out, "{}", token.page);
        let code = self.code(&out.as_bytes()[from..]);
        out.insert_str(slug, std::str::from_utf8(&code).unwrap_or_default());
    }

    /// The path of a token.
    pub fn path(&self, token: &Token) -> String {
        let mut path = String::with_capacity(96);
        self.push_path(&mut path, token);
        path
    }

    /// Reads the path of a token. Any change to any character makes it an error.
    pub fn read(&self, path: &str) -> Result<Token, TokenError> {
        let rest = path.strip_prefix("/v1/statement/").ok_or(TokenError)?;
        let mut parts = rest.split('/');
        let (Some(phase), Some(id), Some(slug), Some(page), None) = (
            parts.next(),
            parts.next(),
            parts.next(),
            parts.next(),
            parts.next(),
        ) else {
            return Err(TokenError);
        };
        let phase = [Phase::Waiting, Phase::Rows]
            .into_iter()
            .find(|p| phase_name(*p) == phase);
        let repeat = [Repeat::Safe, Repeat::Unsafe]
            .into_iter()
            .find(|r| slug.starts_with(repeat_name(*r)));
        let (Some(phase), Some(repeat), Some(id)) = (phase, repeat, QueryId::parse(id)) else {
            return Err(TokenError);
        };
        if page.len() > 19 || !page.bytes().all(|b| b.is_ascii_digit()) {
            return Err(TokenError);
        }
        let token = Token {
            id,
            page: page.parse().map_err(|_| TokenError)?,
            known: Known { repeat, phase },
        };
        if same(self.path(&token).as_bytes(), path.as_bytes()) {
            Ok(token)
        } else {
            Err(TokenError)
        }
    }

    /// Puts the path of a statement's course behind a text.
    pub fn push_course_path(&self, out: &mut String, id: &QueryId) {
        let from = out.len();
        out.push_str("/v1/query/");
        out.push_str(id.as_str());
        let code = self.code(&out.as_bytes()[from..]);
        out.push('/');
        out.push_str(std::str::from_utf8(&code).unwrap_or_default());
    }

    /// The path of a statement's course.
    pub fn course_path(&self, id: &QueryId) -> String {
        let mut path = String::with_capacity(80);
        self.push_course_path(&mut path, id);
        path
    }

    /// Reads the path of a statement's course.
    pub fn read_course(&self, path: &str) -> Result<QueryId, TokenError> {
        let rest = path.strip_prefix("/v1/query/").ok_or(TokenError)?;
        let id = QueryId::parse(rest.split('/').next().unwrap_or_default()).ok_or(TokenError)?;
        if same(self.course_path(&id).as_bytes(), path.as_bytes()) {
            Ok(id)
        } else {
            Err(TokenError)
        }
    }
}

/// Compares in time that does not tell where the difference is.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |all, (x, y)| all | (x ^ y)) == 0
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Waiting => "queued",
        Phase::Rows => "executing",
    }
}

fn repeat_name(repeat: Repeat) -> &'static str {
    match repeat {
        Repeat::Safe => "s",
        Repeat::Unsafe => "u",
    }
}

#[cfg(test)]
mod tests;
