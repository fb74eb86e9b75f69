//! Crowds of clients that don't behave, and what an entry's process holds meanwhile.

#![allow(dead_code)]

use {
    rand::{Rng, rngs::SmallRng},
    std::{
        env, fs,
        io::{ErrorKind, Read, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread::{JoinHandle, sleep, spawn},
        time::{Duration, Instant},
    },
};

/// Number of clients in a crowd.
pub const CLIENTS: usize = 240;
/// Memory of an entry's VM in MB, of which its process may use no more.
pub const MEMORY_MB: u64 = 64;
/// Descriptors that a VM keeps for files.
pub const FILE_FDS: u64 = 200;
/// What an entry may log while a crowd is there, in bytes.
pub const LOG_BYTES: usize = 1 << 20;
/// Longest head that the users' pages allow, in bytes.
pub const HEAD_BYTES: usize = 16_384;
/// Longest body that the users' pages allow, in bytes.
pub const BODY_BYTES: usize = 262_144;
/// Bytes in a megabyte.
const MB: u64 = 1_000_000;
/// Time without progress after which a crowd has sent what the entry takes.
const QUIET: Duration = Duration::from_millis(700);
/// Pause between two rounds in which no client made progress.
const PAUSE: Duration = Duration::from_millis(5);
/// Longest wait for a process that keeps its processor busy.
const SETTLE_TIME: Duration = Duration::from_secs(20);
/// Ticks of processor time that an idle process uses in [`QUIET`] at most.
const QUIET_TICKS: u64 = 7;
/// Held by the test that runs, since each needs the machine for itself.
static TURN: Mutex<()> = Mutex::new(());

/// Waits until no other test of this program runs.
pub fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Open connections of clients.
pub struct Crowd {
    clients: Vec<Option<TcpStream>>,
}

impl Crowd {
    /// Opens connections; those that the entry does not accept count as closed.
    pub fn open(entry: SocketAddr, clients: usize) -> Self {
        let connect = |_| {
            let client = TcpStream::connect_timeout(&entry, Duration::from_secs(1)).ok()?;
            client.set_nonblocking(true).ok()?;
            Some(client)
        };
        Self { clients: (0..clients).map(connect).collect() }
    }

    /// Sends a message of its own from each client, all at the same time, piece by piece, until the
    /// entry has taken or refused them.
    pub fn send(&mut self, message: impl Fn(usize) -> Vec<u8>) {
        let messages: Vec<_> = (0..self.clients.len()).map(message).collect();
        let messages: Vec<_> = messages.iter().map(Vec::as_slice).collect();
        self.send_slices(messages);
    }

    /// Sends the same message from each client.
    pub fn send_all(&mut self, message: &[u8]) {
        self.send_slices(vec![message; self.clients.len()]);
    }

    fn send_slices(&mut self, mut messages: Vec<&[u8]>) {
        let mut progress_at = Instant::now();
        while progress_at.elapsed() < QUIET {
            let mut progressed = false;
            for (client, message) in self.clients.iter_mut().zip(&mut messages) {
                progressed |= write_some(client, message);
            }
            if messages.iter().zip(&self.clients).all(|(m, c)| m.is_empty() || c.is_none()) {
                return;
            }
            if progressed {
                progress_at = Instant::now();
            } else {
                sleep(PAUSE);
            }
        }
    }

    /// Sends a byte from each client once in `interval`, until it is stopped.
    pub fn trickle(mut self, interval: Duration) -> Trickle {
        let stopped = Arc::<AtomicBool>::default();
        let is_stopped = Arc::clone(&stopped);
        let thread = spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                self.clients.iter_mut().for_each(|client| {
                    write_some(client, &mut b"q".as_slice());
                });
                sleep(interval);
            }
        });
        Trickle { stopped, thread }
    }

    /// Reads the answers that have arrived once none arrives any more; empty without one.
    pub fn answers(&mut self) -> Vec<String> {
        let mut answers = vec![Vec::new(); self.clients.len()];
        let mut progress_at = Instant::now();
        while progress_at.elapsed() < QUIET {
            for (client, answer) in self.clients.iter_mut().zip(&mut answers) {
                if read_some(client, answer) {
                    progress_at = Instant::now();
                }
            }
            sleep(PAUSE);
        }
        answers.iter().map(|answer| String::from_utf8_lossy(answer).into_owned()).collect()
    }
}

/// Thread in which a crowd sends a byte at a time.
pub struct Trickle {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Trickle {
    /// Ends it, and closes the crowd's connections.
    pub fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("the crowd's thread");
    }
}

