//! What the platform asks of `deploy/balancer.toml` and of the program that it starts, without the bench: one process by
//! `exec`, linked dynamically against the C library, that starts no other program and speaks TCP and UDP over IPv4 only.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hoptiller");

/// The value of a key of the deploy file: all of them stand on lines of their own.
fn deployed(key: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(file).expect("the deploy file");
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(key)?.trim_start().strip_prefix('='));
    line.unwrap_or_else(|| panic!("no {key}"))
        .trim()
        .trim_matches('"')
        .to_owned()
}

/// The libraries that a program is linked against, and its interpreter, read from its ELF headers (64-bit, little-endian).
fn linked(program: &[u8]) -> (Option<String>, Vec<String>) {
    let int = |at: u64, n: usize| {
        let mut bytes = [0; 8];
        bytes[..n].copy_from_slice(&program[at as usize..at as usize + n]);
        u64::from_le_bytes(bytes)
    };
    let text = |at: u64| {
        let rest = &program[at as usize..];
        let end = rest.iter().position(|b| *b == 0).expect("it ends");
        String::from_utf8_lossy(&rest[..end]).into_owned()
    };
    assert_eq!(&program[..6], b"\x7fELF\x02\x01", "a 64-bit program");
    let (table, size, count) = (int(32, 8), int(54, 2), int(56, 2));
    // Type, place in the file, address, size in the file.
    let parts: Vec<(u64, u64, u64, u64)> = (0..count)
        .map(|n| table + n * size)
        .map(|at| (int(at, 4), int(at + 8, 8), int(at + 16, 8), int(at + 32, 8)))
        .collect();
    let in_file = |address: u64| {
        let of = parts
            .iter()
            .find(|p| p.0 == 1 && (p.2..p.2 + p.3).contains(&address))
            .expect("loaded");
        address - of.2 + of.1
    };
    let interpreter = parts.iter().find(|p| p.0 == 3).map(|p| text(p.1));
    let Some(dynamic) = parts.iter().find(|p| p.0 == 2) else {
        return (interpreter, Vec::new());
    };
    let entries: Vec<(u64, u64)> = (0..dynamic.3 / 16)
        .map(|n| dynamic.1 + n * 16)
        .map(|at| (int(at, 8), int(at + 8, 8)))
        .collect();
    let names = entries
        .iter()
        .find(|e| e.0 == 5)
        .map(|e| in_file(e.1))
        .expect("a table of names");
    (
        interpreter,
        entries
            .iter()
            .filter(|e| e.0 == 1)
            .map(|e| text(names + e.1))
            .collect(),
    )
}

#[test]
fn the_deploy_file_builds_what_it_runs_and_ends_in_one_process() {
    let (build, run) = (deployed("build"), deployed("run"));
    assert!(
        build.starts_with("cargo build --release --locked"),
        "{build}"
    );
    for package in ["hoptiller-cli", "hoptiller-simhost"] {
        assert!(
            build.contains(&format!("-p {package}")),
            "{package} is built by {build:?}"
        );
    }
    assert_eq!(
        run.strip_prefix("exec "),
        Some("target/release/hoptiller node"),
        "{run}"
    );
    assert!(
        !run.contains([';', '&', '|', '(', '`', '$']),
        "no shell stays behind it: {run}"
    );
    assert!(deployed("sim").starts_with("exec target/release/hoptiller-simhost"));
}

#[test]
fn the_program_is_linked_dynamically_against_the_c_library_alone() {
    let (interpreter, libraries) = linked(&std::fs::read(PROGRAM).expect("built"));
    assert!(
        interpreter.is_some_and(|i| i.contains("ld-linux")),
        "an interpreter loads it"
    );
    assert!(
        libraries.iter().any(|l| l.starts_with("libc.so")),
        "{libraries:?}"
    );
    let usual = [
        "libc.",
        "libm.",
        "libgcc_s.",
        "ld-linux",
        "libpthread.",
        "libdl.",
    ];
    let other: Vec<&String> = libraries
        .iter()
        .filter(|l| !usual.iter().any(|u| l.starts_with(u)))
        .collect();
    assert!(other.is_empty(), "not on a new machine: {other:?}");
}

const REQUEST: &str = "POST /call/lookup HTTP/1.1\r\nHost: h\r\nTrace-Id: 00000000000000aa\r\n\
    Max-Wait-Ms: 8000\r\nProject: acme\r\nContent-Length: 8\r\n\r\nSELECT 1";

