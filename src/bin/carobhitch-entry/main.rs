//! Daemon of an entry, which serves callers' requests or places their jobs.

mod app;
mod clap_app;
mod config;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = clap_app::build().get_matches();
    match app::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            for line in failure.text.lines() {
                eprintln!("carobhitch-entry: {line}");
            }
            ExitCode::from(failure.status)
        }
    }
}
