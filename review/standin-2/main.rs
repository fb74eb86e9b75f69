//! Stand-ins and drivers for the cases of the review that are scripts.
//!
//! `carobhitch-review-2 reborn|upkeep|dropped FOLDER RECORD` plays a case; the other roles are started by it.

mod cases;
mod runner;
mod site;
mod store;
mod wire;

use std::{fs::File, net::SocketAddr, path::PathBuf, process::ExitCode};

/// Exit status if a case could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let address = |text: &str| text.parse::<SocketAddr>().ok();
    match words[..] {
        ["store", listen, cloud, spare] => {
            if let (Some(listen), Some(cloud)) = (address(listen), address(cloud)) {
                store::run(listen, cloud, spare == "true");
            }
        }
        ["runner", listen, store, id, service, machine, kind, events] => {
            if let (Some(listen), Some(store)) = (address(listen), address(store)) {
                let [id, service, machine, kind, events] =
                    [id, service, machine, kind, events].map(String::from);
                runner::run(runner::Config { listen, store, id, service, machine, kind, events });
            }
        }
        [case, folder, record] => {
            let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
            let Ok(record) = File::create(record) else { return ExitCode::from(NOT_RUN) };
            let outcome = cases::play(case, PathBuf::from(folder), record, !trouble);
            return match outcome {
                Some(broken) => ExitCode::from(u8::from(broken)),
                None => ExitCode::from(NOT_RUN),
            };
        }
        _ => eprintln!("usage: carobhitch-review-2 CASE FOLDER RECORD"),
    }
    ExitCode::from(NOT_RUN)
}
