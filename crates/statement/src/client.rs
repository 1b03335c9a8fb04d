//! What a client says of its statement in `X-Trino-*` headers.

use std::time::Duration;

use thiserror::Error;

use crate::duration::parse_duration;

pub mod names;

/// The length of the value of a tag, at most.
const MAX_TAG_BYTES: usize = 128;
/// The value of the tag `size=`, at most.
const MAX_SIZE: u64 = 1_000_000_000_000;

/// The headers of a client that matter to routing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientHeaders {
    /// The user who submits the statement.
    pub user: String,
    /// The program that submits it.
    pub source: Option<String>,
    /// Tag `class=…`.
    pub class: Option<String>,
    /// Tag `tenant=…`.
    pub tenant: Option<String>,
    /// Tag `key=…`: statements with the same key keep their order, where their class asks for it.
    pub ordering_key: Option<String>,
    /// Tag `tables=…`: the group of tables that the statement reads or writes.
    pub table_group: Option<String>,
    /// Tag `size=…`: what the statement's cost grows with, as a number: months, properties.
    pub size: Option<u64>,
    /// Tag `estimate=…`: the client's own estimate of the work.
    pub estimated_work: Option<Duration>,
    /// Tag `repeat`: the client marks the statement as a retry.
    pub is_retry: bool,
    /// Session property `query_max_run_time`.
    pub timeout: Option<Duration>,
}

/// Headers that can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeaderError {
    /// No user is given.
    #[error("{}: must be set", names::USER)]
    MissingUser,
    /// A tag is given twice with different values.
    #[error("{}: {_0}= is given twice", names::CLIENT_TAGS)]
    ConflictingTag(&'static str),
    /// The value of a tag is empty or longer than 128 bytes.
    #[error("{}: {_0}= must have 1 to {MAX_TAG_BYTES} bytes", names::CLIENT_TAGS)]
    TagLength(&'static str),
    /// Session property `query_max_run_time` is no duration.
    #[error(
        "{}: {} is {_0:?}; a number and one of ns, us, ms, s, m, h, d is wanted, such as 30s",
        names::SESSION,
        names::MAX_RUN_TIME_PROPERTY
    )]
    InvalidTimeout(String),
    /// Tag `size=` is no whole number of 1 to 10^12.
    #[error(
        "{}: size= is {_0:?}; a whole number of 1 to 10^12 is wanted",
        names::CLIENT_TAGS
    )]
    InvalidSize(String),
    /// Tag `estimate=` is no duration over 0.
    #[error(
        "{}: estimate= is {_0:?}; a number over 0 and a unit is wanted, such as 30s",
        names::CLIENT_TAGS
    )]
    InvalidEstimate(String),
}

impl ClientHeaders {
    /// Parses header fields, given as name and value. Fields, tags and properties of other names are ignored.
    ///
    /// # Errors
    ///
    /// Where no user is given, or a tag or property that is known has a value that is not accepted.
    pub fn parse<'a>(
        fields: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Result<ClientHeaders, HeaderError> {
        let mut headers = ClientHeaders::default();
        for (name, value) in fields {
            if name.eq_ignore_ascii_case(names::USER) {
                headers.user = value.to_owned();
            } else if name.eq_ignore_ascii_case(names::SOURCE) && !value.is_empty() {
                headers.source = Some(value.to_owned());
            } else if name.eq_ignore_ascii_case(names::CLIENT_TAGS) {
                headers.parse_tags(value)?;
            } else if name.eq_ignore_ascii_case(names::SESSION) {
                headers.parse_session(value)?;
            }
        }
        if headers.user.is_empty() {
            return Err(HeaderError::MissingUser);
        }
        Ok(headers)
    }

    fn parse_session(&mut self, value: &str) -> Result<(), HeaderError> {
        let properties = value
            .split(',')
            .filter_map(|property| property.split_once('='));
        for (name, value) in properties {
            if name.trim() == names::MAX_RUN_TIME_PROPERTY {
                let value = value.trim();
                let timeout = parse_duration(value)
                    .ok_or_else(|| HeaderError::InvalidTimeout(value.into()))?;
                self.timeout = Some(timeout);
            }
        }
        Ok(())
    }

    fn parse_tags(&mut self, value: &str) -> Result<(), HeaderError> {
        for tag in value.split(',').map(str::trim) {
            self.is_retry |= tag == "repeat";
            let Some((name, value)) = tag.split_once('=') else {
                continue;
            };
            match name {
                "size" => self.size = Some(parse_size(value)?),
                "estimate" => self.estimated_work = Some(parse_estimate(value)?),
                "class" => set_tag("class", &mut self.class, value)?,
                "tenant" => set_tag("tenant", &mut self.tenant, value)?,
                "key" => set_tag("key", &mut self.ordering_key, value)?,
                "tables" => set_tag("tables", &mut self.table_group, value)?,
                _ => {}
            }
        }
        Ok(())
    }
}

fn parse_size(value: &str) -> Result<u64, HeaderError> {
    let size = value
        .parse()
        .ok()
        .filter(|size| (1..=MAX_SIZE).contains(size));
    size.ok_or_else(|| HeaderError::InvalidSize(value.into()))
}

fn parse_estimate(value: &str) -> Result<Duration, HeaderError> {
    let estimate = parse_duration(value).filter(|estimate| !estimate.is_zero());
    estimate.ok_or_else(|| HeaderError::InvalidEstimate(value.into()))
}

fn set_tag(name: &'static str, tag: &mut Option<String>, value: &str) -> Result<(), HeaderError> {
    if value.is_empty() || value.len() > MAX_TAG_BYTES {
        return Err(HeaderError::TagLength(name));
    }
    if tag.as_ref().is_some_and(|earlier| earlier != value) {
        return Err(HeaderError::ConflictingTag(name));
    }
    *tag = Some(value.to_owned());
    Ok(())
}

#[cfg(test)]
mod tests;
