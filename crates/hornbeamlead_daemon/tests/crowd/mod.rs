//! Crowds of clients that never finish what they send, and the bounds of the process they meet.
//!
//! The tests check what does not depend on the speed of the machine: that the process lives, that
//! its peak memory and its descriptors stay within its machine's, and that ordinary clients are
//! answered while the crowd's connections are open.

// Each test file uses a part of the module.
#![allow(dead_code)]

use bytes::Bytes;
use hornbeamlead_emulator::process::{ProcessRole, SoakNetwork, SoakProcess};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;

/// Timeout for a process to start or stop, and for ordinary clients; a process that hangs exceeds
/// any.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(40);

/// Timeout of one attempt of an ordinary client, after which it tries again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time for a crowd to send what the process takes.
const SEND_TIMEOUT: Duration = Duration::from_secs(25);

/// The same for requests that take a process long to read.
const LONG_SEND_TIMEOUT: Duration = Duration::from_secs(100);

/// Connections that a client of the crowd opens again after the process has closed one.
const REOPENINGS: usize = 2;

/// Pause before a client of the crowd connects again.
const REOPEN_PAUSE: Duration = Duration::from_millis(300);

/// Connections that a crowd opens at a time, fewer than a listener queues.
const CONNECTS: usize = 64;

/// Pause between two pieces of what a client sends.
const PIECE_PAUSE: Duration = Duration::from_millis(50);

/// Interval of counting the descriptors of the process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Limits of the machine of a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MachineBounds {
    /// Memory, in megabytes.
    pub(crate) memory_mb: u64,
    /// Descriptors.
    pub(crate) descriptors: usize,
}

/// Machine of an entry.
pub(crate) const ENTRY_MACHINE: MachineBounds = MachineBounds {
    memory_mb: 260,
    descriptors: 4100,
};

/// Machine of a worker and its agent.
pub(crate) const AGENT_MACHINE: MachineBounds = MachineBounds {
    memory_mb: 128,
    descriptors: 4096,
};

/// What each client of a crowd sends on a connection that it then leaves open.
#[derive(Clone, Debug)]
pub(crate) struct CrowdRequest {
    bytes: Bytes,
    /// Size of the pieces; one piece if absent.
    piece: Option<usize>,
    send_timeout: Duration,
}

impl CrowdRequest {
    /// Sends everything at once.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            bytes: bytes.into(),
            piece: None,
            send_timeout: SEND_TIMEOUT,
        }
    }

    /// Sends everything at once, which takes the process long to read.
    pub(crate) fn long(bytes: impl Into<Bytes>) -> Self {
        Self {
            send_timeout: LONG_SEND_TIMEOUT,
            ..Self::whole(bytes)
        }
    }

    /// Sends pieces of `piece` bytes with pauses between them.
    pub(crate) fn in_pieces(bytes: impl Into<Bytes>, piece: usize) -> Self {
        Self {
            piece: Some(piece),
            ..Self::whole(bytes)
        }
    }
}

/// Clients that keep connections open without finishing what they send.
pub(crate) struct Crowd {
    runtime: Runtime,
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
    size: usize,
    deadline: Instant,
}

impl Crowd {
    /// Has `size` clients connect and send.
    pub(crate) fn open(address: SocketAddr, size: usize, request: &CrowdRequest) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let sent = Arc::new(AtomicUsize::new(0));
        let connects = Arc::new(Semaphore::new(CONNECTS));
        for _ in 0..size {
            let (connects, sent) = (Arc::clone(&connects), Arc::clone(&sent));
            runtime.spawn(misbehave(address, request.clone(), connects, sent));
        }
        Self {
            runtime,
            address,
            sent,
            size,
            deadline: Instant::now() + request.send_timeout,
        }
    }

    /// Waits until the process has read what all clients have sent, or for as long as that takes a
    /// process that does not read.
    pub(crate) fn settle(&self) {
        let is_settled =
            || self.sent.load(Ordering::Relaxed) >= self.size && unread_bytes(self.address) == 0;
        while !is_settled() && Instant::now() < self.deadline {
            std::thread::sleep(PIECE_PAUSE);
        }
    }

    /// Closes all connections.
    pub(crate) fn close(self) {
        self.runtime.shutdown_background();
    }
}

