//! Metrics, sent as StatsD datagrams.
//!
//! Recording a metric never blocks: its line goes to a bounded queue from which a thread of the client
//! sends it. Lines are dropped while the queue is full, so no decision may depend on metrics. Without
//! an address nothing is sent.

use {
    crate::{
        id::{EntryId, Offset},
        request::{Class, Outcome},
    },
    cadence::{
        BufferedUdpMetricSink, Counted, Gauged, MetricError, QueuingMetricSink, StatsdClient, Timed,
    },
    displaydoc::Display,
    std::{
        io,
        net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
        sync::Arc,
        time::Duration,
    },
};

/// Prefix of every metric name.
const PREFIX: &str = "carobhitch";
/// Capacity of the queue in lines.
const QUEUE_LINES: usize = 4096;

/// Result of opening the metrics.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the metrics could not be opened.
#[derive(Debug, Display)]
pub enum Error {
    /// open socket for metrics to {0}: {1}
    Socket(SocketAddr, io::Error),
    /// prepare metrics to {0}: {1}
    Sink(SocketAddr, MetricError),
}

impl std::error::Error for Error {}

/// Direction of control traffic.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Direction {
    /// sent
    Sent,
    /// received
    Received,
}

/// Metrics of one entry.
#[derive(Clone)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Creates metrics that are not sent.
    pub fn disabled() -> Self {
        Self { client: None }
    }

    /// Opens metrics that are sent to `address`; without one they are not sent.
    pub fn open(address: Option<SocketAddr>, entry: &EntryId) -> Result<Self> {
        let Some(address) = address else { return Ok(Self::disabled()) };
        let local = match address {
            SocketAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
            SocketAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
        };
        let socket = UdpSocket::bind((local, 0)).map_err(|e| Error::Socket(address, e))?;
        socket.set_nonblocking(true).map_err(|e| Error::Socket(address, e))?;
        let udp =
            BufferedUdpMetricSink::from(address, socket).map_err(|e| Error::Sink(address, e))?;
        let sink = QueuingMetricSink::with_capacity(udp, QUEUE_LINES);
        // A dot in the entry's name would separate parts of the metric name.
        let prefix = format!("{PREFIX}.{}", entry.replace('.', "_"));
        Ok(Self { client: Some(Arc::new(StatsdClient::from_sink(&prefix, sink))) })
    }

    /// Counts an admitted request.
    pub fn admitted(&self, class: Class) {
        self.count(&format!("admitted.{}", class_name(class)), 1);
    }

    /// Counts a refused request; `reason` is one short word.
    pub fn refused(&self, reason: &str) {
        self.count(&format!("refused.{reason}"), 1);
    }

    /// Counts an answered request.
    pub fn answered(&self, outcome: Outcome) {
        self.count(&format!("answered.{outcome}"), 1);
    }

    /// Records the time from a request's arrival until an attempt at it is started.
    pub fn waited(&self, class: Class, time: Duration) {
        if let Some(client) = &self.client {
            // A line that can't be queued is dropped.
            let _ = client.time(&format!("wait.{}", class_name(class)), time);
        }
    }

    /// Counts a retry of a request.
    pub fn retried(&self) {
        self.count("retried", 1);
    }

    /// Sets the number of requests in progress.
    pub fn in_flight(&self, requests: u64) {
        self.gauge("in_flight", requests);
    }

    /// Sets the offset of the next record to apply.
    pub fn applied(&self, next: Offset) {
        self.gauge("applied", next);
    }

    /// Sets what callers hold: connections, and memory for bodies in bytes.
    pub fn held(&self, connections: usize, body_bytes: usize) {
        self.gauge("intake.connections", connections as u64);
        self.gauge("intake.body_bytes", body_bytes as u64);
    }

    /// Counts what was done to keep callers within their limits; `name` is that of the count.
    pub fn limited(&self, name: &str, number: u64) {
        self.count(&format!("intake.{name}"), i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Counts bytes exchanged with other entries and the platform.
    pub fn control_bytes(&self, direction: Direction, bytes: u64) {
        self.count(&format!("control_bytes.{direction}"), i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Sends buffered lines. Must be called regularly, since otherwise a datagram is sent only when it
    /// is full.
    pub fn flush(&self) {
        if let Some(client) = &self.client {
            // After an error the lines stay buffered.
            let _ = client.flush();
        }
    }

    fn count(&self, name: &str, number: i64) {
        if let Some(client) = &self.client {
            // A line that can't be queued is dropped.
            let _ = client.count(name, number);
        }
    }

    fn gauge(&self, name: &str, value: u64) {
        if let Some(client) = &self.client {
            // A line that can't be queued is dropped.
            let _ = client.gauge(name, value);
        }
    }
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Quick => "quick",
        Class::Watch => "watch",
        Class::Order => "order",
    }
}
