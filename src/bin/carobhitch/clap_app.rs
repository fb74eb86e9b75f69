//! Definition of the command line.

use {
    clap::{Arg, ArgAction, Command, builder::PossibleValuesParser, value_parser},
    clap_complete::Shell,
    std::{net::SocketAddr, path::PathBuf},
};

const AFTER: &str = "\
Exit status: 0 done, 1 refused or failed, 2 bad use or a bad file.

Examples:
  carobhitch check fleet/*.toml
  carobhitch diff --entry 10.0.1.5:7002 fleet/*.toml
  carobhitch apply --entry 10.0.1.5:7002,10.0.2.5:7002 fleet/*.toml
  carobhitch report burn --html burn.html";

/// Builds the command line.
pub(crate) fn build() -> Command {
    Command::new("carobhitch")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Declares and watches a fleet of VMs, its services and its maintenance")
        .long_about(
            "Declares and watches a fleet of VMs, its services and its maintenance.\n\n\
             Declarations are TOML files kept under version control. `check` finds their faults, \
             `diff` shows what they would change, `apply` puts them in force. Every change is an \
             operation in the platform's log; repeating it has no further effect.",
        )
        .after_long_help(AFTER)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(connection())
        .args(presentation())
        .subcommands(declarations())
        .subcommands(views())
        .subcommands(vms())
        .subcommand(wave())
        .subcommand(completions())
}

fn connection() -> [Arg; 3] {
    [
        Arg::new("entry")
            .long("entry")
            .short('e')
            .value_name("IP:PORT")
            .env("CAROBHITCH_ENTRY")
            .value_delimiter(',')
            .action(ArgAction::Append)
            .global(true)
            .value_parser(value_parser!(SocketAddr))
            .help("Entry to call; several are tried in turn")
            .long_help(
                "Address at which an entry accepts operators' calls. Several may be given, repeated or \
                 separated by commas: if one does not answer, the next is tried with the same \
                 operation id.",
            ),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SECONDS")
            .default_value("15")
            .global(true)
            .value_parser(value_parser!(u64).range(1..=3_600))
            .help("Time to wait for each answer"),
        Arg::new("author")
            .long("author")
            .value_name("NAME")
            .env("CAROBHITCH_AUTHOR")
            .global(true)
            .help("Author of changes, for the audit trail")
            .long_help("Author of changes, for the audit trail. Defaults to the name in USER."),
    ]
}

fn presentation() -> [Arg; 2] {
    [
        Arg::new("json")
            .long("json")
            .global(true)
            .action(ArgAction::SetTrue)
            .help("Print JSON instead of text"),
        Arg::new("color")
            .long("color")
            .value_name("WHEN")
            .global(true)
            .default_value("auto")
            .value_parser(PossibleValuesParser::new(["auto", "always", "never"]))
            .help("Colour the text")
            .long_help("Colour the text. `auto` does so on a terminal unless NO_COLOR is set."),
    ]
}

fn files() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Declaration files, merged into one declaration")
}

fn operation() -> Arg {
    Arg::new("operation")
        .long("operation")
        .value_name("ID")
        .help("Operation id; repeating a call with the same id has no further effect")
        .long_help(
            "Operation id. A call whose reply was lost can be repeated safely with the same id: it \
             returns the first verdict and changes nothing again.",
        )
}

fn declarations() -> [Command; 3] {
    [
        Command::new("check")
            .about("Report every fault of declaration files")
            .long_about(
                "Reads the files as one declaration and reports all faults at once, each with its \
                 file, key, value and what was expected. Calls no entry.",
            )
            .arg(files()),
        Command::new("diff")
            .about("Show what declaration files would change")
            .long_about(
                "Compares the files with the declaration in force: + would be added, - would be \
                 removed, ~ would change, with the old and the new value of each field.",
            )
            .arg(files()),
        Command::new("apply")
            .about("Put declaration files in force")
            .long_about(
                "Puts the files in force as a whole: objects that they do not name are removed. If \
                 the declaration in force changed in the meantime, the call is refused. Applying \
                 files that are already in force succeeds and changes nothing, so after a lost \
                 reply the files can be applied again.",
            )
            .arg(files())
            .arg(operation())
            .arg(
                Arg::new("expected")
                    .long("expected")
                    .value_name("VERSION")
                    .value_parser(value_parser!(u64))
                    .help("Refuse unless this version is in force"),
            ),
    ]
}

fn views() -> [Command; 3] {
    [
        Command::new("status").about("Show what is in force on every entry").long_about(
            "Shows the version in force and the next offset of each entry with the age of that \
             information, and then budgets, drains, moves and waves.",
        ),
        Command::new("history")
            .about("Show who changed what, and the verdict")
            .arg(
                Arg::new("from")
                    .long("from")
                    .value_name("OFFSET")
                    .default_value("0")
                    .value_parser(value_parser!(u64))
                    .help("Lowest offset to show"),
            )
            .arg(
                Arg::new("max")
                    .long("max")
                    .value_name("N")
                    .default_value("50")
                    .value_parser(value_parser!(u32).range(1..=1_000))
                    .help("Number of newest changes to show"),
            ),
        Command::new("report")
            .about("Report on the fleet")
            .subcommand_required(true)
            .arg_required_else_help(true)
            .subcommand(burn()),
    ]
}

fn burn() -> Command {
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf)).help(help)
    };
    Command::new("burn")
        .about("Report how fast availability budgets are spent, and by what")
        .long_about(
            "Reports the burn rate of each service over several windows: the endpoint time lost \
             divided by what may be lost. At a rate of 1 the objective is just met. Every loss \
             names the VM, the cause and the offsets of its records.",
        )
        .arg(
            Arg::new("window")
                .long("window")
                .value_name("TIME")
                .value_delimiter(',')
                .action(ArgAction::Append)
                .value_parser(crate::config::window)
                .help("Windows to report [default: 1h,6h,1d,30d]"),
        )
        .arg(file("svg", "Write a plot as SVG"))
        .arg(file("html", "Write a self-contained HTML page with the plot and all losses"))
}

fn vms() -> [Command; 2] {
    let vm = || Arg::new("vm").value_name("VM").required(true).help("Name of the VM");
    [
        Command::new("drain")
            .about("Stop new work on a VM")
            .long_about(
                "Stops new work on a VM; work in progress is finished. Refused if that would exceed \
                 the availability budget of a service on it. `status` shows which entries may still \
                 hold work there.",
            )
            .arg(vm())
            .arg(operation()),
        Command::new("return").about("Let a drained VM take work again").arg(vm()).arg(operation()),
    ]
}

fn wave() -> Command {
    let name = || Arg::new("wave").value_name("WAVE").required(true).help("Name of the wave");
    let change = |command: &'static str, about: &'static str| {
        Command::new(command).about(about).arg(name()).arg(operation())
    };
    let reason = Arg::new("reason")
        .long("reason")
        .value_name("TEXT")
        .default_value("")
        .help("Reason, shown to other operators");
    Command::new("wave")
        .about("Run maintenance waves")
        .long_about(
            "Runs declared maintenance waves: each VM of the pool is drained, rebooted and \
             returned within the availability budgets. A wave pauses itself on correlated failures \
             and says why.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(change("start", "Start a declared wave"))
        .subcommand(change("pause", "Pause a wave; VMs in maintenance are finished").arg(reason))
        .subcommand(change("resume", "Resume a paused wave"))
        .subcommand(change("cancel", "Cancel a wave; it ends once the VMs in maintenance are done"))
        .subcommand(
            Command::new("status")
                .about("Show the progress of waves")
                .arg(name().required(false).help("Only this wave")),
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print shell completions")
        .long_about(
            "Prints completions for a shell. For bash:\n  \
             carobhitch completions bash > /etc/bash_completion.d/carobhitch",
        )
        .arg(
            Arg::new("shell").value_name("SHELL").required(true).value_parser(value_parser!(Shell)),
        )
}
