//! SQL text, without I/O: a [`lexer`] that covers every byte, and the [normalization](normalize()) of statements on top
//! of it, which yields their fingerprints.
//!
//! There is no grammar here. What a statement does is the engines' concern; its tokens are enough to tell whether two
//! statements differ only in their values.

#![warn(missing_docs)]

mod fingerprint;
pub mod lexer;
mod normalize;
mod value_rows;

pub use fingerprint::{Fingerprint, MAX_LABEL_BYTES};
pub use lexer::{Dialect, Lexer, Token, TokenKind};
pub use normalize::{NormalizedStatement, normalize};
