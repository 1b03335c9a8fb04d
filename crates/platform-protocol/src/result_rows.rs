//! Assembly of a result from its pages, and its rows as the JSON that clients receive.

/// Bytes of a complete result at most, as engines send it: 48,000 by the protocol.
pub const MAX_RESULT_BYTES: usize = 48_000;
/// Bytes of a page at most.
pub const MAX_PAGE_BYTES: usize = 6_000;
/// Columns of a row.
const COLUMNS: usize = 3;

/// Why pages give no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowsError {
    /// A page of a number that was not requested.
    #[error("page {0}, which was not asked for")]
    UnexpectedPage(usize),
    /// A page or the result exceeds its size limit.
    #[error("more bytes than a result has")]
    TooLong,
    /// A page does not consist of complete rows of three text columns.
    #[error("a page that does not hold whole rows")]
    MalformedRows,
}

/// Assembles a result from pages that arrive in any order.
#[derive(Debug)]
pub struct RowAssembler {
    pages: Vec<Option<Vec<u8>>>,
    bytes: usize,
}

impl RowAssembler {
    /// For a result of so many pages, none of which has arrived.
    pub fn new(pages: usize) -> RowAssembler {
        RowAssembler {
            pages: vec![None; pages],
            bytes: 0,
        }
    }

    /// Adds a page. A duplicate is ignored.
    ///
    /// # Errors
    /// If the page was not requested, is too long, or ends within a row.
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

    /// Whether all pages have arrived.
    pub fn is_complete(&self) -> bool {
        self.pages.iter().all(Option::is_some)
    }

    /// The rows as a JSON array of arrays of strings.
    ///
    /// # Errors
    /// If a page is not UTF-8 or has a row of another number of columns.
    pub fn to_json(&self) -> Result<String, RowsError> {
        let mut json = String::with_capacity(self.bytes * 5 / 4 + 16);
        json.push('[');
        for page in self.pages.iter().flatten() {
            let page = std::str::from_utf8(page).map_err(|_| RowsError::MalformedRows)?;
            for row in page.split_terminator('\n') {
                if row.bytes().filter(|byte| *byte == b'\t').count() + 1 != COLUMNS {
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

/// Appends a JSON string; text without characters to escape is copied as it is.
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
