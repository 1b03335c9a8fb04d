//! Commands that act on a fleet: `settings put`, and a `fleet run` that is terminated.

use std::process::Command;
use std::time::Instant;

use crate::fleet_fixture::{FleetFixture, POLL_INTERVAL, TIMEOUT, document, program};

#[test]
fn a_truncated_document_and_an_unknown_setting_change_nothing() {
    let fixture = FleetFixture::new("files", 1, |_| {});
    let replicas: Vec<String> = fixture
        .fleet
        .client()
        .endpoints()
        .iter()
        .map(ToString::to_string)
        .collect();
    let whole = serde_json::to_string(&document(&["a"], 3)).expect("json");
    let put = |name: &str, text: &str| {
        let file = fixture.dir.join(name);
        std::fs::write(&file, text).expect("written");
        let out = Command::new(program())
            .args([
                "settings",
                "put",
                &file.display().to_string(),
                "--why",
                "a test",
            ])
            .args([
                "--keepers",
                &replicas.join(","),
                "--secret",
                &fixture.dir.join("secret").display().to_string(),
            ])
            .output()
            .expect("runs");
        (
            out.status.code(),
            String::from_utf8_lossy(&out.stderr).into_owned(),
        )
    };
    let (code, message) = put("half.json", &whole[..whole.len() / 2]);
    assert_eq!(code, Some(2), "{message}");
    let (code, message) = put(
        "later.json",
        &whole.replace("\"max_attempts\"", "\"most_tries\":2,\"max_attempts\""),
    );
    assert!(
        code == Some(2) && message.contains("most_tries"),
        "{message}"
    );
    let (code, message) = put("other.json", &whole.replace("\"form\":1", "\"form\":2"));
    assert!(code == Some(2) && message.contains("form"), "{message}");
    let (code, message) = put("nowhere.json", &whole.replace("[\"a\"]", "[\"b\"]"));
    assert!(
        code == Some(2) && message.contains("this change"),
        "{message}"
    );
    assert_eq!(fixture.fleet.version_numbers().map(|n| n.last), Some(1));
    let (code, message) = put(
        "good.json",
        &whole.replace("\"max_attempts\":3", "\"max_attempts\":2"),
    );
    assert_eq!(code, Some(0), "{message}");
    assert_eq!(fixture.fleet.version_numbers().map(|n| n.last), Some(2));
}

/// Returns the running child processes of a process.
fn children_of(parent: u32) -> Vec<u32> {
    let all = std::fs::read_dir("/proc").expect("there").flatten();
    let numbers = all.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    let of_parent = |pid: &u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // The state and the parent follow the name, which is in parentheses.
        let rest: Vec<&str> = stat
            .rsplit(") ")
            .next()
            .unwrap_or_default()
            .split(' ')
            .collect();
        rest.first() != Some(&"Z") && rest.get(1) == Some(&parent.to_string().as_str())
    };
    numbers.filter(of_parent).collect()
}

#[test]
fn a_terminated_fleet_run_leaves_no_process_behind() {
    let report =
        std::env::temp_dir().join(format!("hoptiller-fleet-terminated-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&report);
    let day = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/fleet-calm.jsonnet"
    );
    let mut fleet = Command::new(program())
        .args(["fleet", "run", day, "--report"])
        .arg(&report)
        .stdout(std::process::Stdio::null())
        .spawn()
        .expect("it runs");
    let deadline = Instant::now() + TIMEOUT;
    let mut all = Vec::new();
    while all.len() < 4 && Instant::now() < deadline {
        std::thread::sleep(POLL_INTERVAL);
        all = children_of(fleet.id());
    }
    assert!(all.len() >= 4, "replicas and a router run: {all:?}");
    let pid = rustix::process::Pid::from_raw(fleet.id() as i32).expect("it runs");
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("signalled");
    assert_eq!(fleet.wait().expect("ended").code(), Some(130));
    let gone = |pid: &u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        stat.is_empty() || stat.contains(") Z ")
    };
    while !all.iter().all(gone) && Instant::now() < deadline {
        std::thread::sleep(POLL_INTERVAL);
    }
    assert!(all.iter().all(gone), "{all:?}");
    std::fs::remove_dir_all(&report).expect("removed");
}
