//! Forwarding of TCP connections.

use super::ProxyShared;
use super::faults::{Direction, ProxyFaults};
use crate::http::bind;
use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Maximum bytes that one read returns.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of delayed chunks in one direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Time in which the port of a proxy that refused connections has to be free again.
const REBIND_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two attempts to bind it.
const REBIND_INTERVAL: Duration = Duration::from_millis(2);

/// Seed of the jitter in each direction of each connection.
const JITTER_SEED: u64 = 17;

/// Chunk with the time at which it is forwarded.
type TimedChunk = (Instant, Bytes);

/// Forwards connections forever. The listener is closed while connections are refused.
pub(crate) async fn run(
    listener: std::net::TcpListener,
    shared: Arc<ProxyShared>,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut listener = TcpListener::from_std(listener)?;
    let mut faults = shared.faults.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((client, _)) = accepted {
                    spawn_forward(client, &shared);
                }
            }
            () = wait_refusal(&mut faults, true) => {
                drop(listener);
                wait_refusal(&mut faults, false).await;
                listener = listen_again(address).await?;
            }
        }
    }
}

async fn wait_refusal(faults: &mut watch::Receiver<ProxyFaults>, refuse: bool) {
    // Fails only if the proxy has been dropped.
    let _ = faults.wait_for(|it| it.refuse == refuse).await;
}

async fn listen_again(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + REBIND_TIMEOUT;
    loop {
        match bind(address) {
            Ok(listener) => return TcpListener::from_std(listener),
            Err(error) if Instant::now() > deadline => return Err(error),
            Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
        }
    }
}

fn spawn_forward(client: TcpStream, shared: &Arc<ProxyShared>) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        // An error on one side closes the connection on both sides.
        let _ = forward(client, shared).await;
    });
}

/// Forwards one connection until it ends or is cut.
async fn forward(client: TcpStream, shared: Arc<ProxyShared>) -> io::Result<()> {
    let mut faults = shared.faults.subscribe();
    if faults.borrow().cut || faults.borrow().refuse {
        return reset(&client);
    }
    client.set_nodelay(true)?;
    let target = *shared.target.borrow();
    let server = TcpStream::connect(target).await?;
    server.set_nodelay(true)?;
    let (mut client_read, client_write) = client.into_split();
    let (mut server_read, server_write) = server.into_split();
    let subscribe = || shared.faults.subscribe();
    tokio::select! {
        _ = faults.wait_for(|it| it.cut || it.refuse) => {
            reset(client_read.as_ref())?;
            reset(server_read.as_ref())
        }
        ended = async {
            tokio::try_join!(
                pump(&mut client_read, server_write, subscribe(), Direction::Forward),
                pump(&mut server_read, client_write, subscribe(), Direction::Backward),
            )
        } => ended.map(|_| ()),
    }
}

/// Makes closing the connection send a reset instead of an orderly shutdown.
fn reset(stream: &TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}

/// Forwards one direction of a connection until its end.
async fn pump(
    from: &mut OwnedReadHalf,
    to: OwnedWriteHalf,
    faults: watch::Receiver<ProxyFaults>,
    direction: Direction,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let read = read_chunks(from, sender, faults.clone(), direction);
    let write = write_chunks(to, receiver, faults, direction);
    tokio::try_join!(read, write).map(|_| ())
}

async fn read_chunks(
    from: &mut OwnedReadHalf,
    sender: mpsc::Sender<TimedChunk>,
    faults: watch::Receiver<ProxyFaults>,
    direction: Direction,
) -> io::Result<()> {
    let mut random = SmallRng::seed_from_u64(JITTER_SEED);
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let delay = faults.borrow().path(direction).draw_delay(&mut random);
        let chunk = Bytes::copy_from_slice(&buffer[..length]);
        if sender.send((Instant::now() + delay, chunk)).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<TimedChunk>,
    mut faults: watch::Receiver<ProxyFaults>,
    direction: Direction,
) -> io::Result<()> {
    while let Some((due, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(due).await;
        if wait_unpaused(&mut faults).await.is_err() {
            return Ok(());
        }
        let swallow = faults.borrow().path(direction).swallow;
        if !swallow {
            to.write_all(&chunk).await?;
        }
    }
    to.shutdown().await
}

/// Waits until the proxy is not paused; fails if the proxy has been dropped.
pub(crate) async fn wait_unpaused(
    faults: &mut watch::Receiver<ProxyFaults>,
) -> Result<(), watch::error::RecvError> {
    faults.wait_for(|it| !it.pause).await.map(|_| ())
}

/// Sleeps unless the delay is zero.
pub(crate) async fn sleep_nonzero(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}
