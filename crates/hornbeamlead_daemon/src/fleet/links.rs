//! Links thread: connections between agents and the planner, and of entries to agents.

use crate::clock::BootClock;
use crate::ring::RingSender;
use bytes::Bytes;
use futures_util::stream::SplitSink;
use futures_util::{SinkExt, StreamExt};
use hornbeamlead_adapter::StoreClient;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::effect::LinkId;
use hornbeamlead_jobs::message::{AgentMessage, PlannerMessage};
use hornbeamlead_jobs::notice::NoticeMessage;
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

/// Maximum number of commands queued for the links thread.
pub(super) const LINK_COMMAND_CAPACITY: usize = 4096;

/// Maximum number of frames queued on one link. A link whose queue is full is given up, because its
/// peer does not read.
const LINK_FRAME_CAPACITY: usize = 1024;

/// Maximum frame, in bytes; fits a report of several thousand attempts.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Lower bound of the ids of accepted links; links that this process dials have lower ids.
const FIRST_INCOMING_LINK: u64 = 1 << 57;

/// Message on a link, in either direction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum PeerFrame {
    /// Sent by an agent.
    Agent(AgentMessage),
    /// Sent by the planner.
    Planner(PlannerMessage),
    /// Store call for the receiver to make; the only frame that is sent to it on the connection.
    Relay(RelayedCall),
    /// Outcome of a relayed call.
    Relayed(StoreOutcome),
    /// Sent by an entry, and by an agent in answer.
    Notices(NoticeMessage),
}

/// Command to the links thread.
#[derive(Clone, Debug)]
pub(super) enum LinkCommand {
    Dial {
        link: LinkId,
        address: SocketAddr,
        timeout: Duration,
    },
    Send {
        link: LinkId,
        frame: PeerFrame,
    },
    /// Close a link after the frames sent before are written.
    CloseLink {
        link: LinkId,
    },
}

/// Event on a link.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum LinkEvent {
    /// A link that this process dialed was established.
    Opened(LinkId),
    Frame(LinkId, Box<PeerFrame>),
    /// A link was closed or could not be opened; `refused` if the peer refused the connection.
    Closed {
        link: LinkId,
        refused: bool,
    },
    /// A frame could not be decoded.
    Unreadable {
        link: LinkId,
        cause: Box<str>,
    },
}

pub(super) struct LinksThread<T> {
    /// Listener for links of others; an entry has none.
    pub(super) listener: Option<TcpListener>,
    pub(super) commands: mpsc::Receiver<LinkCommand>,
    pub(super) inbox: RingSender<T>,
    /// Store, for the relayed calls of hosts that it refuses.
    pub(super) store: SocketAddr,
}

impl<T: From<LinkEvent> + 'static> LinksThread<T> {
    /// Serves links until the event loop has ended.
    pub(super) async fn run(mut self) {
        let local = tokio::task::LocalSet::new();
        local.run_until(async move { self.serve().await }).await;
    }

    async fn serve(&mut self) {
        let mut links = HashMap::<LinkId, mpsc::Sender<Bytes>>::new();
        let mut incoming = FIRST_INCOMING_LINK;
        let store = Rc::new(StoreClient::new(self.store));
        loop {
            tokio::select! {
                accepted = accept(self.listener.as_ref()) => {
                    // After an error, such as a reset before the accept, there is no link.
                    if let Ok((stream, _)) = accepted {
                        incoming += 1;
                        links.retain(|_, sender| !sender.is_closed());
                        let (link, inbox) = (LinkId(incoming), self.inbox.clone());
                        let (sender, frames) = mpsc::channel(LINK_FRAME_CAPACITY);
                        links.insert(link, sender.clone());
                        let relay = StoreRelay { store: Rc::clone(&store), replies: sender };
                        tokio::task::spawn_local(async move {
                            pump_frames(link, stream, frames, &inbox, Some(&relay)).await;
                            report_closed(&inbox, link, false);
                        });
                    }
                }
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command, &mut links),
                    None => return,
                },
            }
        }
    }

    fn handle_command(
        &self,
        command: LinkCommand,
        links: &mut HashMap<LinkId, mpsc::Sender<Bytes>>,
    ) {
        match command {
            LinkCommand::Dial {
                link,
                address,
                timeout,
            } => {
                let (sender, frames) = mpsc::channel(LINK_FRAME_CAPACITY);
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
                    report_closed(&self.inbox, link, false);
                }
            }
            LinkCommand::CloseLink { link } => {
                links.remove(&link);
            }
        }
    }
}

