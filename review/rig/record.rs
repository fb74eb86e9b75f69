//! Record of what was sent, answered and run. It is written to `record.txt` as it grows.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone, Debug)]
pub enum Event {
    Start { runner: String, task: String, run: u64 },
    End { runner: String, task: String, run: u64, how: &'static str },
    /// The run was on a runner that crashed.
    Lost { runner: String, task: String, run: u64 },
}

#[derive(Clone)]
pub struct Record(Arc<Mutex<Inner>>);

struct Inner {
    begun: Instant,
    file: File,
    events: Vec<(Duration, Event)>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let inner = Inner { begun: Instant::now(), file: File::create(path)?, events: Vec::new() };
        Ok(Self(Arc::new(Mutex::new(inner))))
    }

    /// Time since the beginning.
    pub fn now(&self) -> Duration {
        self.0.lock().unwrap().begun.elapsed()
    }

    pub fn note(&self, text: &str) {
        let mut inner = self.0.lock().unwrap();
        let at = inner.begun.elapsed().as_secs_f64();
        let _ = writeln!(inner.file, "{at:9.3} {text}");
    }

    pub fn add(&self, event: Event) {
        let mut inner = self.0.lock().unwrap();
        let at = inner.begun.elapsed();
        let text = match &event {
            Event::Start { runner, task, run } => format!("run  {task} {run} starts on {runner}"),
            Event::End { runner, task, run, how } => {
                format!("run  {task} {run} ends on {runner}: {how}")
            }
            Event::Lost { runner, task, run } => format!("run  {task} {run} is lost with {runner}"),
        };
        let _ = writeln!(inner.file, "{:9.3} {text}", at.as_secs_f64());
        inner.events.push((at, event));
    }

    pub fn events(&self) -> Vec<(Duration, Event)> {
        self.0.lock().unwrap().events.clone()
    }

    /// Times at which any work item of a job ran: begin and end, if it has ended.
    pub fn spans(&self, job: &str) -> Vec<(String, u64, Duration, Option<Duration>)> {
        let mut spans: Vec<(String, u64, Duration, Option<Duration>)> = Vec::new();
        for (at, event) in self.events() {
            match event {
                Event::Start { task, run, .. } if task.starts_with(job) => {
                    spans.push((task, run, at, None));
                }
                Event::End { task, run, .. } | Event::Lost { task, run, .. } => {
                    let open = |s: &&mut (String, u64, Duration, Option<Duration>)| {
                        s.0 == task && s.1 == run && s.3.is_none()
                    };
                    if let Some(span) = spans.iter_mut().find(open) {
                        span.3 = Some(at);
                    }
                }
                Event::Start { .. } => {}
            }
        }
        spans
    }
}
