//! Owns the identity of a statement: `20261201_120000_00042_k3v9xq2m`, the time it came, its number, and the
//! life of the router that took it.

use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A statement as clients know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueryId {
    /// Seconds since 1970.
    at: u64,
    /// Its number in that life.
    pub number: u64,
    /// The life of its router.
    pub life: String,
}

impl QueryId {
    /// An id for a statement that came at `at`.
    pub fn new(at: SystemTime, number: u64, life: &str) -> QueryId {
        let at = at.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_secs();
        QueryId { at, number, life: life.to_owned() }
    }

    /// Reads one; none where the text is no id.
    pub fn parse(text: &str) -> Option<QueryId> {
        let digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
        let parts: Vec<&str> = text.split('_').collect();
        let [day, time, number, life] = parts[..] else { return None };
        let sizes = day.len() == 8 && time.len() == 6 && (5..=19).contains(&number.len());
        let name = !life.is_empty() && life.len() <= 16 && life.bytes().all(|b| b.is_ascii_alphanumeric());
        if !(sizes && name && digits(day) && digits(time) && digits(number)) {
            return None;
        }
        let part = |s: &str| s.parse::<i64>().ok();
        let days = days_from(part(&day[..4])?, part(&day[4..6])?, part(&day[6..])?);
        let clock = part(&time[..2])? * 3600 + part(&time[2..4])? * 60 + part(&time[4..])?;
        let at = u64::try_from(days * 86_400 + clock).ok()?;
        let id = QueryId { at, number: number.parse().ok()?, life: life.to_owned() };
        (id.to_string() == text).then_some(id)
    }
}

impl fmt::Display for QueryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (y, m, d) = date_of((self.at / 86_400) as i64);
        let s = self.at % 86_400;
        let (hour, minute, second) = (s / 3600, s / 60 % 60, s % 60);
        write!(f, "{y:04}{m:02}{d:02}_{hour:02}{minute:02}{second:02}_{:05}_{}", self.number, self.life)
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

/// The inverse.
fn days_from(y: i64, m: i64, d: i64) -> i64 {
    let y = y - i64::from(m <= 2);
    let (era, year) = (y.div_euclid(400), y.rem_euclid(400));
    let of_year = (153 * ((m + 9) % 12) + 2) / 5 + d - 1;
    era * 146_097 + year * 365 + year / 4 - year / 100 + of_year - 719_468
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ids_come_back_and_other_texts_do_not() {
        for (secs, day) in [(0, "19700101"), (951_782_400, "20000229"), (1_796_083_200, "20261201")] {
            let id = QueryId::new(UNIX_EPOCH + Duration::from_secs(secs + 3661), 42, "ab12");
            assert_eq!(id.to_string(), format!("{day}_010101_00042_ab12"));
            assert_eq!(QueryId::parse(&id.to_string()), Some(id));
        }
        let wrong = [
            "",
            "20261301_000000_00001_a",
            "20261201_000000_1_a",
            "20261201_000000_00001_",
            "a_b_c_d",
            "20261201_250000_00001_a",
            "20261201_000000_000001_a",
            "20261201_000000_00001_a_b",
            "2026120é_000000_00001_a",
        ];
        for text in wrong {
            assert_eq!(QueryId::parse(text), None, "{text}");
        }
    }
}
