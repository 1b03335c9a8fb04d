//! Fingerprints of normalized statements, and the writer that computes them.

/// Maximum length of a label.
pub const MAX_LABEL_BYTES: usize = 160;

/// The fingerprint of a normalized statement: the first 64 bits of the BLAKE3 hash of its pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Receives the pieces of a normalized statement, computes the fingerprint, and keeps the start of the text as the
/// label.
#[derive(Default)]
pub(crate) struct FingerprintWriter {
    hasher: blake3::Hasher,
    label: String,
}

impl FingerprintWriter {
    /// Appends one piece.
    pub(crate) fn write(&mut self, piece: &str) {
        // The separator makes `a b` differ from `ab`. A NUL inside a piece could still make two statements equal.
        self.hasher.update(piece.as_bytes()).update(b"\0");
        if self.label.len() < MAX_LABEL_BYTES {
            self.extend_label(piece);
        }
    }

    /// Appends as many characters of a piece as fit into the label.
    fn extend_label(&mut self, piece: &str) {
        let needs_no_space = matches!(piece, "," | ")" | "]" | "." | ";")
            || self.label.ends_with(['(', '[', '.'])
            || self.label.is_empty();
        if !needs_no_space {
            self.label.push(' ');
        }
        let space_left = MAX_LABEL_BYTES.saturating_sub(self.label.len());
        let end = piece
            .char_indices()
            .map(|(at, c)| at + c.len_utf8())
            .take_while(|end| *end <= space_left)
            .last()
            .unwrap_or(0);
        self.label.push_str(&piece[..end]);
    }

    /// Returns the fingerprint of all pieces and the label.
    pub(crate) fn finish(self) -> (Fingerprint, String) {
        let mut first_bytes = [0; 8];
        first_bytes.copy_from_slice(&self.hasher.finalize().as_bytes()[..8]);
        let fingerprint = Fingerprint(u64::from_le_bytes(first_bytes));
        (fingerprint, self.label)
    }
}
