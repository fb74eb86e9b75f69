//! Small HTTP/1.1 server and client over loopback.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Request {
    #[allow(dead_code)]
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

pub enum Reply {
    Full(u16, Vec<u8>),
    /// The channel is closed without an answer.
    Close,
}

impl Reply {
    pub fn json(status: u16, body: impl ToString) -> Self {
        Self::Full(status, body.to_string().into_bytes())
    }
}

/// A server that can be stopped: its listener and all its channels are closed then.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handle: impl Fn(Request) -> Reply + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let channels: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handle = Arc::new(handle);
        let (flag, open) = (Arc::clone(&stopped), Arc::clone(&channels));
        thread::spawn(move || {
            while !flag.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            let mut open = open.lock().unwrap();
                            open.retain(|s| s.peer_addr().is_ok());
                            open.push(copy);
                        }
                        let handle = Arc::clone(&handle);
                        let flag = Arc::clone(&flag);
                        thread::spawn(move || {
                            let _ = serve(stream, &*handle, &flag);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self { address, stopped, channels })
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
        // The listening thread ends within a few milliseconds.
        thread::sleep(Duration::from_millis(10));
    }
}

fn serve(
    stream: TcpStream,
    handle: &(impl Fn(Request) -> Reply + ?Sized),
    stopped: &AtomicBool,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader)? {
        match handle(request) {
            Reply::Full(status, body) if !stopped.load(Ordering::SeqCst) => {
                let mut answer = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                )
                .into_bytes();
                answer.extend(body);
                writer.write_all(&answer)?;
            }
            _ => {
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return Ok(());
            }
        }
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((String::from(first.trim_end()), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), String::from(value.trim()));
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = String::from(words.next().unwrap_or_default());
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(k, v)| (String::from(k), unescape(v))).collect();
    Ok(Some(Request { method, path: String::from(path), query, headers, body }))
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        rest = tail;
        let code = tail.get(..2).and_then(|d| std::str::from_utf8(d).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(code) if byte == b'%' => {
                bytes.push(code);
                rest = &tail[2..];
            }
            _ => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends one request over a channel of its own; `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("connection: close\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, body))
}
