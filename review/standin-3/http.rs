//! Minimal HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Request as read from a connection.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(key, _)| key == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}

/// Response of a handler.
pub enum Reply {
    Json(u16, String),
    Raw(Vec<u8>),
    /// The connection is closed without an answer.
    Close,
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        _ => "Other",
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().into(), headers)));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_ascii_lowercase(), value.trim().into()));
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Reply) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some((first, headers)) = read_head(&mut reader)? {
        let mut words = first.split(' ').map(String::from);
        let path = words.nth(1).unwrap_or_default();
        let body = read_body(&mut reader, &headers)?;
        let reply = handler(Request {
            path,
            headers,
            body,
        });
        let (status, kind, body) = match reply {
            Reply::Json(status, body) => (status, "application/json", body.into_bytes()),
            Reply::Raw(body) => (200, "application/octet-stream", body),
            Reply::Close => return Ok(()),
        };
        let head = format!(
            "HTTP/1.1 {status} {}\r\ncontent-type: {kind}\r\ncontent-length: {}\r\n\r\n",
            reason(status),
            body.len()
        );
        writer.write_all(&[head.as_bytes(), &body].concat())?;
    }
    Ok(())
}

/// Serves a listener until `is_open` returns false, which is checked at each connection.
pub fn serve(
    listener: TcpListener,
    is_open: impl Fn() -> bool + Send + 'static,
    handler: impl Fn(Request) -> Reply + Send + Sync + 'static,
) {
    let handler: Arc<dyn Fn(Request) -> Reply + Send + Sync> = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            if !is_open() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

/// Makes a call on a connection of its own.
pub fn call(
    address: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let length = body.len();
    let mut text = format!("{method} {path} HTTP/1.1\r\ncontent-length: {length}\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let body = read_body(&mut reader, &headers)?;
    Ok((status, String::from_utf8_lossy(&body).into()))
}
