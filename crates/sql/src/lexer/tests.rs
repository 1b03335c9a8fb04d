use super::*;
use TokenKind::*;

fn tokens(text: &str, dialect: Dialect) -> Vec<(TokenKind, &str)> {
    Lexer::new(text, dialect)
        .filter(|t| t.kind != Whitespace)
        .map(|t| (t.kind, t.text))
        .collect()
}

#[test]
fn standard_dialect_tokens() {
    let text = "SELECT a.\"b \"\"c\", 'it''s' || x'0F' -- to the end\n FROM t1 WHERE x>=-1.5e-3 /* no /* nest */;";
    let want = [
        (Word, "SELECT"),
        (Word, "a"),
        (Symbol, "."),
        (QuotedIdentifier, "\"b \"\"c\""),
        (Symbol, ","),
        (String, "'it''s'"),
        (Symbol, "||"),
        (Word, "x"),
        (String, "'0F'"),
        (Comment, "-- to the end"),
        (Word, "FROM"),
        (Word, "t1"),
        (Word, "WHERE"),
        (Word, "x"),
        (Symbol, ">="),
        (Symbol, "-"),
        (Number, "1.5e-3"),
        (Comment, "/* no /* nest */"),
        (Symbol, ";"),
    ];
    assert_eq!(tokens(text, Dialect::STANDARD), want);
    let numbers = "1 .5 1.e 0x1F 1_000 12e 12e+ 7e8 $3 :name @x a::b 0b";
    let want = [
        (Number, "1"),
        (Number, ".5"),
        (Number, "1."),
        (Word, "e"),
        (Number, "0x1F"),
        (Number, "1_000"),
        (Number, "12"),
        (Word, "e"),
        (Number, "12"),
        (Word, "e"),
        (Symbol, "+"),
        (Number, "7e8"),
        (Parameter, "$3"),
        (Parameter, ":name"),
        (Parameter, "@x"),
        (Word, "a"),
        (Symbol, "::"),
        (Word, "b"),
        (Number, "0"),
        (Word, "b"),
    ];
    assert_eq!(tokens(numbers, Dialect::STANDARD), want);
}

#[test]
fn dialects_differ_in_quotes_and_comments() {
    let text = r#"'a\'b' "c" # d"#;
    let want = [(String, r"'a\'b'"), (String, "\"c\""), (Comment, "# d")];
    assert_eq!(tokens(text, Dialect::MYSQL), want);
    assert_eq!(tokens(text, Dialect::STANDARD)[0], (String, r"'a\'"));
    let nested = Dialect {
        nested_comments: true,
        ..Dialect::STANDARD
    };
    assert_eq!(tokens("/* a /* b */ c */ d", nested).len(), 2);
    assert_eq!(tokens("/* a /* b */ c */ d", Dialect::STANDARD).len(), 5);
}

#[test]
fn unterminated_tokens_extend_to_the_end_and_are_marked() {
    for text in ["'abc", "\"abc", "`abc", "/* abc", "/*", "/*/", "'a''", "'"] {
        let all: Vec<Token> = Lexer::new(text, Dialect::STANDARD).collect();
        assert!(
            all.len() == 1 && !all[0].is_terminated && all[0].text == text,
            "{text}: {all:?}"
        );
    }
    let all: Vec<Token> = Lexer::new("'a\\", Dialect::MYSQL).collect();
    assert!(all.len() == 1 && !all[0].is_terminated);
}
