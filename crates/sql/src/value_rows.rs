//! Collapses the rows of `VALUES`: consecutive rows that are alike become one.

use crate::fingerprint::FingerprintWriter;

/// Rows up to this length in bytes are compared with the row before; longer ones are not collapsed.
const MAX_COMPARED_ROW_BYTES: usize = 4096;

/// Passes pieces on to a writer, except for the rows of `VALUES` that equal the row before.
#[derive(Default)]
pub(crate) struct RowCollapser {
    writer: FingerprintWriter,
    rows: Rows,
    max_rows: u64,
}

/// The rows of the current `VALUES`.
#[derive(Default)]
struct Rows {
    /// Bracket depth at which the rows begin; `None` outside of `VALUES`.
    depth: Option<u32>,
    /// The row that is being read.
    current: Option<String>,
    /// The last row written.
    previous: Option<String>,
    /// Whether a comma was read after a row and is not yet written.
    has_pending_comma: bool,
    count: u64,
}

impl RowCollapser {
    /// Rows of `VALUES` follow at this depth, unless they would be nested in others.
    pub(crate) fn start_rows(&mut self, depth: u32) {
        if self.rows.depth.is_none() {
            self.rows = Rows {
                depth: Some(depth),
                ..Rows::default()
            };
        }
    }

    /// Whether rows begin at this depth.
    pub(crate) fn expects_row(&self, depth: u32) -> bool {
        self.rows.depth == Some(depth)
    }

    /// An opening bracket begins a row.
    pub(crate) fn open_row(&mut self) {
        self.rows.current = Some(String::new());
    }

    /// A bracket was closed, down to this depth: if that ends a row, compares it with the row before.
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
            // The row and the comma before it are left out.
            self.rows.has_pending_comma = false;
            return;
        }
        self.write_pending_comma();
        self.writer.write(&row);
        self.rows.previous = Some(row);
    }

    /// Writes a piece at this depth, or appends it to the row that is being read.
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

    /// Writes what is left of an unfinished row; returns the writer, and the greatest number of rows of a `VALUES`.
    pub(crate) fn finish(mut self) -> (FingerprintWriter, u64) {
        if let Some(row) = self.rows.current.take() {
            self.writer.write(&row);
        }
        (self.writer, self.max_rows)
    }
}
