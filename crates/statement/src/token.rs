//! Owns the part of a `nextUri` that is ours: which page is asked for, and what was known of the statement
//! when that URI was given out, authenticated. A router that lost all else answers truthfully from it.

use data_encoding::{BASE32_NOPAD, Encoding};

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

fn text_form() -> Encoding {
    BASE32_NOPAD
}

impl Key {
    /// The key of a router, from the secret that it keeps and its own name.
    pub fn new(secret: &[u8], router: &str) -> Key {
        let mut material = secret.to_vec();
        material.push(0);
        material.extend_from_slice(router.as_bytes());
        Key(blake3::derive_key("hoptiller 2026 statement tokens", &material))
    }

    fn code(&self, what: &str) -> String {
        let hash = blake3::keyed_hash(&self.0, what.as_bytes());
        text_form().encode(&hash.as_bytes()[..CODE]).to_ascii_lowercase()
    }

    /// The path of a token below [`STATEMENT`](crate::STATEMENT).
    pub fn path(&self, token: &Token) -> String {
        let (phase, repeat) = (phase_name(token.known.phase), repeat_name(token.known.repeat));
        let what = format!("{phase}/{}/{repeat}", token.id);
        let code = self.code(&format!("{what}/{}", token.page));
        format!("/v1/statement/{what}{code}/{}", token.page)
    }

    /// Reads the path of a token. Any change to any character makes it an error.
    pub fn read(&self, path: &str) -> Result<Token, TokenError> {
        let rest = path.strip_prefix("/v1/statement/").ok_or(TokenError)?;
        let parts: Vec<&str> = rest.split('/').collect();
        let [phase, id, slug, page] = parts[..] else { return Err(TokenError) };
        let phase = [Phase::Waiting, Phase::Rows].into_iter().find(|p| phase_name(*p) == phase);
        let repeat = [Repeat::Safe, Repeat::Unsafe].into_iter().find(|r| slug.starts_with(repeat_name(*r)));
        let (Some(phase), Some(repeat), Some(id)) = (phase, repeat, QueryId::parse(id)) else {
            return Err(TokenError);
        };
        if page.len() > 19 || !page.bytes().all(|b| b.is_ascii_digit()) {
            return Err(TokenError);
        }
        let token = Token { id, page: page.parse().map_err(|_| TokenError)?, known: Known { repeat, phase } };
        if same(self.path(&token).as_bytes(), path.as_bytes()) { Ok(token) } else { Err(TokenError) }
    }

    /// The path of a statement's course.
    pub fn course_path(&self, id: &QueryId) -> String {
        format!("/v1/query/{id}/{}", self.code(&format!("course/{id}")))
    }

    /// Reads the path of a statement's course.
    pub fn read_course(&self, path: &str) -> Result<QueryId, TokenError> {
        let rest = path.strip_prefix("/v1/query/").ok_or(TokenError)?;
        let id = QueryId::parse(rest.split('/').next().unwrap_or_default()).ok_or(TokenError)?;
        if same(self.course_path(&id).as_bytes(), path.as_bytes()) { Ok(id) } else { Err(TokenError) }
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
mod tests {
    use super::*;
    use std::time::SystemTime;

    #[test]
    fn any_altered_character_is_no_token() {
        let key = Key::new(b"secret", "r1");
        let id = QueryId::new(SystemTime::UNIX_EPOCH, 7, "lifelife");
        for (phase, repeat) in [(Phase::Waiting, Repeat::Unsafe), (Phase::Rows, Repeat::Safe)] {
            let token = Token { id: id.clone(), page: 12, known: Known { repeat, phase } };
            let path = key.path(&token);
            assert_eq!(key.read(&path), Ok(token.clone()));
            for at in 0..path.len() {
                for other in ['0', '1', 'a', 's', 'u', '/', '_', 'A'] {
                    let mut altered = path.clone();
                    altered.replace_range(at..=at, &other.to_string());
                    assert!(altered == path || key.read(&altered).is_err(), "{altered}");
                }
            }
            assert!(key.read(&path[..path.len() - 1]).is_err());
            assert!(key.read(&format!("{path}0")).is_err());
            assert!(Key::new(b"secret", "r2").read(&path).is_err());
            assert!(Key::new(b"other", "r1").read(&path).is_err());
        }
        assert_eq!(key.read_course(&key.course_path(&id)), Ok(id));
        assert!(key.read_course("/v1/query/19700101_000000_00007_lifelife/x").is_err());
    }
}
