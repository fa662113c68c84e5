//! Blocking HTTP/1.1 server and client on loopback addresses.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    pub kind: &'static str,
}

impl Reply {
    pub fn json(status: u16, body: impl Into<String>) -> Option<Self> {
        Some(Self {
            status,
            body: body.into().into_bytes(),
            kind: "application/json",
        })
    }

    pub fn raw(body: Vec<u8>) -> Option<Self> {
        Some(Self {
            status: 200,
            body,
            kind: "application/octet-stream",
        })
    }
}

/// Server that can be closed, which refuses new connections and resets those that are open.
pub struct Server {
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Serves requests; a handler that returns `None` leaves the request without an answer and ends
    /// the connection.
    pub fn start<H>(address: SocketAddr, handler: H) -> std::io::Result<Self>
    where
        H: Fn(Request) -> Option<Reply> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let open = Arc::new(Mutex::new(Vec::<TcpStream>::new()));
        let handler = Arc::new(handler);
        let (is_closed, streams) = (Arc::clone(&closed), Arc::clone(&open));
        let accepting = thread::spawn(move || {
            while !is_closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(Self {
            closed,
            open,
            accepting: Some(accepting),
        })
    }

    pub fn close(&mut self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &(dyn Fn(Request) -> Option<Reply> + Send + Sync)) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some(reply) = handler(request) else {
            let _ = writer.shutdown(std::net::Shutdown::Both);
            return;
        };
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: {}\r\ncontent-length: {}\r\n\r\n",
            reply.status,
            reply.kind,
            reply.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(reply.body);
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &HashMap<String, String>,
) -> Option<Vec<u8>> {
    let length = headers
        .get("content-length")
        .map_or(Some(0), |text| text.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs
        .map(|(key, value)| (key.to_owned(), decode(value)))
        .collect();
    let body = read_body(reader, &headers)?;
    Some(Request {
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut plain, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = bytes
            .get(at + 1..at + 3)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        match (
            bytes[at],
            digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                plain.push(byte);
                at += 3;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Sends a request on a connection of its own; `None` without a complete answer.
pub fn send(
    address: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}
