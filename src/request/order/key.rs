//! Keys of orders: who they belong to and when they were drawn.

use {
    crate::id::{OrderId, ServiceId, TeamId},
    siphasher::sip128::{Hasher128, SipHasher13},
    std::{hash::Hash, time::Duration},
};

/// Hexadecimal digits of a UUID.
const UUID_DIGITS: usize = 32;
/// Hexadecimal digits of the time in a version 7 UUID.
const TIME_DIGITS: usize = 12;

/// An order's key as the ledger sees it.
///
/// Keys of different services or teams are different orders. A key in the form of a version 7 UUID
/// tells when it was drawn, so that one too old for the ledger is known to be so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Fingerprint of the key with its service and team.
    pub order: OrderId,
    /// When the caller drew it, since the Unix epoch, if the key tells.
    pub drawn: Option<Duration>,
}

impl Key {
    /// Key that a caller sent.
    pub fn new(service: &ServiceId, team: &TeamId, text: &str) -> Self {
        let mut hasher = SipHasher13::new();
        (service, team, text).hash(&mut hasher);
        Self { order: hasher.finish128().as_u128(), drawn: drawn(text) }
    }
}

/// Time in a version 7 UUID.
fn drawn(text: &str) -> Option<Duration> {
    let groups: Vec<usize> = text.split('-').map(str::len).collect();
    let digits: String = text.chars().filter(|c| c.is_ascii_hexdigit()).collect();
    let is_uuid = groups == [8, 4, 4, 4, 12] && digits.len() == UUID_DIGITS;
    if !is_uuid || digits.as_bytes()[TIME_DIGITS] != b'7' {
        return None;
    }
    u64::from_str_radix(&digits[..TIME_DIGITS], 16).ok().map(Duration::from_millis)
}
