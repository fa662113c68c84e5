//! Links thread: connections between agents and the planner, and of entries to agents.

use super::frames::{FrameReader, HeldFrame, MAX_FRAME_BYTES, write_frames};
use super::link_places::{LinkPlace, LinkPlaces};
use crate::budget::{ByteBudget, ByteLease};
use crate::clock::BootClock;
use crate::counters::ProcessCounters;
use crate::ring::RingSender;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hornbeamlead_adapter::StoreClient;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
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
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum number of commands queued for the links thread.
pub(super) const LINK_COMMAND_CAPACITY: usize = 4096;

/// Maximum number of frames queued on one link. A link whose queue is full is given up, because its
/// peer does not read.
const LINK_FRAME_CAPACITY: usize = 1024;

/// Maximum number of store calls that are made for other hosts at a time.
const MAX_RELAYED_CALLS: usize = 8;

/// Memory of a decoded message, in multiples of its encoded length, until the event loop has handled
/// it. Calls that are relayed consist of bytes, which are not copied.
const DECODED_FACTOR: usize = 8;

/// Maximum wait for the memory of a decoded message.
const MEMORY_WAIT: Duration = Duration::from_millis(20);

/// Frames of one link that cannot be handled before it is closed; a peer of a later version sends a few
/// kinds that are not known here.
const MAX_UNHANDLED: u32 = 16;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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

/// Message that has arrived, with the lease for its memory.
#[derive(Debug)]
pub(super) struct ReceivedFrame {
    pub(super) frame: PeerFrame,
    /// Held until the message is handled.
    pub(super) _lease: ByteLease,
}

/// Event on a link.
#[derive(Debug)]
pub(super) enum LinkEvent {
    /// A link that this process dialed was established.
    Opened(LinkId),
    Frame(LinkId, Box<ReceivedFrame>),
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

/// Link that is open or being opened.
struct OpenLink {
    frames: mpsc::Sender<HeldFrame>,
    /// Notified to end the link at once, with the frames that are queued.
    ended: Rc<Notify>,
}

impl OpenLink {
    fn queued(&self) -> usize {
        self.frames.max_capacity() - self.frames.capacity()
    }
}

pub(super) struct LinksThread<T> {
    /// Listener for links of others; an entry has none.
    pub(super) listener: Option<TcpListener>,
    pub(super) commands: mpsc::Receiver<LinkCommand>,
    pub(super) inbox: RingSender<T>,
    /// Store, for the relayed calls of hosts that it refuses.
    pub(super) store: SocketAddr,
    /// Maximum number of accepted links.
    pub(super) max_links: usize,
    /// Budget for messages that arrive.
    pub(super) budget: Arc<ByteBudget>,
    /// Budget for frames that wait until their peers read.
    pub(super) queue_budget: Arc<ByteBudget>,
    pub(super) counters: Arc<ProcessCounters>,
}

impl<T: From<LinkEvent> + 'static> LinksThread<T> {
    /// Serves links until the event loop has ended.
    pub(super) async fn run(mut self) {
        let local = tokio::task::LocalSet::new();
        local.run_until(async move { self.serve().await }).await;
    }

