//! Command line of the platform's stand-in.

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    std::{net::SocketAddr, path::PathBuf},
};

/// Reads the command line.
pub fn matches() -> ArgMatches {
    Command::new("carobhitch-platform")
        .about("Stands in for the platform: log, list of VMs, tasks under leases")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(address("listen", "Address that serves the platform's protocol"))
        .arg(address("control", "Address of the server that controls this stand-in"))
        .arg(
            Arg::new("vms")
                .long("vms")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("TOML file with the VMs at start"),
        )
        .arg(number("retain-records", "1000000", "Maximum number of records that a stream keeps"))
        .arg(number("retain-ms", "604800000", "Maximum age of the records that a stream keeps"))
        .arg(number("list-lag-ms", "1000", "Lag of the list of VMs"))
        .arg(number("reboot-ms", "1000", "Time that a reboot takes"))
        .arg(number("seed", "1", "Seed of the random faults"))
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_name("JSON")
                .default_value("{}")
                .help("Faults at start, as sent to POST /faults"),
        )
        .get_matches()
}

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}
