//! Hashes of names, equal on all routers and in all incarnations.

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the number of a table group: the upper 32 bits of the hash of its name. All routers compute the same number.
pub fn group_of(name: &str) -> u64 {
    hash_name(name) >> 32
}

/// Computes the 64-bit FNV-1a hash of a name.
pub(crate) fn hash_name(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
