//! Property tests on generated texts: the lexer loses no byte, nothing panics, and values and trivia do not affect
//! fingerprints.

use hoptiller_sql::{Dialect, Lexer, TokenKind, normalize};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        // Fixed, so that failures can be reproduced.
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..Default::default()
    }
}

/// Texts full of character sequences that are difficult for lexers.
fn adversarial_text() -> impl Strategy<Value = String> {
    let parts = prop::sample::select(vec![
        "select", "IN", "values", "(", ")", ",", "'", "''", "\"", "`", "--", "\n", "/*", "*/", "/",
        "*", "-", "+", "1", "0x", "1e", "1e-", ".", "..", "$", "$1", ":", "::", ":a", "@", "?",
        ";", "\\", "#", "ä", "\u{200b}", "😀", " ", "\t", "x", "true", "\0",
    ]);
    prop::collection::vec(parts, 0..60).prop_map(|v| v.concat())
}

/// The parts of a statement; each `VALUE` is a placeholder for a value.
fn statement_parts() -> impl Strategy<Value = Vec<&'static str>> {
    let word = prop::sample::select(vec![
        "select", "a", "from", "t", "where", "=", "<", "(", ")", "and", "in", "values", "insert",
        "f", ",", "VALUE", "VALUE", "VALUE",
    ]);
    prop::collection::vec(word, 1..40)
}

fn statement_text(parts: &[&str], values: &[&str], separator: &str) -> String {
    let mut value_count = 0;
    let words = parts.iter().map(|part| match *part {
        "VALUE" => {
            value_count += 1;
            values[value_count % values.len()]
        }
        other => other,
    });
    words.collect::<Vec<_>>().join(separator)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn every_byte_is_in_exactly_one_token(text in prop_oneof![adversarial_text(), any::<String>()]) {
        for dialect in [Dialect::STANDARD, Dialect::MYSQL] {
            let mut at = 0;
            for token in Lexer::new(&text, dialect) {
                prop_assert_eq!(token.offset, at);
                prop_assert!(!token.text.is_empty());
                at += token.text.len();
            }
            prop_assert_eq!(at, text.len());
        }
    }

    #[test]
    fn any_text_is_normalized_deterministically(text in prop_oneof![adversarial_text(), any::<String>()]) {
        let normalized = normalize(&text, Dialect::STANDARD);
        prop_assert!(normalized.size >= 1 && normalized.label.len() <= hoptiller_sql::MAX_LABEL_BYTES);
        prop_assert_eq!(normalized, normalize(&text, Dialect::STANDARD));
    }

    #[test]
    fn values_and_trivia_do_not_change_the_fingerprint(parts in statement_parts()) {
        let plain = statement_text(&parts, &["1"], " ");
        let normalized = normalize(&plain, Dialect::STANDARD);
        for (values, separator) in [
            (&["'it''s'", "2.5e3", "?", "$7", "TRUE", "'/*'"][..], "\n\t"),
            (&["'--'", ":x", "0xFF"][..], " /* a ' comment */ "),
            (&["9"][..], " -- one\n"),
        ] {
            let other = statement_text(&parts, values, separator);
            prop_assert_eq!(&normalized, &normalize(&other, Dialect::STANDARD), "{} / {}", plain, other);
        }
        prop_assert_eq!(&normalized, &normalize(&plain.to_uppercase(), Dialect::STANDARD));
    }

    #[test]
    fn words_change_the_fingerprint(parts in statement_parts(), at in any::<prop::sample::Index>()) {
        let mut other = parts.clone();
        let at = at.index(other.len());
        prop_assume!(other[at] != "VALUE");
        other[at] = "something_else";
        let fingerprints = [statement_text(&parts, &["1"], " "), statement_text(&other, &["1"], " ")]
            .map(|t| normalize(&t, Dialect::STANDARD).fingerprint);
        // A word in the second of two equal rows makes the rows differ, so the fingerprint changes then, too.
        prop_assert_ne!(fingerprints[0], fingerprints[1]);
    }

    #[test]
    fn string_literals_are_single_tokens(value in "[a-z \\-/*\"`]{0,20}") {
        let quoted = format!("'{}'", value.replace('\'', "''"));
        let text = format!("a {quoted} b");
        let strings: Vec<_> = Lexer::new(&text, Dialect::STANDARD).filter(|t| t.kind == TokenKind::String).collect();
        prop_assert_eq!(strings.len(), 1);
        prop_assert_eq!(strings[0].text, quoted.as_str());
    }
}
