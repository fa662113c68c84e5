//! Forwarding of datagrams.
//!
//! Each client has its own socket towards the target, so that replies can be returned to it.

use super::ProxyShared;
use super::faults::Direction;
use super::streams::{sleep_nonzero, wait_unpaused};
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;

/// Maximum datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Maximum number of clients; datagrams of further ones are dropped.
const MAX_CLIENTS: usize = 1024;

/// Random number generator that selects the faults of datagrams.
type SharedRandom = Arc<Mutex<SmallRng>>;

/// Route of one datagram.
struct DatagramPath {
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    to: SocketAddr,
    direction: Direction,
    shared: Arc<ProxyShared>,
}

/// Forwards datagrams forever.
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
        // An error reports that an earlier datagram was sent to a closed port.
        let Ok((length, client)) = listener.recv_from(&mut buffer).await else {
            continue;
        };
        if clients.len() >= MAX_CLIENTS && !clients.contains_key(&client) {
            continue;
        }
        let socket = match clients.get(&client) {
            Some(socket) => Arc::clone(socket),
            None => {
                let socket = open_reply_socket(&listener, client, &shared, &random).await?;
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
        relay(path, &buffer[..length], &random);
    }
}

/// Opens the socket of a client towards the target and forwards the replies received on it.
async fn open_reply_socket(
    listener: &Arc<UdpSocket>,
    client: SocketAddr,
    shared: &Arc<ProxyShared>,
    random: &SharedRandom,
) -> io::Result<Arc<UdpSocket>> {
    let socket = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    let (receiver, listener) = (Arc::clone(&socket), Arc::clone(listener));
    let (shared, random) = (Arc::clone(shared), Arc::clone(random));
    tokio::spawn(async move {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = receiver.recv_from(&mut buffer).await else {
                continue;
            };
            let path = DatagramPath {
                socket: Arc::clone(&listener),
                client,
                to: client,
                direction: Direction::Backward,
                shared: Arc::clone(&shared),
            };
            relay(path, &buffer[..length], &random);
        }
    });
    Ok(socket)
}

/// Selects the faults of a datagram and forwards it accordingly.
fn relay(path: DatagramPath, bytes: &[u8], random: &SharedRandom) {
    let mut random = random.lock().unwrap_or_else(PoisonError::into_inner);
    let faults = path.shared.faults.borrow().clone();
    let path_faults = faults.path(path.direction);
    let draw = |random: &mut SmallRng, percent: u8| random.random_range(0..100) < percent;
    let dropped = draw(&mut random, path_faults.drop_percent);
    let blocked = faults.blocked.contains(&path.client);
    if faults.cut || blocked || path_faults.swallow || dropped {
        return;
    }
    let mut delay = path_faults.draw_delay(&mut random);
    if draw(&mut random, path_faults.reorder_percent) {
        delay += Duration::from_micros(path_faults.reorder_us);
    }
    let copies = 1 + usize::from(draw(&mut random, path_faults.duplicate_percent));
    let bytes = Bytes::copy_from_slice(bytes);
    tokio::spawn(send_later(path, bytes, delay, copies));
}

async fn send_later(path: DatagramPath, bytes: Bytes, delay: Duration, copies: usize) {
    sleep_nonzero(delay).await;
    let mut faults = path.shared.faults.subscribe();
    if wait_unpaused(&mut faults).await.is_err() {
        return;
    }
    for _ in 0..copies {
        // A datagram that cannot be sent is lost, as on a network.
        let _ = path.socket.send_to(&bytes, path.to).await;
    }
}
