//! An order that looks drawn by chance and is the same for everyone.

/// FNV-1a, then a mix: near names do not stand together.
pub fn spread(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let sum = bytes
        .into_iter()
        .fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    let mixed = (sum ^ (sum >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
