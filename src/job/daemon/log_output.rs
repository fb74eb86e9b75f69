//! Log output on standard output: time, level, and `part: key=value` pairs.
//!
//! Lines are buffered and written in blocks. Standard output is set to non-blocking mode, so that a
//! slow reader does not delay the daemon: lines that it does not accept are dropped, as are lines
//! above a limit of their rate. A later `log: dropped=N` line reports how many. A line of which a
//! part was accepted is completed first, so that no two lines run into one.

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
    if let Err(e) = set_nonblocking() {
        eprintln!("carobhitch-entry: set standard output to non-blocking mode: {e}");
    }
    WriteLogger::init(level, logging::layout(), Output::new(io::stdout())).map_err(Error::Set)
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

/// Buffered and rate-limited writer of log lines to `target`.
pub struct Output<W> {
    target: W,
    buffer: Vec<u8>,
    /// Lines that the rate limit allows now.
    tokens: f64,
    refilled_at: Instant,
    /// Dropped lines that were not reported yet.
    dropped: u64,
    /// Whether the rest of the current line is dropped.
    skipping: bool,
    /// Whether the buffer begins with the rest of a line of which a part was written.
    starts_cut: bool,
}

impl<W: Write> Output<W> {
    /// Output to `target`, which may accept a part of what it gets.
    pub fn new(target: W) -> Self {
        Self {
            target,
            buffer: Vec::with_capacity(BLOCK_BYTES + 512),
            tokens: BURST_LINES,
            refilled_at: Instant::now(),
            dropped: 0,
            skipping: false,
            starts_cut: false,
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

    /// Writes the buffered lines, and last how many were dropped before.
    fn write_buffer(&mut self) {
        let reported = if self.tokens >= 1.0 { std::mem::take(&mut self.dropped) } else { 0 };
        if reported > 0 {
            self.buffer.extend(format!("log: dropped={reported}\n").as_bytes());
        }
        let mut written = 0;
        while written < self.buffer.len() {
            match self.target.write(&self.buffer[written..]) {
                Ok(count) if count > 0 => written += count,
                _ => break,
            }
        }
        let lines = self.drop_lines_after(written);
        // The report is the last line, so it is among the dropped ones if there are any.
        self.dropped += if lines > 0 && reported > 0 { lines - 1 + reported } else { lines };
    }

    /// Removes the buffered lines after `written` bytes, but for the rest of a line of which a part was
    /// written; returns how many lines it removed.
    fn drop_lines_after(&mut self, written: usize) -> u64 {
        let is_cut = match written.checked_sub(1) {
            Some(last) => self.buffer.get(last) != Some(&b'\n'),
            None => self.starts_cut,
        };
        let rest = &self.buffer[written..];
        let line_end = rest.iter().position(|&byte| byte == b'\n').map_or(rest.len(), |at| at + 1);
        let kept = if is_cut { line_end } else { 0 };
        let lines = rest[kept..].iter().filter(|&&byte| byte == b'\n').count() as u64;
        self.starts_cut = kept > 0;
        self.buffer.truncate(written + kept);
        self.buffer.drain(..written);
        lines
    }
}

impl<W: Write> Write for Output<W> {
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
        self.target.flush()
    }
}
