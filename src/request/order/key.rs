//! Idempotency keys of orders, and the creation time that a key may contain.

use {
    crate::id::{OrderId, ServiceId, TeamId},
    siphasher::sip128::{Hasher128, SipHasher13},
    std::{hash::Hash, time::Duration},
};

/// Hexadecimal digits of a UUID.
const UUID_DIGITS: usize = 32;
/// Hexadecimal digits of the time in a version 7 UUID.
const TIME_DIGITS: usize = 12;

/// Key of an order as used by the ledger.
///
/// Equal keys of different services or teams name different orders. A key in the form of a version
/// 7 UUID contains its creation time, which shows whether it is too old for the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Hash of the key with its service and team.
    pub order: OrderId,
    /// When the caller created the key, since the Unix epoch, if the key contains it.
    pub created: Option<Duration>,
}

impl Key {
    /// Creates the key from the text that a caller sent.
    pub fn new(service: &ServiceId, team: &TeamId, text: &str) -> Self {
        let mut hasher = SipHasher13::new();
        (service, team, text).hash(&mut hasher);
        Self { order: hasher.finish128().as_u128(), created: created(text) }
    }
}

/// Creation time in a version 7 UUID.
fn created(text: &str) -> Option<Duration> {
    let groups: Vec<usize> = text.split('-').map(str::len).collect();
    let digits: String = text.chars().filter(|c| c.is_ascii_hexdigit()).collect();
    let is_uuid = groups == [8, 4, 4, 4, 12] && digits.len() == UUID_DIGITS;
    if !is_uuid || digits.as_bytes()[TIME_DIGITS] != b'7' {
        return None;
    }
    u64::from_str_radix(&digits[..TIME_DIGITS], 16).ok().map(Duration::from_millis)
}
