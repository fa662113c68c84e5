//! Faults that the proxy injects into TCP and UDP traffic.

use hornbeamlead_standin::proxy::{FaultProxy, ProxySettings};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

/// Time without data after which no more data is expected.
const QUIET_PERIOD: Duration = Duration::from_millis(200);

/// Timeout for data that is expected.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts an echo server and a proxy before it.
fn echoing_proxy() -> FaultProxy {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    let socket = UdpSocket::bind(address).unwrap();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            std::thread::spawn(move || {
                let mut reader = stream.try_clone().unwrap();
                let _ = std::io::copy(&mut reader, &mut stream);
            });
        }
    });
    std::thread::spawn(move || {
        let mut buffer = [0; 1024];
        while let Ok((length, from)) = socket.recv_from(&mut buffer) {
            let _ = socket.send_to(&buffer[..length], from);
        }
    });
    FaultProxy::start(ProxySettings::new(address)).unwrap()
}

fn connect(proxy: &FaultProxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.addr()).unwrap();
    stream.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
    stream
}

fn exchange(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    stream.write_all(b"ping")?;
    let mut answer = [0; 4];
    stream.read_exact(&mut answer)?;
    Ok(answer)
}

fn datagram_client(proxy: &FaultProxy) -> UdpSocket {
    let socket = UdpSocket::bind(any_port()).unwrap();
    socket.connect(proxy.addr()).unwrap();
    socket
}

/// Receives `count` datagrams of one byte, and further ones until [`QUIET_PERIOD`] passes without
/// any.
fn receive(socket: &UdpSocket, count: usize) -> Vec<u8> {
    let mut received = Vec::new();
    let mut byte = [0];
    loop {
        let timeout = if received.len() < count {
            RECEIVE_TIMEOUT
        } else {
            QUIET_PERIOD
        };
        socket.set_read_timeout(Some(timeout)).unwrap();
        match socket.recv(&mut byte) {
            Ok(_) => received.push(byte[0]),
            Err(_) => return received,
        }
    }
}

#[test]
fn refuses_and_returns() {
    let proxy = echoing_proxy();
    let mut stream = connect(&proxy);
    assert_eq!(exchange(&mut stream).unwrap(), *b"ping");
    proxy.control(|faults| faults.refuse = true);
    assert!(exchange(&mut stream).is_err());
    let until = Instant::now() + RECEIVE_TIMEOUT;
    let refused = || {
        TcpStream::connect(proxy.addr()).is_err_and(|it| it.kind() == ErrorKind::ConnectionRefused)
    };
    while !refused() {
        assert!(
            Instant::now() < until,
            "the proxy still accepts connections"
        );
    }
    proxy.control(|faults| faults.refuse = false);
    while TcpStream::connect(proxy.addr()).is_err() {
        assert!(
            Instant::now() < until,
            "the proxy still refuses connections"
        );
    }
    assert_eq!(exchange(&mut connect(&proxy)).unwrap(), *b"ping");
}

#[test]
fn stream_passes() {
    let proxy = echoing_proxy();
    assert_eq!(exchange(&mut connect(&proxy)).unwrap(), *b"ping");
}

#[test]
fn stream_cut() {
    let proxy = echoing_proxy();
    let mut stream = connect(&proxy);
    exchange(&mut stream).unwrap();
    proxy.control(|faults| faults.cut = true);
    assert!(exchange(&mut stream).is_err());
    assert!(exchange(&mut connect(&proxy)).is_err());
    proxy.control(|faults| faults.cut = false);
    assert!(exchange(&mut connect(&proxy)).is_ok());
}

#[test]
fn stream_delayed() {
    let proxy = echoing_proxy();
    let mut stream = connect(&proxy);
    proxy.control(|faults| faults.forward.delay_us = 50_000);
    let started = Instant::now();
    exchange(&mut stream).unwrap();
    assert!(started.elapsed() >= Duration::from_millis(50));
}

#[test]
fn answers_swallowed() {
    let proxy = echoing_proxy();
    let mut stream = connect(&proxy);
    proxy.control(|faults| faults.backward.swallow = true);
    stream.set_read_timeout(Some(QUIET_PERIOD)).unwrap();
    let error = exchange(&mut stream).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
}

#[test]
fn pause_ends() {
    let proxy = echoing_proxy();
    let mut stream = connect(&proxy);
    let socket = datagram_client(&proxy);
    proxy.control(|faults| faults.pause = true);
    stream.write_all(b"ping").unwrap();
    socket.send(b"a").unwrap();
    assert_eq!(receive(&socket, 0), b"");
    proxy.control(|faults| faults.pause = false);
    let mut answer = [0; 4];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(answer, *b"ping");
    assert_eq!(receive(&socket, 1), b"a");
}

#[test]
fn datagram_faults() {
    let proxy = echoing_proxy();
    let socket = datagram_client(&proxy);
    socket.send(b"a").unwrap();
    assert_eq!(receive(&socket, 1), b"a");
    proxy.control(|faults| faults.forward.duplicate_percent = 100);
    socket.send(b"b").unwrap();
    assert_eq!(receive(&socket, 2), b"bb");
    proxy.control(|faults| faults.backward.drop_percent = 100);
    socket.send(b"c").unwrap();
    assert_eq!(receive(&socket, 0), b"");
}

#[test]
fn datagrams_reordered() {
    let proxy = echoing_proxy();
    let socket = datagram_client(&proxy);
    proxy.control(|faults| {
        faults.forward.reorder_percent = 100;
        faults.forward.reorder_us = 1_000_000;
    });
    socket.send(b"a").unwrap();
    std::thread::sleep(Duration::from_millis(20));
    proxy.control(|faults| faults.forward.reorder_percent = 0);
    socket.send(b"b").unwrap();
    assert_eq!(receive(&socket, 2), b"ba");
}

#[test]
fn client_blocked() {
    let proxy = echoing_proxy();
    let (blocked, free) = (datagram_client(&proxy), datagram_client(&proxy));
    let address = blocked.local_addr().unwrap();
    proxy.control(|faults| {
        faults.blocked.insert(address);
    });
    blocked.send(b"a").unwrap();
    free.send(b"b").unwrap();
    assert_eq!(receive(&free, 1), b"b");
    assert_eq!(receive(&blocked, 0), b"");
}
