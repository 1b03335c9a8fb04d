//! Tests of the assembly of results from pages.

use super::*;

fn assemble(pages: &[&str]) -> Result<String, RowsError> {
    let mut assembler = RowAssembler::new(pages.len());
    for (number, page) in pages.iter().enumerate().rev() {
        assembler.add_page(number, page.as_bytes().to_vec())?;
    }
    assert!(assembler.is_complete());
    assembler.to_json()
}

#[test]
fn pages_in_any_order_give_rows_in_page_order() {
    let json = assemble(&["a\t1\tx\nb\t\"2\"\t\\\n", "", "c\t3\té\n"]).expect("valid");
    assert_eq!(json, r#"[["a","1","x"],["b","\"2\"","\\"],["c","3","é"]]"#);
    assert_eq!(assemble(&[""]).expect("valid"), "[]");
}

#[test]
fn invalid_pages_are_rejected_and_duplicates_ignored() {
    for page in ["a\t1\tx", "a\t1\n", "a\t1\tx\ty\n", "\n"] {
        assert_eq!(assemble(&[page]), Err(RowsError::MalformedRows), "{page:?}");
    }
    assert_eq!(
        RowAssembler::new(2).add_page(2, Vec::new()),
        Err(RowsError::UnexpectedPage(2))
    );
    assert_eq!(
        RowAssembler::new(2).add_page(1, vec![b'\n'; MAX_PAGE_BYTES + 1]),
        Err(RowsError::TooLong)
    );
    let mut assembler = RowAssembler::new(2);
    assembler.add_page(0, b"a\tb\tc\n".to_vec()).expect("valid");
    assembler
        .add_page(0, b"x\tb\tc\n".to_vec())
        .expect("a duplicate is ignored");
    assert!(!assembler.is_complete() && assembler.to_json().expect("valid").contains("\"a\""));
}
