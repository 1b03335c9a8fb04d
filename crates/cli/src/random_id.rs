//! Random identifiers of process incarnations and proposals, each of which must differ from all earlier ones.

use rand::RngCore;

/// Letters and digits that people do not easily confuse.
const ALPHABET: &[u8] = b"abcdefghijkmnpqrstuvwxyz23456789";

const ID_LENGTH: usize = 8;

/// Returns an identifier for an incarnation of a process or for a proposal.
pub(crate) fn random_id() -> String {
    let mut bytes = [0; ID_LENGTH];
    rand::rng().fill_bytes(&mut bytes);
    bytes
        .iter()
        .map(|byte| char::from(ALPHABET[usize::from(*byte) % ALPHABET.len()]))
        .collect()
}
