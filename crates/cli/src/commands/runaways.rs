//! `hoptiller runaways`: shows what a running router has found, and releases its holds.

mod report;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use futures_lite::future;
use hoptiller_http::client::{ClientError, Connection};
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_statement_router::front_end::admin_api::{HOLDS_PATH, RUNAWAYS_PATH};
use serde::Deserialize;

use crate::error::CommandError;
use report::Report;

/// Limit of the time to connect, and of the time for the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Arguments of `hoptiller runaways`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// The router's address for administrators: `router.admin` in its settings
    #[arg(
        long,
        env = "HOPTILLER_ADMIN",
        default_value = "127.0.0.1:8082",
        value_name = "ADDR"
    )]
    admin: SocketAddr,
    /// Release the hold of a fingerprint (kind): its 16 digits, as the list shows them
    #[arg(long, value_name = "KIND")]
    release: Option<String>,
    /// Also show the last findings that no longer apply
    #[arg(long = "past")]
    with_past: bool,
    /// Print the router's response, in JSON
    #[arg(long)]
    json: bool,
}

/// The router does not release a hold.
#[derive(Debug, thiserror::Error)]
#[error("kind {fingerprint}: {reason}")]
pub(crate) struct ReleaseError {
    fingerprint: String,
    /// The router's reason.
    reason: String,
}

/// A response that reports an error.
#[derive(Deserialize)]
struct ErrorBody {
    problem: String,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    match &args.release {
        Some(fingerprint) => release(args.admin, fingerprint)?,
        None => show(args)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn release(admin: SocketAddr, fingerprint: &str) -> Result<(), CommandError> {
    let path = format!("{HOLDS_PATH}{fingerprint}");
    let response = send(admin, Method::Delete, &path)?;
    if response.status.0 != 204 {
        return Err(ReleaseError {
            fingerprint: fingerprint.to_owned(),
            reason: error_reason(&response),
        }
        .into());
    }
    println!("kind {fingerprint} is free");
    Ok(())
}

fn show(args: &Args) -> Result<(), CommandError> {
    let response = send(args.admin, Method::Get, RUNAWAYS_PATH)?;
    let status = response.status.0;
    if status != 200 {
        let context = format!("the router at {} answered {status}", args.admin);
        return Err(CommandError::io(context)(error_reason(&response)));
    }
    if args.json {
        println!("{}", String::from_utf8_lossy(&response.body));
        return Ok(());
    }
    let report: Report =
        serde_json::from_slice(&response.body).map_err(CommandError::io("the router's answer"))?;
    print!("{}", report.to_text(args.with_past));
    Ok(())
}

fn send(admin: SocketAddr, method: Method, target: &str) -> Result<Response, CommandError> {
    let request = Request::new(method, target).with_header("Connection", "close");
    let limits = Limits {
        max_body_bytes: MAX_RESPONSE_BYTES,
        ..Limits::default()
    };
    let exchange = async {
        let mut connection = Connection::open(admin, REQUEST_TIMEOUT, limits).await?;
        connection.exchange(&request, REQUEST_TIMEOUT).await
    };
    let response: Result<Response, ClientError> = future::block_on(exchange);
    response.map_err(CommandError::io(format!(
        "no answer from {admin}; is router.admin set there, and --admin the same"
    )))
}

fn error_reason(response: &Response) -> String {
    let body: Option<ErrorBody> = serde_json::from_slice(&response.body).ok();
    body.map_or_else(
        || format!("status {}", response.status.0),
        |body| body.problem,
    )
}
