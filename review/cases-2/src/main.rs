//! The cases of the second review, each started by its `run.sh`:
//! `review-cases-2 CASE ROOT FOLDER RECORD`. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod bodies;
mod client;
mod coordinator;
mod engine;
mod hang;
mod json;
mod memory;
mod record;
mod router;
mod site;

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use hang::Bad;
use record::Record;
use site::Setting;

/// No case takes this long. One that hangs ends with all that it started, and could not run.
const LONGEST: Duration = Duration::from_secs(118);

fn main() -> ExitCode {
    // Routers end with this program, and this program with the script.
    router::end_with_parent();
    thread::spawn(|| {
        thread::sleep(LONGEST);
        eprintln!("the case could not run: it took over {LONGEST:?}");
        std::process::exit(2);
    });
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-cases-2 CASE ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(&PathBuf::from(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    let setting = Setting {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        record: record.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.say(&format!("case {case}, trouble {}", setting.trouble));
    let held = match case.as_str() {
        "bad-requests" => hang::run(&setting, Bad::Requests),
        "bad-message" => hang::run(&setting, Bad::Message),
        "bad-repeats" => memory::run(&setting),
        "long-requests" => bodies::run(&setting),
        other => Err(format!("no case {other}")),
    };
    match held {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
