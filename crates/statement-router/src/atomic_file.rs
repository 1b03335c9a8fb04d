//! Files that are replaced as a whole: after a crash there is the old one or the new one.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Maximum size of a file that is read. No file of a router is larger.
const MAX_FILE_BYTES: u64 = 256 << 20;
/// Extension of the file that is written first and then renamed.
const TEMPORARY_EXTENSION: &str = "new";

/// Replaces a file. Its directory is created where it is missing.
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
