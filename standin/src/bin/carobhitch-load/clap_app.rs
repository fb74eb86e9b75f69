//! Command line of the load generator.

use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    std::{net::SocketAddr, path::PathBuf},
};

/// Reads the command line.
pub fn matches() -> ArgMatches {
    Command::new("carobhitch-load")
        .about("Generates load and runs operators' commands in tests")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([run(), ports(), ready(), declare(), maintain(), burst(), call()])
        .get_matches()
}

fn run() -> Command {
    Command::new("run")
        .about("Makes requests for some time and prints how they ended")
        .arg(addresses("entries", "Entries that get the requests").required(true))
        .arg(addresses("killed", "Entries that are killed during the run"))
        .arg(addresses(
            "runners",
            "Control addresses of the endpoints, whose ledgers are read at the end",
        ))
        .arg(
            Arg::new("services")
                .long("services")
                .value_name("NAMES")
                .value_delimiter(',')
                .default_value("quotes,bookings")
                .help("Services to which the requests go"),
        )
        .arg(number("seconds", "10", "Seconds for which requests are made"))
        .arg(number("teams", "3", "Number of teams among the callers"))
        .arg(number("quick", "24", "Number of callers that make quick calls"))
        .arg(number("watch", "12", "Number of callers that hold long watches"))
        .arg(number("order", "12", "Number of callers that place orders"))
        .arg(number("quick-ms", "20", "Maximum time that a quick call takes"))
        .arg(number("watch-ms", "3000", "Maximum time that a watch takes"))
        .arg(number("order-ms", "40", "Maximum time that an order takes"))
        .arg(number("think-ms", "40", "Maximum time between two requests of a caller"))
        .arg(number("tries", "6", "Maximum number of attempts of one request"))
        .arg(number("seed", "1", "Seed of the random requests"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints the report as JSON"),
        )
}

fn ports() -> Command {
    Command::new("ports").about("Prints free ports of 127.0.0.1").arg(
        Arg::new("count").required(true).value_parser(value_parser!(usize)).help("Number of ports"),
    )
}

fn ready() -> Command {
    Command::new("ready")
        .about("Waits until every entry is ready for requests")
        .arg(addresses("entries", "Addresses of the entries for callers").required(true))
}

fn declare() -> Command {
    operator(
        Command::new("declare")
            .about("Publishes a declaration and waits until it is in force on every entry"),
    )
    .arg(
        Arg::new("file")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("Declaration in TOML"),
    )
}

fn burst() -> Command {
    operator(
        Command::new("burst")
            .about("Appends changes and prints how long each took to be in force on every entry"),
    )
    .arg(number("count", "300", "Number of changes"))
}

fn maintain() -> Command {
    operator(Command::new("maintain").about("Drains a VM, reboots it and returns it to service"))
        .arg(Arg::new("vm").required(true).help("Id of the VM"))
}

fn call() -> Command {
    Command::new("call")
        .about("Makes one HTTP call and prints the body of the response")
        .arg(Arg::new("method").required(true).help("GET or POST"))
        .arg(
            Arg::new("address")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Address of the server"),
        )
        .arg(Arg::new("path").required(true).help("Path and query"))
        .arg(Arg::new("body").default_value("").help("Body of the request"))
}

fn operator(command: Command) -> Command {
    command
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Public address of the platform"),
        )
        .arg(addresses("entries", "Addresses of the running entries for callers"))
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESSES")
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
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
