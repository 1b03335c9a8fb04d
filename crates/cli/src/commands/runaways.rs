//! `hoptiller runaways`: what a running router has found, and freeing what it holds.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use futures_lite::future;
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_statement_router::front_end::admin_api::{HOLDS_PATH, RUNAWAYS_PATH};
use serde_json::Value;

use crate::run::Failure;

#[derive(clap::Args)]
pub struct Args {
    /// Where the router's administrators reach it: `router.admin` of its settings
    #[arg(
        long,
        env = "HOPTILLER_ADMIN",
        default_value = "127.0.0.1:8082",
        value_name = "ADDR"
    )]
    admin: SocketAddr,
    /// Free a held kind: its 16 digits, as the list shows them
    #[arg(long, value_name = "KIND")]
    release: Option<String>,
    /// Also show the last verdicts that no longer stand
    #[arg(long)]
    past: bool,
    /// Print what the router answers, in JSON
    #[arg(long)]
    json: bool,
}

/// How long the router may take.
const WITHIN: Duration = Duration::from_secs(5);

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    if let Some(kind) = &args.release {
        let answer = ask(args.admin, Method::Delete, &format!("{HOLDS_PATH}{kind}"))?;
        return match answer.status.0 {
            204 => {
                println!("kind {kind} is free");
                Ok(ExitCode::SUCCESS)
            }
            _ => Err(Failure::Usage(format!("kind {kind}: {}", problem(&answer)))),
        };
    }
    let answer = ask(args.admin, Method::Get, RUNAWAYS_PATH)?;
    if answer.status.0 != 200 {
        let what = format!("the router at {} answered {}", args.admin, answer.status.0);
        return Err(Failure::Outside(
            what,
            std::io::Error::other(problem(&answer)),
        ));
    }
    if args.json {
        println!("{}", String::from_utf8_lossy(&answer.body));
        return Ok(ExitCode::SUCCESS);
    }
    let value: Value = serde_json::from_slice(&answer.body)
        .map_err(|e| Failure::Outside("the router's answer".into(), std::io::Error::other(e)))?;
    print!("{}", show(&value, args.past));
    Ok(ExitCode::SUCCESS)
}

fn ask(admin: SocketAddr, method: Method, target: &str) -> Result<Response, Failure> {
    let asked = future::block_on(async {
        let mut c = Connection::open(
            admin,
            WITHIN,
            Limits {
                body: 16 << 20,
                ..Limits::default()
            },
        )
        .await?;
        c.exchange(
            &Request::new(method, target).with("Connection", "close"),
            WITHIN,
        )
        .await
    });
    asked.map_err(|e| {
        let what =
            format!("no answer from {admin}; is router.admin set there, and --admin the same");
        Failure::Outside(what, std::io::Error::other(e.to_string()))
    })
}

fn problem(answer: &Response) -> String {
    let value: Option<Value> = serde_json::from_slice(&answer.body).ok();
    let told = value.and_then(|v| v["problem"].as_str().map(str::to_owned));
    told.unwrap_or_else(|| format!("status {}", answer.status.0))
}

/// The router's answer for people.
fn show(all: &Value, past: bool) -> String {
    let list = |key: &str| all[key].as_array().cloned().unwrap_or_default();
    let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
    let seconds = |v: &Value| format!("{} s", v.as_u64().unwrap_or(0) / 1000);
    let mut out = String::new();
    let mut findings = |title: &str, all: Vec<Value>| {
        if all.is_empty() {
            return;
        }
        out.push_str(&format!("{title}\n"));
        for f in all {
            let place = if f["engine"].is_null() {
                String::new()
            } else {
                format!(" on {}", text(&f["engine"]))
            };
            let class = if f["class"].is_null() {
                String::new()
            } else {
                format!(", class {}", text(&f["class"]))
            };
            out.push_str(&format!(
                "  {:<9} {}{place}{class}\n",
                text(&f["verdict"]),
                text(&f["subject"])
            ));
            out.push_str(&format!(
                "            {}: {}\n",
                text(&f["inWords"]),
                text(&f["seen"])
            ));
            let (started, verdict) = (seconds(&f["startedMsAgo"]), seconds(&f["verdictMsAgo"]));
            out.push_str(&format!(
                "            began {started} ago, verdict {verdict} ago"
            ));
            match f["blocked"].as_u64().unwrap_or(0) {
                0 => out.push('\n'),
                n => out.push_str(&format!(", {n} wait behind it\n")),
            }
            for line in [text(&f["text"]), text(&f["note"])]
                .iter()
                .filter(|l| !l.is_empty())
            {
                out.push_str(&format!("            {line}\n"));
            }
        }
    };
    findings("found", list("findings"));
    if past {
        findings("no longer", list("past"));
    }
    let holds = list("holds");
    if !holds.is_empty() {
        out.push_str("held kinds (free one with --release KIND)\n");
    }
    for h in holds {
        out.push_str(&format!(
            "  {}  class {}, {} at once, {} of {} clean runs to the next step, for {}\n      {}\n",
            text(&h["kind"]),
            text(&h["class"]),
            h["atOnce"],
            h["cleanRuns"],
            h["cleanRunsForNextStep"],
            seconds(&h["heldForMs"]),
            text(&h["text"])
        ));
    }
    for away in list("keptAway") {
        let engines: Vec<String> = away["engines"]
            .as_array()
            .into_iter()
            .flatten()
            .map(text)
            .collect();
        out.push_str(&format!(
            "  tables {} are kept away from {}\n",
            text(&away["tables"]),
            engines.join(", ")
        ));
    }
    if out.is_empty() {
        out.push_str("nothing runs away, and nothing is held\n");
    }
    out
}

#[cfg(test)]
mod tests;
