//! Load generator and operators' commands: the stand-in for callers and operators.

mod clap_app;

use {
    carobhitch::{fleet::Declaration, request::Class},
    carobhitch_standin::{
        burst, client,
        load::{self, Config, Group},
        operator::{self, Operator},
    },
    clap::ArgMatches,
    oxhttp::model::Method,
    std::{
        error::Error,
        fs,
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::ExitCode,
        time::Duration,
    },
};

/// Exit status of a subcommand, or why it could not run.
type Outcome = Result<ExitCode, Box<dyn Error>>;

fn main() -> ExitCode {
    let matches = clap_app::matches();
    let outcome = match matches.subcommand() {
        Some(("run", matches)) => run_load(matches),
        Some(("ports", matches)) => ports(matches),
        Some(("ready", matches)) => ready(matches),
        Some(("declare", matches)) => declare(matches),
        Some(("maintain", matches)) => maintain(matches),
        Some(("burst", matches)) => measure_burst(matches),
        Some(("call", matches)) => call(matches),
        _ => Err("no such subcommand".into()),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("carobhitch-load: {error}");
        ExitCode::FAILURE
    })
}

fn run_load(matches: &ArgMatches) -> Outcome {
    let report = load::run(&load_config(matches))?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        println!("{report}");
    }
    Ok(if report.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn load_config(matches: &ArgMatches) -> Config {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let group = |class, callers, min_ms, max_ms, deadline_secs| Group {
        class,
        callers: number(callers) as u32,
        work_ms: (min_ms, number(max_ms).max(min_ms)),
        deadline: Duration::from_secs(deadline_secs),
        think_ms: number("think-ms"),
    };
    let services = matches.get_many::<String>("services").unwrap_or_default();
    Config {
        entries: addresses(matches, "entries"),
        killed: addresses(matches, "killed"),
        endpoints: addresses(matches, "runners"),
        services: services.cloned().collect(),
        teams: number("teams") as u32,
        groups: vec![
            group(Class::Quick, "quick", 1, "quick-ms", 5),
            group(Class::Watch, "watch", 500, "watch-ms", 30),
            group(Class::Order, "order", 5, "order-ms", 10),
        ],
        duration: Duration::from_secs(number("seconds")),
        max_attempts: number("tries") as usize,
        seed: number("seed"),
    }
}

fn ports(matches: &ArgMatches) -> Outcome {
    let count = matches.get_one::<usize>("count").copied().unwrap_or_default();
    // All listeners are held until the last port is found, so that no port is printed twice.
    let listeners: Result<Vec<_>, _> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    for listener in listeners? {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(ExitCode::SUCCESS)
}

fn ready(matches: &ArgMatches) -> Outcome {
    addresses(matches, "entries").into_iter().try_for_each(operator::wait_ready)?;
    Ok(ExitCode::SUCCESS)
}

fn declare(matches: &ArgMatches) -> Outcome {
    let file = matches.get_one::<PathBuf>("file").ok_or("no file")?;
    let declaration: Declaration = toml::from_str(&fs::read_to_string(file)?)?;
    let elapsed = operator(matches)?.declare(declaration)?;
    println!("{} ms", elapsed.as_millis());
    Ok(ExitCode::SUCCESS)
}

fn measure_burst(matches: &ArgMatches) -> Outcome {
    let Operator { platform, entries } = operator(matches)?;
    let count = matches.get_one::<u64>("count").copied().unwrap_or_default();
    let times = burst::run(platform, &entries, count)?;
    let quantile = |q: f64| times.get((times.len().saturating_sub(1) as f64 * q) as usize);
    let ms = |q| quantile(q).map_or(0, |time| time.as_millis());
    println!("p50 {} ms, p99 {} ms, max {} ms", ms(0.5), ms(0.99), ms(1.0));
    Ok(ExitCode::SUCCESS)
}

fn maintain(matches: &ArgMatches) -> Outcome {
    let vm = matches.get_one::<String>("vm").ok_or("no vm")?;
    let drain_time = operator(matches)?.maintain(vm)?;
    println!("{} ms", drain_time.as_millis());
    Ok(ExitCode::SUCCESS)
}

fn call(matches: &ArgMatches) -> Outcome {
    let text = |name| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let address = matches.get_one::<SocketAddr>("address").ok_or("no address")?;
    let method: Method = text("method").parse()?;
    println!("{}", client::text(method, *address, &text("path"), text("body").into_bytes())?);
    Ok(ExitCode::SUCCESS)
}

fn operator(matches: &ArgMatches) -> Result<Operator, Box<dyn Error>> {
    let platform = matches.get_one::<SocketAddr>("platform").ok_or("no platform")?;
    Ok(Operator { platform: *platform, entries: addresses(matches, "entries") })
}

fn addresses(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    matches.get_many::<SocketAddr>(name).unwrap_or_default().copied().collect()
}
