//! Measures the threads and memory that the server of `oxhttp` uses for slow callers, which send
//! only a part of a request's head and then keep the connection open.
//!
//! `cargo run --release --example slow_callers` prints the table.

use {
    oxhttp::{
        Server,
        model::{Body, Request, Response, StatusCode},
    },
    std::{
        error::Error,
        fs,
        io::Write,
        net::{Ipv4Addr, TcpListener, TcpStream},
        thread,
        time::Duration,
    },
};

/// Number of callers in each step.
const STEPS: [usize; 3] = [0, 100, 500];

fn main() -> Result<(), Box<dyn Error>> {
    let address = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
    let respond = |_: &mut Request<Body>| {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::NO_CONTENT;
        response
    };
    let _server = Server::new(respond).bind(address).spawn()?;
    println!("| callers | threads | resident kB |");
    println!("|---|---|---|");
    let mut callers = Vec::new();
    for step in STEPS {
        while callers.len() < step {
            let mut caller = TcpStream::connect(address)?;
            caller.write_all(b"GET / HTTP/1.1\r\nHost:")?;
            callers.push(caller);
        }
        thread::sleep(Duration::from_secs(1));
        println!("| {step} | {} | {} |", status_field("Threads:")?, status_field("VmRSS:")?);
    }
    Ok(())
}

/// Reads a number from the status of this process.
fn status_field(name: &str) -> Result<String, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with(name)).ok_or("no such field")?;
    Ok(line.split_whitespace().nth(1).unwrap_or_default().into())
}
