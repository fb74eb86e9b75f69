//! Matches and settings file in, one checked struct out.

use {carobhitch::settings::Settings, clap::ArgMatches, std::path::PathBuf};

/// Everything the daemon is told at start.
pub(crate) struct Config {
    /// Checked settings.
    pub(crate) settings: Settings,
    /// Only check them.
    pub(crate) check: bool,
}

/// Reads the settings file that the command line names.
pub(crate) fn load(matches: &ArgMatches) -> Result<Config, String> {
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let settings = toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Config { settings, check: matches.get_flag("check") })
}
