//! HTTP/1.1 over loopback: a server with one thread a connection, and a client with one call a connection.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request.
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Parameter of the query as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }
}

/// What the server does with a request.
pub enum Response {
    /// Answers with a status and a body.
    Answer(u16, Vec<u8>),
    /// Closes the connection without an answer.
    Close,
}

/// Answer with a JSON body.
pub fn json(status: u16, body: impl Into<String>) -> Response {
    Response::Answer(status, body.into().into_bytes())
}

type Handler = Arc<dyn Fn(&Request) -> Response + Send + Sync>;

/// Serves `listener` until `ended` returns true.
pub fn serve(listener: TcpListener, ended: Arc<dyn Fn() -> bool + Send + Sync>, handler: Handler) {
    listener.set_nonblocking(true).expect("non-blocking listener");
    thread::spawn(move || {
        while !ended() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (handler, ended) = (Arc::clone(&handler), Arc::clone(&ended));
                    thread::spawn(move || connection(stream, &*ended, &handler));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn connection(stream: TcpStream, ended: &dyn Fn() -> bool, handler: &Handler) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reading);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader) {
        if ended() {
            return;
        }
        let Response::Answer(status, body) = handler(&request) else { return };
        if ended() {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let sent = writer.write_all(&[head.into_bytes(), body].concat());
        if sent.is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some((String::from(first.trim_end()), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), String::from(value.trim()));
    }
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> Option<Vec<u8>> {
    let length = headers.get("content-length").map_or(Some(0), |text| text.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (String::from(name), decode(value))).collect();
    Some(Request { path: String::from(path), query, headers, body })
}

/// Decodes `%XX` in a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match hex.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends a request as a consumer and returns the status and the body; none if there is no answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
