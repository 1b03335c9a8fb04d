//! Processes of the program.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Output, Stdio};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_hoptiller");

/// A process of the program that has reported that it is ready.
pub struct Process {
    child: Child,
    pub addr: SocketAddr,
}

impl Process {
    pub fn start(args: &[&str]) -> Process {
        let mut child = Command::new(PROGRAM)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("piped"))
            .read_line(&mut line)
            .expect("a line");
        let addr = line
            .trim()
            .strip_prefix("ready http://")
            .and_then(|a| a.parse().ok());
        Process {
            addr: addr.unwrap_or_else(|| panic!("no address in {line:?}")),
            child,
        }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &pid])
                .status()
                .expect("kill")
                .success()
        );
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().expect("ended").code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs the program to completion.
pub fn program(args: &[&str]) -> Output {
    Command::new(PROGRAM).args(args).output().expect("it runs")
}
