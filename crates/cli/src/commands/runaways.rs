//! `hoptiller runaways`: shows the findings of a running router, and releases its holds.

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

/// Timeout of the connect, and of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Arguments of `hoptiller runaways`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// The router's address for administrators, which is `router.admin` in its settings
    #[arg(
        long,
        env = "HOPTILLER_ADMIN",
        default_value = "127.0.0.1:8082",
        value_name = "ADDR"
    )]
    admin: SocketAddr,
    /// Release the hold of a fingerprint (kind), given as the 16 digits that the list shows
    #[arg(long, value_name = "KIND")]
    release: Option<String>,
    /// Also show recent findings that no longer apply
    #[arg(long = "past")]
    with_past: bool,
    /// Print the router's response as JSON
    #[arg(long)]
    json: bool,
}

/// The error that the router did not release a hold.
#[derive(Debug, thiserror::Error)]
#[error("kind {fingerprint}: {reason}")]
pub(crate) struct ReleaseError {
    fingerprint: String,
    /// The reason that the router gave.
    reason: String,
}

impl From<ReleaseError> for CommandError {
    fn from(error: ReleaseError) -> CommandError {
        CommandError::command(error)
    }
}

/// The body of a response that reports an error.
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
    println!("kind {fingerprint}: hold released");
    Ok(())
}

fn show(args: &Args) -> Result<(), CommandError> {
    let response = send(args.admin, Method::Get, RUNAWAYS_PATH)?;
    let status = response.status.0;
    if status != 200 {
        let context = format!("the router at {} returned status {status}", args.admin);
        return Err(CommandError::io(context)(error_reason(&response)));
    }
    if args.json {
        println!("{}", String::from_utf8_lossy(&response.body));
        return Ok(());
    }
    let report: Report = serde_json::from_slice(&response.body)
        .map_err(CommandError::io("invalid response of the router"))?;
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
        "no response from {admin}; check that --admin is the router.admin of the router's settings"
    )))
}

fn error_reason(response: &Response) -> String {
    let body: Option<ErrorBody> = serde_json::from_slice(&response.body).ok();
    body.map_or_else(
        || format!("status {}", response.status.0),
        |body| body.problem,
    )
}
