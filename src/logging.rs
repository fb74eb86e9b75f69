//! Log output on stderr: time in UTC, level and message.
//!
//! A message begins with the name of its part, which is that of the module or thread, and a colon, so
//! that `grep ' follow: '` finds the lines of one part.

use {
    displaydoc::Display,
    log::{LevelFilter, SetLoggerError},
    simplelog::{Config, ConfigBuilder, WriteLogger},
    std::io,
};

/// Target whose lines are logged; lines of other crates are left out.
const OWN_TARGET: &str = "carobhitch";

/// Result of setting the logger.
pub type Result<T> = std::result::Result<T, Error>;

/// Why no logger was set.
#[derive(Debug, Display)]
pub enum Error {
    /// set log level {0:?}: must be error, warn, info, debug or trace
    Level(String),
    /// set logger: {0}
    Set(SetLoggerError),
}

impl std::error::Error for Error {}

/// Logs lines of `level` and above to stderr. May be called once in a process.
pub fn init(level: &str) -> Result<()> {
    let filter: LevelFilter = level.parse().map_err(|_| Error::Level(String::from(level)))?;
    let config = layout();
    WriteLogger::init(filter, config, io::stderr()).map_err(Error::Set)
}

/// Format of log lines: time and level before the message, and only lines of this crate.
pub(crate) fn layout() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_time_level(LevelFilter::Error)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(OWN_TARGET)
        .build()
}
