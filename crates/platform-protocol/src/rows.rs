//! Owns a result while its pages come: which are there, and the rows as clients are given them.

use std::fmt;

/// Bytes of a whole result at most, as engines send it: 48,000 by the protocol.
pub const RESULT: usize = 48_000;
/// Bytes of a page at most.
pub const PAGE: usize = 6_000;
/// Columns of a row.
const COLUMNS: usize = 3;

/// Why no result comes of the pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowsError {
    /// A page that was not asked for.
    Number(usize),
    /// More bytes than a page or a result has.
    TooLong,
    /// A page that does not hold whole rows of three text columns.
    Rows,
}

impl fmt::Display for RowsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RowsError::Number(n) => write!(f, "page {n}, which was not asked for"),
            RowsError::TooLong => write!(f, "more bytes than a result has"),
            RowsError::Rows => write!(f, "a page that does not hold whole rows"),
        }
    }
}

impl std::error::Error for RowsError {}

/// A result whose pages come in any order.
#[derive(Debug)]
pub struct Gather {
    pages: Vec<Option<Vec<u8>>>,
    bytes: usize,
}

impl Gather {
    /// A result of so many pages, of which none has come.
    pub fn new(pages: usize) -> Gather {
        Gather {
            pages: vec![None; pages],
            bytes: 0,
        }
    }

    /// Takes a page. A second copy of one is passed over.
    pub fn take(&mut self, number: usize, page: Vec<u8>) -> Result<(), RowsError> {
        let place = self
            .pages
            .get_mut(number)
            .ok_or(RowsError::Number(number))?;
        if place.is_some() {
            return Ok(());
        }
        if !page.is_empty() && page.last() != Some(&b'\n') {
            return Err(RowsError::Rows);
        }
        self.bytes += page.len();
        if page.len() > PAGE || self.bytes > RESULT {
            return Err(RowsError::TooLong);
        }
        *place = Some(page);
        Ok(())
    }

    /// Whether all pages have come.
    pub fn is_whole(&self) -> bool {
        self.pages.iter().all(Option::is_some)
    }

    /// The rows as JSON.
    pub fn json(&self) -> Result<String, RowsError> {
        let mut out = String::with_capacity(self.bytes * 5 / 4 + 16);
        out.push('[');
        for page in self.pages.iter().flatten() {
            let page = std::str::from_utf8(page).map_err(|_| RowsError::Rows)?;
            for row in page.split_terminator('\n') {
                if row.bytes().filter(|b| *b == b'\t').count() + 1 != COLUMNS {
                    return Err(RowsError::Rows);
                }
                out.push_str(if out.len() > 1 { ",[" } else { "[" });
                for (at, column) in row.split('\t').enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    quote(&mut out, column);
                }
                out.push(']');
            }
        }
        out.push(']');
        Ok(out)
    }
}

/// Adds a JSON string.
fn quote(out: &mut String, text: &str) {
    let plain = |b: u8| b >= 0x20 && b != b'"' && b != b'\\' && b != 0x7f;
    if text.bytes().all(plain) {
        out.push('"');
        out.push_str(text);
        out.push('"');
    } else {
        out.push_str(&serde_json::Value::from(text).to_string());
    }
}

#[cfg(test)]
mod tests;
