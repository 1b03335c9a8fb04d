//! Owns what a client says of its statement in `X-Trino-*` headers.

use std::time::Duration;

pub mod names;

/// What a client says that matters to routing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientHeaders {
    /// Who asks.
    pub user: String,
    /// Which program asks.
    pub source: Option<String>,
    /// Tag `class=…`.
    pub class: Option<String>,
    /// Tag `tenant=…`.
    pub tenant: Option<String>,
    /// Tag `key=…`: statements with the same key keep their order, where their class asks for it.
    pub key: Option<String>,
    /// Tag `tables=…`: the group of tables that it reads or writes.
    pub tables: Option<String>,
    /// Tag `size=…`: what its cost grows with, as a number: months, properties.
    pub size: Option<u64>,
    /// Tag `estimate=…`: its own estimate of its work.
    pub estimate: Option<Duration>,
    /// Tag `repeat`: the client says that it tries again.
    pub repeat: bool,
    /// Session property `query_max_run_time`.
    pub patience: Option<Duration>,
}

/// Headers that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// Nobody asks.
    NoUser,
    /// A tag is given twice with different values.
    Twice(&'static str),
    /// A tag is empty or longer than 128 bytes.
    Size(&'static str),
    /// No duration as the specification writes them.
    Duration(String),
    /// Tag `size=` is no whole number of 1 to 10^12.
    Number(String),
    /// Tag `estimate=` is no duration over 0.
    Estimate(String),
}

impl std::fmt::Display for HeaderError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HeaderError::NoUser => write!(f, "{}: must be set", names::USER),
            HeaderError::Twice(tag) => write!(f, "{}: {tag}= is given twice", names::TAGS),
            HeaderError::Size(tag) => write!(f, "{}: {tag}= must have 1 to 128 bytes", names::TAGS),
            HeaderError::Number(text) => {
                write!(
                    f,
                    "{}: size= is {text:?}; a whole number of 1 to 10^12 is wanted",
                    names::TAGS
                )
            }
            HeaderError::Estimate(text) => write!(
                f,
                "{}: estimate= is {text:?}; a number over 0 and a unit is wanted, such as 30s",
                names::TAGS
            ),
            HeaderError::Duration(text) => write!(
                f,
                "{}: {} is {text:?}; a number and one of ns, us, ms, s, m, h, d is wanted, such as 30s",
                names::SESSION,
                names::PATIENCE
            ),
        }
    }
}

impl std::error::Error for HeaderError {}

impl ClientHeaders {
    /// Reads header fields, given as name and value.
    pub fn read<'a>(
        fields: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Result<ClientHeaders, HeaderError> {
        let mut all = ClientHeaders::default();
        for (name, value) in fields {
            if name.eq_ignore_ascii_case(names::USER) {
                all.user = value.to_owned();
            } else if name.eq_ignore_ascii_case(names::SOURCE) && !value.is_empty() {
                all.source = Some(value.to_owned());
            } else if name.eq_ignore_ascii_case(names::TAGS) {
                all.tags(value)?;
            } else if name.eq_ignore_ascii_case(names::SESSION) {
                for (property, value) in value.split(',').filter_map(|p| p.split_once('=')) {
                    if property.trim() == names::PATIENCE {
                        let value = value.trim();
                        let parsed =
                            duration(value).ok_or_else(|| HeaderError::Duration(value.into()))?;
                        all.patience = Some(parsed);
                    }
                }
            }
        }
        if all.user.is_empty() {
            Err(HeaderError::NoUser)
        } else {
            Ok(all)
        }
    }

    fn tags(&mut self, value: &str) -> Result<(), HeaderError> {
        for tag in value.split(',').map(str::trim) {
            self.repeat |= tag == "repeat";
            let Some((name, value)) = tag.split_once('=') else {
                continue;
            };
            match name {
                "size" => {
                    let parsed = value
                        .parse()
                        .ok()
                        .filter(|n| (1..=1_000_000_000_000).contains(n));
                    self.size = Some(parsed.ok_or_else(|| HeaderError::Number(value.into()))?);
                    continue;
                }
                "estimate" => {
                    let parsed = duration(value).filter(|d| !d.is_zero());
                    self.estimate =
                        Some(parsed.ok_or_else(|| HeaderError::Estimate(value.into()))?);
                    continue;
                }
                _ => {}
            }
            let (name, slot) = match name {
                "class" => ("class", &mut self.class),
                "tenant" => ("tenant", &mut self.tenant),
                "key" => ("key", &mut self.key),
                "tables" => ("tables", &mut self.tables),
                _ => continue,
            };
            if value.is_empty() || value.len() > 128 {
                return Err(HeaderError::Size(name));
            }
            if slot.as_ref().is_some_and(|had| had != value) {
                return Err(HeaderError::Twice(name));
            }
            *slot = Some(value.to_owned());
        }
        Ok(())
    }
}

/// A duration as the specification writes it: `1.5s`, `300ms`, `2m`.
pub fn duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(digits);
    let seconds = match unit.trim() {
        "ns" => 1e-9,
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        "d" => 86_400.0,
        _ => return None,
    };
    let value: f64 = number.parse().ok()?;
    Duration::try_from_secs_f64(value * seconds)
        .ok()
        .filter(|d| d.as_secs() < 366 * 86_400)
}

#[cfg(test)]
mod tests;
