use super::*;

fn gathered(pages: &[&str]) -> Result<String, RowsError> {
    let mut gather = Gather::new(pages.len());
    for (n, page) in pages.iter().enumerate().rev() {
        gather.take(n, page.as_bytes().to_vec())?;
    }
    assert!(gather.is_whole());
    gather.json()
}

#[test]
fn pages_in_any_order_give_rows_in_theirs() {
    let json = gathered(&["a\t1\tx\nb\t\"2\"\t\\\n", "", "c\t3\té\n"]).expect("good");
    assert_eq!(json, r#"[["a","1","x"],["b","\"2\"","\\"],["c","3","é"]]"#);
    assert_eq!(gathered(&[""]).expect("none"), "[]");
}

#[test]
fn cut_and_odd_pages_give_no_result() {
    for page in ["a\t1\tx", "a\t1\n", "a\t1\tx\ty\n", "\n"] {
        assert_eq!(gathered(&[page]), Err(RowsError::Rows), "{page:?}");
    }
    assert_eq!(
        Gather::new(2).take(2, Vec::new()),
        Err(RowsError::Number(2))
    );
    assert_eq!(
        Gather::new(2).take(1, vec![b'\n'; PAGE + 1]),
        Err(RowsError::TooLong)
    );
    let mut copies = Gather::new(2);
    copies.take(0, b"a\tb\tc\n".to_vec()).expect("good");
    copies.take(0, b"x\tb\tc\n".to_vec()).expect("passed over");
    assert!(!copies.is_whole() && copies.json().expect("good").contains("\"a\""));
}
