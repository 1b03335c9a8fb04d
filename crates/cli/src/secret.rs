//! The secret with which a router signs the tokens in its URIs. A file stores it, so that a restarted router accepts the
//! URIs that it issued before.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use rand::RngCore;

const SECRET_BYTES: usize = 32;

/// Name of the file in the state folder.
const FILE_NAME: &str = "secret";

/// Permissions of the file: only the owner may read and write it.
const FILE_MODE: u32 = 0o600;

/// Errors of loading or creating a secret.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SecretError {
    /// The file does not contain a secret.
    #[error(
        "{}: expected {} hexadecimal digits, found {length} bytes of other content. Restore it from a copy; if it is \
         lost, delete it, and polls of earlier statements get status 404",
        path.display(),
        SECRET_BYTES * 2
    )]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Length of its content in bytes.
        length: usize,
    },
    /// The file can't be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Loads the secret of a state folder. Creates the folder and the secret if they do not exist.
///
/// # Errors
///
/// Returns an error if the file is malformed, or can't be read or written.
pub(crate) fn load_or_create(dir: &Path) -> Result<Vec<u8>, SecretError> {
    fs::create_dir_all(dir)?;
    let path = dir.join(FILE_NAME);
    match fs::read_to_string(&path) {
        Ok(text) => decode(text.trim()).ok_or(SecretError::Malformed {
            path,
            length: text.len(),
        }),
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            let secret = generate();
            store(dir, &path, &secret)?;
            Ok(secret)
        }
        Err(error) => Err(error.into()),
    }
}

/// Generates a new secret.
pub(crate) fn generate() -> Vec<u8> {
    let mut secret = vec![0; SECRET_BYTES];
    rand::rng().fill_bytes(&mut secret);
    secret
}

/// Stores a secret by renaming a temporary file, so that a crash leaves either no secret or a complete one.
fn store(dir: &Path, path: &Path, secret: &[u8]) -> io::Result<()> {
    let temporary = dir.join(format!("{FILE_NAME}.{}", std::process::id()));
    let mut file = OpenOptions::new()
        .create(true)
        .truncate(true)
        .write(true)
        .mode(FILE_MODE)
        .open(&temporary)?;
    let hex: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
    file.write_all(format!("{hex}\n").as_bytes())?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    File::open(dir)?.sync_all()
}

fn decode(hex: &str) -> Option<Vec<u8>> {
    if hex.len() != SECRET_BYTES * 2 || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    (0..SECRET_BYTES)
        .map(|index| u8::from_str_radix(&hex[index * 2..index * 2 + 2], 16).ok())
        .collect()
}

#[cfg(test)]
mod tests;
