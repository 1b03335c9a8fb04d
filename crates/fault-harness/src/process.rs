//! Child processes that run the program: starting them and waiting for readiness, pausing, resuming and killing them.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::{Mutex, mpsc};
use std::time::{Duration, Instant};

use rustix::io::retry_on_intr;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};

/// Maximum time until a process is ready. It is long because the machine may be busy.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Text before the address in the line that a process prints when it is ready.
const READY_MARKER: &str = "ready http://";
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Error of starting a process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The log could not be opened, or the program could not be spawned or waited for.
    #[error("can't start {name}: {source}")]
    Spawn {
        /// Name of the process.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The process ended early, or printed no valid address within 30 s and was killed.
    #[error("{name} did not print its address within 30 s, or ended early: {status}")]
    NotReady {
        /// Name of the process.
        name: String,
        /// Exit status of the process.
        status: ExitStatus,
    },
}

/// The running child processes, for [`kill_all`]. A signal ends the current process without unwinding, so [`Process`]
/// values may not be dropped.
struct Registry {
    running: Vec<Pid>,
    /// Whether [`kill_all`] was called, after which no process may start.
    closed: bool,
}

static REGISTRY: Mutex<Registry> = Mutex::new(Registry {
    running: Vec::new(),
    closed: false,
});

/// Kills all running child processes and prevents further ones from starting. Called when the program is asked to end.
pub fn kill_all() {
    let Ok(mut registry) = REGISTRY.lock() else {
        return;
    };
    registry.closed = true;
    for pid in registry.running.drain(..) {
        let _ = kill_process(pid, Signal::KILL);
    }
}

/// Spawns a process while holding the lock of the registry, so that [`kill_all`] misses none.
fn spawn_registered(command: &mut Command) -> io::Result<Child> {
    let mut registry = REGISTRY
        .lock()
        .map_err(|_| io::Error::other("the process registry is poisoned: a thread has panicked"))?;
    if registry.closed {
        return Err(io::Error::other("the program is shutting down"));
    }
    let child = command.spawn()?;
    registry.running.extend(pid_of(&child));
    Ok(child)
}

/// Removes a process that has ended or was killed from the registry, as its id may be reused.
fn unregister(child: &Child) {
    if let (Ok(mut registry), Some(pid)) = (REGISTRY.lock(), pid_of(child)) {
        registry.running.retain(|running| *running != pid);
    }
}

fn pid_of(child: &Child) -> Option<Pid> {
    i32::try_from(child.id()).ok().and_then(Pid::from_raw)
}

/// Configuration of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessConfig<'a> {
    /// Name of the process in messages and records.
    pub name: &'a str,
    /// Path of the program.
    pub program: &'a Path,
    /// Command line arguments.
    pub args: &'a [&'a str],
    /// Environment variables in addition to those of the current process.
    pub env: &'a [(String, String)],
    /// Path of the file to which the standard error is appended.
    pub log: &'a Path,
}

impl ProcessConfig<'_> {
    fn spawn(&self) -> io::Result<Child> {
        let log = File::options().create(true).append(true).open(self.log)?;
        let mut command = Command::new(self.program);
        command
            .args(self.args)
            .envs(self.env.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::from(log));
        spawn_registered(&mut command)
    }
}

/// A child process that became ready. Dropping the value kills it.
pub struct Process {
    name: String,
    child: Child,
    addr: SocketAddr,
}

impl Process {
    /// Starts a process and waits until it prints `… ready http://ADDR`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be spawned, ends early, or is not ready within 30 s.
    pub fn start(config: &ProcessConfig<'_>) -> Result<Process, ProcessError> {
        let name = config.name.to_owned();
        let spawn_error = |source| ProcessError::Spawn {
            name: config.name.to_owned(),
            source,
        };
        let mut child = config.spawn().map_err(spawn_error)?;
        if let Some(addr) = child.stdout.take().and_then(wait_for_address) {
            return Ok(Process { name, child, addr });
        }
        let _ = child.kill();
        unregister(&child);
        let status = child.wait().map_err(spawn_error)?;
        Err(ProcessError::NotReady { name, status })
    }

    /// Returns the name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the address on which the process listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to shut down with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process with SIGKILL.
    pub fn kill(mut self) {
        self.kill_and_reap();
    }

    /// Returns the exit status; `None` while the process is running.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() {
            unregister(&self.child);
        }
        status
    }

    /// Waits at most `timeout` for the process to end. Returns `None` if it is still running then.
    pub fn wait_timeout(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.exit_status() {
                None if Instant::now() < deadline => std::thread::sleep(EXIT_POLL_INTERVAL),
                status => return status,
            }
        }
    }

    /// Waits without a time limit until the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system fails to wait for the process.
    pub fn wait(mut self) -> io::Result<ExitStatus> {
        if let Some(status) = self.exit_status() {
            return Ok(status);
        }
        if let Some(pid) = pid_of(&self.child) {
            // Waits without reaping, so that the id is not reused before it is unregistered.
            let options = WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
            retry_on_intr(|| waitid(WaitId::Pid(pid), options))?;
        }
        unregister(&self.child);
        self.child.wait()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = pid_of(&self.child) {
            let _ = kill_process(pid, signal);
        }
    }

    fn kill_and_reap(&mut self) {
        if self.exit_status().is_some() {
            return;
        }
        // Resumes a paused process before killing it.
        self.signal(Signal::CONT);
        let _ = self.child.kill();
        unregister(&self.child);
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill_and_reap();
    }
}

/// Waits for the line with the address. Returns `None` if the output ends without one, the address is invalid, or 30 s
/// have passed.
fn wait_for_address(output: ChildStdout) -> Option<SocketAddr> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        // Reads the output to its end, because a full pipe would block the process.
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if let Some((_, addr)) = line.split_once(READY_MARKER) {
                let _ = sender.send(addr.trim().parse().ok());
            }
        }
    });
    receiver.recv_timeout(READY_TIMEOUT).ok().flatten()
}
