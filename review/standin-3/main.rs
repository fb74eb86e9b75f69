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

use site::Site;
use std::{
    env,
    panic::{AssertUnwindSafe, catch_unwind},
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    thread,
    time::Duration,
};

/// Time after which a case that has not ended is given up.
const LIMIT: Duration = Duration::from_secs(112);

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
    let Some(case_run) = cases::find(&case) else {
        eprintln!("there is no case {case}");
        return ExitCode::from(2);
    };
    let site = Site::start(Arc::clone(&record), case_run.spare);
    let ending = Arc::clone(&site);
    thread::spawn(move || {
        thread::sleep(LIMIT);
        ending.record.note("the case takes too long");
        ending.finish(None);
        std::process::exit(2);
    });
    let run = || (case_run.run)(&site, trouble);
    let outcome = catch_unwind(AssertUnwindSafe(run)).ok().flatten().unwrap_or(Outcome::NotRun);
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
