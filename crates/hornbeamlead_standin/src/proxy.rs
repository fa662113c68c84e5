//! Fault proxy for TCP and UDP on one port.

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

/// Tries to bind TCP and UDP to one free port.
const BIND_TRIES: usize = 50;

/// Settings fixed at start.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Address to listen on, over TCP and UDP.
    pub listen: SocketAddr,
    /// Address to forward to.
    pub target: SocketAddr,
    /// Address that takes changes of the faults.
    pub control: SocketAddr,
    /// Seed of the choice of datagrams.
    pub seed: u64,
    /// Faults at start.
    pub faults: ProxyFaults,
}

impl ProxySettings {
    /// Makes settings of a proxy without faults on free ports.
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
    /// Faults in force.
    pub(crate) faults: watch::Sender<ProxyFaults>,
    /// Target.
    pub(crate) target: watch::Sender<SocketAddr>,
}

/// Running proxy.
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
    /// Returns the error of binding or of starting the thread.
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

    /// Returns the address to send to in place of the target's.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that takes changes of the faults.
    #[must_use]
    pub fn control_addr(&self) -> SocketAddr {
        self.control_address
    }

    /// Changes the faults.
    pub fn control(&self, change: impl FnOnce(&mut ProxyFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Forwards what comes from now on to another target.
    pub fn retarget(&self, target: SocketAddr) {
        self.shared.target.send_replace(target);
    }

    /// Stops the proxy and closes all connections.
    pub fn stop(mut self) {
        self.runner.stop();
    }
}

/// Binds TCP and UDP to the same port, a free one where the port is 0.
fn bind_both(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut tries = BIND_TRIES;
    loop {
        let listener = bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => {
                socket.set_nonblocking(true)?;
                return Ok((listener, socket));
            }
            Err(_) if tries > 0 && address.port() == 0 => tries -= 1,
            Err(error) => return Err(error),
        }
    }
}
