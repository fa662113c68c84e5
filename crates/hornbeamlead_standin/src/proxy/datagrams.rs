//! Forwards datagrams.
//!
//! Each client gets a socket of its own towards the target, so that answers find their way back.

use super::ProxyShared;
use super::faults::Direction;
use super::streams::{wait, wait_unpaused};
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Clients served at most.
const MAX_CLIENTS: usize = 1024;

/// Draws the fate of datagrams.
type SharedRandom = Arc<Mutex<SmallRng>>;

/// One datagram on its way.
struct DatagramPath {
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    to: SocketAddr,
    direction: Direction,
    shared: Arc<ProxyShared>,
}

/// Forwards datagrams without an end.
pub(crate) async fn run(
    socket: std::net::UdpSocket,
    shared: Arc<ProxyShared>,
    seed: u64,
) -> io::Result<()> {
    let listener = Arc::new(UdpSocket::from_std(socket)?);
    let random = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
    let mut clients: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here tells of an earlier datagram that met a closed port.
        let Ok((length, client)) = listener.recv_from(&mut buffer).await else {
            continue;
        };
        if clients.len() >= MAX_CLIENTS && !clients.contains_key(&client) {
            continue;
        }
        let socket = match clients.get(&client) {
            Some(socket) => Arc::clone(socket),
            None => {
                let socket = open_back(&listener, client, &shared, &random).await?;
                clients.insert(client, Arc::clone(&socket));
                socket
            }
        };
        let path = DatagramPath {
            socket,
            client,
            to: *shared.target.borrow(),
            direction: Direction::Forward,
            shared: Arc::clone(&shared),
        };
        pass(path, &buffer[..length], &random);
    }
}

/// Opens the socket of a client and forwards what comes back over it.
async fn open_back(
    listener: &Arc<UdpSocket>,
    client: SocketAddr,
    shared: &Arc<ProxyShared>,
    random: &SharedRandom,
) -> io::Result<Arc<UdpSocket>> {
    let socket = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    let (back, listener) = (Arc::clone(&socket), Arc::clone(listener));
    let (shared, random) = (Arc::clone(shared), Arc::clone(random));
    tokio::spawn(async move {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = back.recv_from(&mut buffer).await else {
                continue;
            };
            let path = DatagramPath {
                socket: Arc::clone(&listener),
                client,
                to: client,
                direction: Direction::Backward,
                shared: Arc::clone(&shared),
            };
            pass(path, &buffer[..length], &random);
        }
    });
    Ok(socket)
}

/// Draws the fate of a datagram and sends it so.
fn pass(path: DatagramPath, bytes: &[u8], random: &SharedRandom) {
    let mut random = random.lock().unwrap_or_else(PoisonError::into_inner);
    let faults = path.shared.faults.borrow().clone();
    let path_faults = faults.path(path.direction);
    let hits = |random: &mut SmallRng, percent: u8| random.random_range(0..100) < percent;
    let dropped = hits(&mut random, path_faults.drop_percent);
    let blocked = faults.blocked.contains(&path.client);
    if faults.cut || blocked || path_faults.swallow || dropped {
        return;
    }
    let mut delay = path_faults.draw_delay(&mut random);
    if hits(&mut random, path_faults.reorder_percent) {
        delay += Duration::from_micros(path_faults.reorder_us);
    }
    let copies = 1 + usize::from(hits(&mut random, path_faults.duplicate_percent));
    let bytes = Bytes::copy_from_slice(bytes);
    tokio::spawn(send_later(path, bytes, delay, copies));
}

async fn send_later(path: DatagramPath, bytes: Bytes, delay: Duration, copies: usize) {
    wait(delay).await;
    let mut faults = path.shared.faults.subscribe();
    if wait_unpaused(&mut faults).await.is_err() {
        return;
    }
    for _ in 0..copies {
        // A datagram that cannot be sent is lost, as on any network.
        let _ = path.socket.send_to(&bytes, path.to).await;
    }
}
