//! Atomic replacement of files: after a crash, a file has either its old or its new content.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Maximum size of a file that is read, far above the size of the files that a router writes.
const MAX_FILE_BYTES: u64 = 256 << 20;
/// Extension of the temporary file that is renamed once it is complete.
const TEMPORARY_EXTENSION: &str = "new";

/// Replaces a file durably. Creates its directory if it is missing.
pub(crate) fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let dir = path.parent().unwrap_or(path);
    fs::create_dir_all(dir)?;
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    if let Err(error) = write_durably(&temporary, bytes) {
        let _ = fs::remove_file(&temporary);
        return Err(error);
    }
    fs::rename(&temporary, path)?;
    File::open(dir)?.sync_all()
}

fn write_durably(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

/// Reads a file of at most [`MAX_FILE_BYTES`].
pub(crate) fn read(path: &Path) -> io::Result<Vec<u8>> {
    let size = fs::metadata(path)?.len();
    if size > MAX_FILE_BYTES {
        let message = format!("file has {size} bytes, more than the maximum of {MAX_FILE_BYTES}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    fs::read(path)
}
