//! Stand-ins of the third review: a platform with its store, machines and runners, and a consumer. The one
//! argument names the case, the second is the folder of its record. The entries are the project's own
//! programs.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` the
//! disruption is left out. With `KEEP_LOGS` the logs of the entries are copied to that folder.

mod cases;
mod http;
mod json;
mod record;
mod runner;
mod site;
mod store;

use std::{env, path::PathBuf, process::ExitCode, sync::Arc};

/// Outcome of a case.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case couldn't run.
    NotRun,
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: carobhitch-review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(record::Record::new(&PathBuf::from(folder).join("record.txt")));
    record.note(format!("case {case}, disruption: {trouble}"));
    let (site, outcome) = match case.as_str() {
        "crash-loop" => cases::crash_loop(&record, trouble),
        "wave" => cases::wave(&record, trouble),
        "added-machine" => cases::added_machine(&record, trouble),
        "idle-rack" => cases::idle_rack(&record, trouble),
        "hand-over" => cases::hand_over(&record, trouble),
        _ => {
            eprintln!("there is no case {case}");
            return ExitCode::from(2);
        }
    };
    site.finish(env::var("KEEP_LOGS").ok().map(PathBuf::from).as_deref());
    let (status, text) = match outcome {
        Outcome::Held => (0, "the rule held"),
        Outcome::Broken => (1, "the rule was broken"),
        Outcome::NotRun => (2, "the case couldn't run"),
    };
    record.note(format!("verdict: {text}"));
    println!("{case}: {text}");
    ExitCode::from(status)
}
