//! The command line.

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
            .help("Entry to call; several are asked in turn")
            .long_help(
                "Where an entry accepts operators' calls. Give several, repeated or separated by \
                 commas: if one gives no answer the next is asked, with the same operation id.",
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
            .help("Who asks, for the audit trail")
            .long_help("Who asks, for the audit trail. The default is the name in USER."),
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
        .help("Name of the operation; the same name repeats it")
        .long_help(
            "Name of the operation. A call whose answer was lost is repeated safely under the same \
             name: the first verdict is returned and nothing is done twice.",
        )
}

fn declarations() -> [Command; 3] {
    [
        Command::new("check")
            .about("Report every fault of declaration files")
            .long_about(
                "Reads the files as one declaration and reports every fault at once, each with \
                 file, key, what is there and what would be right. Calls no entry.",
            )
            .arg(files()),
        Command::new("diff")
            .about("Show what declaration files would change")
            .long_about(
                "Compares the files with the declaration in force: + is new, - would be removed, \
                 ~ differs, with the old and the new value of each field.",
            )
            .arg(files()),
        Command::new("apply")
            .about("Put declaration files in force")
            .long_about(
                "Puts the files in force as a whole: what they do not name is removed. If the \
                 declaration in force changed in the meantime the call is refused. Applying files \
                 that are in force already changes nothing and succeeds, so a lost answer is met \
                 by applying again.",
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
            "Shows for each entry the version in force, the next offset and the age of that \
                 word, and then budgets, drains, moves and waves.",
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
                    .help("Changes to show, the newest"),
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
            "Reports for each service the burn over several windows: endpoint time lost over what \
             may be lost. At a rate of 1 the promise is just kept. Every loss names the VM, the \
             cause and the offsets of the records that show it.",
        )
        .arg(
            Arg::new("window")
                .long("window")
                .value_name("TIME")
                .value_delimiter(',')
                .action(ArgAction::Append)
                .value_parser(crate::config::window)
                .help("Windows, such as 1h,6h,1d,30d, which are the default"),
        )
        .arg(file("svg", "Write a plot"))
        .arg(file("html", "Write a page with the plot and every loss; it needs no other file"))
}

fn vms() -> [Command; 2] {
    let vm = || Arg::new("vm").value_name("VM").required(true).help("Name of the VM");
    [
        Command::new("drain")
            .about("Stop new work on a VM")
            .long_about(
                "Stops new work on a VM; work in progress is finished. Refused if the availability \
                 budget of a service on it would not hold. `status` shows which entries may still \
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
        .help("Why, for other operators");
    Command::new("wave")
        .about("Run maintenance waves")
        .long_about(
            "Runs declared maintenance waves: each VM of the pool is drained, rebooted and \
             returned within the availability budgets. A wave that meets failures together pauses \
             itself and says why.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(change("start", "Start a declared wave"))
        .subcommand(change("pause", "Take no further VM").arg(reason))
        .subcommand(change("resume", "Go on with a paused wave"))
        .subcommand(change("cancel", "End a wave once the VMs that it holds are done"))
        .subcommand(
            Command::new("status")
                .about("Show how far waves are")
                .arg(name().required(false).help("Only this wave")),
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print a shell's completions")
        .long_about(
            "Prints completions for a shell. For bash:\n  \
             carobhitch completions bash > /etc/bash_completion.d/carobhitch",
        )
        .arg(
            Arg::new("shell").value_name("SHELL").required(true).value_parser(value_parser!(Shell)),
        )
}
