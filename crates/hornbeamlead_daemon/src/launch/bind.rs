//! Binds all sockets of a process before its first thread starts.

use hornbeamlead_settings::ListenAddresses;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Tries to find a port that is free for TCP and UDP.
const PORT_TRIES: usize = 32;

/// Reports a socket that could not be bound.
#[derive(Debug, Snafu)]
pub(crate) enum BindError {
    /// A listener.
    #[snafu(display("cannot listen on {name} address {address}: {source}"))]
    Listener {
        /// Name of the address in the settings.
        name: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// No port is free for both protocols.
    #[snafu(display("no port of {address} is free for both TCP and UDP"))]
    NoSharedPort {
        /// Address.
        address: SocketAddr,
    },
}

/// Listener with the address that it got.
pub(crate) struct BoundListener {
    /// Listener.
    pub(crate) listener: TcpListener,
    /// Address.
    pub(crate) address: SocketAddr,
}

/// Sockets of a process.
pub(crate) struct BoundSockets {
    /// Address of the links and, on the same port number, of the datagrams.
    pub(crate) inner: SocketAddr,
    /// Listener of the links.
    pub(crate) links: TcpListener,
    /// Socket of the datagrams.
    pub(crate) control: UdpSocket,
    /// Operators' listener.
    pub(crate) operators: BoundListener,
    /// Callers' listener.
    pub(crate) callers: Option<BoundListener>,
    /// Listener for the endpoint.
    pub(crate) local: Option<BoundListener>,
}

impl BoundSockets {
    /// Binds all sockets.
    ///
    /// # Errors
    /// Returns the first that cannot be bound.
    pub(crate) fn open(addresses: &ListenAddresses) -> Result<Self, BindError> {
        let (links, control) = bind_inner(addresses.inner)?;
        let callers = addresses.callers.map(|it| listen("callers", it));
        let local = addresses.local.map(|it| listen("local", it));
        Ok(Self {
            inner: links.address,
            links: links.listener,
            control,
            operators: listen("operators", addresses.operators)?,
            callers: callers.transpose()?,
            local: local.transpose()?,
        })
    }

    /// Returns the address of the callers' listener.
    pub(crate) fn callers_address(&self) -> Option<SocketAddr> {
        self.callers.as_ref().map(|bound| bound.address)
    }

    /// Returns the address of the operators' listener.
    pub(crate) fn operators_address(&self) -> SocketAddr {
        self.operators.address
    }

    /// Returns the address of the listener for the endpoint.
    pub(crate) fn local_address(&self) -> Option<SocketAddr> {
        self.local.as_ref().map(|bound| bound.address)
    }
}

/// Binds TCP and UDP on one port number.
fn bind_inner(address: SocketAddr) -> Result<(BoundListener, UdpSocket), BindError> {
    for _ in 0..PORT_TRIES {
        let links = listen("inner", address)?;
        match bind_datagrams(links.address) {
            Ok(control) => return Ok((links, control)),
            Err(error) if address.port() == 0 && is_taken(&error) => {}
            Err(source) => {
                let name = "inner";
                return Err(source).context(ListenerSnafu { name, address });
            }
        }
    }
    NoSharedPortSnafu { address }.fail()
}

fn is_taken(error: &io::Error) -> bool {
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
