//! Command line of the callers' and operators' stand-in.

use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    std::{net::SocketAddr, path::PathBuf},
};

/// Reads the command line.
pub fn matches() -> ArgMatches {
    Command::new("carobhitch-load")
        .about("Stands in for callers and operators")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([run(), ports(), ready(), declare(), maintain(), burst(), call()])
        .get_matches()
}

fn run() -> Command {
    Command::new("run")
        .about("Makes requests for a time and prints what became of them")
        .arg(addresses("entries", "Entries that are asked").required(true))
        .arg(addresses("killed", "Entries that are killed meanwhile"))
        .arg(addresses("runners", "Controls of the endpoints, whose ledgers are read at the end"))
        .arg(
            Arg::new("services")
                .long("services")
                .value_name("NAMES")
                .value_delimiter(',')
                .default_value("quotes,bookings")
                .help("Services that are asked for"),
        )
        .arg(number("seconds", "10", "Time for which requests are made"))
        .arg(number("teams", "3", "Teams that ask"))
        .arg(number("quick", "24", "Callers that make quick calls"))
        .arg(number("watch", "12", "Callers that hold long watches"))
        .arg(number("order", "12", "Callers that place orders"))
        .arg(number("quick-ms", "20", "Time that a quick call takes, at most"))
        .arg(number("watch-ms", "3000", "Time that a watch takes, at most"))
        .arg(number("order-ms", "40", "Time that an order takes, at most"))
        .arg(number("think-ms", "40", "Time between two requests of a caller, at most"))
        .arg(number("tries", "6", "Tries of one request, at most"))
        .arg(number("seed", "1", "Seed of what is asked"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON"))
}

fn ports() -> Command {
    Command::new("ports")
        .about("Prints free ports of 127.0.0.1")
        .arg(Arg::new("count").required(true).value_parser(value_parser!(usize)).help("How many"))
}

fn ready() -> Command {
    Command::new("ready")
        .about("Waits until every entry takes requests")
        .arg(addresses("entries", "Entries").required(true))
}

fn declare() -> Command {
    operator(
        Command::new("declare").about("Publishes a declaration and waits until it is in force"),
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
            .about("Appends changes and prints when they were in force everywhere"),
    )
    .arg(number("count", "300", "Changes"))
}

fn maintain() -> Command {
    operator(Command::new("maintain").about("Drains a VM, reboots it and returns it to service"))
        .arg(Arg::new("vm").required(true).help("VM"))
}

fn call() -> Command {
    Command::new("call")
        .about("Makes one HTTP call and prints the answer")
        .arg(Arg::new("method").required(true).help("GET or POST"))
        .arg(
            Arg::new("address").required(true).value_parser(value_parser!(SocketAddr)).help("Whom"),
        )
        .arg(Arg::new("path").required(true).help("Path and query"))
        .arg(Arg::new("body").default_value("").help("Body"))
}

fn operator(command: Command) -> Command {
    command
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Platform"),
        )
        .arg(addresses("entries", "Entries that are running"))
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
