//! SQL text processing without I/O: a [`lexer`] that covers every byte of a text, and the [normalization](normalize())
//! of statements, which yields their fingerprints.
//!
//! There is no grammar, because only engines need to know what a statement does. Its tokens are enough to tell whether
//! two statements differ only in their values.

#![warn(missing_docs)]

mod fingerprint;
pub mod lexer;
mod normalize;
mod value_rows;

pub use fingerprint::{Fingerprint, MAX_LABEL_BYTES};
pub use lexer::{Dialect, Lexer, Token, TokenKind};
pub use normalize::{NormalizedStatement, normalize};
