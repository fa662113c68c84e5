//! Small HTTP/1.1 server and client, one thread for each connection.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }

    pub fn query_text(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query_text(name)?.parse().ok()
    }
}

pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<Reply> + Send + Sync>;

/// Server of a listener.
pub struct Server {
    address: SocketAddr,
    /// Open connections; `None` once the server is closed.
    streams: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

impl Server {
    /// Closes the listener and all connections, as the end of a process does.
    pub fn close(&self) {
        let streams = self.streams.lock().unwrap().take();
        // Wakes the thread that accepts connections, which then drops the listener.
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
        for stream in streams.into_iter().flatten() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves a listener until the server is closed or the process ends.
pub fn serve(listener: TcpListener, handler: Handler) -> Server {
    let address = listener.local_addr().expect("an address");
    let streams = Arc::new(Mutex::new(Some(Vec::new())));
    let open = Arc::clone(&streams);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            match (open.lock().unwrap().as_mut(), stream.try_clone()) {
                (None, _) => return,
                (Some(open), Ok(clone)) => open.push(clone),
                (Some(_), Err(_)) => continue,
            }
            thread::spawn(move || drop(serve_connection(stream, &handler)));
        }
    });
    Server { address, streams }
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer)? {
        let Some(reply) = handler(request) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            reply.status,
            reply.body.len()
        );
        let bytes = [head.into_bytes(), reply.body].concat();
        stream.write_all(&bytes)?;
    }
    Ok(())
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 65536];
    let length = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..length]);
    Ok(length > 0)
}

fn find_head_end(buffer: &[u8]) -> Option<usize> {
    buffer
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|at| at + 4)
}

fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let end = loop {
        match find_head_end(buffer) {
            Some(end) => break end,
            None if read_more(stream, buffer)? => {}
            None => return Ok(None),
        }
    };
    let head: Vec<u8> = buffer.drain(..end).collect();
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_string();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(key, value)| (key.trim().to_string(), value.trim().to_string()));
    Ok(Some((first, headers.collect())))
}

fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    headers: &[(String, String)],
) -> io::Result<Vec<u8>> {
    let length = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    while buffer.len() < length {
        if !read_more(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buffer.drain(..length).collect())
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(stream, buffer)? else {
        return Ok(None);
    };
    let body = read_body(stream, buffer, &headers)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_string();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_string(), query.to_string());
    Ok(Some(Request {
        method,
        path,
        query,
        headers,
        body,
    }))
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection was refused.
    Refused,
    /// The connection broke, or no answer came in time.
    NoAnswer,
}

/// Makes a call on a connection of its own.
pub fn call(
    address: SocketAddr,
    (method, path, host): (&str, &str, &str),
    body: &str,
    timeout: Duration,
) -> Result<Reply, CallError> {
    let deadline = Instant::now() + timeout;
    let mut stream = match TcpStream::connect_timeout(&address, timeout) {
        Ok(stream) => stream,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(CallError::Refused);
        }
        Err(_) => return Err(CallError::NoAnswer),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    let mut exchange = || -> io::Result<Reply> {
        stream.set_nodelay(true)?;
        stream.write_all(head.as_bytes())?;
        let left = deadline.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut buffer = Vec::new();
        let Some((first, headers)) = read_head(&mut stream, &mut buffer)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let body = read_body(&mut stream, &mut buffer, &headers)?;
        Ok(Reply { status, body })
    };
    exchange().map_err(|_| CallError::NoAnswer)
}
