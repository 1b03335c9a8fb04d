//! SQL text, without I/O: a [`lexer`] that loses nothing, and [`kind`]s of statements on top of it.
//!
//! There is no grammar here. What a statement *does* is the engines' business; what it *looks like* is enough to
//! tell two statements of the same kind from two of different ones.

pub mod kind;
pub mod lexer;

pub use kind::{Fingerprint, Kind, kind_of};
pub use lexer::{Dialect, Lexer, Token, TokenKind};