/// A folder with the configuration of a router, and the program where `run` looks for it.
struct Stage {
    root: PathBuf,
    router: Child,
}

impl Stage {
    /// `run` as the deploy file has it, by `/bin/sh -c`.
    fn start(name: &str, coordinator: SocketAddr, engine: SocketAddr) -> (Stage, SocketAddr) {
        let root =
            std::env::temp_dir().join(format!("hoptiller-deploy-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&root);
        std::fs::create_dir_all(root.join("target/release")).expect("a folder");
        std::os::unix::fs::symlink(PROGRAM, root.join("target/release/hoptiller")).expect("linked");
        let member = serde_json::json!({"id": "s-00000001", "host_port": engine.to_string(), "locality": "a",
            "flavor": "k", "cell": 0, "phase": "in_service", "up_since_ms": 0});
        let config = serde_json::json!({
            "name": "n0", "listen": "127.0.0.1:0", "seed": "0000000000000007",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "coordinator": coordinator.to_string(),
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"complete": true, "members": [member]}}]},
            "settings": {
                "balancers": 1, "index": 0, "tick": 1.0, "zones": ["a"], "kinds": ["k"],
                "tenants": [{"name": "acme", "fraction": 1.0}],
                "lanes": [{"name": "lookup", "aim": 4000, "deadline": 8000, "semantics": "pure", "importance": 1}],
                "limits": {"maxAttempts": 3, "connIdle": 30000, "connectTimeout": 250},
                "extra": {"parallelism": [1], "cpuOfKind": [8]}}
        });
        std::fs::write(root.join("config.json"), config.to_string()).expect("written");
        let mut shell = Command::new("/bin/sh");
        shell
            .args(["-c", &deployed("run")])
            .current_dir(&root)
            .process_group(0);
        shell
            .env("GW_CONFIG", root.join("config.json"))
            .stdin(Stdio::null());
        shell.env("HOPTILLER_LOG", "hoptiller_node=debug");
        let log = std::fs::File::create(root.join("n0.log")).expect("a file");
        let mut router = shell
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("a shell");
        let mut line = String::new();
        BufReader::new(router.stdout.take().expect("piped"))
            .read_line(&mut line)
            .expect("a line");
        let addr = line
            .trim()
            .strip_prefix("ready http://")
            .and_then(|a| a.parse().ok());
        (
            Stage { root, router },
            addr.unwrap_or_else(|| panic!("no address in {line:?}")),
        )
    }

    fn proc(&self, name: &str) -> PathBuf {
        Path::new("/proc")
            .join(self.router.id().to_string())
            .join(name)
    }

    /// What its descriptors are, as `/proc` names them.
    fn descriptors(&self) -> Vec<String> {
        let all = std::fs::read_dir(self.proc("fd")).expect("it runs");
        let links = all.filter_map(|e| std::fs::read_link(e.ok()?.path()).ok());
        links.map(|l| l.to_string_lossy().into_owned()).collect()
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = self.router.kill();
        let _ = self.router.wait();
        let _ = std::fs::remove_dir_all(&self.root);
    }
}

/// The sockets of a table under `/proc/net`: the inode, which is in column `at`, and the field behind it.
fn sockets(table: &str, at: usize) -> Vec<(String, Option<String>)> {
    let text = std::fs::read_to_string(Path::new("/proc/net").join(table)).unwrap_or_default();
    let lines = text
        .lines()
        .skip(1)
        .map(|l| l.split_whitespace().map(str::to_owned).collect::<Vec<_>>());
    lines
        .filter_map(|f| Some((f.get(at)?.clone(), f.get(at + 1).cloned())))
        .collect()
}

