//! Owns how a statement's group of tables is read from its text.

use hoptiller_sql::{Dialect, Lexer, Token, TokenKind};

/// Words behind which a table stands.
const BEFORE_TABLES: [&str; 6] = ["from", "join", "into", "update", "table", "using"];

/// The number behind the underscore in the name of the schema that a statement reads or writes, as 17 in
/// `sales_17.orders`. Strings, comments and the schema `staging` don't count.
pub fn group_of(text: &str) -> Option<u64> {
    let tokens: Vec<Token> = Lexer::new(text, Dialect::STANDARD)
        .filter(|t| !t.is_trivia())
        .collect();
    let mut elsewhere = None;
    let mut at = 0;
    while at < tokens.len() {
        // A dotted name as a whole: its schema is the part before the last.
        let from = at;
        while at + 2 < tokens.len()
            && is_name(&tokens[at])
            && tokens[at + 1].text == "."
            && is_name(&tokens[at + 2])
        {
            at += 2;
        }
        if at > from
            && let Some(group) = numbered(tokens[at - 2].text)
        {
            let before = from
                .checked_sub(1)
                .map(|b| tokens[b].text.to_ascii_lowercase());
            if before.is_some_and(|word| BEFORE_TABLES.contains(&word.as_str())) {
                return Some(group);
            }
            // A column of an alias such as t_1 looks alike: it counts only where no table stands.
            elsewhere = elsewhere.or(Some(group));
        }
        at += 1;
    }
    elsewhere
}

fn is_name(token: &Token) -> bool {
    matches!(token.kind, TokenKind::Word | TokenKind::QuotedIdentifier)
}

fn numbered(schema: &str) -> Option<u64> {
    let schema = schema.trim_matches(['"', '`']);
    let (_, number) = schema.rsplit_once('_')?;
    (!number.is_empty() && number.bytes().all(|b| b.is_ascii_digit()))
        .then(|| number.parse().ok())?
}

#[cfg(test)]
mod tests;
