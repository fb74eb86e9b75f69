//! Command line of the endpoint's stand-in.

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    std::net::SocketAddr,
};

/// Reads the command line.
pub fn matches() -> ArgMatches {
    Command::new("carobhitch-runner")
        .about("Stands in for a service's endpoint")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(text("id", "VM", "Name of its VM").required(true))
        .arg(text("service", "SERVICE", "Service that it serves").required(true))
        .arg(text("zone", "ZONE", "Availability zone of its VM").default_value("a"))
        .arg(text("rack", "RACK", "Rack of its VM").default_value("r1"))
        .arg(address("listen", "Address of the endpoint").default_value("127.0.0.1:0"))
        .arg(
            address("control", "Address of the server that controls this stand-in")
                .default_value("127.0.0.1:0"),
        )
        .arg(address("platform", "Control address of carobhitch-platform, to register with"))
        .arg(number("slots", "8", "Maximum number of concurrent exchanges"))
        .arg(number("connections", "64", "Maximum number of concurrent connections"))
        .arg(text("faults", "JSON", "Faults at start, as sent to POST /faults").default_value("{}"))
        .get_matches()
}

fn text(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn address(name: &'static str, help: &'static str) -> Arg {
    text(name, "ADDRESS", help).value_parser(value_parser!(SocketAddr))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text(name, "N", help).value_parser(value_parser!(u32)).default_value(default)
}
