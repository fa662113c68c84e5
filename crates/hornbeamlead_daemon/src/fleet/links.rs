//! Links thread: connections between agents and the planner.

use super::agent::AgentInput;
use crate::clock::BootClock;
use crate::ring::RingSender;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hornbeamlead_adapter::StoreClient;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::effect::LinkId;
use hornbeamlead_jobs::message::{AgentMessage, PlannerMessage};
use hornbeamlead_jobs::record::{decode, encode};
use hornbeamlead_jobs::relay::RelayedCall;
use hornbeamlead_jobs::store::{StoreCall, StoreOutcome};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Commands that wait for the links thread.
pub(super) const LINK_RING: usize = 4096;

/// Frames that wait on one link; a peer that takes none for so long is cut off.
const LINK_FRAMES: usize = 1024;

/// Largest frame, in bytes: a report of some thousand attempts.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// First number of links that others open; those that this process opens have lower ones.
const INCOMING_LINKS: u64 = 1 << 57;

/// Message on a link, either way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum PeerFrame {
    /// From an agent.
    Agent(AgentMessage),
    /// From the planner.
    Planner(PlannerMessage),
    /// Call to the store that the receiver is to make; the only frame on its connection.
    Relay(RelayedCall),
    /// What became of it.
    Relayed(StoreOutcome),
}

/// Command to the links thread.
#[derive(Clone, Debug)]
pub(super) enum LinkCommand {
    /// Open a link.
    Dial {
        link: LinkId,
        address: SocketAddr,
        timeout: Duration,
    },
    /// Send a frame.
    Send { link: LinkId, frame: PeerFrame },
    /// Close a link once what was sent before is written.
    CloseLink { link: LinkId },
}

/// What happens on links.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum LinkEvent {
    /// A link that this process dialed is open.
    Opened(LinkId),
    /// A frame came.
    Frame(LinkId, Box<PeerFrame>),
    /// A link has ended, or did not open; `refused` if nobody listens there.
    Closed { link: LinkId, refused: bool },
    /// A frame could not be read.
    Unreadable { link: LinkId, cause: Box<str> },
}

/// Links thread.
pub(super) struct LinksDuty {
    pub(super) listener: TcpListener,
    pub(super) commands: mpsc::Receiver<LinkCommand>,
    pub(super) inbox: RingSender<AgentInput>,
    /// Store, for calls of hosts that it refuses.
    pub(super) store: SocketAddr,
}

impl LinksDuty {
    /// Serves links until the decisions end.
    pub(super) async fn run(mut self) {
        let local = tokio::task::LocalSet::new();
        local.run_until(async move { self.serve().await }).await;
    }

    async fn serve(&mut self) {
        let mut links = HashMap::<LinkId, mpsc::Sender<Bytes>>::new();
        let mut incoming = INCOMING_LINKS;
        let store = Rc::new(StoreClient::new(self.store));
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    // A connection that ended before it was accepted concerns nobody.
                    if let Ok((stream, _)) = accepted {
                        incoming += 1;
                        links.retain(|_, sender| !sender.is_closed());
                        let (link, inbox) = (LinkId(incoming), self.inbox.clone());
                        let (sender, frames) = mpsc::channel(LINK_FRAMES);
                        links.insert(link, sender.clone());
                        let relay = StoreRelay { store: Rc::clone(&store), answers: sender };
                        tokio::task::spawn_local(async move {
                            carry(link, stream, frames, &inbox, Some(&relay)).await;
                            end(&inbox, link, false);
                        });
                    }
                }
                command = self.commands.recv() => match command {
                    Some(command) => self.obey(command, &mut links),
                    None => return,
                },
            }
        }
    }

    fn obey(&self, command: LinkCommand, links: &mut HashMap<LinkId, mpsc::Sender<Bytes>>) {
        match command {
            LinkCommand::Dial {
                link,
                address,
                timeout,
            } => {
                let (sender, frames) = mpsc::channel(LINK_FRAMES);
                links.insert(link, sender);
                let inbox = self.inbox.clone();
                tokio::task::spawn_local(dial(link, address, timeout, frames, inbox));
            }
            LinkCommand::Send { link, frame } => {
                let full = links.get(&link).is_some_and(|sender| {
                    matches!(
                        sender.try_send(encode(&frame)),
                        Err(mpsc::error::TrySendError::Full(_))
                    )
                });
                if full {
                    links.remove(&link);
                    end(&self.inbox, link, false);
                }
            }
            LinkCommand::CloseLink { link } => {
                links.remove(&link);
            }
        }
    }
}