async fn misbehave(
    address: SocketAddr,
    request: CrowdRequest,
    connects: Arc<Semaphore>,
    sent: Arc<AtomicUsize>,
) {
    for opening in 0..=REOPENINGS {
        if opening > 0 {
            tokio::time::sleep(REOPEN_PAUSE).await;
        }
        let permit = connects.acquire().await;
        let stream = TcpStream::connect(address).await;
        drop(permit);
        let outcome = match stream {
            Ok(mut stream) => send(&mut stream, &request).await.then_some(stream),
            Err(_) => None,
        };
        if opening == 0 {
            sent.fetch_add(1, Ordering::Relaxed);
        }
        if let Some(stream) = outcome {
            // Answers are not read; only the end of the connection is awaited.
            while !is_closed(&stream).await {
                tokio::time::sleep(REOPEN_PAUSE).await;
            }
        }
    }
}

async fn send(stream: &mut TcpStream, request: &CrowdRequest) -> bool {
    let piece = request.piece.unwrap_or(request.bytes.len()).max(1);
    for (index, piece) in request.bytes.chunks(piece).enumerate() {
        if index > 0 {
            tokio::time::sleep(PIECE_PAUSE).await;
        }
        if stream.write_all(piece).await.is_err() {
            return false;
        }
    }
    true
}

/// Returns whether the process has closed a connection, without reading its answers.
async fn is_closed(stream: &TcpStream) -> bool {
    let ready = stream.ready(tokio::io::Interest::READABLE | tokio::io::Interest::WRITABLE);
    match tokio::time::timeout(Duration::ZERO, ready).await {
        Ok(Ok(ready)) => ready.is_read_closed() || ready.is_write_closed() || ready.is_error(),
        Ok(Err(_)) => true,
        Err(_) => false,
    }
}

/// Process under test on a machine with bounds.
pub(crate) struct BoundedProcess {
    pub(crate) process: SoakProcess,
    bounds: MachineBounds,
    descriptors: Arc<AtomicUsize>,
    done: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
    _directory: tempfile::TempDir,
    _alone: MutexGuard<'static, ()>,
}

/// Held by the test that runs, as crowds beside one another would share the machine.
static ALONE: Mutex<()> = Mutex::new(());

impl BoundedProcess {
    /// Starts a process in a role and waits until `listener` accepts connections.
    pub(crate) fn start(
        role: ProcessRole,
        bounds: MachineBounds,
        (store, peer): (SocketAddr, Option<SocketAddr>),
    ) -> Self {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = tempfile::tempdir().expect("a directory");
        let daemon = Path::new(env!("CARGO_BIN_EXE_hornbeamd"));
        let network = SoakNetwork::default();
        let process = SoakProcess::new(daemon, directory.path(), network, 0, role, (store, peer));
        let mut process = process.expect("settings are written");
        process.start().expect("started");
        let pid = process.id().expect("runs");
        let descriptors = Arc::new(AtomicUsize::new(0));
        let done = Arc::new(AtomicBool::new(false));
        let (peak, end) = (Arc::clone(&descriptors), Arc::clone(&done));
        let sampler = std::thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                peak.fetch_max(open_descriptors(pid), Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            process,
            bounds,
            descriptors,
            done,
            sampler: Some(sampler),
            _directory: directory,
            _alone: alone,
        }
    }

