//! Keys of orders, in the form of version 7 UUIDs: 48 bits of time, then random bits.

use {carobhitch::id::OrderKey, rand::Rng, std::time::Duration};

/// Generates a key for the time `at` since the Unix epoch.
pub fn generate(at: Duration, random: &mut impl Rng) -> OrderKey {
    let millis = at.as_millis() as u64 & 0xffff_ffff_ffff;
    let (a, b): (u16, u64) = (random.random(), random.random());
    let (high, low) = (millis >> 16, millis & 0xffff);
    let variant = 0x8000 | (b >> 48) as u16 & 0x3fff;
    format!("{high:08x}-{low:04x}-7{:03x}-{variant:04x}-{:012x}", a & 0xfff, b & 0xffff_ffff_ffff)
}
