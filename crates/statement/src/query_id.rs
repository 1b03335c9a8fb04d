//! Ids of statements, such as `20261201_120000_00042_k3v9xq2m`: the time of arrival, the number of the statement, and
//! the incarnation of the router that accepted it.

use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const SECONDS_PER_DAY: u64 = 86_400;
const DATE_DIGITS: usize = 8;
const TIME_DIGITS: usize = 6;
/// Any number of at most 19 digits fits into a `u64`.
const NUMBER_DIGITS: std::ops::RangeInclusive<usize> = 5..=19;
const MAX_INCARNATION_BYTES: usize = 16;

/// The id under which clients know a statement. Its text is stored because every response contains it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueryId {
    text: String,
    number: u64,
    /// Offset of the incarnation in the text.
    incarnation_start: usize,
}

impl QueryId {
    /// Creates the id of a statement from its arrival time and its number within the router's incarnation.
    /// `incarnation` must consist of letters and digits.
    pub fn new(arrived_at: SystemTime, number: u64, incarnation: &str) -> QueryId {
        let since_epoch = arrived_at
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        let seconds = since_epoch.as_secs();
        let (year, month, day) = civil_date((seconds / SECONDS_PER_DAY) as i64);
        let second_of_day = seconds % SECONDS_PER_DAY;
        let (hour, minute, second) = (
            second_of_day / 3600,
            second_of_day / 60 % 60,
            second_of_day % 60,
        );
        let text = format!(
            "{year:04}{month:02}{day:02}_{hour:02}{minute:02}{second:02}_{number:05}_{incarnation}"
        );
        QueryId {
            incarnation_start: text.len() - incarnation.len(),
            text,
            number,
        }
    }

    /// Parses an id. Returns `None` if the text does not have the form of an id. A well-formed id may never have been
    /// issued; only the authentication code that accompanies it shows that.
    pub fn parse(text: &str) -> Option<QueryId> {
        let mut parts = text.split('_');
        let [
            Some(date),
            Some(time),
            Some(number),
            Some(incarnation),
            None,
        ] = std::array::from_fn(|_| parts.next())
        else {
            return None;
        };
        let is_timestamp = date.len() == DATE_DIGITS
            && time.len() == TIME_DIGITS
            && is_digits(date)
            && is_digits(time);
        let is_number = NUMBER_DIGITS.contains(&number.len()) && is_digits(number);
        if !(is_timestamp && is_number && is_incarnation(incarnation)) {
            return None;
        }
        Some(QueryId {
            text: text.to_owned(),
            number: number.parse().ok()?,
            incarnation_start: text.len() - incarnation.len(),
        })
    }

    /// Returns the number of the statement within the router's incarnation.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the incarnation of the router that accepted the statement.
    pub fn incarnation(&self) -> &str {
        &self.text[self.incarnation_start..]
    }

    /// Returns the text of the id.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for QueryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())
}

fn is_incarnation(text: &str) -> bool {
    (1..=MAX_INCARNATION_BYTES).contains(&text.len())
        && text.bytes().all(|b| b.is_ascii_alphanumeric())
}

/// Converts a number of days since 1970-01-01 to year, month and day in the proleptic Gregorian calendar. The
/// calculation counts years from March, in eras of 400 years (146,097 days).
///
/// Source: Howard Hinnant, "chrono-Compatible Low-Level Date Algorithms", `civil_from_days`.
fn civil_date(days: i64) -> (i64, i64, i64) {
    let shifted = days + 719_468;
    let (era, day_of_era) = (shifted.div_euclid(146_097), shifted.rem_euclid(146_097));
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = match month_from_march < 10 {
        true => month_from_march + 3,
        false => month_from_march - 9,
    };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    (year, month, day)
}

#[cfg(test)]
mod tests;
