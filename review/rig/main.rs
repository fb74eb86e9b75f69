//! Plays the scripts of the review: `rig CASE RECORD`. Exits with 1 if the rule was broken, with 0 if it
//! held, and with 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod http;
mod json;
mod record;
mod runner;
mod site;
mod store;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: rig CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value != "0")
        || std::env::var_os("TROUBLE").is_none();
    let record = match record::Record::create(path) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("create {path}: {e}");
            exit(2);
        }
    };
    let outcome = cases::play(case, record.clone(), trouble);
    let (text, status) = match outcome {
        Ok(None) => (String::from("the rule held"), 0),
        Ok(Some(broken)) => (format!("the rule was broken: {broken}"), 1),
        Err(why) => (format!("the case couldn't run: {why}"), 2),
    };
    record.note(&text);
    println!("{text}");
    exit(status);
}
