//! Validates the settings or runs the daemon, as the command line says.

use {
    crate::config::{self, Role},
    carobhitch::{daemon, fault, job, logging, settings::Settings},
    clap::ArgMatches,
    log::LevelFilter,
};

/// Exit status of a failure at run time.
const FAILED: u8 = 1;
/// Exit status of a usage error or an invalid file.
const BAD_USE: u8 = 2;

/// Error that ends the daemon.
pub(crate) struct Failure {
    /// Lines for stderr.
    pub(crate) text: String,
    /// Exit status.
    pub(crate) status: u8,
}

fn bad_file(faults: &[fault::Fault]) -> Failure {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    Failure { text: lines.join("\n"), status: BAD_USE }
}

/// Validates the settings, or runs the entry in its role.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let config = config::load(matches).map_err(|faults| bad_file(&faults))?;
    if config.check {
        println!("settings are valid");
        return Ok(());
    }
    match config.role {
        Role::Requests(settings) => requests(*settings),
        Role::Jobs(settings) => jobs(*settings),
    }
}

fn failed(e: impl std::fmt::Display) -> Failure {
    Failure { text: e.to_string(), status: FAILED }
}

fn requests(settings: Settings) -> Result<(), Failure> {
    logging::init(&settings.log).map_err(failed)?;
    daemon::run(settings).map_err(failed)
}

fn jobs(settings: job::settings::Settings) -> Result<(), Failure> {
    job::daemon::init_log(LevelFilter::Info).map_err(failed)?;
    job::daemon::run(settings).map_err(failed)
}
