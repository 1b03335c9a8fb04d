//! Normalization of statements, so that statements that differ only in their values have the same fingerprint.
//!
//! Comments, whitespace, case and unnecessary quotes of identifiers are dropped; each literal and parameter becomes
//! `?`; several values separated by commas, and a single value in a list, become `?+`; consecutive equal rows of
//! `VALUES` become one, unless they are very long. [`NormalizedStatement::size`] keeps the length of the longest list
//! or `VALUES`.
//!
//! Normalization takes one pass over the text. Its memory use does not grow with the number of tokens.

use crate::fingerprint::Fingerprint;
use crate::lexer::{Dialect, Lexer, Token, TokenKind};
use crate::value_rows::RowCollapser;

/// Keywords after which `-` or `+` is a sign and not an operator.
const KEYWORDS_BEFORE_OPERANDS: [&str; 22] = [
    "select", "where", "and", "or", "not", "between", "like", "then", "else", "when", "case", "on",
    "having", "limit", "offset", "by", "return", "set", "is", "all", "distinct", "escape",
];

/// The result of normalizing a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NormalizedStatement {
    /// Fingerprint, equal for statements that differ only in their values.
    pub fingerprint: Fingerprint,
    /// Start of the normalized text, for display; it contains no value of the statement.
    pub label: String,
    /// Length of the longest list of values or largest number of rows in `VALUES`, whichever is greater; at least 1.
    pub size: u64,
}

/// Normalizes a statement.
pub fn normalize(text: &str, dialect: Dialect) -> NormalizedStatement {
    let mut normalizer = Normalizer::default();
    for token in Lexer::new(text, dialect).filter(|token| !token.is_trivia()) {
        normalizer.push(&token);
    }
    normalizer.finish()
}

/// The context of a token, as far as normalization depends on it.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Context {
    /// An operand is expected, so that `-` is a sign.
    #[default]
    ExpectsOperand,
    /// A value or a name precedes, so that `-` subtracts.
    AfterOperand,
    /// `IN`, `VALUES` or `VALUE` precedes.
    AfterListKeyword,
    /// The opening bracket of a list or a row precedes.
    ListStart,
}

/// A run of values separated by commas.
#[derive(Default)]
struct ValueRun {
    length: u64,
    /// Whether a comma followed the last value.
    ends_with_comma: bool,
    /// Whether the run is at the start of a list, where even a single value becomes `?+`, so that `IN (1)` and
    /// `IN (1, 2)` have the same fingerprint.
    starts_list: bool,
}

#[derive(Default)]
struct Normalizer {
    output: RowCollapser,
    context: Context,
    /// Sign that may belong to a number.
    pending_sign: Option<&'static str>,
    run: ValueRun,
    max_list_length: u64,
    bracket_depth: u32,
    /// Whether a `;` was read, which is dropped if nothing follows.
    has_pending_semicolon: bool,
}

impl Normalizer {
    fn push(&mut self, token: &Token<'_>) {
        if std::mem::take(&mut self.has_pending_semicolon) {
            self.write(";");
        }
        match token.kind {
            TokenKind::String | TokenKind::Number | TokenKind::Parameter => self.push_value(),
            TokenKind::Word if is_boolean(token.text) => self.push_value(),
            TokenKind::Word => self.push_word(&token.text.to_lowercase()),
            TokenKind::QuotedIdentifier => {
                self.flush();
                self.write(unquoted_name(token).as_deref().unwrap_or(token.text));
                self.context = Context::AfterOperand;
            }
            _ => self.push_symbol(token.text),
        }
    }

    /// Adds a literal or a parameter to the current run of values, or starts a new run.
    fn push_value(&mut self) {
        self.pending_sign = None;
        if self.run.length > 0 && !self.run.ends_with_comma {
            self.flush();
        }
        if self.run.length == 0 {
            self.run.starts_list = self.context == Context::ListStart;
        }
        self.run.length += 1;
        self.run.ends_with_comma = false;
    }

