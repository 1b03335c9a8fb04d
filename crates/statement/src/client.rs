//! The `X-Trino-*` headers in which clients describe their statements.

use std::time::Duration;

use thiserror::Error;

use crate::duration::parse_duration;

pub mod names;

/// Maximum length of a tag's value.
const MAX_TAG_BYTES: usize = 128;
/// Maximum value of the tag `size=`.
const MAX_SIZE: u64 = 1_000_000_000_000;

/// Client headers that affect routing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientHeaders {
    /// User who submits the statement.
    pub user: String,
    /// Program that submits the statement.
    pub source: Option<String>,
    /// Class of the statement, from the tag `class=…`.
    pub class: Option<String>,
    /// Tenant, from the tag `tenant=…`.
    pub tenant: Option<String>,
    /// Ordering key, from the tag `key=…`: statements with the same key keep their order if their class requires it.
    pub ordering_key: Option<String>,
    /// Table group that the statement reads or writes, from the tag `tables=…`.
    pub table_group: Option<String>,
    /// Quantity that the statement's cost grows with, such as a number of months or properties, from the tag `size=…`.
    pub size: Option<u64>,
    /// Client's estimate of the work, from the tag `estimate=…`.
    pub estimated_work: Option<Duration>,
    /// Whether the client marks the statement as a retry, with the tag `repeat`.
    pub is_retry: bool,
    /// Client's timeout, from the session property `query_max_run_time`.
    pub timeout: Option<Duration>,
}

/// An error in a client's headers.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeaderError {
    /// The user is missing.
    #[error("{}: must be set", names::USER)]
    MissingUser,
    /// One of the tags `class=`, `tenant=`, `key=` and `tables=` occurs twice with different values.
    #[error("{}: {_0}= is given twice with different values", names::CLIENT_TAGS)]
    ConflictingTag(&'static str),
    /// The value of a tag is empty or longer than 128 bytes.
    #[error("{}: {_0}= must have 1 to {MAX_TAG_BYTES} bytes", names::CLIENT_TAGS)]
    TagLength(&'static str),
    /// The session property `query_max_run_time` is not a valid duration.
    #[error(
        "{}: {} is {_0:?}; expected a number and a unit (ns, us, ms, s, m, h, d), \
         less than 366 days, such as 30s",
        names::SESSION,
        names::MAX_RUN_TIME_PROPERTY
    )]
    InvalidTimeout(String),
    /// The tag `size=` is not a whole number from 1 to 10^12.
    #[error(
        "{}: size= is {_0:?}; expected a whole number from 1 to 10^12",
        names::CLIENT_TAGS
    )]
    InvalidSize(String),
    /// The tag `estimate=` is not a duration greater than 0.
    #[error(
        "{}: estimate= is {_0:?}; expected a number greater than 0 and a unit (ns, us, ms, s, m, h, d), \
         less than 366 days, such as 30s",
        names::CLIENT_TAGS
    )]
    InvalidEstimate(String),
}

impl ClientHeaders {
    /// Parses headers, given as pairs of name and value. Unknown headers, tags and properties are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the user is missing, or if a known tag or property has an invalid value.
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
