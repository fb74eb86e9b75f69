//! Command-line tool for operators.

mod app;
mod clap_app;
mod config;
mod text;

use std::{
    io::{self, Write},
    process::ExitCode,
};

fn main() -> ExitCode {
    let matches = clap_app::build().get_matches();
    let result = config::load(&matches).and_then(|config| app::run(&config));
    let (output, errors, status) = match result {
        Ok(output) => (output, String::new(), 0),
        Err(failure) => (failure.output, failure.text, failure.status),
    };
    // Ignores a broken pipe: a reader such as `head` closes it once it has read enough.
    let _ = io::stdout().write_all(output.as_bytes());
    for line in errors.lines() {
        eprintln!("carobhitch: {line}");
    }
    ExitCode::from(status)
}
