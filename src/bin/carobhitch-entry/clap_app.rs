//! Definition of the command line.

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
                .required_unless_present("jobs")
                .value_parser(value_parser!(std::path::PathBuf))
                .help("TOML file with the settings of this entry"),
        )
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .action(ArgAction::SetTrue)
                .help("Place jobs on runners, with the platform's settings file")
                .long_help("Place jobs on runners. The settings file is the platform's; without --settings, the environment variable CAROBHITCH_CONFIG names it"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .value_name("PORT")
                .requires("jobs")
                .value_parser(value_parser!(u16).range(1..))
                .help("Serve metrics at this port instead of the second one of the port range in the settings"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit")
                .long_help("Check the settings, report every fault in them, and exit with status 0 if there is none, otherwise 2"),
        )
}
