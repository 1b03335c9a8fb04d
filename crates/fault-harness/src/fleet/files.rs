//! The folder of a fleet, and the start of processes with their files in it.

use std::path::{Path, PathBuf};

use super::error::FleetError;
use crate::process::{Process, ProcessConfig, ProcessError};

/// The program, the folder of a fleet, and the environment of its processes.
pub(super) struct FleetFiles {
    program: PathBuf,
    dir: PathBuf,
    env: Vec<(String, String)>,
}

impl FleetFiles {
    /// Creates the folder.
    pub(super) fn create(program: &Path, dir: &Path) -> Result<FleetFiles, FleetError> {
        std::fs::create_dir_all(dir).map_err(FleetError::file(dir))?;
        Ok(FleetFiles {
            program: program.to_owned(),
            dir: dir.to_owned(),
            env: Vec::new(),
        })
    }

    pub(super) fn path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    /// Sets an environment variable for processes that start later.
    pub(super) fn set_env(&mut self, name: &str, value: &str) {
        self.env.push((name.to_owned(), value.to_owned()));
    }

    pub(super) fn secret(&self) -> PathBuf {
        self.dir.join("secret")
    }

    pub(super) fn log(&self, process: &str) -> PathBuf {
        self.dir.join(format!("{process}.log"))
    }

    /// Writes the configuration of a process, and returns the path of the file.
    pub(super) fn write_config(
        &self,
        process: &str,
        config: &serde_json::Value,
    ) -> Result<String, FleetError> {
        let file = self.dir.join(format!("{process}.json"));
        std::fs::write(&file, config.to_string()).map_err(FleetError::file(&file))?;
        Ok(file.display().to_string())
    }

    pub(super) fn start_process(&self, name: &str, args: &[&str]) -> Result<Process, ProcessError> {
        Process::start(&ProcessConfig {
            name,
            program: &self.program,
            args,
            env: &self.env,
            log: &self.log(name),
        })
    }
}
