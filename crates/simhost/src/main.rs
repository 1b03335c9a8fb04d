//! Hosts controllers on the bench's JSON wire: one batch a line in, one reply a line out.
#![forbid(unsafe_code)]

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = host::Host::default();
    let mut stdout = io::stdout().lock();
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let reply = line.map_err(|e| e.to_string()).and_then(|l| {
            if l.trim().is_empty() {
                Ok(None)
            } else {
                host.reply(&l).map(Some)
            }
        });
        let reply = match reply {
            Ok(Some(reply)) => reply,
            Ok(None) => continue,
            Err(problem) => {
                eprintln!("hoptiller-simhost: line {}: {problem}", number + 1);
                return ExitCode::from(2);
            }
        };
        if writeln!(stdout, "{reply}")
            .and_then(|()| stdout.flush())
            .is_err()
        {
            return ExitCode::from(3);
        }
    }
    ExitCode::SUCCESS
}
