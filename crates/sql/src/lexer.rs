//! Splits SQL text into tokens.
//!
//! Each byte of the text belongs to exactly one token, in order, so that a caller can copy, skip or replace any part.
//! The lexer accepts any text: an unterminated token extends to the end of the text and is marked, and a character that
//! starts no known token is a token of its own.
//!
//! Lexical rules: ISO/IEC 9075-2, section 5 (tokens, separators, literals). [`Dialect`] covers the differences between
//! products.

/// Operators of several characters; longer operators precede their prefixes.
const LONG_OPERATORS: [&str; 16] = [
    "<=>", "->>", "||", "<>", "!=", "<=", ">=", "=>", "->", "::", ":=", "==", "&&", "<<", ">>",
    "..",
];

/// Lexical rules that differ between products.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// Whether a backslash in a string escapes the next character (MySQL).
    pub backslash_escapes: bool,
    /// Whether `"…"` is a string and not an identifier (MySQL without ANSI_QUOTES).
    pub double_quoted_strings: bool,
    /// Whether `#` starts a comment that extends to the end of the line (MySQL).
    pub hash_comments: bool,
    /// Whether comments nest, so that `/* /* */ */` is one comment (PostgreSQL; optional in the standard).
    pub nested_comments: bool,
}

impl Dialect {
    /// The standard's rules for strings and comments, as implemented by Trino. Other tokens are recognized in all
    /// dialects alike.
    pub const STANDARD: Dialect = Dialect {
        backslash_escapes: false,
        double_quoted_strings: false,
        hash_comments: false,
        nested_comments: false,
    };
    /// MySQL with its default modes.
    pub const MYSQL: Dialect = Dialect {
        backslash_escapes: true,
        double_quoted_strings: true,
        hash_comments: true,
        nested_comments: false,
    };
}

/// The kind of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenKind {
    /// Spaces and line breaks.
    Whitespace,
    /// A comment: `-- …`, `/* … */` or `# …`.
    Comment,
    /// A keyword or an unquoted identifier.
    Word,
    /// A quoted identifier: `"…"` or `` `…` ``.
    QuotedIdentifier,
    /// A string literal: `'…'`, and `"…"` in dialects with double-quoted strings.
    String,
    /// A numeric literal.
    Number,
    /// A parameter: `?`, `$1`, `:name` or `@name`.
    Parameter,
    /// An operator, a bracket, a comma or another punctuation character.
    Symbol,
    /// A character that starts no known token.
    Unknown,
}

/// A token and its position in the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token<'a> {
    /// Kind of the token.
    pub kind: TokenKind,
    /// Text of the token, unchanged.
    pub text: &'a str,
    /// Byte offset of the start.
    pub offset: usize,
    /// Whether the end of the token is present; `false` for an unterminated string, quoted identifier or comment.
    pub is_terminated: bool,
}

impl Token<'_> {
    /// Returns whether the token is whitespace or a comment, which have no meaning.
    pub fn is_trivia(&self) -> bool {
        matches!(self.kind, TokenKind::Whitespace | TokenKind::Comment)
    }
}

/// A token that the lexer recognized at the current offset.
struct Lexeme {
    kind: TokenKind,
    /// Byte offset of the end.
    end: usize,
    is_terminated: bool,
}

impl Lexeme {
    fn terminated(kind: TokenKind, end: usize) -> Lexeme {
        Lexeme {
            kind,
            end,
            is_terminated: true,
        }
    }

    fn unterminated(kind: TokenKind, end: usize) -> Lexeme {
        Lexeme {
            kind,
            end,
            is_terminated: false,
        }
    }
}

/// An iterator over the tokens of a text.
#[derive(Clone, Debug)]
pub struct Lexer<'a> {
    text: &'a str,
    offset: usize,
    dialect: Dialect,
}

