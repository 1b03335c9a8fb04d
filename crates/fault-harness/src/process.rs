//! Processes of the program: started and waited for until they are ready, paused, resumed, killed.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::{Mutex, mpsc};
use std::time::{Duration, Instant};

use rustix::io::retry_on_intr;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};

/// How long a process may take until it is ready: long, as machines may be loaded.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Precedes the address in the line that a process prints when it is ready.
const READY_MARKER: &str = "ready http://";
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why a process did not start.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// Its log or the program could not be opened.
    #[error("{name}: {source}")]
    Spawn {
        /// The name of the process.
        name: String,
        /// What the system reported.
        source: io::Error,
    },
    /// It ended, or had printed no address within 30 s; then it was killed.
    #[error("{name} was not ready: {status}")]
    NotReady {
        /// The name of the process.
        name: String,
        /// How it ended.
        status: ExitStatus,
    },
}

/// The processes of this program that run. Signals end this process without unwinding, so drops can't be relied on.
struct Registry {
    running: Vec<Pid>,
    closed: bool,
}

static REGISTRY: Mutex<Registry> = Mutex::new(Registry {
    running: Vec::new(),
    closed: false,
});

/// Kills all processes that run, and lets none start any more. For a program that was told to end.
pub fn kill_all() {
    let Ok(mut registry) = REGISTRY.lock() else {
        return;
    };
    registry.closed = true;
    for pid in registry.running.drain(..) {
        let _ = kill_process(pid, Signal::KILL);
    }
}

/// Spawns a process under the lock, so that none escapes [`kill_all`].
fn spawn_registered(command: &mut Command) -> io::Result<Child> {
    let mut registry = REGISTRY
        .lock()
        .map_err(|_| io::Error::other("a thread has panicked"))?;
    if registry.closed {
        return Err(io::Error::other("told to end"));
    }
    let child = command.spawn()?;
    registry.running.extend(pid_of(&child));
    Ok(child)
}

/// Removes a process that has ended or was killed: its id may soon belong to another one.
fn unregister(child: &Child) {
    if let (Ok(mut registry), Some(pid)) = (REGISTRY.lock(), pid_of(child)) {
        registry.running.retain(|running| *running != pid);
    }
}

fn pid_of(child: &Child) -> Option<Pid> {
    i32::try_from(child.id()).ok().and_then(Pid::from_raw)
}

/// What a process is started with.
#[derive(Clone, Copy, Debug)]
pub struct ProcessConfig<'a> {
    /// Its name in messages and records.
    pub name: &'a str,
    /// The file of the program.
    pub program: &'a Path,
    /// The arguments.
    pub args: &'a [&'a str],
    /// Environment variables beside those of this process.
    pub env: &'a [(String, String)],
    /// The file that its standard error is appended to.
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

/// A process that was ready. It is killed when this is dropped.
pub struct Process {
    name: String,
    child: Child,
    addr: SocketAddr,
}

impl Process {
    /// Starts a process, and waits until it prints `… ready http://ADDR`.
    ///
    /// # Errors
    ///
    /// When it can't be spawned, ends, or is not ready within 30 s.
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

    /// The name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Pauses it with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes it with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to shut down, with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills it with SIGKILL.
    pub fn kill(mut self) {
        self.kill_and_reap();
    }

    /// How it ended; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() {
            unregister(&self.child);
        }
        status
    }

    /// Waits until it has ended, for `timeout` at most; `None` where it still runs then.
    pub fn wait_timeout(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.exit_status() {
                None if Instant::now() < deadline => std::thread::sleep(EXIT_POLL_INTERVAL),
                status => return status,
            }
        }
    }

    /// Waits until it has ended, however long that takes.
    ///
    /// # Errors
    ///
    /// When the system reports none such.
    pub fn wait(mut self) -> io::Result<ExitStatus> {
        if let Some(status) = self.exit_status() {
            return Ok(status);
        }
        if let Some(pid) = pid_of(&self.child) {
            // Not reaped yet: its id stays its own until it is unregistered.
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
        // A paused process can't be reaped.
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

/// Waits for the line with the address; `None` where the output ends without, or after 30 s.
fn wait_for_address(output: ChildStdout) -> Option<SocketAddr> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        // Reads on to the end: a full pipe would block the process.
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if let Some((_, addr)) = line.split_once(READY_MARKER) {
                let _ = sender.send(addr.trim().parse().ok());
            }
        }
    });
    receiver.recv_timeout(READY_TIMEOUT).ok().flatten()
}
