use super::*;
use crate::fingerprint::MAX_LABEL_BYTES;

fn normalized(text: &str) -> NormalizedStatement {
    normalize(text, Dialect::STANDARD)
}

fn label(text: &str) -> String {
    normalized(text).label
}

#[test]
fn values_whitespace_comments_case_and_plain_quotes_are_normalized() {
    let one = normalized(
        "SELECT name FROM rent WHERE id = 7 AND due < DATE '2026-12-01' AND paid = true",
    );
    let two = normalized(
        "select  \"name\"\n from Rent -- by id\nwhere ID=-8.5e3 and due<date '1999-01-01' /* x */ and paid = ?;",
    );
    assert_eq!(
        one.label,
        "select name from rent where id = ? and due < date ? and paid = ?"
    );
    assert_eq!((one.fingerprint, one.size), (two.fingerprint, two.size));
}

#[test]
fn value_lists_and_rows_collapse_and_are_counted() {
    let one = normalized("SELECT * FROM rent WHERE id IN (1)");
    let many = normalized("SELECT * FROM rent WHERE id IN (1, -2, 'x', $4)");
    assert_eq!(one.fingerprint, many.fingerprint);
    assert_eq!((one.size, many.size), (1, 4));
    assert_eq!(one.label, "select * from rent where id in (?+)");
    let rows = normalized(
        "INSERT INTO rent (a, b) VALUES (1, now(), 'x'), (2, now(), 'y'), (3, now(), 'z')",
    );
    let row = normalized("insert into rent (a,b) values (9, now(), 'q')");
    assert_eq!((rows.fingerprint, rows.size), (row.fingerprint, 3));
    let more = normalized("INSERT INTO rent VALUES (1), (2), (3, 4) ON CONFLICT DO NOTHING");
    assert_eq!(more.size, 3);
    assert!(label("INSERT INTO r VALUES (1), (f(2))").ends_with("( f ( ? ) )"));
}

#[test]
fn different_statements_have_different_fingerprints() {
    let texts = [
        "SELECT a FROM t",
        "SELECT b FROM t",
        "SELECT a FROM t WHERE a = 1",
        "SELECT a FROM t WHERE a - 1 = 0",
        "SELECT a FROM t WHERE a IN (1)",
        "SELECT a FROM t WHERE a IN (SELECT 1)",
        "SELECT a FROM t WHERE a IN (1, b)",
        "SELECT a FROM t WHERE a = f(1, 2)",
        "SELECT a FROM t WHERE a = f(1)",
        "SELECT \"A b\" FROM t",
        "SELECT ab FROM t",
        "SELECT a, b FROM t",
        "SELECT a; SELECT b",
        "INSERT INTO t VALUES (1), (2)",
        "INSERT INTO t VALUES (1), (b)",
        "INSERT INTO t VALUES (1), (2) RETURNING a",
        "",
        "'",
        "?",
    ];
    let fingerprints: std::collections::BTreeSet<u64> =
        texts.iter().map(|t| normalized(t).fingerprint.0).collect();
    // The last two texts are one value each, so they have the same fingerprint.
    assert_eq!(fingerprints.len(), texts.len() - 1);
}

#[test]
fn labels_contain_no_values_and_are_bounded() {
    let secret = "SELECT * FROM t WHERE a = 'hunter2' AND b IN ('hunter2', 'x') AND c = 'hunter2";
    assert!(!label(secret).contains("hunter2"), "{}", label(secret));
    let long = format!("SELECT {} FROM t", "ä_very_long_name, ".repeat(1000));
    assert!(label(&long).len() <= MAX_LABEL_BYTES);
}
