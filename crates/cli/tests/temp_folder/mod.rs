//! A temporary folder for a test.
#![allow(dead_code)] // Not every test binary uses all of it.

use std::path::{Path, PathBuf};

/// A temporary folder, which is removed when dropped.
pub struct TempFolder(PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("hoptiller-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        TempFolder(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("written");
        path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the folder of the examples.
pub fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .canonicalize()
        .expect("the examples")
}
