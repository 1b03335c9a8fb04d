//! Hashes of names that are the same at all routers and in all incarnations.

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The number of a named group of tables: the upper 32 bits of the hash of its name. It is the same at all routers.
pub fn group_of(name: &str) -> u64 {
    hash_name(name) >> 32
}

/// The 64-bit FNV-1a hash of a name.
pub(crate) fn hash_name(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
