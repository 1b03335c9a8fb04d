//! Assembly of a result from its pages, and encoding of its rows as the JSON that clients receive.

/// Maximum size of a complete result as engines send it, set by the protocol.
pub const MAX_RESULT_BYTES: usize = 48_000;
/// Maximum size of a page.
pub const MAX_PAGE_BYTES: usize = 6_000;
/// Number of columns in each row.
const COLUMNS_PER_ROW: usize = 3;

/// The reason why pages can't be assembled into a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowsError {
    /// The page of this number was not requested.
    #[error("page {0} was not requested")]
    UnexpectedPage(usize),
    /// A page or the result exceeds its size limit.
    #[error("a page exceeds {MAX_PAGE_BYTES} bytes, or the result {MAX_RESULT_BYTES} bytes")]
    TooLong,
    /// A page does not consist of complete rows of three text columns.
    #[error("a page does not consist of complete rows of {COLUMNS_PER_ROW} columns in UTF-8")]
    MalformedRows,
}

/// Assembles a result from pages that arrive in any order.
#[derive(Debug)]
pub struct RowAssembler {
    pages: Vec<Option<Vec<u8>>>,
    bytes: usize,
}

impl RowAssembler {
    /// Creates an assembler for a result of `pages` pages, none of which has arrived.
    pub fn new(pages: usize) -> RowAssembler {
        RowAssembler {
            pages: vec![None; pages],
            bytes: 0,
        }
    }

    /// Adds a page. A duplicate is ignored.
    ///
    /// # Errors
    /// Returns an error if the page was not requested, ends within a row, or makes the page or result too long.
    pub fn add_page(&mut self, number: usize, page: Vec<u8>) -> Result<(), RowsError> {
        let entry = self
            .pages
            .get_mut(number)
            .ok_or(RowsError::UnexpectedPage(number))?;
        if entry.is_some() {
            return Ok(());
        }
        if !page.is_empty() && page.last() != Some(&b'\n') {
            return Err(RowsError::MalformedRows);
        }
        self.bytes += page.len();
        if page.len() > MAX_PAGE_BYTES || self.bytes > MAX_RESULT_BYTES {
            return Err(RowsError::TooLong);
        }
        *entry = Some(page);
        Ok(())
    }

    /// Returns whether all pages have arrived.
    pub fn is_complete(&self) -> bool {
        self.pages.iter().all(Option::is_some)
    }

    /// Encodes the rows as a JSON array of arrays of strings.
    ///
    /// # Errors
    /// Returns an error if a page is not UTF-8 or has a row with a wrong number of columns.
    pub fn to_json(&self) -> Result<String, RowsError> {
        let mut json = String::with_capacity(self.bytes * 5 / 4 + 16);
        json.push('[');
        for page in self.pages.iter().flatten() {
            let page = std::str::from_utf8(page).map_err(|_| RowsError::MalformedRows)?;
            for row in page.split_terminator('\n') {
                if row.bytes().filter(|byte| *byte == b'\t').count() + 1 != COLUMNS_PER_ROW {
                    return Err(RowsError::MalformedRows);
                }
                json.push_str(if json.len() > 1 { ",[" } else { "[" });
                for (position, column) in row.split('\t').enumerate() {
                    if position > 0 {
                        json.push(',');
                    }
                    push_json_string(&mut json, column);
                }
                json.push(']');
            }
        }
        json.push(']');
        Ok(json)
    }
}

/// Appends a JSON string. Text without characters that need escaping is copied unchanged.
fn push_json_string(json: &mut String, text: &str) {
    let is_plain = |byte: u8| byte >= 0x20 && byte != b'"' && byte != b'\\' && byte != 0x7f;
    if text.bytes().all(is_plain) {
        json.push('"');
        json.push_str(text);
        json.push('"');
    } else {
        json.push_str(&serde_json::Value::from(text).to_string());
    }
}

#[cfg(test)]
mod tests;
