//! Owns the shape of HTTP messages: start lines, header fields, and how they are written out.

use std::fmt::Write as _;

/// A request method. Only those that the protocols here use have a name.
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
    pub(crate) fn of(token: &str) -> Method {
        match token {
            "GET" => Method::Get,
            "POST" => Method::Post,
            "PUT" => Method::Put,
            "DELETE" => Method::Delete,
            "HEAD" => Method::Head,
            other => Method::Other(other.to_owned()),
        }
    }

    /// As written on the wire.
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
    /// The phrase that RFC 9110 gives with it; empty for codes that are not used here.
    pub fn phrase(self) -> &'static str {
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

/// The first line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// Of a request.
    Request {
        /// The method.
        method: Method,
        /// The target in origin form, starting with `/`; undecoded.
        target: String,
    },
    /// Of a response.
    Response(Status),
}

/// Header fields in the order received. Names compare without regard to case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    text: String,
    /// Start and length of a name and of its value.
    spans: Vec<[u32; 4]>,
}

impl Headers {
    /// Adds a field. A caller's value with line breaks or controls has them replaced by spaces, so that no
    /// text from elsewhere can add fields of its own.
    pub fn push(&mut self, name: &str, value: &str) {
        let at = self.text.len() as u32;
        self.text.push_str(name);
        let from = self.text.len() as u32;
        match value.contains(char::is_control) {
            false => self.text.push_str(value),
            true => self
                .text
                .extend(value.chars().map(|c| if c.is_control() { ' ' } else { c })),
        }
        let end = self.text.len() as u32;
        self.spans.push([at, from - at, from, end - from]);
    }

    /// None yet, with room for some.
    pub(crate) fn with_room(bytes: usize) -> Headers {
        Headers {
            text: String::with_capacity(bytes),
            spans: Vec::with_capacity(8),
        }
    }

    /// All fields, as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        let cut = |from: u32, len: u32| &self.text[from as usize..(from + len) as usize];
        self.spans
            .iter()
            .map(move |s| (cut(s[0], s[1]), cut(s[2], s[3])))
    }

    /// The first field of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|f| f.1)
    }

    /// All fields of that name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|f| f.1)
    }

    /// Number of fields.
    pub fn len(&self) -> usize {
        self.spans.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Whether a comma-separated field of that name lists the token.
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|v| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }
}

/// Start line and header fields of a message that came in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The first line.
    pub start: StartLine,
    /// The fields.
    pub headers: Headers,
    /// Whether the sender spoke HTTP/1.0.
    pub old: bool,
}

impl Head {
    /// Whether the connection stays open behind this message (RFC 9112, section 9.3).
    pub fn keeps_alive(&self) -> bool {
        match self.old {
            true => self.headers.lists("connection", "keep-alive"),
            false => !self.headers.lists("connection", "close"),
        }
    }
}

/// A request, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The fields; length and host are added when it is written.
    pub headers: Headers,
    /// The content.
    pub body: Vec<u8>,
}

impl Request {
    /// A request without fields or content.
    pub fn new(method: Method, target: impl Into<String>) -> Request {
        Request {
            method,
            target: target.into(),
            headers: Headers::default(),
            body: Vec::new(),
        }
    }

    /// The same with a field more.
    pub fn with(mut self, name: &str, value: &str) -> Request {
        self.headers.push(name, value);
        self
    }

    /// The target before its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Its bytes on the wire.
    pub fn encode(&self, host: &str) -> Vec<u8> {
        let mut head = String::with_capacity(256 + self.headers.text.len() + self.body.len());
        let _ = write!(
            head,
            "{} {} HTTP/1.1\r\nHost: {host}\r\n",
            self.method.as_str(),
            self.target
        );
        if !self.body.is_empty() || matches!(self.method, Method::Post | Method::Put) {
            let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        }
        finish(head, &self.headers, &self.body)
    }
}

/// A response, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: Status,
    /// The fields; the length is added when it is written.
    pub headers: Headers,
    /// The content.
    pub body: Vec<u8>,
}

impl Response {
    /// A response without fields or content.
    pub fn new(status: u16) -> Response {
        Response {
            status: Status(status),
            headers: Headers::default(),
            body: Vec::new(),
        }
    }

    /// A response in JSON.
    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response {
            body: body.into(),
            ..Response::new(status).with("Content-Type", "application/json")
        }
    }

    /// A response in plain text, with a line break behind it.
    pub fn text(status: u16, text: &str) -> Response {
        let body = format!("{text}\n").into_bytes();
        Response {
            body,
            ..Response::new(status).with("Content-Type", "text/plain; charset=utf-8")
        }
    }

    /// The same with a field more.
    pub fn with(mut self, name: &str, value: &str) -> Response {
        self.headers.push(name, value);
        self
    }

    /// Its bytes on the wire; `close` announces that the connection ends behind it.
    pub fn encode(&self, close: bool) -> Vec<u8> {
        let mut head = String::with_capacity(160 + self.headers.text.len() + self.body.len());
        match self.status.0 {
            200 => head.push_str("HTTP/1.1 200 OK\r\n"),
            code => {
                let _ = write!(head, "HTTP/1.1 {code} {}\r\n", self.status.phrase());
            }
        }
        if self.status.0 >= 200 && self.status.0 != 204 && self.status.0 != 304 {
            let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        }
        if close {
            head.push_str("Connection: close\r\n");
        }
        finish(head, &self.headers, &self.body)
    }
}

fn finish(mut head: String, headers: &Headers, body: &[u8]) -> Vec<u8> {
    for (name, value) in headers.iter() {
        [name, ": ", value, "\r\n"]
            .into_iter()
            .for_each(|part| head.push_str(part));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
