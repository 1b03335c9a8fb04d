//! Hosts controllers on the bench's JSON wire: one batch a line in, one reply a line out.
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
const BAD_LINE: u8 = 2;
/// Exit code once nobody reads the replies.
const OUTPUT_CLOSED: u8 = 3;

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut stdout = io::stdout().lock();
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let reply = match answer(&mut host, line) {
            Ok(Some(reply)) => reply,
            Ok(None) => continue,
            Err(error) => {
                eprintln!("hoptiller-simhost: line {}: {error}", number + 1);
                return ExitCode::from(BAD_LINE);
            }
        };
        if writeln!(stdout, "{reply}")
            .and_then(|()| stdout.flush())
            .is_err()
        {
            return ExitCode::from(OUTPUT_CLOSED);
        }
    }
    ExitCode::SUCCESS
}

/// The reply to a line; `None` to an empty one.
fn answer(host: &mut Host, line: io::Result<String>) -> Result<Option<String>, BatchError> {
    let line = line?;
    if line.trim().is_empty() {
        return Ok(None);
    }
    host.reply(&line).map(Some)
}
