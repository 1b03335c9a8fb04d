//! Detection of a statement's table group in its text.

use hoptiller_sql::{Dialect, Lexer, Token, TokenKind};

/// Keywords that precede a table name.
const TABLE_KEYWORDS: [&str; 6] = ["from", "join", "into", "update", "table", "using"];

/// Returns the number after the underscore in the name of the schema that a statement reads or writes, such as 17 in
/// `sales_17.orders`. Strings, comments and schemas without a number, such as `staging`, are skipped.
pub fn table_group(statement: &str) -> Option<u64> {
    let tokens: Vec<Token> = Lexer::new(statement, Dialect::STANDARD)
        .filter(|token| !token.is_trivia())
        .collect();
    let mut column_group = None;
    let mut index = 0;
    while index < tokens.len() {
        // Reads a dotted name to its end. The schema is its second to last part.
        let start = index;
        while index + 2 < tokens.len()
            && is_name(&tokens[index])
            && tokens[index + 1].text == "."
            && is_name(&tokens[index + 2])
        {
            index += 2;
        }
        if index > start
            && let Some(group) = schema_number(tokens[index - 2].text)
        {
            let previous = start
                .checked_sub(1)
                .map(|previous| tokens[previous].text.to_ascii_lowercase());
            if previous.is_some_and(|word| TABLE_KEYWORDS.contains(&word.as_str())) {
                return Some(group);
            }
            // A column of an alias such as t_1 looks the same, so this number is used only if no table name is found.
            column_group = column_group.or(Some(group));
        }
        index += 1;
    }
    column_group
}

fn is_name(token: &Token) -> bool {
    matches!(token.kind, TokenKind::Word | TokenKind::QuotedIdentifier)
}

fn schema_number(schema: &str) -> Option<u64> {
    let schema = schema.trim_matches(['"', '`']);
    let (_, number) = schema.rsplit_once('_')?;
    (!number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit()))
        .then(|| number.parse().ok())?
}

#[cfg(test)]
mod tests;