#[test]
fn what_run_starts_is_one_process_of_the_program_with_ipv4_sockets_and_no_child() {
    let bound = || TcpListener::bind("127.0.0.1:0").expect("bound");
    let (coordinator, engine) = (bound(), bound());
    let at = |l: &TcpListener| l.local_addr().expect("bound");
    let (stage, addr) = Stage::start("one", at(&coordinator), at(&engine));
    // A request that is out at the engine, so that all kinds of its sockets are open.
    let mut client = TcpStream::connect(addr).expect("it listens");
    client.write_all(REQUEST.as_bytes()).expect("written");
    let (mut line, mut told) = ([0; 10], [0; 8]);
    let (mut at_engine, mut at_coordinator) = (
        engine.accept().expect("it connects").0,
        coordinator.accept().expect("it connects").0,
    );
    at_engine.read_exact(&mut line).expect("a request");
    assert_eq!(&line, b"{\"t\":\"REQ\"");
    at_coordinator.read_exact(&mut told).expect("its number");

    let image = std::fs::read_link(stage.proc("exe")).expect("it runs");
    assert_eq!(
        image,
        std::fs::canonicalize(PROGRAM).expect("built"),
        "the shell has become the program"
    );
    let parent = |pid: &str| {
        let stat = std::fs::read_to_string(Path::new("/proc").join(pid).join("stat")).ok()?;
        stat.rsplit_once(')')?
            .1
            .split_whitespace()
            .nth(1)?
            .parse::<u32>()
            .ok()
    };
    let all = std::fs::read_dir("/proc")
        .expect("/proc")
        .filter_map(|e| e.ok()?.file_name().into_string().ok());
    let children: Vec<String> = all
        .filter(|pid| parent(pid) == Some(stage.router.id()))
        .collect();
    assert!(children.is_empty(), "it has started {children:?}");

    let descriptors = stage.descriptors();
    assert!(
        !descriptors.iter().any(|d| d.contains("io_uring")),
        "{descriptors:?}"
    );
    let ipv4 = [sockets("tcp", 9), sockets("udp", 9)].concat();
    let unix = sockets("unix", 6);
    let mut seen = 0;
    for inode in descriptors
        .iter()
        .filter_map(|d| d.strip_prefix("socket:[")?.strip_suffix(']'))
    {
        if ipv4.iter().any(|(i, _)| i == inode) {
            seen += 1;
            continue;
        }
        // A pair within the process, by which signals wake it, has no name: nobody can come to it.
        let pair = unix.iter().any(|(i, name)| i == inode && name.is_none());
        assert!(pair, "socket {inode} is neither IPv4 nor a pair of its own");
    }
    assert!(
        seen >= 4,
        "listener, client, engine, coordinator: {descriptors:?}"
    );
}

#[test]
fn beliefs_of_a_running_router_hold_and_one_that_does_not_is_told() {
    let bound = || TcpListener::bind("127.0.0.1:0").expect("bound");
    let (coordinator, engine) = (bound(), bound());
    let at = |l: &TcpListener| l.local_addr().expect("bound");
    let (stage, addr) = Stage::start("beliefs", at(&coordinator), at(&engine));
    // The engine is full whenever it is asked.
    std::thread::spawn(move || {
        for mut from in engine.incoming().flatten() {
            std::thread::spawn(move || {
                let lines = BufReader::new(from.try_clone().expect("a handle")).lines();
                for _ in lines
                    .map_while(Result::ok)
                    .filter(|l| l.contains("\"REQ\""))
                {
                    let _ = from.write_all(b"{\"t\":\"overload\",\"i\":\"00000000000000aa\"}\n");
                }
            });
        }
    });
    let mut client = TcpStream::connect(addr).expect("it listens");
    client
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("set");
    client.write_all(REQUEST.as_bytes()).expect("written");
    let mut answer = [0; 12];
    client.read_exact(&mut answer).expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 429");
    let beliefs = || {
        Command::new(PROGRAM)
            .arg("beliefs")
            .arg(&stage.root)
            .output()
            .expect("it runs")
    };
    let told = beliefs();
    let text = String::from_utf8_lossy(&told.stdout).into_owned();
    assert!(told.status.success(), "{text}");
    let all = text
        .lines()
        .find(|l| l.trim_start().starts_with("all"))
        .expect("a sum");
    let all: Vec<&str> = all.split_whitespace().collect();
    // Sent, served, full, unreached, asked again, most out.
    assert!(
        all[1] != "0" && all[1] == all[3],
        "all of its attempts were turned away: {text}"
    );
    assert_eq!([all[2], all[4], all[6]], ["0", "0", "1"], "{text}");
    assert!(
        text.contains(&format!(
            "{} beliefs held against the count, 0 wrong",
            all[1]
        )),
        "{text}"
    );
    // A belief that does not hold is found.
    let log = stage.root.join("n0.log");
    let trace = std::fs::read_to_string(&log).expect("written");
    let believed = trace.replace("believed=1", "believed=2");
    assert_ne!(believed, trace);
    std::fs::write(&log, believed).expect("written");
    assert_eq!(beliefs().status.code(), Some(1));
}
