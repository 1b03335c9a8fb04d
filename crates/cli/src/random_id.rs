//! Random names for what must differ from all before it.

use rand::RngCore;

/// Letters and digits that are not easily confused.
const ALPHABET: &[u8] = b"abcdefghijkmnpqrstuvwxyz23456789";

const ID_LENGTH: usize = 8;

/// A name for one incarnation of a process, or for one proposal.
pub(crate) fn random_id() -> String {
    let mut bytes = [0; ID_LENGTH];
    rand::rng().fill_bytes(&mut bytes);
    bytes
        .iter()
        .map(|byte| char::from(ALPHABET[usize::from(*byte) % ALPHABET.len()]))
        .collect()
}
