//! Owns how SQL text is cut into tokens. Each byte of the text belongs to exactly one token, in order, so that a
//! reader can copy, skip or replace any part. Nothing is an error: what is not closed runs to the end of the
//! text and says so, and a byte that starts nothing is a token of its own.
//!
//! Lexical rules: ISO/IEC 9075-2, section 5 (tokens, separators, literals); where products differ, [`Dialect`].

/// Where products differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// A backslash keeps the next character of a string from ending it (MySQL).
    pub backslash: bool,
    /// `"…"` is a string, not a name (MySQL without ANSI_QUOTES).
    pub double_quoted_strings: bool,
    /// `#` starts a comment that runs to the end of its line (MySQL).
    pub hash_comments: bool,
    /// `/* /* */ */` is one comment (PostgreSQL; the standard leaves it open).
    pub nested_comments: bool,
}

impl Dialect {
    /// The standard, as Trino reads it.
    pub const STANDARD: Dialect = Dialect {
        backslash: false,
        double_quoted_strings: false,
        hash_comments: false,
        nested_comments: false,
    };
    /// MySQL's default modes.
    pub const MYSQL: Dialect = Dialect {
        backslash: true,
        double_quoted_strings: true,
        hash_comments: true,
        nested_comments: false,
    };
}

/// What a token is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenKind {
    /// Spaces, line ends.
    Space,
    /// `-- …`, `/* … */`, `# …`.
    Comment,
    /// A keyword or a plain name.
    Word,
    /// A name in quotes: `"…"`, `` `…` ``.
    Quoted,
    /// A string: `'…'`.
    String,
    /// A number.
    Number,
    /// A place for a value: `?`, `$1`, `:name`, `@name`.
    Parameter,
    /// An operator, a bracket, a comma: one character, or one operator of several.
    Symbol,
    /// A byte that starts nothing known.
    Other,
}

/// A token: its kind, and the bytes that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token<'a> {
    /// What it is.
    pub kind: TokenKind,
    /// Its text, as it stands.
    pub text: &'a str,
    /// Byte offset of its start.
    pub at: usize,
    /// False where a string, a quoted name or a comment is not closed.
    pub closed: bool,
}

impl Token<'_> {
    /// Whether a reader of meaning passes over it.
    pub fn is_blank(&self) -> bool {
        matches!(self.kind, TokenKind::Space | TokenKind::Comment)
    }
}

/// Cuts a text into tokens.
#[derive(Clone, Debug)]
pub struct Lexer<'a> {
    text: &'a str,
    at: usize,
    dialect: Dialect,
}

