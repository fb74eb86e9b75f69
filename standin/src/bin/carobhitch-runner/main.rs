//! Runs an endpoint's stand-in.

mod clap_app;

use {
    carobhitch_standin::endpoint::{self, Config},
    clap::ArgMatches,
    log::LevelFilter,
    simplelog::{ColorChoice, TermLogger, TerminalMode},
    std::{error::Error, net::SocketAddr, process::ExitCode},
};

fn main() -> ExitCode {
    match run(&clap_app::matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("carobhitch-runner: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let config = simplelog::Config::default();
    TermLogger::init(LevelFilter::Info, config, TerminalMode::Stderr, ColorChoice::Never)?;
    let endpoint = endpoint::spawn(settings(matches)?)?;
    println!("listening on {}", endpoint.public.address);
    println!("control on {}", endpoint.control.address);
    endpoint.public.join();
    Ok(())
}

fn settings(matches: &ArgMatches) -> Result<Config, Box<dyn Error>> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or_default();
    let address = |name: &str| matches.get_one::<SocketAddr>(name).copied();
    Ok(Config {
        id: text("id"),
        service: text("service"),
        zone: text("zone"),
        rack: text("rack"),
        listen: address("listen").ok_or("no address")?,
        control: address("control").ok_or("no address")?,
        slots: number("slots"),
        max_connections: number("connections") as usize,
        platform: address("platform"),
        faults: serde_json::from_str(&text("faults"))?,
    })
}