    fn push_word(&mut self, word: &str) {
        self.flush();
        self.write(word);
        self.context = match word {
            "in" | "values" | "value" => Context::AfterListKeyword,
            word if KEYWORDS_BEFORE_OPERANDS.contains(&word) => Context::ExpectsOperand,
            _ => Context::AfterOperand,
        };
        if matches!(word, "values" | "value") {
            self.output.start_rows(self.bracket_depth);
        }
    }

    fn push_symbol(&mut self, symbol: &str) {
        match symbol {
            "," if self.run.length > 0 && !self.run.ends_with_comma => {
                self.run.ends_with_comma = true;
            }
            ";" => {
                self.flush();
                self.has_pending_semicolon = true;
            }
            "-" if !self.follows_operand() => self.push_sign("-"),
            "+" if !self.follows_operand() => self.push_sign("+"),
            _ => self.push_other_symbol(symbol),
        }
    }

    /// Returns whether an operand precedes, so that a sign would be an operator.
    fn follows_operand(&self) -> bool {
        if self.run.length > 0 {
            !self.run.ends_with_comma
        } else {
            self.context == Context::AfterOperand
        }
    }

    fn push_sign(&mut self, sign: &'static str) {
        if let Some(previous) = self.pending_sign.take() {
            self.push_other_symbol(previous);
        }
        self.pending_sign = Some(sign);
    }

    fn push_other_symbol(&mut self, symbol: &str) {
        self.flush();
        let is_row = symbol == "(" && self.output.expects_row(self.bracket_depth);
        let is_list = is_row || (symbol == "(" && self.context == Context::AfterListKeyword);
        if matches!(symbol, "(" | "[") {
            if is_row {
                self.output.open_row();
            }
            self.bracket_depth = self.bracket_depth.saturating_add(1);
        }
        self.write(symbol);
        if matches!(symbol, ")" | "]") {
            self.bracket_depth = self.bracket_depth.saturating_sub(1);
            self.output.close_row(self.bracket_depth);
        }
        self.context = match symbol {
            ")" | "]" => Context::AfterOperand,
            "(" if is_list => Context::ListStart,
            _ => Context::ExpectsOperand,
        };
    }

    /// Writes the completed run of values, and a sign that belongs to no number.
    fn flush(&mut self) {
        let run = std::mem::take(&mut self.run);
        if run.length > 0 {
            if run.length > 1 || run.starts_list {
                self.max_list_length = self.max_list_length.max(run.length);
                self.write("?+");
            } else {
                self.write("?");
            }
            self.context = Context::AfterOperand;
            if run.ends_with_comma {
                self.write(",");
                self.context = Context::ExpectsOperand;
            }
        }
        if let Some(sign) = self.pending_sign.take() {
            self.write(sign);
            self.context = Context::ExpectsOperand;
        }
    }

    fn write(&mut self, piece: &str) {
        self.output.write(piece, self.bracket_depth);
    }

    fn finish(mut self) -> NormalizedStatement {
        self.flush();
        let (writer, max_rows) = self.output.finish();
        let (fingerprint, label) = writer.finish();
        NormalizedStatement {
            fingerprint,
            label,
            size: self.max_list_length.max(max_rows).max(1),
        }
    }
}

fn is_boolean(word: &str) -> bool {
    word.eq_ignore_ascii_case("true") || word.eq_ignore_ascii_case("false")
}

/// Returns the name inside the quotes in lower case, if it consists of letters, digits and `_` and does not start with
/// a digit. Reserved words are not excluded.
fn unquoted_name(token: &Token<'_>) -> Option<String> {
    let name = token.text.get(1..token.text.len().checked_sub(1)?)?;
    let is_plain = name.starts_with(|c: char| c.is_alphabetic() || c == '_')
        && name.chars().all(|c| c.is_alphanumeric() || c == '_');
    (token.is_terminated && is_plain).then(|| name.to_lowercase())
}

#[cfg(test)]
mod tests;
