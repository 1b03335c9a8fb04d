//! Owns what authenticates calls between keepers, routers and administrators: one secret that all of a fleet share, and
//! a code over each call and each answer (BLAKE3, keyed). It says that a call comes from the fleet, not from whom.

use std::io;
use std::path::Path;

use data_encoding::HEXLOWER_PERMISSIVE;
use hoptiller_http::{Request, Response};

/// The header field that carries a code.
pub const FIELD: &str = "X-Hoptiller-Code";

/// Bytes that a secret has at least.
const LEAST: usize = 16;

/// A fleet's secret.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Secret(..)")
    }
}

/// A call or an answer that is not the fleet's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Foreign;

impl Secret {
    /// From bytes that only the fleet knows.
    pub fn new(bytes: &[u8]) -> Secret {
        Secret(blake3::derive_key("hoptiller 2026 fleet calls", bytes))
    }

    /// From a file: 32 hexadecimal digits or more.
    pub fn load(path: &Path) -> io::Result<Secret> {
        let text = std::fs::read_to_string(path)?;
        let bytes = HEXLOWER_PERMISSIVE
            .decode(text.trim().as_bytes())
            .ok()
            .filter(|b| b.len() >= LEAST);
        bytes.map(|b| Secret::new(&b)).ok_or_else(|| {
            let why = format!(
                "{}: {} hexadecimal digits or more are wanted",
                path.display(),
                LEAST * 2
            );
            io::Error::new(io::ErrorKind::InvalidData, why)
        })
    }

    fn code(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            // Lengths in front, so that no two lists of parts have the same bytes.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }

    fn of_request(&self, r: &Request) -> blake3::Hash {
        self.code(&[
            b"call",
            r.method.as_str().as_bytes(),
            r.target.as_bytes(),
            &r.body,
        ])
    }

    /// Adds the code to a call.
    pub fn sign(&self, request: Request) -> Request {
        let code = self.of_request(&request).to_hex();
        request.with(FIELD, &code)
    }

    /// Whether a call is the fleet's.
    pub fn check(&self, request: &Request) -> Result<(), Foreign> {
        matches(request.headers.get(FIELD), self.of_request(request))
    }

    fn of_response(&self, to: &Request, r: &Response) -> blake3::Hash {
        let call = to.headers.get(FIELD).unwrap_or_default();
        self.code(&[
            b"answer",
            call.as_bytes(),
            &r.status.0.to_be_bytes(),
            &r.body,
        ])
    }

    /// Adds the code to the answer to a call.
    pub fn sign_answer(&self, to: &Request, response: Response) -> Response {
        let code = self.of_response(to, &response).to_hex();
        response.with(FIELD, &code)
    }

    /// Whether an answer is the fleet's, and to this very call.
    pub fn check_answer(&self, to: &Request, response: &Response) -> Result<(), Foreign> {
        matches(response.headers.get(FIELD), self.of_response(to, response))
    }
}

/// The digest of bytes that are kept, so that damage is seen.
pub fn digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

fn matches(told: Option<&str>, right: blake3::Hash) -> Result<(), Foreign> {
    // The comparison of hashes takes the same time wherever they differ.
    let told = told.and_then(|t| blake3::Hash::from_hex(t).ok());
    if told == Some(right) {
        Ok(())
    } else {
        Err(Foreign)
    }
}

#[cfg(test)]
mod tests;