/// Waits for a connection, for ever without a listener.
async fn accept(listener: Option<&TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

async fn dial<T: From<LinkEvent>>(
    link: LinkId,
    address: SocketAddr,
    timeout: Duration,
    frames: mpsc::Receiver<Bytes>,
    inbox: RingSender<T>,
) {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    match stream {
        Ok(Ok(stream)) => {
            // Lost if the event loop has ended or its ring stays full; likewise below.
            let _ = inbox.deliver(LinkEvent::Opened(link).into());
            pump_frames(link, stream, frames, &inbox, None).await;
            report_closed(&inbox, link, false);
        }
        Ok(Err(error)) => report_closed(
            &inbox,
            link,
            error.kind() == io::ErrorKind::ConnectionRefused,
        ),
        Err(_) => report_closed(&inbox, link, false),
    }
}

fn report_closed<T: From<LinkEvent>>(inbox: &RingSender<T>, link: LinkId, refused: bool) {
    let _ = inbox.deliver(LinkEvent::Closed { link, refused }.into());
}

/// Sends and receives frames until either side closes the link.
async fn pump_frames<T: From<LinkEvent>>(
    link: LinkId,
    stream: TcpStream,
    mut frames: mpsc::Receiver<Bytes>,
    inbox: &RingSender<T>,
    relay: Option<&StoreRelay>,
) {
    // The link also works without the option, only with a higher latency.
    let _ = stream.set_nodelay(true);
    let (mut sink, mut source) = Framed::new(stream, frame_codec()).split();
    let write = async {
        while let Some(frame) = frames.recv().await {
            if send_queued(&mut sink, frame, &mut frames).await.is_err() {
                return;
            }
        }
    };
    let read = async {
        while let Some(Ok(bytes)) = source.next().await {
            let event = match (decode::<PeerFrame>(&bytes), relay) {
                (Ok(PeerFrame::Relay(call)), Some(relay)) => {
                    relay.execute(call).await;
                    continue;
                }
                (Ok(frame), _) => LinkEvent::Frame(link, Box::new(frame)),
                (Err(error), _) => LinkEvent::Unreadable {
                    link,
                    cause: error.to_string().into(),
                },
            };
            let _ = inbox.deliver(event.into());
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
}

/// Makes store calls on behalf of hosts that the store refuses.
type FrameSink = SplitSink<Framed<TcpStream, LengthDelimitedCodec>, Bytes>;

/// Sends a frame together with those that are queued behind it, in as few writes as possible.
async fn send_queued(
    sink: &mut FrameSink,
    first: Bytes,
    frames: &mut mpsc::Receiver<Bytes>,
) -> io::Result<()> {
    sink.feed(first).await?;
    while let Ok(next) = frames.try_recv() {
        sink.feed(next).await?;
    }
    sink.flush().await
}

struct StoreRelay {
    store: Rc<StoreClient>,
    replies: mpsc::Sender<Bytes>,
}

impl StoreRelay {
    async fn execute(&self, call: RelayedCall) {
        let now = BootClock.mono();
        let outcome = self.store.call(now, &call.into_call(now)).await;
        // Fails only if the connection to the requesting host has ended.
        let _ = self
            .replies
            .send(encode(&PeerFrame::Relayed(outcome)))
            .await;
    }
}

/// Makes a call through another host and waits for its outcome until the call's deadline.
pub(super) async fn relay_call(
    address: SocketAddr,
    now: MonoTime,
    call: &StoreCall,
) -> StoreOutcome {
    let frame = encode(&PeerFrame::Relay(RelayedCall::new(now, call)));
    let deadline = tokio::time::Instant::now() + call.deadline.since(now);
    let stream = match tokio::time::timeout_at(deadline, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        // Nothing was sent, so the call had no effect.
        Ok(Err(error)) => {
            let cause = format!("relay {address}: {error}").into();
            return StoreOutcome::Refused { cause };
        }
        Err(_) => {
            let cause = format!("relay {address}: connect timed out").into();
            return StoreOutcome::Refused { cause };
        }
    };
    let cause = match tokio::time::timeout_at(deadline, exchange(stream, frame)).await {
        Ok(Ok(PeerFrame::Relayed(outcome))) => return outcome,
        Ok(Ok(_)) => "relay sent a frame of another kind".into(),
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
