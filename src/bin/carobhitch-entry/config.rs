//! Turns the command line and the settings file into one validated struct.

use {
    carobhitch::{adapter, fault, job, settings::Settings},
    clap::ArgMatches,
    std::{env, path::PathBuf},
};

/// Role of the entry, with its validated settings.
pub(crate) enum Role {
    /// Serves callers' requests at endpoints.
    Requests(Box<Settings>),
    /// Places callers' jobs on runners.
    Jobs(Box<job::settings::Settings>),
}

/// Configuration of the daemon.
pub(crate) struct Config {
    /// Role with its settings.
    pub(crate) role: Role,
    /// Whether to validate the settings and exit.
    pub(crate) check: bool,
}

/// Reads the settings file named on the command line, and reports all faults in it.
pub(crate) fn load(matches: &ArgMatches) -> fault::Result<Config> {
    let named = matches.get_one::<PathBuf>("settings").cloned();
    let role = if matches.get_flag("jobs") {
        let path = named.unwrap_or_else(platform_path);
        let mut settings = adapter::settings::load(&path)?;
        if let Some(port) = matches.get_one::<u16>("metrics-port") {
            settings.metrics.set_port(*port);
        }
        Role::Jobs(Box::new(settings))
    } else {
        Role::Requests(Box::new(Settings::load(&named.unwrap_or_default())?))
    };
    Ok(Config { role, check: matches.get_flag("check") })
}

fn platform_path() -> PathBuf {
    let named = env::var_os(adapter::settings::VARIABLE);
    named.map_or_else(|| PathBuf::from(adapter::settings::PATH), PathBuf::from)
}