/// Writes what a connection takes now; returns whether it took anything.
fn write_some(client: &mut Option<TcpStream>, message: &mut &[u8]) -> bool {
    let Some(stream) = client else { return false };
    if message.is_empty() {
        return false;
    }
    match stream.write(message) {
        Ok(count) => {
            *message = &message[count..];
            count > 0
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => false,
        Err(_) => {
            *client = None;
            false
        }
    }
}

/// Reads what has arrived on a connection; returns whether anything has.
fn read_some(client: &mut Option<TcpStream>, answer: &mut Vec<u8>) -> bool {
    let Some(stream) = client else { return false };
    let mut buffer = [0; 4096];
    match stream.read(&mut buffer) {
        Ok(0) => {
            *client = None;
            false
        }
        Ok(count) => {
            answer.extend_from_slice(&buffer[..count]);
            true
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => false,
        Err(_) => {
            *client = None;
            false
        }
    }
}

/// Checks that a process lives and stays within the memory and the `max_fds` descriptors of its VM, once it
/// has read what was sent.
pub fn check(process: u32, max_fds: u64) {
    settle(process);
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak_kib = peak.and_then(|peak| peak.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    let peak_kib = peak_kib.expect("the entry's process lives");
    let peak_mb = peak_kib * 1024 / MB;
    let open = fs::read_dir(format!("/proc/{process}/fd")).map_or(0, |open| open.count() as u64);
    println!("process {process}: peak {peak_mb} MB, {open} descriptors");
    assert!(peak_mb <= MEMORY_MB, "used {peak_mb} MB of {MEMORY_MB} MB");
    assert!(open <= max_fds - FILE_FDS, "{open} descriptors of {max_fds}, 200 of them for files");
}

/// Waits until a process hardly uses its processor, or for [`SETTLE_TIME`] at most.
fn settle(process: u32) {
    let until = Instant::now() + SETTLE_TIME;
    let mut used = processor_ticks(process);
    while Instant::now() < until {
        sleep(QUIET);
        let before = std::mem::replace(&mut used, processor_ticks(process));
        if used.saturating_sub(before) <= QUIET_TICKS {
            return;
        }
    }
}

/// Processor time that a process has used, in ticks of 10 ms.
fn processor_ticks(process: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |field: usize| fields.get(field).and_then(|ticks| ticks.parse::<u64>().ok());
    ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default()
}

/// Beginning of a request whose head never ends, `length` bytes long.
pub fn endless_head(length: usize) -> Vec<u8> {
    let mut head = b"POST /quotes/x HTTP/1.1\r\nHost: desk.example\r\nX-Padding: ".to_vec();
    head.resize(length, b'x');
    head
}

/// Beginning of a request with header fields without end, `length` bytes long.
pub fn endless_fields(length: usize) -> Vec<u8> {
    let mut head = b"POST /quotes/x HTTP/1.1\r\nHost: desk.example\r\n".to_vec();
    for number in 0.. {
        if head.len() >= length {
            break;
        }
        let value = "y".repeat(4_000);
        head.extend_from_slice(format!("X-Padding-{number}: {value}\r\n").as_bytes());
    }
    head
}

/// Trailers of a chunked body without end, `length` bytes long.
pub fn endless_trailers(length: usize) -> Vec<u8> {
    let mut trailers = Vec::new();
    for number in 0.. {
        if trailers.len() >= length {
            break;
        }
        let value = "z".repeat(1_000);
        trailers.extend_from_slice(format!("X-Trailer-{number}: {value}\r\n").as_bytes());
    }
    trailers
}

/// A body as one chunk after the other of `size` bytes, without the last chunk.
pub fn chunks(body: &[u8], size: usize) -> Vec<u8> {
    let mut chunks = Vec::new();
    for chunk in body.chunks(size) {
        chunks.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        chunks.extend_from_slice(chunk);
        chunks.extend_from_slice(b"\r\n");
    }
    chunks
}

/// Seeds of the random crowds: `CROWD_SEEDS=FIRST..END`, or one.
pub fn seeds() -> std::ops::Range<u64> {
    let given = env::var("CROWD_SEEDS").ok();
    let range = given.as_deref().and_then(|given| {
        let (first, end) = given.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    });
    range.unwrap_or(1..2)
}

/// What a random client sends; `head` gives the head of a request with header fields.
pub fn random_message(rng: &mut SmallRng, head: impl Fn(&str) -> Vec<u8>) -> Vec<u8> {
    let length = rng.random_range(0..BODY_BYTES);
    let body = vec![b' '; length];
    let sent = &body[..rng.random_range(0..=length)];
    match rng.random_range(0..9) {
        0 => endless_head(rng.random_range(60..1 << 19)),
        1 => endless_fields(rng.random_range(60..1 << 19)),
        2 => b"\r\n".repeat(rng.random_range(0..1 << 18)),
        3 => [head(&format!("Content-Length: {length}")), sent.to_vec()].concat(),
        4 => {
            let size = rng.random_range(1..1 << 16);
            [head("Transfer-Encoding: chunked"), chunks(sent, size)].concat()
        }
        5 => {
            let sent = &sent[..sent.len().min(1 << 14)];
            [head("Transfer-Encoding: chunked"), chunks(sent, 1)].concat()
        }
        6 => head("Content-Length: 0").repeat(rng.random_range(1..200)),
        7 => (0..length.min(1 << 14)).map(|_| rng.random()).collect(),
        _ => Vec::new(),
    }
}
