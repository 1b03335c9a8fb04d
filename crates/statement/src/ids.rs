//! Owns the identity of a statement: `20261201_120000_00042_k3v9xq2m`, the time it came, its number, and the
//! life of the router that took it.

use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A statement as clients know it. It keeps its text: that is written into every answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueryId {
    text: String,
    /// Its number in that life.
    pub number: u64,
    /// Where the life begins in the text.
    life: usize,
}

impl QueryId {
    /// An id for a statement that came at `at`, in a life whose name is letters and digits.
    pub fn new(at: SystemTime, number: u64, life: &str) -> QueryId {
        let at = at
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO)
            .as_secs();
        let (y, m, d) = date_of((at / 86_400) as i64);
        let s = at % 86_400;
        let (hour, minute, second) = (s / 3600, s / 60 % 60, s % 60);
        let text = format!("{y:04}{m:02}{d:02}_{hour:02}{minute:02}{second:02}_{number:05}_{life}");
        QueryId {
            life: text.len() - life.len(),
            text,
            number,
        }
    }

    /// Reads one; none where the text has not an id's form. Whether such an id was ever given out, its
    /// authentication tells.
    pub fn parse(text: &str) -> Option<QueryId> {
        let digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
        let mut parts = text.split('_');
        let (Some(day), Some(time), Some(number), Some(life), None) = (
            parts.next(),
            parts.next(),
            parts.next(),
            parts.next(),
            parts.next(),
        ) else {
            return None;
        };
        let sizes = day.len() == 8 && time.len() == 6 && (5..=19).contains(&number.len());
        let name =
            !life.is_empty() && life.len() <= 16 && life.bytes().all(|b| b.is_ascii_alphanumeric());
        if !(sizes && name && digits(day) && digits(time) && digits(number)) {
            return None;
        }
        Some(QueryId {
            text: text.to_owned(),
            number: number.parse().ok()?,
            life: text.len() - life.len(),
        })
    }

    /// The life of its router.
    pub fn life(&self) -> &str {
        &self.text[self.life..]
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for QueryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Year, month and day of a day since 1970, in the proleptic Gregorian calendar: years counted from March, in
/// eras of 400 years of 146,097 days.
fn date_of(days: i64) -> (i64, i64, i64) {
    let shifted = days + 719_468;
    let (era, day) = (shifted.div_euclid(146_097), shifted.rem_euclid(146_097));
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let of_year = day - (365 * year + year / 4 - year / 100);
    let month = (5 * of_year + 2) / 153;
    let date = of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    (year + era * 400 + i64::from(month <= 2), month, date)
}

#[cfg(test)]
mod tests;
