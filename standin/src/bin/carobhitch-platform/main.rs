//! Runs the platform's stand-in.

mod clap_app;

use {
    carobhitch_standin::{
        platform::{self, Config},
        stream::Retention,
        vm::Inventory,
    },
    clap::ArgMatches,
    log::LevelFilter,
    simplelog::{ColorChoice, TermLogger, TerminalMode},
    std::{error::Error, fs, net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration},
};

fn main() -> ExitCode {
    match run(&clap_app::matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("carobhitch-platform: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let config = simplelog::Config::default();
    TermLogger::init(LevelFilter::Info, config, TerminalMode::Stderr, ColorChoice::Never)?;
    let platform = platform::spawn(settings(matches)?)?;
    println!("listening on {}", platform.public.address);
    println!("control on {}", platform.control.address);
    platform.public.join();
    Ok(())
}

fn settings(matches: &ArgMatches) -> Result<Config, Box<dyn Error>> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let address = |name: &str| matches.get_one::<SocketAddr>(name).copied().ok_or("no address");
    let inventory = match matches.get_one::<PathBuf>("vms") {
        Some(file) => toml::from_str(&fs::read_to_string(file)?)?,
        None => Inventory::default(),
    };
    let faults = matches.get_one::<String>("faults").map_or("{}", String::as_str);
    Ok(Config {
        listen: address("listen")?,
        control: address("control")?,
        inventory,
        retention: Retention {
            records: number("retain-records") as usize,
            age: Duration::from_millis(number("retain-ms")),
        },
        list_lag: Duration::from_millis(number("list-lag-ms")),
        reboot_time: Duration::from_millis(number("reboot-ms")),
        faults: serde_json::from_str(faults)?,
        seed: number("seed"),
    })
}
