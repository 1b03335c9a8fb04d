//! Owns what makes two statements of one kind: the same text but for its values. Comments, spaces, case and the
//! quotes of plain names are folded; each literal and parameter becomes `?`; a list of values becomes `?+`; rows
//! of `VALUES` that look alike become one. What was folded away is counted as the statement's size.
//!
//! One pass, in memory bounded by `ROW` and `LABEL` however long the text is.

use crate::lexer::{Dialect, Lexer, Token, TokenKind};

/// The fingerprint of a kind: the first 64 bits of BLAKE3 over the folded text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A statement's kind and size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kind {
    /// What it is told by.
    pub fingerprint: Fingerprint,
    /// The start of the folded text, for people; it holds no value of the statement.
    pub label: String,
    /// The longest list of values, or the rows that it inserts; at least 1.
    pub size: u64,
}

/// Bytes of the folded text that a label keeps.
pub const LABEL: usize = 160;
/// Bytes of a row of `VALUES` that are compared with the row before; longer ones are not folded together.
const ROW: usize = 4096;

/// The kind of a statement.
pub fn kind_of(text: &str, dialect: Dialect) -> Kind {
    let mut folder = Folder::default();
    for token in Lexer::new(text, dialect).filter(|t| !t.is_blank()) {
        folder.take(&token);
    }
    folder.finish()
}

/// What stands before a token, as far as folding asks.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Before {
    /// Something after which `-` is a sign.
    #[default]
    Open,
    /// A value or a name, after which it subtracts.
    Value,
    /// `IN` or `VALUES`.
    ListWord,
    /// The bracket after such a word.
    ListBracket,
}

#[derive(Default)]
struct Folder {
    out: Out,
    before: Before,
    /// A sign that may belong to a number.
    sign: Option<char>,
    /// Values of the run so far, whether a comma followed the last, and whether the run began a list.
    run: u64,
    comma: bool,
    in_list: bool,
    depth: u32,
    rows: Rows,
    /// A `;` that ends the statement if nothing follows.
    end: bool,
}

/// Rows of `VALUES`.
#[derive(Default)]
struct Rows {
    /// The depth at which they stand; `None`: not among them.
    at: Option<u32>,
    /// The row that is being read, the one before, and whether a comma is owed between them.
    row: Option<String>,
    last: Option<String>,
    comma: bool,
    alike: u64,
}

#[derive(Default)]
struct Out {
    hash: blake3::Hasher,
    label: String,
    size: u64,
}

impl Out {
    fn write(&mut self, piece: &str) {
        // A separator that no piece holds keeps `a b` from `ab`.
        self.hash.update(piece.as_bytes()).update(b"\0");
        if self.label.len() < LABEL {
            let tight = matches!(piece, "," | ")" | "]" | "." | ";")
                || self.label.ends_with(['(', '[', '.'])
                || self.label.is_empty();
            if !tight {
                self.label.push(' ');
            }
            let room = LABEL.saturating_sub(self.label.len());
            let fits = piece
                .char_indices()
                .map(|(at, c)| at + c.len_utf8())
                .take_while(|end| *end <= room);
            let fits = fits.last().unwrap_or(0);
            self.label.push_str(&piece[..fits]);
        }
    }
}

impl Folder {
    fn take(&mut self, t: &Token<'_>) {
        if std::mem::take(&mut self.end) {
            self.piece(";");
        }
        match t.kind {
            TokenKind::String | TokenKind::Number | TokenKind::Parameter => self.value(),
            TokenKind::Word if matches_word(t.text, &["true", "false"]) => self.value(),
            TokenKind::Symbol if t.text == "," && self.run > 0 && !self.comma => self.comma = true,
            TokenKind::Symbol if t.text == ";" => {
                self.flush();
                self.end = true;
            }
            TokenKind::Symbol if matches!(t.text, "-" | "+") && !self.ends_value() => {
                if let Some(sign) = self.sign.take() {
                    self.symbol(&sign.to_string());
                }
                self.sign = t.text.chars().next();
            }
            TokenKind::Word => {
                let word = t.text.to_lowercase();
                self.other(&word);
                self.before = match word.as_str() {
                    "in" | "values" | "value" => Before::ListWord,
                    w if OPENS.contains(&w) => Before::Open,
                    _ => Before::Value,
                };
                if matches!(word.as_str(), "values" | "value") && self.rows.at.is_none() {
                    self.rows = Rows {
                        at: Some(self.depth),
                        ..Rows::default()
                    };
                }
            }
            TokenKind::Quoted => {
                let name = plain_name(t);
                self.other(name.as_deref().unwrap_or(t.text));
                self.before = Before::Value;
            }
            _ => self.symbol(t.text),
        }
    }

