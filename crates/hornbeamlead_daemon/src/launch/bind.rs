//! Binds the sockets of a process before its first thread starts.

use hornbeamlead_settings::ListenAddresses;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 32;

/// Error of binding a socket.
#[derive(Debug, Snafu)]
pub(crate) enum BindError {
    #[snafu(display("cannot listen on {name} address {address}: {source}"))]
    Listener {
        /// Name of the address in the settings.
        name: &'static str,
        address: SocketAddr,
        source: io::Error,
    },
    #[snafu(display("no port of {address} is free for both TCP and UDP"))]
    NoSharedPort { address: SocketAddr },
}

/// Listener and the address that it is bound to, with the port that the kernel chose for port 0.
pub(crate) struct BoundListener {
    pub(crate) listener: TcpListener,
    pub(crate) address: SocketAddr,
}

/// Sockets of a process.
pub(crate) struct BoundSockets {
    /// Address of the links and, on the same port number, of the control datagrams.
    pub(crate) inner: SocketAddr,
    pub(crate) links: TcpListener,
    pub(crate) control: UdpSocket,
    pub(crate) operators: BoundListener,
    /// Callers' listener of an entry.
    pub(crate) callers: Option<BoundListener>,
    /// Agent's listener for the endpoint on its host.
    pub(crate) local: Option<BoundListener>,
}

impl BoundSockets {
    /// Binds all sockets.
    ///
    /// # Errors
    /// Returns the error of the first socket that cannot be bound.
    pub(crate) fn open(addresses: &ListenAddresses) -> Result<Self, BindError> {
        let (links, control) = bind_inner(addresses.inner)?;
        let callers = addresses.callers.map(|address| listen("callers", address));
        let local = addresses.local.map(|address| listen("local", address));
        Ok(Self {
            inner: links.address,
            links: links.listener,
            control,
            operators: listen("operators", addresses.operators)?,
            callers: callers.transpose()?,
            local: local.transpose()?,
        })
    }

    pub(crate) fn callers_address(&self) -> Option<SocketAddr> {
        self.callers.as_ref().map(|bound| bound.address)
    }

    pub(crate) fn operators_address(&self) -> SocketAddr {
        self.operators.address
    }

    pub(crate) fn local_address(&self) -> Option<SocketAddr> {
        self.local.as_ref().map(|bound| bound.address)
    }
}

/// Binds TCP and UDP on the same port number; retries with another port if the port is 0.
fn bind_inner(address: SocketAddr) -> Result<(BoundListener, UdpSocket), BindError> {
    for _ in 0..MAX_PORT_ATTEMPTS {
        let links = listen("inner", address)?;
        match bind_datagrams(links.address) {
            Ok(control) => return Ok((links, control)),
            Err(error) if address.port() == 0 && is_address_in_use(&error) => {}
            Err(source) => {
                let name = "inner";
                return Err(source).context(ListenerSnafu { name, address });
            }
        }
    }
    NoSharedPortSnafu { address }.fail()
}

fn is_address_in_use(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::AddrInUse
}

fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

fn listen(name: &'static str, address: SocketAddr) -> Result<BoundListener, BindError> {
    let open = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Ok(BoundListener { listener, address })
    };
    open().context(ListenerSnafu { name, address })
}
