//! Owns the secret of a router's tokens: a file that outlives its process, so that a restarted router knows the
//! URIs that it gave out before.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use rand::RngCore;

/// Bytes of a secret.
const LEN: usize = 32;

/// The secret kept in a folder; made there at the first start.
pub fn load_or_make(dir: &Path) -> io::Result<Vec<u8>> {
    fs::create_dir_all(dir)?;
    let path = dir.join("secret");
    match fs::read_to_string(&path) {
        Ok(text) => decode(text.trim()).ok_or_else(|| {
            let why = format!(
                "{}: not {} hexadecimal digits. Restore it from a copy; if it is lost, delete it: clients of \
                 statements taken before are then answered 404",
                path.display(),
                LEN * 2
            );
            io::Error::new(io::ErrorKind::InvalidData, why)
        }),
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            let secret = fresh();
            // Written beside and renamed: a crash leaves either no secret or a whole one.
            let beside = dir.join(format!("secret.{}", std::process::id()));
            let mut file =
                OpenOptions::new().create(true).truncate(true).write(true).mode(0o600).open(&beside)?;
            let hex: String = secret.iter().map(|b| format!("{b:02x}")).collect();
            file.write_all(format!("{hex}\n").as_bytes())?;
            file.sync_all()?;
            fs::rename(&beside, &path)?;
            File::open(dir)?.sync_all()?;
            Ok(secret)
        }
        Err(e) => Err(e),
    }
}

/// A secret that nobody keeps.
pub fn fresh() -> Vec<u8> {
    let mut secret = vec![0; LEN];
    rand::rng().fill_bytes(&mut secret);
    secret
}

/// A name for one life of a router.
pub fn life() -> String {
    const LETTERS: &[u8] = b"abcdefghijkmnpqrstuvwxyz23456789";
    let mut bytes = [0; 8];
    rand::rng().fill_bytes(&mut bytes);
    bytes
        .iter()
        .map(|b| char::from(LETTERS[usize::from(*b) % LETTERS.len()]))
        .collect()
}

fn decode(hex: &str) -> Option<Vec<u8>> {
    if hex.len() != LEN * 2 || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    (0..LEN)
        .map(|at| u8::from_str_radix(&hex[at * 2..at * 2 + 2], 16).ok())
        .collect()
}

#[cfg(test)]
mod tests;
