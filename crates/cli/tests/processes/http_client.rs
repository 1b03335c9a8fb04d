//! A minimal client of routers, independent of the project's own HTTP implementation.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

pub struct HttpResponse {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: Vec<u8>,
}

impl HttpResponse {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn next(&self) -> Option<String> {
        let uri = self.json()["nextUri"].as_str()?.to_owned();
        Some(uri[uri.find("/v1")?..].to_owned())
    }

    pub fn error(&self) -> String {
        self.json()["error"]["errorName"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// Sends a request on a new connection, and returns the response.
pub fn exchange(
    addr: SocketAddr,
    method: &str,
    path: &str,
    fields: &str,
    body: &str,
) -> std::io::Result<HttpResponse> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\nContent-Length: {length}\r\n"
    );
    stream.write_all(format!("{head}{fields}\r\n{body}").as_bytes())?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let head_end = bytes
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let status = head
        .get(9..12)
        .and_then(|code| code.parse().ok())
        .ok_or(std::io::ErrorKind::InvalidData)?;
    let retry_after = head
        .lines()
        .find_map(|line| line.strip_prefix("Retry-After: "))
        .map(str::to_owned);
    Ok(HttpResponse {
        status,
        retry_after,
        body: bytes[head_end + 4..].to_vec(),
    })
}

/// Returns the response to a GET request.
pub fn get(addr: SocketAddr, path: &str) -> HttpResponse {
    exchange(addr, "GET", path, "", "").expect("a response")
}

/// Submits a statement, and checks that it is admitted.
pub fn submit(addr: SocketAddr, class: &str, text: &str) -> HttpResponse {
    let fields = format!("X-Trino-User: ann\r\nX-Trino-Client-Tags: class={class}\r\n");
    let response = exchange(addr, "POST", "/v1/statement", &fields, text).expect("a response");
    assert_eq!(
        response.status,
        200,
        "{}",
        String::from_utf8_lossy(&response.body)
    );
    response
}

/// Polls until the final response, and returns it.
pub fn follow(addr: SocketAddr, mut response: HttpResponse) -> HttpResponse {
    while let Some(next) = response.next() {
        response = get(addr, &next);
        assert_eq!(response.status, 200);
    }
    response
}
