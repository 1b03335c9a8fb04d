//! Collapses consecutive equal rows of `VALUES` into one.

use crate::fingerprint::FingerprintWriter;

/// Maximum length of rows that are buffered to be compared with the previous row. From the first longer row on, the
/// rows of that `VALUES` are neither collapsed nor counted.
const MAX_COMPARED_ROW_BYTES: usize = 4096;

/// Passes pieces on to a writer, except for rows of `VALUES` that equal the previous row.
#[derive(Default)]
pub(crate) struct RowCollapser {
    writer: FingerprintWriter,
    rows: Rows,
    max_rows: u64,
}

/// The rows of the current `VALUES`.
#[derive(Default)]
struct Rows {
    /// Bracket depth at which rows start; `None` outside of `VALUES`.
    depth: Option<u32>,
    /// Row that is being read.
    current: Option<String>,
    /// Last row written.
    previous: Option<String>,
    /// Whether a comma was read after a row and has not been written.
    has_pending_comma: bool,
    count: u64,
}

impl RowCollapser {
    /// Starts the rows of `VALUES` at this bracket depth, unless they are nested in other rows.
    pub(crate) fn start_rows(&mut self, depth: u32) {
        if self.rows.depth.is_none() {
            self.rows = Rows {
                depth: Some(depth),
                ..Rows::default()
            };
        }
    }

    /// Returns whether rows start at this bracket depth.
    pub(crate) fn expects_row(&self, depth: u32) -> bool {
        self.rows.depth == Some(depth)
    }

    /// Starts a row at its opening bracket.
    pub(crate) fn open_row(&mut self) {
        self.rows.current = Some(String::new());
    }

    /// Handles a closing bracket that returns to this depth: if it ends a row, compares the row with the previous one.
    pub(crate) fn close_row(&mut self, depth: u32) {
        if !self.expects_row(depth) {
            return;
        }
        let Some(row) = self.rows.current.take() else {
            return;
        };
        self.rows.count += 1;
        self.max_rows = self.max_rows.max(self.rows.count);
        if self.rows.previous.as_ref() == Some(&row) {
            // The row and the comma before it are omitted.
            self.rows.has_pending_comma = false;
            return;
        }
        self.write_pending_comma();
        self.writer.write(&row);
        self.rows.previous = Some(row);
    }

    /// Writes a piece at this bracket depth, or appends it to the row that is being read.
    pub(crate) fn write(&mut self, piece: &str, depth: u32) {
        if let Some(row) = &mut self.rows.current {
            if !row.is_empty() {
                row.push(' ');
            }
            row.push_str(piece);
            if row.len() > MAX_COMPARED_ROW_BYTES {
                let row = std::mem::take(row);
                self.end_rows();
                self.writer.write(&row);
            }
            return;
        }
        if self.expects_row(depth) {
            if piece == "," && self.rows.previous.is_some() && !self.rows.has_pending_comma {
                self.rows.has_pending_comma = true;
                return;
            }
            self.end_rows();
        }
        self.writer.write(piece);
    }

    fn end_rows(&mut self) {
        self.write_pending_comma();
        self.rows = Rows::default();
    }

    fn write_pending_comma(&mut self) {
        if std::mem::take(&mut self.rows.has_pending_comma) {
            self.writer.write(",");
        }
    }

    /// Writes what is left of an unfinished row. Returns the writer and the largest number of rows in one `VALUES`.
    pub(crate) fn finish(mut self) -> (FingerprintWriter, u64) {
        if let Some(row) = self.rows.current.take() {
            self.writer.write(&row);
        }
        (self.writer, self.max_rows)
    }
}
