//! Measured processes, and their use of memory and processor time.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use crate::error::BenchmarkError;

/// Clock ticks per second in `/proc/PID/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Indices of the fields in `/proc/PID/stat` after the process's name: time in user mode and in the kernel.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// A server process, which is killed when dropped.
pub(crate) struct ServerProcess {
    address: SocketAddr,
    child: Child,
}

impl ServerProcess {
    /// Starts a process, and waits until it prints `ready http://ADDR`.
    pub(crate) fn start(command: &mut Command) -> Result<ServerProcess, BenchmarkError> {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let address = line.trim().strip_prefix("ready http://");
        match address.and_then(|address| address.parse().ok()) {
            Some(address) => Ok(ServerProcess { address, child }),
            None => {
                let _ = child.kill();
                let _ = child.wait();
                Err(BenchmarkError::ProcessNotStarted {
                    command: format!("{command:?}"),
                })
            }
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the resident memory, in bytes.
    pub(crate) fn resident_bytes(&self) -> Result<u64, BenchmarkError> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let value = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes: Option<u64> =
            value.and_then(|value| value.trim().trim_end_matches("kB").trim().parse().ok());
        kilobytes
            .map(|kilobytes| kilobytes * 1024)
            .ok_or(BenchmarkError::NoMemoryUsage {
                process_id: self.child.id(),
            })
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the processor time that a process has used, in seconds.
pub(crate) fn cpu_seconds(process_id: u32) -> io::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat"))?;
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |field: usize| -> f64 {
        let value = fields.get(field).and_then(|value| value.parse().ok());
        value.unwrap_or(0.0)
    };
    Ok((ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) / CLOCK_TICKS_PER_SECOND)
}
