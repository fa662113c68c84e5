//! Fault-injecting proxy for TCP and UDP on one port.

mod control;
mod datagrams;
mod streams;

pub mod faults;

use crate::http::bind;
use crate::runner::RunnerThread;
pub use faults::{PathFaults, ProxyFaults};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use tokio::sync::watch;

/// Maximum number of further attempts to find a port that is free for both TCP and UDP.
const MAX_BIND_RETRIES: usize = 50;

/// Settings of a proxy at start.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Address to listen on, over TCP and UDP.
    pub listen: SocketAddr,
    /// Address to forward to.
    pub target: SocketAddr,
    /// Address of the HTTP interface that changes the faults.
    pub control: SocketAddr,
    /// Seed of the random faults of datagrams.
    pub seed: u64,
    /// Initial faults.
    pub faults: ProxyFaults,
}

impl ProxySettings {
    /// Returns settings of a proxy to `target` on free ports, without faults.
    #[must_use]
    pub fn new(target: SocketAddr) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen: any_port,
            target,
            control: any_port,
            seed: 1,
            faults: ProxyFaults::default(),
        }
    }
}

/// State shared by the listeners of one proxy.
#[derive(Debug)]
pub(crate) struct ProxyShared {
    /// Current faults.
    pub(crate) faults: watch::Sender<ProxyFaults>,
    /// Address that new connections and datagrams are forwarded to.
    pub(crate) target: watch::Sender<SocketAddr>,
}

/// Running fault proxy.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    control_address: SocketAddr,
    shared: Arc<ProxyShared>,
    runner: RunnerThread,
}

impl FaultProxy {
    /// Starts a proxy.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound or the thread cannot be started.
    pub fn start(settings: ProxySettings) -> io::Result<Self> {
        let (listener, socket) = bind_both(settings.listen)?;
        let control_listener = bind(settings.control)?;
        let address = listener.local_addr()?;
        let control_address = control_listener.local_addr()?;
        let shared = Arc::new(ProxyShared {
            faults: watch::Sender::new(settings.faults),
            target: watch::Sender::new(settings.target),
        });
        let served = Arc::clone(&shared);
        let seed = settings.seed;
        let runner = RunnerThread::start("proxy", move || async move {
            tokio::select! {
                ended = streams::run(listener, Arc::clone(&served)) => ended,
                ended = datagrams::run(socket, Arc::clone(&served), seed) => ended,
                ended = control::run(control_listener, Arc::clone(&served)) => ended,
            }
        })?;
        Ok(Self {
            address,
            control_address,
            shared,
            runner,
        })
    }

    /// Returns the address that clients use instead of the target's.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the HTTP interface that changes the faults.
    #[must_use]
    pub fn control_addr(&self) -> SocketAddr {
        self.control_address
    }

    /// Changes the current faults.
    pub fn control(&self, change: impl FnOnce(&mut ProxyFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Forwards new connections and datagrams to another target.
    pub fn retarget(&self, target: SocketAddr) {
        self.shared.target.send_replace(target);
    }

    /// Stops the proxy and closes all connections.
    pub fn stop(mut self) {
        self.runner.stop();
    }
}

/// Binds TCP and UDP to the same port; port 0 selects a free one.
fn bind_both(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut retries_left = MAX_BIND_RETRIES;
    loop {
        let listener = bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => {
                socket.set_nonblocking(true)?;
                return Ok((listener, socket));
            }
            Err(_) if retries_left > 0 && address.port() == 0 => retries_left -= 1,
            Err(error) => return Err(error),
        }
    }
}
