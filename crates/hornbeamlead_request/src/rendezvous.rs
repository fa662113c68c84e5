//! Rendezvous hashing: all processes rank the same candidates alike without communication.

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the weight of a candidate for a subject.
pub(crate) fn weight(subject: &[&str], candidate: &str) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in subject.iter().copied().chain([candidate]) {
        hash = fold(hash, part.as_bytes());
        hash = fold(hash, &[0]);
    }
    mix(hash)
}

fn fold(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// MurmurHash3 finalizer: FNV-1a alone spreads the last bytes poorly into the high bits.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