    /// Whether what stands before is a value, so that a sign would be an operator.
    fn ends_value(&self) -> bool {
        if self.run > 0 {
            !self.comma
        } else {
            self.before == Before::Value
        }
    }

    /// A literal or a parameter: one more of a run.
    fn value(&mut self) {
        self.sign = None;
        if self.run > 0 && !self.comma {
            self.flush();
        }
        if self.run == 0 {
            self.in_list = self.before == Before::ListBracket;
        }
        (self.run, self.comma) = (self.run + 1, false);
    }

    /// Writes the run of values that has ended.
    fn flush(&mut self) {
        if self.run > 0 {
            let (run, comma) = (
                std::mem::take(&mut self.run),
                std::mem::take(&mut self.comma),
            );
            if run > 1 || self.in_list {
                self.out.size = self.out.size.max(run);
                self.piece("?+");
            } else {
                self.piece("?");
            }
            self.before = Before::Value;
            if comma {
                self.piece(",");
                self.before = Before::Open;
            }
        }
        if let Some(sign) = self.sign.take() {
            self.piece(if sign == '-' { "-" } else { "+" });
            self.before = Before::Open;
        }
    }

    fn other(&mut self, piece: &str) {
        self.flush();
        self.piece(piece);
    }

    fn symbol(&mut self, symbol: &str) {
        self.flush();
        let values = self.rows.at == Some(self.depth) && symbol == "(";
        let list = values || (self.before == Before::ListWord && symbol == "(");
        if matches!(symbol, "(" | "[") {
            if values {
                self.open_row();
            }
            self.depth = self.depth.saturating_add(1);
        }
        self.piece(symbol);
        if matches!(symbol, ")" | "]") {
            self.depth = self.depth.saturating_sub(1);
            self.close_row();
        }
        self.before = match symbol {
            ")" | "]" => Before::Value,
            "(" if list => Before::ListBracket,
            _ => Before::Open,
        };
    }

    fn open_row(&mut self) {
        self.rows.row = Some(String::new());
    }

    /// Compares the row that has ended with the one before.
    fn close_row(&mut self) {
        if self.rows.at != Some(self.depth) {
            return;
        }
        let Some(row) = self.rows.row.take() else {
            return;
        };
        self.rows.alike += 1;
        self.out.size = self.out.size.max(self.rows.alike);
        if self.rows.last.as_deref() == Some(&row) {
            self.rows.comma = false; // One like the last: it and the comma before it are folded away.
            return;
        }
        if std::mem::take(&mut self.rows.comma) {
            self.out.write(",");
        }
        self.out.write(&row);
        self.rows.last = Some(row);
    }

    /// Writes a piece, or keeps it for the row that is being read.
    fn piece(&mut self, piece: &str) {
        if let Some(row) = &mut self.rows.row {
            if !row.is_empty() {
                row.push(' ');
            }
            row.push_str(piece);
            if row.len() > ROW {
                // Too long to compare: rows are not folded from here on.
                let row = self.rows.row.take().unwrap_or_default();
                self.end_rows();
                self.out.write(&row);
            }
            return;
        }
        if self.rows.at == Some(self.depth) {
            if piece == "," && self.rows.last.is_some() && !self.rows.comma {
                self.rows.comma = true;
                return;
            }
            self.end_rows();
        }
        self.out.write(piece);
    }

    fn end_rows(&mut self) {
        if std::mem::take(&mut self.rows.comma) {
            self.out.write(",");
        }
        self.rows = Rows::default();
    }

    fn finish(mut self) -> Kind {
        self.flush();
        if let Some(row) = self.rows.row.take() {
            self.out.write(&row);
        }
        let Out { hash, label, size } = self.out;
        let mut first = [0; 8];
        first.copy_from_slice(&hash.finalize().as_bytes()[..8]);
        Kind {
            fingerprint: Fingerprint(u64::from_le_bytes(first)),
            label,
            size: size.max(1),
        }
    }
}

/// Words after which a `-` is a sign and not an operator.
const OPENS: [&str; 22] = [
    "select", "where", "and", "or", "not", "between", "like", "then", "else", "when", "case", "on",
    "having", "limit", "offset", "by", "return", "set", "is", "all", "distinct", "escape",
];

fn matches_word(text: &str, words: &[&str]) -> bool {
    words.iter().any(|w| text.eq_ignore_ascii_case(w))
}

/// The name inside quotes, where it could stand without them.
fn plain_name(t: &Token<'_>) -> Option<String> {
    let inside = t.text.get(1..t.text.len().checked_sub(1)?)?;
    let plain = inside.starts_with(|c: char| c.is_alphabetic() || c == '_')
        && inside.chars().all(|c| c.is_alphanumeric() || c == '_');
    (t.closed && plain).then(|| inside.to_lowercase())
}

#[cfg(test)]
mod tests;
