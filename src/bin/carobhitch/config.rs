//! Turns the command line into one validated struct.

use {
    crate::app::{BAD_USE, Failure},
    carobhitch::id::{Offset, OperationId, VmId, WaveId},
    clap::ArgMatches,
    clap_complete::Shell,
    std::{
        env,
        io::{self, IsTerminal},
        net::SocketAddr,
        path::PathBuf,
        time::Duration,
    },
};

/// Units of a window's length, in seconds.
const UNITS: [(char, u64); 4] = [('s', 1), ('m', 60), ('h', 3_600), ('d', 24 * 3_600)];

/// Configuration of the program.
pub(crate) struct Config {
    /// Addresses of the entries, which are tried in turn.
    pub(crate) entries: Vec<SocketAddr>,
    /// Time to wait for each reply.
    pub(crate) timeout: Duration,
    /// Author of changes, for the audit trail.
    pub(crate) author: String,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Whether to colour the text.
    pub(crate) color: bool,
    /// Command to execute.
    pub(crate) action: Action,
}

/// Command to execute.
pub(crate) enum Action {
    /// Validate declaration files.
    Check(Vec<PathBuf>),
    /// Compare declaration files with the declaration in force.
    Diff(Vec<PathBuf>),
    /// Put declaration files in force.
    Apply { files: Vec<PathBuf>, operation: Option<OperationId>, expected: Option<Offset> },
    /// Show what is in force on the entries.
    Status,
    /// Show the audit trail.
    History { from: Offset, max: u32 },
    /// Report burn rates.
    Burn { windows: Vec<Duration>, svg: Option<PathBuf>, html: Option<PathBuf> },
    /// Change one object.
    Change { change: Change, operation: Option<OperationId> },
    /// Show waves.
    Waves(Option<WaveId>),
    /// Print shell completions.
    Completions(Shell),
}

/// Change of one VM or wave.
pub(crate) enum Change {
    /// Drain a VM.
    Drain(VmId),
    /// Return a VM.
    Return(VmId),
    /// Start a wave.
    Start(WaveId),
    /// Pause a wave.
    Pause(WaveId, String),
    /// Resume a wave.
    Resume(WaveId),
    /// Cancel a wave.
    Cancel(WaveId),
}

/// Parses a window's length, such as `6h`.
pub(crate) fn window(text: &str) -> Result<Duration, String> {
    let wanted = || String::from("must be a whole number and one of s, m, h, d, such as 6h");
    let unit = text.chars().last().ok_or_else(wanted)?;
    let seconds = UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(wanted)?.1;
    let number: u64 = text[..text.len() - 1].parse().map_err(|_| wanted())?;
    let seconds = number.checked_mul(seconds).filter(|s| *s > 0).ok_or_else(wanted)?;
    Ok(Duration::from_secs(seconds))
}

/// Builds the configuration from the parsed command line.
pub(crate) fn load(matches: &ArgMatches) -> Result<Config, Failure> {
    let entries = matches.get_many("entry").into_iter().flatten().copied().collect::<Vec<_>>();
    let action = action(matches)?;
    let local = matches!(action, Action::Check(_) | Action::Completions(_));
    if entries.is_empty() && !local {
        let text =
            "call an entry: no address was given; use --entry IP:PORT or set CAROBHITCH_ENTRY";
        return Err(Failure::new(text, BAD_USE));
    }
    Ok(Config {
        entries,
        timeout: Duration::from_secs(matches.get_one("timeout").copied().unwrap_or_default()),
        author: text(matches, "author").or_else(user).unwrap_or_else(|| String::from("unknown")),
        json: matches.get_flag("json"),
        color: color(matches),
        action,
    })
}

fn user() -> Option<String> {
    env::var("USER").ok().filter(|name| !name.is_empty())
}

fn color(matches: &ArgMatches) -> bool {
    match text(matches, "color").as_deref() {
        Some("always") => true,
        Some("never") => false,
        _ => {
            let refused = env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
            !refused && io::stdout().is_terminal()
        }
    }
}

fn text(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.get_one::<String>(name).cloned()
}

fn path(matches: &ArgMatches, name: &str) -> Option<PathBuf> {
    matches.get_one::<PathBuf>(name).cloned()
}

fn files(matches: &ArgMatches) -> Vec<PathBuf> {
    matches.get_many("files").into_iter().flatten().cloned().collect()
}

fn action(matches: &ArgMatches) -> Result<Action, Failure> {
    let unknown = || Failure::new("read command line: unknown command", BAD_USE);
    let (name, matches) = matches.subcommand().ok_or_else(unknown)?;
    let vm = |matches| text(matches, "vm").unwrap_or_default();
    match name {
        "check" => Ok(Action::Check(files(matches))),
        "diff" => Ok(Action::Diff(files(matches))),
        "apply" => Ok(apply(matches)),
        "status" => Ok(Action::Status),
        "history" => Ok(history(matches)),
        "report" => matches.subcommand().map(|(_, burn)| self::burn(burn)).ok_or_else(unknown),
        "drain" => Ok(change(Change::Drain(vm(matches)), matches)),
        "return" => Ok(change(Change::Return(vm(matches)), matches)),
        "wave" => matches.subcommand().and_then(wave).ok_or_else(unknown),
        "completions" => {
            matches.get_one("shell").copied().map(Action::Completions).ok_or_else(unknown)
        }
        _ => Err(unknown()),
    }
}

fn apply(matches: &ArgMatches) -> Action {
    Action::Apply {
        files: files(matches),
        operation: text(matches, "operation"),
        expected: matches.get_one("expected").copied(),
    }
}

fn history(matches: &ArgMatches) -> Action {
    Action::History {
        from: matches.get_one("from").copied().unwrap_or_default(),
        max: matches.get_one("max").copied().unwrap_or_default(),
    }
}

fn burn(matches: &ArgMatches) -> Action {
    Action::Burn {
        windows: matches.get_many("window").into_iter().flatten().copied().collect(),
        svg: path(matches, "svg"),
        html: path(matches, "html"),
    }
}

fn change(change: Change, matches: &ArgMatches) -> Action {
    Action::Change { change, operation: text(matches, "operation") }
}

fn wave((name, matches): (&str, &ArgMatches)) -> Option<Action> {
    let wave = text(matches, "wave");
    if name == "status" {
        return Some(Action::Waves(wave));
    }
    let wave = wave?;
    let found = match name {
        "start" => Change::Start(wave),
        "pause" => Change::Pause(wave, text(matches, "reason").unwrap_or_default()),
        "resume" => Change::Resume(wave),
        "cancel" => Change::Cancel(wave),
        _ => return None,
    };
    Some(change(found, matches))
}
