//! Serialises the schema's enums in JSON as short lower-case names, such as `ready`.

use {
    super::proto::{Cause, Health, Phase},
    serde::Serializer,
};

/// Short name of a [`Health`] value.
pub fn health_name(value: i32) -> String {
    let health = Health::try_from(value).unwrap_or_default();
    short("HEALTH_", health.as_str_name())
}

/// Short name of a [`Phase`] value.
pub fn phase_name(value: i32) -> String {
    let phase = Phase::try_from(value).unwrap_or_default();
    short("PHASE_", phase.as_str_name())
}

/// Short name of a [`Cause`] value.
pub fn cause_name(value: i32) -> String {
    let cause = Cause::try_from(value).unwrap_or_default();
    short("CAUSE_", cause.as_str_name())
}

fn short(prefix: &str, name: &str) -> String {
    name.trim_start_matches(prefix).to_ascii_lowercase()
}

pub(super) fn health<S: Serializer>(value: &i32, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&health_name(*value))
}

pub(super) fn phase<S: Serializer>(value: &i32, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&phase_name(*value))
}

pub(super) fn cause<S: Serializer>(value: &i32, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&cause_name(*value))
}
