//! Owns the text of a head: start line, fields, and what they say of the content's length.

use super::{Limits, ParseError, Side};
use crate::message::{Head, Headers, Method, StartLine, Status};

/// A head without its last empty line.
pub(super) fn parse(side: Side, bytes: &[u8], limits: &Limits) -> Result<Head, ParseError> {
    let text = std::str::from_utf8(bytes).map_err(|_| ParseError::Field("not UTF-8"))?;
    let mut lines = text.split("\r\n");
    let (start, old) = match side {
        Side::Requests => request_line(lines.next().unwrap_or_default(), limits)?,
        Side::Responses => status_line(lines.next().unwrap_or_default())?,
    };
    let mut headers = Headers::with_room(text.len());
    for line in lines.filter(|l| !l.is_empty()) {
        if headers.len() == limits.fields {
            return Err(ParseError::HeadTooLarge);
        }
        let Some((name, value)) = line.split_once(':') else {
            return Err(ParseError::Field("no colon"));
        };
        if name.is_empty() || !name.bytes().all(is_token) {
            return Err(ParseError::Field(
                "a name with other than token characters, or a folded line",
            ));
        }
        let value = value.trim_matches([' ', '\t']);
        if value.chars().any(|c| c.is_control() && c != '\t') {
            return Err(ParseError::Field("a control character in a value"));
        }
        headers.push(name, value);
    }
    if side == Side::Requests {
        let hosts = headers.all("host").count();
        if hosts > 1 || (hosts == 0 && !old) {
            return Err(ParseError::Field("host must be given once"));
        }
    }
    Ok(Head {
        start,
        headers,
        old,
    })
}

fn request_line(line: &str, limits: &Limits) -> Result<(StartLine, bool), ParseError> {
    let mut parts = line.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(ParseError::StartLine("not method, target and version"));
    };
    if method.is_empty() || !method.bytes().all(is_token) {
        return Err(ParseError::StartLine(
            "a method with other than token characters",
        ));
    }
    let old = version_of(version)?;
    if target.len() > limits.target {
        return Err(ParseError::TargetTooLong);
    }
    if !target.starts_with('/')
        || !target.bytes().all(|b| b.is_ascii_graphic())
        || target.contains('#')
    {
        return Err(ParseError::StartLine("the target is no path"));
    }
    Ok((
        StartLine::Request {
            method: Method::of(method),
            target: target.to_owned(),
        },
        old,
    ))
}

fn status_line(line: &str) -> Result<(StartLine, bool), ParseError> {
    let mut parts = line.splitn(3, ' ');
    let old = version_of(parts.next().unwrap_or_default())?;
    let code = parts.next().unwrap_or_default();
    let digits = code.len() == 3 && code.bytes().all(|b| b.is_ascii_digit());
    match code.parse() {
        Ok(code) if digits && code >= 100 => Ok((StartLine::Response(Status(code)), old)),
        _ => Err(ParseError::StartLine("no status code")),
    }
}

fn version_of(version: &str) -> Result<bool, ParseError> {
    match version {
        "HTTP/1.1" => Ok(false),
        "HTTP/1.0" => Ok(true),
        _ => Err(ParseError::Version),
    }
}

/// The content's length where given, and whether it is chunked.
pub(super) fn framing(head: &Head) -> Result<(Option<u64>, bool), ParseError> {
    let mut codings = head.headers.all("transfer-encoding");
    let chunked = match (codings.next(), codings.next()) {
        (None, _) => false,
        (Some(one), None) if one.eq_ignore_ascii_case("chunked") && !head.old => true,
        _ => return Err(ParseError::Coding),
    };
    let mut lengths = head.headers.all("content-length");
    let length = match (lengths.next(), lengths.next()) {
        (None, _) => None,
        (Some(_), Some(_)) => return Err(ParseError::Length("given more than once")),
        (Some(_), None) if chunked => return Err(ParseError::Length("given beside chunked")),
        (Some(one), None) if one.is_empty() || !one.bytes().all(|b| b.is_ascii_digit()) => {
            return Err(ParseError::Length("no number"));
        }
        (Some(one), None) => Some(
            one.parse()
                .map_err(|_| ParseError::Length("past any number"))?,
        ),
    };
    Ok((length, chunked))
}

/// Characters of a token (RFC 9110, section 5.6.2).
fn is_token(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}
