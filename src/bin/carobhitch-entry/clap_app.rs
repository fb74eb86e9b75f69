//! The command line.

use clap::{Arg, ArgAction, Command, value_parser};

/// Builds the command line.
pub(crate) fn build() -> Command {
    Command::new("carobhitch-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves callers, and manages the fleet with the other entries")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(std::path::PathBuf))
                .help("TOML file with the settings of this entry"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit")
                .long_help("Check the settings, report every fault in them, and exit: 0 without a fault, otherwise 2"),
        )
}
