//! Owns one process of the program: started with its arguments, waited for until it is ready, killed, stopped and gone
//! on with. It ends with whoever holds it.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, mpsc};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

/// How long a process may take until it is ready: long, as machines may be loaded.
const READY: Duration = Duration::from_secs(30);

/// Processes that run, and whether no more may be started: signals end this process without unwinding.
static RUNNING: Mutex<(Vec<Pid>, bool)> = Mutex::new((Vec::new(), false));

/// Ends all that was started, for a process that is told to end; nothing more is started.
pub fn end_all() {
    let Ok(mut running) = RUNNING.lock() else {
        return;
    };
    running.1 = true;
    for pid in running.0.drain(..) {
        let _ = kill_process(pid, Signal::KILL);
    }
}

/// Starts a process under the lock, so that none escapes [`end_all`].
fn spawn(command: &mut Command) -> io::Result<Child> {
    let mut running = RUNNING
        .lock()
        .map_err(|_| io::Error::other("a thread has panicked"))?;
    if running.1 {
        return Err(io::Error::other("told to end"));
    }
    let child = command.spawn()?;
    running.0.extend(pid(&child));
    Ok(child)
}

fn pid(child: &Child) -> Option<Pid> {
    i32::try_from(child.id()).ok().and_then(Pid::from_raw)
}

/// A process.
pub struct Process {
    name: String,
    child: Child,
    addr: SocketAddr,
}

impl Process {
    /// Starts the program, and waits for its line `… ready http://ADDR`. What it says of its course goes to a file.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[&str],
        env: &[(String, String)],
        log: &Path,
    ) -> io::Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.args(args).envs(env.iter().map(|(k, v)| (k, v)));
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::from(log));
        let mut child = spawn(&mut command)?;
        let out = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("no output"))?;
        let (tell, told) = mpsc::channel();
        std::thread::spawn(move || {
            // Read on to the end: a full pipe would hold the process up.
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                if let Some((_, addr)) = line.split_once("ready http://") {
                    let _ = tell.send(addr.trim().to_owned());
                }
            }
        });
        let ready = told
            .recv_timeout(READY)
            .ok()
            .and_then(|addr| addr.parse().ok());
        match ready {
            Some(addr) => Ok(Process {
                name: name.to_owned(),
                child,
                addr,
            }),
            None => {
                let _ = child.kill();
                let status = wait_for(&mut child)?;
                Err(io::Error::other(format!("{name} was not ready: {status}")))
            }
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = pid(&self.child) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Stops it where it stands.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// Tells it to end.
    pub fn tell_to_end(&self) {
        self.signal(Signal::TERM);
    }

    /// Ends it at once.
    pub fn kill(mut self) {
        self.end();
    }

    /// Whether it has ended by itself.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until it has ended by itself, for so long.
    pub fn wait(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = std::time::Instant::now() + within;
        loop {
            match self.ended() {
                None if std::time::Instant::now() < until => {
                    std::thread::sleep(Duration::from_millis(10))
                }
                ended => return ended,
            }
        }
    }

    fn end(&mut self) {
        // One that is stopped can't be waited for.
        self.signal(Signal::CONT);
        let _ = self.child.kill();
        let _ = wait_for(&mut self.child);
    }
}

/// Waits for one that was killed, and forgets it first: its number may be another's after that.
fn wait_for(child: &mut Child) -> io::Result<ExitStatus> {
    if let (Ok(mut running), Some(pid)) = (RUNNING.lock(), pid(child)) {
        running.0.retain(|p| *p != pid);
    }
    child.wait()
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}