impl<'a> Lexer<'a> {
    /// Creates a lexer at the start of a text.
    pub fn new(text: &'a str, dialect: Dialect) -> Lexer<'a> {
        Lexer {
            text,
            offset: 0,
            dialect,
        }
    }

    fn byte(&self, at: usize) -> Option<u8> {
        self.text.as_bytes().get(at).copied()
    }

    /// Recognizes the token at the current offset. Returns `None` at the end of the text.
    fn recognize(&self) -> Option<Lexeme> {
        let start = self.offset;
        let first = self.text[start..].chars().next()?;
        let next = start + first.len_utf8();
        let second = self.byte(next);
        let lexeme = match first {
            c if c.is_whitespace() => Lexeme::terminated(
                TokenKind::Whitespace,
                self.end_of_run(start, char::is_whitespace),
            ),
            '-' if second == Some(b'-') => self.line_comment(start),
            '#' if self.dialect.hash_comments => self.line_comment(start),
            '/' if second == Some(b'*') => self.block_comment(start),
            '\'' => self.string(start, b'\''),
            '"' if self.dialect.double_quoted_strings => self.string(start, b'"'),
            '"' => self.quoted(start, TokenKind::QuotedIdentifier, b'"', false),
            '`' => self.quoted(start, TokenKind::QuotedIdentifier, b'`', false),
            c if c.is_ascii_digit() => self.number(start),
            '.' if is_digit(second) => self.number(start),
            c if is_word_start(c) => {
                Lexeme::terminated(TokenKind::Word, self.end_of_run(start, is_word_part))
            }
            '?' => Lexeme::terminated(TokenKind::Parameter, next),
            '$' if is_digit(second) => Lexeme::terminated(
                TokenKind::Parameter,
                self.end_of_run(next, |c| c.is_ascii_digit()),
            ),
            ':' | '@' if second.is_some_and(|b| b.is_ascii_alphabetic() || b == b'_') => {
                Lexeme::terminated(TokenKind::Parameter, self.end_of_run(next, is_word_part))
            }
            c if c.is_ascii_punctuation() => self.symbol(start),
            _ => Lexeme::terminated(TokenKind::Unknown, next),
        };
        Some(lexeme)
    }

    /// Returns the end of the longest run from `start` in which every character is accepted.
    fn end_of_run(&self, start: usize, accepts: impl Fn(char) -> bool) -> usize {
        self.text[start..]
            .find(|c| !accepts(c))
            .map_or(self.text.len(), |length| start + length)
    }

    /// Recognizes a comment that extends to the end of its line.
    fn line_comment(&self, start: usize) -> Lexeme {
        Lexeme::terminated(TokenKind::Comment, self.end_of_run(start, |c| c != '\n'))
    }

    /// Recognizes a comment in `/* */`.
    fn block_comment(&self, start: usize) -> Lexeme {
        let bytes = self.text.as_bytes();
        let mut depth = 1usize;
        let mut at = start + 2;
        while at + 1 < bytes.len() {
            match (bytes[at], bytes[at + 1]) {
                (b'*', b'/') => {
                    depth -= 1;
                    at += 2;
                    if depth == 0 {
                        return Lexeme::terminated(TokenKind::Comment, at);
                    }
                }
                (b'/', b'*') if self.dialect.nested_comments => {
                    depth += 1;
                    at += 2;
                }
                _ => at += 1,
            }
        }
        Lexeme::unterminated(TokenKind::Comment, bytes.len())
    }

    /// Recognizes a string literal.
    fn string(&self, start: usize, quote: u8) -> Lexeme {
        self.quoted(
            start,
            TokenKind::String,
            quote,
            self.dialect.backslash_escapes,
        )
    }

    /// Recognizes a quoted token, in which a doubled quote stands for one quote.
    fn quoted(&self, start: usize, kind: TokenKind, quote: u8, backslash_escapes: bool) -> Lexeme {
        let bytes = self.text.as_bytes();
        let mut at = start + 1;
        while at < bytes.len() {
            match bytes[at] {
                byte if byte == quote && self.byte(at + 1) == Some(quote) => at += 2,
                byte if byte == quote => return Lexeme::terminated(kind, at + 1),
                b'\\' if backslash_escapes => at += 2,
                _ => at += 1,
            }
        }
        Lexeme::unterminated(kind, bytes.len())
    }

    /// Recognizes a number: digits with `_`, a fraction and an exponent; or hexadecimal, octal or binary digits.
    fn number(&self, start: usize) -> Lexeme {
        Lexeme::terminated(TokenKind::Number, self.end_of_number(start))
    }

    fn end_of_number(&self, start: usize) -> usize {
        if let (Some(b'0'), Some(b'x' | b'X' | b'o' | b'O' | b'b' | b'B')) =
            (self.byte(start), self.byte(start + 1))
            && self.byte(start + 2).is_some_and(|b| b.is_ascii_hexdigit())
        {
            return self.end_of_run(start + 2, |c| c.is_ascii_hexdigit() || c == '_');
        }
        let is_digit_or_separator = |c: char| c.is_ascii_digit() || c == '_';
        let mut end = self.end_of_run(start, is_digit_or_separator);
        if self.byte(end) == Some(b'.') {
            end = self.end_of_run(end + 1, is_digit_or_separator);
        }
        if matches!(self.byte(end), Some(b'e' | b'E')) {
            let sign_length = usize::from(matches!(self.byte(end + 1), Some(b'+' | b'-')));
            let exponent = end + 1 + sign_length;
            if is_digit(self.byte(exponent)) {
                end = self.end_of_run(exponent, |c| c.is_ascii_digit());
            }
        }
        end
    }

    /// Recognizes an operator or another punctuation character.
    fn symbol(&self, start: usize) -> Lexeme {
        let rest = &self.text[start..];
        let length = LONG_OPERATORS
            .iter()
            .find(|operator| rest.starts_with(**operator))
            .map_or(1, |operator| operator.len());
        Lexeme::terminated(TokenKind::Symbol, start + length)
    }
}

impl<'a> Iterator for Lexer<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        let lexeme = self.recognize()?;
        let offset = std::mem::replace(&mut self.offset, lexeme.end);
        Some(Token {
            kind: lexeme.kind,
            text: &self.text[offset..lexeme.end],
            offset,
            is_terminated: lexeme.is_terminated,
        })
    }
}

fn is_digit(byte: Option<u8>) -> bool {
    byte.is_some_and(|byte| byte.is_ascii_digit())
}

fn is_word_start(c: char) -> bool {
    c.is_alphabetic() || c == '_'
}

fn is_word_part(c: char) -> bool {
    c.is_alphanumeric() || c == '_' || c == '$'
}

#[cfg(test)]
mod tests;
