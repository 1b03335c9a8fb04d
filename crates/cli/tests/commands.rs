//! Checks that the program accepts the documented commands and arguments.

use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hoptiller");

/// The documented commands, each with a documented argument.
const DOCUMENTED: [(&str, &str); 25] = [
    ("demo", "--engines"),
    ("route", "<FILE>"),
    ("node", "--config"),
    ("check", "--json"),
    ("standin engine", "--ledger"),
    ("standin discovery", "--keep"),
    ("day", "--report"),
    ("keep", "--config"),
    ("keep", "--join"),
    ("settings put", "--why"),
    ("settings put", "--dry-run"),
    ("settings show", "--keepers"),
    ("settings diff", "--secret"),
    ("settings history", "--json"),
    ("settings rollback", "--why"),
    ("settings watch", "--until"),
    ("fleet status", "--json"),
    ("fleet leases", "--json"),
    ("fleet replace-keeper", "--lost"),
    ("fleet run", "--seed"),
    ("runaways", "--release"),
    ("runaways", "--past"),
    ("experiment runaways", "--seeds"),
    ("audit", "<DIR>"),
    ("beliefs", "--most"),
];

#[test]
fn documented_commands_are_accepted() {
    for (command, argument) in DOCUMENTED {
        let output = Command::new(PROGRAM)
            .args(command.split(' '))
            .arg("--help")
            .output()
            .expect("it runs");
        assert!(output.status.success(), "hoptiller {command}");
        let help = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(help.contains(argument), "hoptiller {command}: {help}");
    }
}

#[test]
fn fleet_status_is_also_accepted_as_cluster_status() {
    let output = Command::new(PROGRAM)
        .args(["fleet", "cluster-status", "--help"])
        .output()
        .expect("it runs");
    assert!(output.status.success());
}