impl<'a> Lexer<'a> {
    /// A lexer at the start of a text.
    pub fn new(text: &'a str, dialect: Dialect) -> Lexer<'a> {
        Lexer {
            text,
            at: 0,
            dialect,
        }
    }

    fn byte(&self, at: usize) -> Option<u8> {
        self.text.as_bytes().get(at).copied()
    }

    /// The end of the run from `at` whose characters are as wanted.
    fn run(&self, at: usize, wanted: impl Fn(char) -> bool) -> usize {
        self.text[at..]
            .find(|c| !wanted(c))
            .map_or(self.text.len(), |n| at + n)
    }

    fn line_end(&self, at: usize) -> usize {
        self.text[at..]
            .find('\n')
            .map_or(self.text.len(), |n| at + n)
    }

    /// The end of a block comment that starts at `at`, and whether it is closed.
    fn block(&self, at: usize) -> (usize, bool) {
        let bytes = self.text.as_bytes();
        let (mut depth, mut i) = (1usize, at + 2);
        while i + 1 < bytes.len() {
            match (bytes[i], bytes[i + 1]) {
                (b'*', b'/') => {
                    depth -= 1;
                    i += 2;
                    if depth == 0 {
                        return (i, true);
                    }
                }
                (b'/', b'*') if self.dialect.nested_comments => {
                    depth += 1;
                    i += 2;
                }
                _ => i += 1,
            }
        }
        (bytes.len(), false)
    }

    /// The end of what a quote at `at` opens; a doubled quote stands for one.
    fn quoted(&self, at: usize, quote: u8, backslash: bool) -> (usize, bool) {
        let bytes = self.text.as_bytes();
        let mut i = at + 1;
        while i < bytes.len() {
            match bytes[i] {
                b if b == quote && self.byte(i + 1) == Some(quote) => i += 2,
                b if b == quote => return (i + 1, true),
                b'\\' if backslash => i += 2,
                _ => i += 1,
            }
        }
        (bytes.len(), false)
    }

    /// The end of a number at `at`: digits with `_`, a fraction, an exponent; or hexadecimal, octal, binary.
    fn number(&self, at: usize) -> usize {
        if let (Some(b'0'), Some(b'x' | b'X' | b'o' | b'O' | b'b' | b'B')) =
            (self.byte(at), self.byte(at + 1))
            && self.byte(at + 2).is_some_and(|b| b.is_ascii_hexdigit())
        {
            return self.run(at + 2, |c| c.is_ascii_hexdigit() || c == '_');
        }
        let digits = |c: char| c.is_ascii_digit() || c == '_';
        let mut end = self.run(at, digits);
        if self.byte(end) == Some(b'.') {
            end = self.run(end + 1, digits);
        }
        if matches!(self.byte(end), Some(b'e' | b'E')) {
            let sign = usize::from(matches!(self.byte(end + 1), Some(b'+' | b'-')));
            if self
                .byte(end + 1 + sign)
                .is_some_and(|b| b.is_ascii_digit())
            {
                end = self.run(end + 1 + sign, |c| c.is_ascii_digit());
            }
        }
        end
    }

    fn symbol(&self, at: usize) -> usize {
        // Operators of several characters; longer ones first.
        const LONG: [&str; 16] = [
            "<=>", "->>", "||", "<>", "!=", "<=", ">=", "=>", "->", "::", ":=", "==", "&&", "<<",
            ">>", "..",
        ];
        let rest = &self.text[at..];
        LONG.iter()
            .find(|op| rest.starts_with(**op))
            .map_or(at + 1, |op| at + op.len())
    }
}

fn starts_word(c: char) -> bool {
    c.is_alphabetic() || c == '_'
}

fn goes_on(c: char) -> bool {
    c.is_alphanumeric() || c == '_' || c == '$'
}

impl<'a> Iterator for Lexer<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        let at = self.at;
        let first = self.text[at..].chars().next()?;
        let second = self.byte(at + first.len_utf8());
        let is_digit = |b: Option<u8>| b.is_some_and(|b| b.is_ascii_digit());
        let is_name = |b: Option<u8>| b.is_some_and(|b| b.is_ascii_alphabetic() || b == b'_');
        let open = |kind, end| (kind, end, true);
        let (kind, end, closed) = match first {
            c if c.is_whitespace() => open(TokenKind::Space, self.run(at, char::is_whitespace)),
            '-' if second == Some(b'-') => open(TokenKind::Comment, self.line_end(at)),
            '#' if self.dialect.hash_comments => open(TokenKind::Comment, self.line_end(at)),
            '/' if second == Some(b'*') => {
                let (end, closed) = self.block(at);
                (TokenKind::Comment, end, closed)
            }
            '\'' => {
                let (end, closed) = self.quoted(at, b'\'', self.dialect.backslash);
                (TokenKind::String, end.min(self.text.len()), closed)
            }
            '"' => {
                let strings = self.dialect.double_quoted_strings;
                let (end, closed) = self.quoted(at, b'"', strings && self.dialect.backslash);
                let kind = if strings {
                    TokenKind::String
                } else {
                    TokenKind::Quoted
                };
                (kind, end.min(self.text.len()), closed)
            }
            '`' => {
                let (end, closed) = self.quoted(at, b'`', false);
                (TokenKind::Quoted, end, closed)
            }
            c if c.is_ascii_digit() => open(TokenKind::Number, self.number(at)),
            '.' if is_digit(second) => open(TokenKind::Number, self.number(at)),
            c if starts_word(c) => open(TokenKind::Word, self.run(at, goes_on)),
            '?' => open(TokenKind::Parameter, at + 1),
            '$' if is_digit(second) => open(
                TokenKind::Parameter,
                self.run(at + 1, |c| c.is_ascii_digit()),
            ),
            ':' | '@' if is_name(second) => open(TokenKind::Parameter, self.run(at + 1, goes_on)),
            c if c.is_ascii_punctuation() => open(TokenKind::Symbol, self.symbol(at)),
            c => open(TokenKind::Other, at + c.len_utf8()),
        };
        self.at = end;
        Some(Token {
            kind,
            text: &self.text[at..end],
            at,
            closed,
        })
    }
}

#[cfg(test)]
mod tests;
