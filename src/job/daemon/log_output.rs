//! Log output on standard output: time, level, and `part: key=value` pairs.
//!
//! Lines are buffered and written in blocks. Standard output is set to non-blocking mode, so that a
//! slow reader does not delay the daemon: lines that it does not accept are dropped, as are lines
//! above the rate [`LINES_PER_S`]. A later `log: dropped=N` line reports how many.

use {
    crate::logging::{self, Error, Result},
    log::LevelFilter,
    rustix::{
        fs::{OFlags, fcntl_getfl, fcntl_setfl},
        stdio,
    },
    simplelog::WriteLogger,
    std::{
        io::{self, Write},
        time::{Duration, Instant},
    },
};

/// Sustained rate of lines, in lines per second.
const LINES_PER_S: f64 = 1_500.0;
/// Burst of lines that is allowed above the sustained rate.
const BURST_LINES: f64 = 4_000.0;
/// Bytes buffered before they are written.
const BLOCK_BYTES: usize = 8 << 10;
/// Interval at which buffered lines are written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Logs lines of `level` and above to standard output. May be called once in a process.
pub fn init(level: LevelFilter) -> Result<()> {
    WriteLogger::init(level, logging::layout(), Output::new()).map_err(Error::Set)
}

/// Writes buffered lines at regular intervals.
pub(super) async fn flush_periodically() {
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        log::logger().flush();
    }
}

fn set_nonblocking() -> rustix::io::Result<()> {
    let flags = fcntl_getfl(stdio::stdout())?;
    fcntl_setfl(stdio::stdout(), flags | OFlags::NONBLOCK)
}

/// Buffered and rate-limited writer of standard output.
struct Output {
    buffer: Vec<u8>,
    /// Lines that the rate limit allows now.
    tokens: f64,
    refilled_at: Instant,
    /// Dropped lines that were not reported yet.
    dropped: u64,
    /// Whether the rest of the current line is dropped.
    skipping: bool,
}

impl Output {
    fn new() -> Self {
        if let Err(e) = set_nonblocking() {
            eprintln!("carobhitch-entry: set standard output to non-blocking mode: {e}");
        }
        Self {
            buffer: Vec::with_capacity(BLOCK_BYTES + 512),
            tokens: BURST_LINES,
            refilled_at: Instant::now(),
            dropped: 0,
            skipping: false,
        }
    }

    /// Decides at the start of a line whether it is within the rate limit (a token bucket).
    fn admit(&mut self) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.refilled_at).as_secs_f64() * LINES_PER_S;
        self.tokens = (self.tokens + earned).min(BURST_LINES);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.dropped += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn write_buffer(&mut self) {
        if self.dropped > 0 && self.tokens >= 1.0 {
            let line = format!("log: dropped={}\n", std::mem::take(&mut self.dropped));
            self.buffer.extend(line.as_bytes());
        }
        let mut written = 0;
        while written < self.buffer.len() {
            match io::stdout().write(&self.buffer[written..]) {
                Ok(count) if count > 0 => written += count,
                _ => {
                    let rest = &self.buffer[written..];
                    self.dropped += rest.iter().filter(|&&byte| byte == b'\n').count() as u64;
                    break;
                }
            }
        }
        self.buffer.clear();
    }
}

impl Write for Output {
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        let starts = self.buffer.last().is_none_or(|&byte| byte == b'\n');
        if starts && !self.skipping {
            self.skipping = !self.admit();
        }
        if !self.skipping {
            self.buffer.extend(piece);
        }
        if piece.last() == Some(&b'\n') {
            self.skipping = false;
            if self.buffer.len() >= BLOCK_BYTES {
                self.write_buffer();
            }
        }
        Ok(piece.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.write_buffer();
        io::stdout().flush()
    }
}
