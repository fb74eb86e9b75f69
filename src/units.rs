//! Human-readable formats of times, percentages and rates.

use {
    std::time::Duration,
    time::{OffsetDateTime, format_description::well_known::Rfc3339},
};

/// Units of a duration, longest first, with their seconds.
const UNITS: [(&str, u64); 4] = [("d", 24 * 3_600), ("h", 3_600), ("min", 60), ("s", 1)];

/// Formats a duration in its two longest units, such as `1 h 30 min`.
pub fn duration(time: Duration) -> String {
    if time.is_zero() {
        return String::from("0 s");
    }
    if time < Duration::from_secs(1) {
        return format!("{} ms", time.as_millis());
    }
    let mut rest = time.as_secs();
    let mut parts = Vec::new();
    for (name, seconds) in UNITS {
        let number = rest / seconds;
        rest %= seconds;
        if number > 0 {
            parts.push(format!("{number} {name}"));
        }
    }
    parts.truncate(2);
    parts.join(" ")
}

/// Formats milliseconds, which may be negative, as a duration.
pub fn signed_millis(millis: i64) -> String {
    let sign = if millis < 0 { "-" } else { "" };
    format!("{sign}{}", duration(Duration::from_millis(millis.unsigned_abs())))
}

/// Formats milliseconds since the Unix epoch as a time in UTC, such as `2026-03-01T08:00:00Z`.
pub fn timestamp(millis: u64) -> String {
    let seconds = i64::try_from(millis / 1_000).unwrap_or(i64::MAX);
    let time = OffsetDateTime::from_unix_timestamp(seconds).ok();
    time.and_then(|time| time.format(&Rfc3339).ok()).unwrap_or_else(|| millis.to_string())
}

/// Formats parts per million as a percentage without trailing zeros, such as `99.95 %`.
pub fn percent(ppm: u32) -> String {
    let text = format!("{}.{:04}", ppm / 10_000, ppm % 10_000);
    format!("{} %", text.trim_end_matches('0').trim_end_matches('.'))
}

/// Formats a rate in thousandths, such as `1.25`; `None` means that there is no budget.
pub fn rate(milli: Option<u64>) -> String {
    match milli {
        Some(milli) => format!("{}.{:02}", milli / 1_000, milli % 1_000 / 10),
        None => String::from("no budget"),
    }
}
