//! Authentication of requests and responses between replicas, routers and administrators: a message authentication code
//! (keyed BLAKE3) under one secret that all of them share. It proves that a message comes from a member of the fleet,
//! but not from which one.

use std::io;
use std::path::Path;

use data_encoding::HEXLOWER_PERMISSIVE;
use hoptiller_http::{Request, Response};

/// The header that carries the authentication code.
pub const CODE_HEADER: &str = "X-Hoptiller-Code";

/// The context of the key derivation. Programs of all versions must agree on it.
const KEY_CONTEXT: &str = "hoptiller 2026 fleet calls";
/// The first part of the input of a request's authentication code.
const REQUEST_DOMAIN: &[u8] = b"call";
/// The first part of the input of a response's authentication code.
const RESPONSE_DOMAIN: &[u8] = b"answer";
/// Minimum size of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// The secret that replicas, routers and administrators share.
#[derive(Clone)]
pub struct Secret {
    key: [u8; 32],
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Secret(..)")
    }
}

/// An error for a request or a response without a valid authentication code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the authentication code is missing or wrong")]
pub struct AuthenticationError;

impl Secret {
    /// Derives the key from bytes that only the fleet knows.
    pub fn new(bytes: &[u8]) -> Secret {
        Secret {
            key: blake3::derive_key(KEY_CONTEXT, bytes),
        }
    }

    /// Loads a secret from a file with 32 hexadecimal digits or more.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or [`io::ErrorKind::InvalidData`] if it has any other content.
    pub fn load(path: &Path) -> io::Result<Secret> {
        let text = std::fs::read_to_string(path)?;
        let bytes = HEXLOWER_PERMISSIVE
            .decode(text.trim().as_bytes())
            .ok()
            .filter(|bytes| bytes.len() >= MIN_SECRET_BYTES);
        bytes.map(|bytes| Secret::new(&bytes)).ok_or_else(|| {
            let reason = format!(
                "{}: expected an even number of hexadecimal digits, {} or more; found {} characters",
                path.display(),
                MIN_SECRET_BYTES * 2,
                text.trim().chars().count()
            );
            io::Error::new(io::ErrorKind::InvalidData, reason)
        })
    }

    fn authentication_code(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        for part in parts {
            // The length comes first, so that different lists of parts never hash the same bytes.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }

    fn request_code(&self, request: &Request) -> blake3::Hash {
        self.authentication_code(&[
            REQUEST_DOMAIN,
            request.method.as_str().as_bytes(),
            request.target.as_bytes(),
            &request.body,
        ])
    }

    /// Adds its authentication code to a request.
    pub fn sign_request(&self, request: Request) -> Request {
        let code = self.request_code(&request).to_hex();
        request.with_header(CODE_HEADER, &code)
    }

    /// Verifies the authentication code of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the code is missing or wrong.
    pub fn verify_request(&self, request: &Request) -> Result<(), AuthenticationError> {
        verify_code(request.headers.get(CODE_HEADER), self.request_code(request))
    }

    fn response_code(&self, request: &Request, response: &Response) -> blake3::Hash {
        let request_code = request.headers.get(CODE_HEADER).unwrap_or_default();
        self.authentication_code(&[
            RESPONSE_DOMAIN,
            request_code.as_bytes(),
            &response.status.0.to_be_bytes(),
            &response.body,
        ])
    }

    /// Adds its authentication code to the response to a request.
    pub fn sign_response(&self, request: &Request, response: Response) -> Response {
        let code = self.response_code(request, &response).to_hex();
        response.with_header(CODE_HEADER, &code)
    }

    /// Verifies the authentication code of the response to a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the code is missing or wrong, or belongs to the response to another request.
    pub fn verify_response(
        &self,
        request: &Request,
        response: &Response,
    ) -> Result<(), AuthenticationError> {
        verify_code(
            response.headers.get(CODE_HEADER),
            self.response_code(request, response),
        )
    }
}

/// Returns the BLAKE3 digest of stored bytes, in hexadecimal. It detects damage to them.
pub fn digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

fn verify_code(received: Option<&str>, expected: blake3::Hash) -> Result<(), AuthenticationError> {
    // `blake3::Hash` compares in constant time.
    let received = received.and_then(|code| blake3::Hash::from_hex(code).ok());
    if received == Some(expected) {
        Ok(())
    } else {
        Err(AuthenticationError)
    }
}

#[cfg(test)]
mod tests;
