//! HTTP messages: start lines, requests and responses, and their encoding.

use std::fmt::Write as _;

use crate::headers::Headers;

/// Memory that is allocated in advance for what the encoding adds to a request's fields and content: the start line,
/// two fields and line breaks.
const REQUEST_LINES_BYTES: usize = 256;

/// Memory that is allocated in advance for what the encoding adds to a response's fields and content.
const RESPONSE_LINES_BYTES: usize = 160;

/// A request method. Only the methods that the protocols of this workspace use have a variant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Method {
    /// `GET`
    Get,
    /// `POST`
    Post,
    /// `PUT`
    Put,
    /// `DELETE`
    Delete,
    /// `HEAD`
    Head,
    /// Any other token.
    Other(String),
}

impl Method {
    pub(crate) fn from_token(token: &str) -> Method {
        match token {
            "GET" => Method::Get,
            "POST" => Method::Post,
            "PUT" => Method::Put,
            "DELETE" => Method::Delete,
            "HEAD" => Method::Head,
            other => Method::Other(other.to_owned()),
        }
    }

    /// Returns the method as written on the wire.
    pub fn as_str(&self) -> &str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Put => "PUT",
            Method::Delete => "DELETE",
            Method::Head => "HEAD",
            Method::Other(token) => token,
        }
    }
}

/// A status code, 100 to 999.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status(pub u16);

impl Status {
    /// Returns the reason phrase (RFC 9110), or an empty text for codes that are not used here.
    pub fn reason_phrase(self) -> &'static str {
        match self.0 {
            200 => "OK",
            202 => "Accepted",
            204 => "No Content",
            400 => "Bad Request",
            401 => "Unauthorized",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            410 => "Gone",
            411 => "Length Required",
            413 => "Content Too Large",
            414 => "URI Too Long",
            429 => "Too Many Requests",
            431 => "Request Header Fields Too Large",
            500 => "Internal Server Error",
            501 => "Not Implemented",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            505 => "HTTP Version Not Supported",
            _ => "",
        }
    }
}

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// The start line of a request.
    Request {
        /// The method.
        method: Method,
        /// The target in origin form, starting with `/`, without percent-decoding.
        target: String,
    },
    /// The start line of a response.
    Response(Status),
}

/// The protocol version of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.0
    Http10,
    /// HTTP/1.1
    Http11,
}

/// The start line and header fields of a received message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The start line.
    pub start: StartLine,
    /// The header fields.
    pub headers: Headers,
    /// The protocol version of the message.
    pub version: Version,
}

impl Head {
    /// Returns whether the connection stays open after this message (RFC 9112, section 9.3).
    pub fn is_keep_alive(&self) -> bool {
        match self.version {
            Version::Http10 => self.headers.contains_token("connection", "keep-alive"),
            Version::Http11 => !self.headers.contains_token("connection", "close"),
        }
    }
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The target: path and query.
    pub target: String,
    /// The header fields, without the host and the content length, which [`Request::encode`] adds.
    pub headers: Headers,
    /// The content.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request without header fields and content.
    pub fn new(method: Method, target: impl Into<String>) -> Request {
        Request {
            method,
            target: target.into(),
            headers: Headers::default(),
            body: Vec::new(),
        }
    }

    /// Adds a header field.
    pub fn with_header(mut self, name: &str, value: &str) -> Request {
        self.headers.push(name, value);
        self
    }

    /// Returns the path, that is, the target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the encoded request. `host` is the value of its `Host` header field.
    pub fn encode(&self, host: &str) -> Vec<u8> {
        let mut head = String::with_capacity(
            REQUEST_LINES_BYTES + self.headers.text_bytes() + self.body.len(),
        );
        let _ = write!(
            head,
            "{} {} HTTP/1.1\r\nHost: {host}\r\n",
            self.method.as_str(),
            self.target
        );
        if !self.body.is_empty() || matches!(self.method, Method::Post | Method::Put) {
            let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        }
        append_fields_and_body(head, &self.headers, &self.body)
    }
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: Status,
    /// The header fields, without the content length, which [`Response::encode`] adds.
    pub headers: Headers,
    /// The content.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without header fields and content.
    pub fn new(status: u16) -> Response {
        Response {
            status: Status(status),
            headers: Headers::default(),
            body: Vec::new(),
        }
    }

    /// Creates a response with JSON content.
    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response {
            body: body.into(),
            ..Response::new(status).with_header("Content-Type", "application/json")
        }
    }

    /// Creates a plain text response. A line feed is added to the text.
    pub fn text(status: u16, text: &str) -> Response {
        let body = format!("{text}\n").into_bytes();
        Response {
            body,
            ..Response::new(status).with_header("Content-Type", "text/plain; charset=utf-8")
        }
    }

    /// Adds a header field.
    pub fn with_header(mut self, name: &str, value: &str) -> Response {
        self.headers.push(name, value);
        self
    }

    /// Returns the encoded response. With `close`, it announces that the connection is closed after it.
    pub fn encode(&self, close: bool) -> Vec<u8> {
        let mut head = String::with_capacity(
            RESPONSE_LINES_BYTES + self.headers.text_bytes() + self.body.len(),
        );
        match self.status.0 {
            200 => head.push_str("HTTP/1.1 200 OK\r\n"),
            code => {
                let _ = write!(head, "HTTP/1.1 {code} {}\r\n", self.status.reason_phrase());
            }
        }
        if self.status.0 >= 200 && self.status.0 != 204 && self.status.0 != 304 {
            let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        }
        if close {
            head.push_str("Connection: close\r\n");
        }
        append_fields_and_body(head, &self.headers, &self.body)
    }
}

fn append_fields_and_body(mut head: String, headers: &Headers, body: &[u8]) -> Vec<u8> {
    for (name, value) in headers.iter() {
        for part in [name, ": ", value, "\r\n"] {
            head.push_str(part);
        }
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
