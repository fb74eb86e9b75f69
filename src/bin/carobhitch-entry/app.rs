//! Runs what the command line asks for.

use {
    crate::config,
    carobhitch::{daemon, fault, logging},
    clap::ArgMatches,
};

/// Exit status for a failure while running.
const FAILED: u8 = 1;
/// Exit status for bad use or a bad file.
const BAD_USE: u8 = 2;

/// Why the daemon ends with an error.
pub(crate) struct Failure {
    /// One line for the operator.
    pub(crate) text: String,
    /// Exit status.
    pub(crate) status: u8,
}

fn bad_file(faults: &[fault::Fault]) -> Failure {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    Failure { text: lines.join("\n"), status: BAD_USE }
}

/// Checks the settings, or runs the entry.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let config = config::load(matches).map_err(|faults| bad_file(&faults))?;
    if config.check {
        println!("settings are valid");
        return Ok(());
    }
    logging::init(&config.settings.log)
        .map_err(|e| Failure { text: e.to_string(), status: FAILED })?;
    daemon::run(config.settings).map_err(|e| Failure { text: e.to_string(), status: FAILED })
}
