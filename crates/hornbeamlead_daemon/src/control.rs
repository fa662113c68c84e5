//! Control thread: sends and receives UDP datagrams between processes.

use crate::counters::ProcessCounters;
use crate::decision::{InboxItem, RoleInput};
use crate::ring::RingSender;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::message::control::ControlMessage;
use hornbeamlead_wire::{MAX_DATAGRAM_BYTES, decode_control, encode_control};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Outgoing datagram.
#[derive(Debug)]
pub(crate) struct Datagram {
    pub(crate) to: SocketAddr,
    pub(crate) message: ControlMessage,
}

/// Maximum number of datagrams queued for sending.
pub(crate) const CONTROL_RING_CAPACITY: usize = 1024;

/// I/O loop of the control thread.
pub(crate) struct ControlLoop<I> {
    /// UDP socket; it uses the same port number as the TCP listener for links.
    pub(crate) socket: UdpSocket,
    pub(crate) outgoing: mpsc::Receiver<Datagram>,
    /// Sender to the decision thread.
    pub(crate) inbox: RingSender<InboxItem<I>>,
    pub(crate) counters: Arc<ProcessCounters>,
}

impl<I: RoleInput> ControlLoop<I> {
    /// Sends and receives until the decision thread has terminated.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                datagram = self.outgoing.recv() => match datagram {
                    Some(datagram) => self.send(&datagram).await,
                    None => return,
                },
                received = self.socket.recv_from(&mut buffer) => {
                    // An error reports that an earlier datagram could not be delivered.
                    if let Ok((length, from)) = received {
                        self.receive(&buffer[..length], from);
                    }
                }
            }
        }
    }

    async fn send(&self, datagram: &Datagram) {
        let bytes = encode_control(&datagram.message);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            self.counters.refusal(RefusalReason::BodyTooLong);
            return;
        }
        // Send errors are ignored: datagrams are unreliable, and the protocol tolerates their loss.
        let _ = self.socket.send_to(&bytes, datagram.to).await;
    }

    fn receive(&self, bytes: &[u8], from: SocketAddr) {
        let Ok(message) = decode_control(bytes) else {
            self.counters.refusal(RefusalReason::Undecodable);
            return;
        };
        let item = InboxItem::Input(I::datagram(from, message));
        if self.inbox.offer(item).is_err() {
            self.counters.refusal(RefusalReason::RingFull);
        }
    }
}