async fn dial(
    link: LinkId,
    address: SocketAddr,
    timeout: Duration,
    frames: mpsc::Receiver<Bytes>,
    inbox: RingSender<AgentInput>,
) {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    match stream {
        Ok(Ok(stream)) => {
            // Fails only once the decisions have ended; so below.
            let _ = inbox.deliver(AgentInput::Link(LinkEvent::Opened(link)));
            carry(link, stream, frames, &inbox, None).await;
            end(&inbox, link, false);
        }
        Ok(Err(error)) => end(
            &inbox,
            link,
            error.kind() == io::ErrorKind::ConnectionRefused,
        ),
        Err(_) => end(&inbox, link, false),
    }
}

fn end(inbox: &RingSender<AgentInput>, link: LinkId, refused: bool) {
    let _ = inbox.deliver(AgentInput::Link(LinkEvent::Closed { link, refused }));
}

/// Carries frames both ways until either side ends the link.
async fn carry(
    link: LinkId,
    stream: TcpStream,
    mut frames: mpsc::Receiver<Bytes>,
    inbox: &RingSender<AgentInput>,
    relay: Option<&StoreRelay>,
) {
    // A connection that cannot be tuned works all the same.
    let _ = stream.set_nodelay(true);
    let (mut sink, mut source) = Framed::new(stream, frame_codec()).split();
    let write = async {
        while let Some(frame) = frames.recv().await {
            if sink.send(frame).await.is_err() {
                return;
            }
        }
    };
    let read = async {
        while let Some(Ok(bytes)) = source.next().await {
            let event = match (decode::<PeerFrame>(&bytes), relay) {
                (Ok(PeerFrame::Relay(call)), Some(relay)) => {
                    relay.carry_out(call).await;
                    continue;
                }
                (Ok(frame), _) => LinkEvent::Frame(link, Box::new(frame)),
                (Err(error), _) => LinkEvent::Unreadable {
                    link,
                    cause: error.to_string().into(),
                },
            };
            let _ = inbox.deliver(AgentInput::Link(event));
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
}

/// Makes calls to the store for hosts that it refuses.
struct StoreRelay {
    store: Rc<StoreClient>,
    answers: mpsc::Sender<Bytes>,
}

impl StoreRelay {
    async fn carry_out(&self, call: RelayedCall) {
        let now = BootClock.mono();
        let outcome = self.store.call(now, &call.into_call(now)).await;
        // Fails only if the connection has ended, with the host that asked.
        let _ = self
            .answers
            .send(encode(&PeerFrame::Relayed(outcome)))
            .await;
    }
}

/// Has another host make a call and waits for its outcome, until the call's deadline.
pub(super) async fn relay_call(
    address: SocketAddr,
    now: MonoTime,
    call: &StoreCall,
) -> StoreOutcome {
    let frame = encode(&PeerFrame::Relay(RelayedCall::new(now, call)));
    let until = tokio::time::Instant::now() + call.deadline.since(now);
    let stream = match tokio::time::timeout_at(until, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        // Nothing was sent, so nothing was done.
        Ok(Err(error)) => {
            let cause = format!("relay {address}: {error}").into();
            return StoreOutcome::Refused { cause };
        }
        Err(_) => {
            let cause = format!("relay {address} does not accept").into();
            return StoreOutcome::Refused { cause };
        }
    };
    let cause = match tokio::time::timeout_at(until, exchange(stream, frame)).await {
        Ok(Ok(PeerFrame::Relayed(outcome))) => return outcome,
        Ok(Ok(_)) => "relay sent another frame".into(),
        Ok(Err(error)) => format!("relay {address}: {error}"),
        Err(_) => format!("no answer from relay {address}"),
    };
    StoreOutcome::Unanswered {
        cause: cause.into(),
    }
}

async fn exchange(stream: TcpStream, frame: Bytes) -> io::Result<PeerFrame> {
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, frame_codec());
    framed.send(frame).await?;
    let bytes = framed.next().await;
    let bytes = bytes.ok_or(io::ErrorKind::UnexpectedEof)??;
    decode(&bytes).map_err(io::Error::other)
}

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