    /// Checks that the process lives within the bounds of its machine.
    pub(crate) fn check(&mut self) {
        let exit = self.process.take_exit();
        let log = self.process.read_log().unwrap_or_default();
        let last = log.lines().rev().take(5).collect::<Vec<_>>().join("\n");
        assert!(exit.is_none(), "the process has ended: {exit:?}\n{last}");
        let pid = self.process.id().expect("runs");
        let peak_mb = peak_memory_kb(pid) / 1000;
        let descriptors = self.descriptors.load(Ordering::Relaxed);
        eprintln!("peak {peak_mb} MB, {descriptors} descriptors");
        assert!(
            peak_mb <= self.bounds.memory_mb,
            "{peak_mb} MB of {}",
            self.bounds.memory_mb
        );
        assert!(
            descriptors <= self.bounds.descriptors,
            "{descriptors} descriptors of {}",
            self.bounds.descriptors
        );
    }

    /// Checks that a termination signal ends the process while the crowd is there.
    pub(crate) fn check_stop(&mut self) {
        self.process.terminate();
        let deadline = Instant::now() + TIMEOUT;
        let exit = loop {
            match self.process.take_exit() {
                Some(exit) => break exit,
                None if Instant::now() < deadline => std::thread::sleep(SAMPLE_INTERVAL),
                None => panic!("the process does not stop"),
            }
        };
        assert!(exit.is_clean(), "{exit:?}");
    }
}

impl Drop for BoundedProcess {
    fn drop(&mut self) {
        self.done.store(true, Ordering::Relaxed);
        if let Some(sampler) = self.sampler.take() {
            let _ = sampler.join();
        }
    }
}

/// Returns the number of bytes that a listener's process has received and not read.
fn unread_bytes(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next() == Some(&local);
        // A listening socket counts its connections there.
        let is_open = fields.nth(1) == Some("01");
        let queues = fields.next().filter(|_| is_local && is_open)?;
        u64::from_str_radix(queues.split(':').nth(1)?, 16).ok()
    };
    table.lines().filter_map(unread).sum()
}

fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Returns the peak of the resident memory, in kilobytes.
fn peak_memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .expect("VmHWM")
}

/// Sends a request as an ordinary client does, again after a broken connection, and returns the
/// status of the answer.
pub(crate) fn ask(address: SocketAddr, request: &[u8]) -> u16 {
    let (status, _) = retry(|| exchange(address, request));
    status
}

/// Returns the text of a process's metrics.
pub(crate) fn read_metrics(address: SocketAddr) -> String {
    let request = b"GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    retry(|| async { Some(read_answer(address, request, |_| false).await?.1) })
}

/// Asks until the answer has a status.
pub(crate) fn ask_until(address: SocketAddr, request: &[u8], status: u16) {
    let asked = || async {
        let (found, _) = exchange(address, request).await?;
        (found == status).then_some(())
    };
    retry(asked);
}

/// Makes attempts of an ordinary client until one succeeds.
pub(crate) fn retry<T, F: Future<Output = Option<T>>>(attempt: impl Fn() -> F) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let outcome = runtime.block_on(async {
            tokio::time::timeout(ATTEMPT_TIMEOUT, attempt())
                .await
                .ok()
                .flatten()
        });
        match outcome {
            Some(outcome) => return outcome,
            None => assert!(
                Instant::now() < deadline,
                "an ordinary client is not served"
            ),
        }
        std::thread::sleep(PIECE_PAUSE);
    }
}

async fn exchange(address: SocketAddr, request: &[u8]) -> Option<(u16, String)> {
    let has_head = |answer: &[u8]| answer.windows(4).any(|bytes| bytes == b"\r\n\r\n");
    read_answer(address, request, has_head).await
}

/// Sends a request and reads until `is_complete` or the end of the connection.
async fn read_answer(
    address: SocketAddr,
    request: &[u8],
    is_complete: impl Fn(&[u8]) -> bool,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    // A process that refuses the request may close the connection before it has read all of it.
    let _ = stream.write_all(request).await;
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    while !is_complete(&answer) {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => answer.extend_from_slice(&buffer[..length]),
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text))
}
