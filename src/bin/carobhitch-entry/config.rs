//! Matches and settings file in, one checked struct out.

use {
    carobhitch::{fault, settings::Settings},
    clap::ArgMatches,
    std::path::PathBuf,
};

/// Everything the daemon is told at start.
pub(crate) struct Config {
    /// Checked settings.
    pub(crate) settings: Settings,
    /// Only check them.
    pub(crate) check: bool,
}

/// Reads the settings file that the command line names; reports every fault in it.
pub(crate) fn load(matches: &ArgMatches) -> fault::Result<Config> {
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let settings = Settings::load(&path)?;
    Ok(Config { settings, check: matches.get_flag("check") })
}
