//! Runs controllers behind the simulator's JSON protocol: reads one batch per line and writes one reply per line.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod host;
mod instance;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use error::BatchError;
use host::Host;

/// Exit code after a line that can't be answered.
const INVALID_LINE: u8 = 2;
/// Exit code after a reply could not be written.
const OUTPUT_FAILED: u8 = 3;

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut stdout = io::stdout().lock();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let reply = match reply_to(&mut host, line) {
            Ok(Some(reply)) => reply,
            Ok(None) => continue,
            Err(error) => {
                eprintln!("hoptiller-simhost: line {}: {error}", index + 1);
                return ExitCode::from(INVALID_LINE);
            }
        };
        if writeln!(stdout, "{reply}")
            .and_then(|()| stdout.flush())
            .is_err()
        {
            return ExitCode::from(OUTPUT_FAILED);
        }
    }
    ExitCode::SUCCESS
}

/// Returns the reply to a line, or `None` for an empty line.
fn reply_to(host: &mut Host, line: io::Result<String>) -> Result<Option<String>, BatchError> {
    let line = line?;
    if line.trim().is_empty() {
        return Ok(None);
    }
    host.reply(&line).map(Some)
}
