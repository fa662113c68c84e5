//! Links thread: connections between agents and the planner, and of entries to agents.

use super::frames::{FRAME_TIMEOUT, FrameReader, HeldFrame, write_frames};
use super::link_places::{LinkPlace, LinkPlaces};
use super::relay::{RelayParts, StoreRelay};
use crate::budget::{ByteBudget, ByteLease};
use crate::counters::ProcessCounters;
use crate::ring::RingSender;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_jobs::effect::LinkId;
use hornbeamlead_jobs::message::{AgentMessage, PlannerMessage};
use hornbeamlead_jobs::notice::NoticeMessage;
use hornbeamlead_jobs::record::{decode, encode};
use hornbeamlead_jobs::relay::RelayedCall;
use hornbeamlead_jobs::store::StoreOutcome;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Notify, mpsc};

/// Maximum number of commands queued for the links thread.
pub(super) const LINK_COMMAND_CAPACITY: usize = 4096;

/// Maximum number of frames queued on one link. A link whose queue is full is given up, because its
/// peer does not read.
const LINK_FRAME_CAPACITY: usize = 1024;

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
        let relays = RelayParts::new(self.store, &self.queue_budget);
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
                        parts: relays.clone(),
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
        // Before it is decoded, as a short encoding can take many times its length.
        if !wait_for_lease(&mut lease, DECODED_FACTOR * bytes.len()).await {
            self.counters.refusal(RefusalReason::MemoryFull);
            return false;
        }
        let frame = match (decode::<PeerFrame>(&bytes), relay) {
            (Ok(PeerFrame::Relay(call)), Some(relay)) => return relay.execute(call).await,
            (Ok(frame), _) => frame,
            (Err(error), _) => {
                let cause = error.to_string().into();
                let _ = self
                    .inbox
                    .deliver(LinkEvent::Unreadable { link, cause }.into());
                return false;
            }
        };
        let _lease = lease;
        let received = Box::new(ReceivedFrame { frame, _lease });
        let _ = self.inbox.deliver(LinkEvent::Frame(link, received).into());
        true
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

/// Grows a lease to a size; returns `false` if the budget has no room for as long as a frame may take.
async fn wait_for_lease(lease: &mut ByteLease, bytes: usize) -> bool {
    let deadline = tokio::time::Instant::now() + FRAME_TIMEOUT;
    while !lease.try_grow_to(bytes) {
        if tokio::time::Instant::now() >= deadline {
            return false;
        }
        let freed = lease.budget().wait_freed();
        let _ = tokio::time::timeout(MEMORY_WAIT, freed).await;
    }
    true
}