    async fn serve(&mut self) {
        let mut links = HashMap::<LinkId, OpenLink>::new();
        let mut incoming = FIRST_INCOMING_LINK;
        let places = LinkPlaces::new(self.max_links);
        let store = Rc::new(StoreClient::new(self.store));
        let permits = Rc::new(Semaphore::new(MAX_RELAYED_CALLS));
        loop {
            tokio::select! {
                accepted = accept(self.listener.as_ref()) => {
                    let Ok((stream, _)) = accepted else {
                        // A reset before the accept leaves no link; without a free descriptor, the
                        // next accept would fail at once as well.
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                        continue;
                    };
                    let ended = Rc::new(Notify::new());
                    let Some(place) = places.take(Rc::clone(&ended)) else {
                        self.counters.refusal(RefusalReason::QueueFull);
                        continue;
                    };
                    incoming += 1;
                    links.retain(|_, open| !open.frames.is_closed());
                    let (link, context) = (LinkId(incoming), self.context());
                    let (sender, frames) = mpsc::channel(LINK_FRAME_CAPACITY);
                    let open = OpenLink {
                        frames: sender.clone(),
                        ended: Rc::clone(&ended),
                    };
                    links.insert(link, open);
                    let relay = StoreRelay {
                        store: Rc::clone(&store),
                        permits: Rc::clone(&permits),
                        budget: Arc::clone(&self.queue_budget),
                        replies: sender,
                    };
                    tokio::task::spawn_local(async move {
                        let accepted = Some((place, &relay));
                        context.pump_frames(link, stream, frames, ended, accepted).await;
                        report_closed(&context.inbox, link, false);
                    });
                }
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command, &mut links),
                    None => return,
                },
            }
        }
    }

    fn context(&self) -> LinkContext<T> {
        LinkContext {
            inbox: self.inbox.clone(),
            budget: Arc::clone(&self.budget),
            counters: Arc::clone(&self.counters),
        }
    }

    fn handle_command(&self, command: LinkCommand, links: &mut HashMap<LinkId, OpenLink>) {
        match command {
            LinkCommand::Dial {
                link,
                address,
                timeout,
            } => {
                let (sender, frames) = mpsc::channel(LINK_FRAME_CAPACITY);
                let ended = Rc::new(Notify::new());
                let open = OpenLink {
                    frames: sender,
                    ended: Rc::clone(&ended),
                };
                links.insert(link, open);
                let context = self.context();
                tokio::task::spawn_local(context.dial(link, address, timeout, frames, ended));
            }
            LinkCommand::Send { link, frame } => {
                let (frame, is_beyond) = HeldFrame::queued(encode(&frame), &self.queue_budget);
                if is_beyond {
                    self.end_longest_queue(links);
                }
                let is_full = links.get(&link).is_some_and(|open| {
                    matches!(open.frames.try_send(frame), Err(TrySendError::Full(_)))
                });
                if is_full {
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

impl<T> LinksThread<T> {
    /// Ends the link with the most queued frames, whose peer reads least.
    fn end_longest_queue(&self, links: &mut HashMap<LinkId, OpenLink>) {
        let longest = links.iter().max_by_key(|(_, open)| open.queued());
        if let Some(link) = longest.map(|(link, _)| *link)
            && let Some(open) = links.remove(&link)
        {
            self.counters.refusal(RefusalReason::MemoryFull);
            open.ended.notify_one();
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

fn report_closed<T: From<LinkEvent>>(inbox: &RingSender<T>, link: LinkId, refused: bool) {
    // Lost if the event loop has ended or its ring stays full.
    let _ = inbox.deliver(LinkEvent::Closed { link, refused }.into());
}

/// What the tasks of all links use.
struct LinkContext<T> {
    inbox: RingSender<T>,
    budget: Arc<ByteBudget>,
    counters: Arc<ProcessCounters>,
}

impl<T: From<LinkEvent>> LinkContext<T> {
    async fn dial(
        self,
        link: LinkId,
        address: SocketAddr,
        timeout: Duration,
        frames: mpsc::Receiver<HeldFrame>,
        ended: Rc<Notify>,
    ) {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let refused = match stream {
            Ok(Ok(stream)) => {
                // Lost if the event loop has ended or its ring stays full; likewise below.
                let _ = self.inbox.deliver(LinkEvent::Opened(link).into());
                self.pump_frames(link, stream, frames, ended, None).await;
                false
            }
            Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Err(_) => false,
        };
        report_closed(&self.inbox, link, refused);
    }

    /// Sends and receives frames until either side closes the link. Accepted links have a place, and
    /// may have calls relayed.
    async fn pump_frames(
        &self,
        link: LinkId,
        stream: TcpStream,
        mut frames: mpsc::Receiver<HeldFrame>,
        ended: Rc<Notify>,
        accepted: Option<(LinkPlace, &StoreRelay)>,
    ) {
        // The link also works without the option, only with a higher latency.
        let _ = stream.set_nodelay(true);
        let (source, mut sink) = stream.into_split();
        let (place, relay) = accepted.unzip();
        let mut reader = FrameReader::new(source, &self.budget, ended, place);
        let read = async {
            let mut unhandled = 0;
            loop {
                let is_handled = match reader.next().await {
                    Ok(frame) => self.receive(link, frame, relay).await,
                    Err(error) => return self.count_error(&error),
                };
                unhandled += u32::from(!is_handled);
                if unhandled > MAX_UNHANDLED {
                    return self.counters.refusal(RefusalReason::Undecodable);
                }
            }
        };
        tokio::select! {
            _ = write_frames(&mut sink, &mut frames) => {}
            () = read => {}
        }
    }

    /// Delivers a frame to the event loop, or relays its call; returns whether it could.
    async fn receive(&self, link: LinkId, held: HeldFrame, relay: Option<&StoreRelay>) -> bool {
        let HeldFrame { bytes, mut lease } = held;
        let event = match (decode::<PeerFrame>(&bytes), relay) {
            (Ok(PeerFrame::Relay(call)), Some(relay)) => return relay.execute(call).await,
            (Ok(frame), _) => {
                while !lease.try_grow_to(DECODED_FACTOR * bytes.len()) {
                    let freed = lease.budget().wait_freed();
                    let _ = tokio::time::timeout(MEMORY_WAIT, freed).await;
                }
                let _lease = lease;
                LinkEvent::Frame(link, Box::new(ReceivedFrame { frame, _lease }))
            }
            (Err(error), _) => LinkEvent::Unreadable {
                link,
                cause: error.to_string().into(),
            },
        };
        let is_unreadable = matches!(event, LinkEvent::Unreadable { .. });
        let _ = self.inbox.deliver(event.into());
        !is_unreadable
    }

    fn count_error(&self, error: &io::Error) {
        let reason = match error.kind() {
            io::ErrorKind::ConnectionAborted => RefusalReason::ConnectionEvicted,
            io::ErrorKind::TimedOut => RefusalReason::RequestTimeout,
            io::ErrorKind::OutOfMemory => RefusalReason::MemoryFull,
            io::ErrorKind::InvalidData => RefusalReason::BodyTooLong,
            // The peer has closed the link.
            _ => return,
        };
        self.counters.refusal(reason);
    }
}

/// Makes store calls on behalf of hosts that the store refuses.
struct StoreRelay {
    store: Rc<StoreClient>,
    permits: Rc<Semaphore>,
    budget: Arc<ByteBudget>,
    replies: mpsc::Sender<HeldFrame>,
}

impl StoreRelay {
    /// Makes a call and queues the reply; returns `false` if the memory for it is in use while the peer
    /// has replies that it does not read.
    async fn execute(&self, call: RelayedCall) -> bool {
        // The semaphore is never closed, so `acquire` does not fail.
        let permit = self.permits.acquire().await.ok();
        let now = BootClock.mono();
        let outcome = self.store.call(now, &call.into_call(now)).await;
        let reply = encode(&PeerFrame::Relayed(outcome));
        let (reply, is_beyond) = HeldFrame::queued(reply, &self.budget);
        drop(permit);
        // Sending fails only if the connection to the requesting host has ended.
        let has_unread = self.replies.capacity() < self.replies.max_capacity();
        !(is_beyond && has_unread) && self.replies.send(reply).await.is_ok()
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
