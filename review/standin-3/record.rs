//! Record of what was sent, answered and run, with the time since the start of the script.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// The record of a script.
pub struct Record {
    begun: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Begins a record in a new file.
    pub fn new(path: &Path) -> Self {
        Self { begun: Instant::now(), file: Mutex::new(File::create(path).expect("record.txt")) }
    }

    /// Time since the start of the script.
    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Adds a line.
    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{at:8.3} {}", line.as_ref());
    }
}
