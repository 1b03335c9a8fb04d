//! The parser for the head of a message: the start line, the header fields, and how they delimit the content.

use super::{Limits, MessageKind, ParseError};
use crate::headers::Headers;
use crate::message::{Head, Method, StartLine, Status, Version};

/// The way in which the head of a message delimits its content.
pub(super) enum Framing {
    /// The content uses the chunked transfer coding.
    Chunked,
    /// The content has this number of bytes.
    Length(u64),
    /// The head does not delimit the content.
    Unspecified,
}

/// Parses a head, given without the empty line at its end.
pub(super) fn parse(kind: MessageKind, bytes: &[u8], limits: &Limits) -> Result<Head, ParseError> {
    let text = std::str::from_utf8(bytes)
        .map_err(|_| ParseError::HeaderField("head is not valid UTF-8"))?;
    let mut lines = text.split("\r\n");
    let start_line = lines.next().unwrap_or_default();
    let (start, version) = match kind {
        MessageKind::Request => parse_request_line(start_line, limits)?,
        MessageKind::Response => parse_status_line(start_line)?,
    };
    let mut headers = Headers::with_capacity(text.len());
    for line in lines.filter(|line| !line.is_empty()) {
        if headers.len() == limits.max_fields {
            return Err(ParseError::HeadTooLarge);
        }
        let (name, value) = parse_field(line)?;
        headers.push(name, value);
    }
    if kind == MessageKind::Request {
        let hosts = headers.get_all("host").count();
        if hosts > 1 || (hosts == 0 && version == Version::Http11) {
            return Err(ParseError::HeaderField("expected exactly one Host field"));
        }
    }
    Ok(Head {
        start,
        headers,
        version,
    })
}

fn parse_field(line: &str) -> Result<(&str, &str), ParseError> {
    let Some((name, value)) = line.split_once(':') else {
        return Err(ParseError::HeaderField("no colon after the name"));
    };
    if !is_token(name) {
        return Err(ParseError::HeaderField(
            "name with characters not allowed in a token, or folded line",
        ));
    }
    let value = value.trim_matches([' ', '\t']);
    if value.chars().any(|c| c.is_control() && c != '\t') {
        return Err(ParseError::HeaderField("control character in a value"));
    }
    Ok((name, value))
}

fn parse_request_line(line: &str, limits: &Limits) -> Result<(StartLine, Version), ParseError> {
    let mut parts = line.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(ParseError::StartLine(
            "expected a method, a target and a version",
        ));
    };
    if !is_token(method) {
        return Err(ParseError::StartLine(
            "method with characters not allowed in a token",
        ));
    }
    let version = parse_version(version)?;
    if target.len() > limits.max_target_bytes {
        return Err(ParseError::TargetTooLong);
    }
    if !target.starts_with('/')
        || !target.bytes().all(|b| b.is_ascii_graphic())
        || target.contains('#')
    {
        return Err(ParseError::StartLine(
            "expected a target of visible ASCII characters that starts with / and has no fragment",
        ));
    }
    let start = StartLine::Request {
        method: Method::from_token(method),
        target: target.to_owned(),
    };
    Ok((start, version))
}

fn parse_status_line(line: &str) -> Result<(StartLine, Version), ParseError> {
    let mut parts = line.splitn(3, ' ');
    let version = parse_version(parts.next().unwrap_or_default())?;
    let code = parts.next().unwrap_or_default();
    let is_three_digits = code.len() == 3 && code.bytes().all(|b| b.is_ascii_digit());
    match code.parse() {
        Ok(code) if is_three_digits && code >= 100 => {
            Ok((StartLine::Response(Status(code)), version))
        }
        _ => Err(ParseError::StartLine(
            "expected a status code of three digits, at least 100",
        )),
    }
}

fn parse_version(version: &str) -> Result<Version, ParseError> {
    match version {
        "HTTP/1.1" => Ok(Version::Http11),
        "HTTP/1.0" => Ok(Version::Http10),
        _ => Err(ParseError::Version),
    }
}

/// Determines how a head delimits the content.
pub(super) fn framing(head: &Head) -> Result<Framing, ParseError> {
    let mut codings = head.headers.get_all("transfer-encoding");
    let is_chunked = match (codings.next(), codings.next()) {
        (None, _) => false,
        (Some(coding), None) => {
            let is_known = coding.eq_ignore_ascii_case("chunked");
            if !is_known || head.version == Version::Http10 {
                return Err(ParseError::TransferCoding);
            }
            true
        }
        (Some(_), Some(_)) => return Err(ParseError::TransferCoding),
    };
    let mut lengths = head.headers.get_all("content-length");
    match (lengths.next(), lengths.next()) {
        (None, _) if is_chunked => Ok(Framing::Chunked),
        (None, _) => Ok(Framing::Unspecified),
        (Some(_), Some(_)) => Err(ParseError::ContentLength("given more than once")),
        (Some(_), None) if is_chunked => {
            Err(ParseError::ContentLength("given together with chunked"))
        }
        (Some(length), None) => parse_length(length).map(Framing::Length),
    }
}

fn parse_length(length: &str) -> Result<u64, ParseError> {
    if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
        return Err(ParseError::ContentLength("not a number"));
    }
    length
        .parse()
        .map_err(|_| ParseError::ContentLength("number too large"))
}

/// Returns whether a text is a token (RFC 9110, section 5.6.2).
fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}
