//! Links thread: framed TCP connections between processes.

mod frame;
mod incoming;
mod outgoing;

use crate::clock::HostClock;
use crate::counters::ProcessCounters;
use crate::decision::{InboxItem, RoleInput, request_id};
use crate::ring::RingSender;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::LinkId;
use hornbeamlead_core::message::request::LinkMessage;
use incoming::IncomingLink;
use outgoing::OutgoingLink;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// Maximum number of commands queued for the links thread.
pub(crate) const LINK_RING_CAPACITY: usize = 8192;

/// Maximum number of messages queued on one link.
const LINK_QUEUE_CAPACITY: usize = 1024;

/// Maximum number of open incoming links.
const MAX_INCOMING_LINKS: usize = 1024;

/// Maximum number of queued notices of closed links.
const NOTICE_QUEUE_CAPACITY: usize = 1024;

/// Command to the links thread.
#[derive(Debug)]
pub(crate) enum LinkCommand {
    /// Sends a message over the link to an address, which is opened if necessary.
    Send {
        to: SocketAddr,
        message: LinkMessage,
    },
    /// Replies on an incoming link.
    Reply { link: LinkId, message: LinkMessage },
}

/// Notice that a link has closed.
#[derive(Debug)]
pub(crate) enum LinkNotice {
    Incoming(LinkId),
    /// Address and number of an outgoing link; the number distinguishes it from a later link to the
    /// same address.
    Outgoing(SocketAddr, u64),
}

/// Handles shared by all links.
pub(crate) struct LinkContext<I> {
    /// Sender to the decision thread.
    pub(crate) inbox: RingSender<InboxItem<I>>,
    pub(crate) counters: Arc<ProcessCounters>,
    pub(crate) clock: HostClock,
}

impl<I> Clone for LinkContext<I> {
    fn clone(&self) -> Self {
        Self {
            inbox: self.inbox.clone(),
            counters: Arc::clone(&self.counters),
            clock: self.clock,
        }
    }
}

impl<I: RoleInput> LinkContext<I> {
    /// Delivers an input to the decision thread; counts a refusal if the ring stays full until the
    /// send timeout.
    pub(crate) fn deliver(&self, input: I) {
        if self.inbox.deliver(InboxItem::Input(input)).is_err() {
            self.counters.refusal(RefusalReason::RingFull);
        }
    }
}

/// Open outgoing link.
struct OpenLink {
    number: u64,
    queue: mpsc::Sender<LinkMessage>,
}

/// I/O loop of the links thread.
pub(crate) struct LinksLoop<I> {
    context: LinkContext<I>,
    listener: TcpListener,
    commands: mpsc::Receiver<LinkCommand>,
    notices: mpsc::Receiver<LinkNotice>,
    notify: mpsc::Sender<LinkNotice>,
    incoming: HashMap<LinkId, mpsc::Sender<LinkMessage>>,
    outgoing: HashMap<SocketAddr, OpenLink>,
    last_number: u64,
}

impl<I: RoleInput> LinksLoop<I> {
    pub(crate) fn new(
        context: LinkContext<I>,
        listener: TcpListener,
        commands: mpsc::Receiver<LinkCommand>,
    ) -> Self {
        let (notify, notices) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
        Self {
            context,
            listener,
            commands,
            notices,
            notify,
            incoming: HashMap::new(),
            outgoing: HashMap::new(),
            last_number: 0,
        }
    }

    /// Serves links until the decision thread has terminated, then flushes the queues.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(LinkCommand::Send { to, message }) => self.send(to, message),
                    Some(LinkCommand::Reply { link, message }) => self.reply(link, message),
                    None => break,
                },
                accepted = self.listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        self.accept(stream);
                    }
                }
                notice = self.notices.recv() => {
                    if let Some(notice) = notice {
                        self.remove_link(&notice);
                    }
                }
            }
        }
        self.flush().await;
    }

    fn send(&mut self, to: SocketAddr, message: LinkMessage) {
        let message = match self.outgoing.get(&to) {
            None => message,
            Some(link) => match link.queue.try_send(message) {
                Ok(()) => return,
                Err(TrySendError::Full(message)) => return self.refuse(to, &message),
                Err(TrySendError::Closed(message)) => message,
            },
        };
        self.open(to, message);
    }

    /// Reports a message as unsent because the queue of its link is full.
    fn refuse(&self, to: SocketAddr, message: &LinkMessage) {
        self.context.counters.refusal(RefusalReason::RingFull);
        let unsent = request_id(message).into_iter().collect();
        self.context.deliver(I::link_refused(to, unsent));
    }

    fn open(&mut self, to: SocketAddr, first: LinkMessage) {
        let (queue, messages) = mpsc::channel(LINK_QUEUE_CAPACITY);
        let number = self.next_number();
        let link = OutgoingLink {
            to,
            number,
            messages,
            context: self.context.clone(),
            notify: self.notify.clone(),
        };
        // Cannot fail: the queue is new and empty.
        let _ = queue.try_send(first);
        self.outgoing.insert(to, OpenLink { number, queue });
        tokio::spawn(link.run());
    }

    fn reply(&self, link: LinkId, message: LinkMessage) {
        let Some(queue) = self.incoming.get(&link) else {
            return;
        };
        if queue.try_send(message).is_err() {
            self.context.counters.refusal(RefusalReason::RingFull);
        }
    }

    fn accept(&mut self, stream: TcpStream) {
        if self.incoming.len() >= MAX_INCOMING_LINKS {
            self.context.counters.refusal(RefusalReason::QueueFull);
            return;
        }
        let (queue, messages) = mpsc::channel(LINK_QUEUE_CAPACITY);
        let id = LinkId(self.next_number());
        let link = IncomingLink {
            id,
            messages,
            context: self.context.clone(),
            notify: self.notify.clone(),
        };
        self.incoming.insert(id, queue);
        tokio::spawn(link.run(stream));
    }

    fn remove_link(&mut self, notice: &LinkNotice) {
        match notice {
            LinkNotice::Incoming(id) => {
                self.incoming.remove(id);
            }
            LinkNotice::Outgoing(to, number) => {
                let is_current = self.outgoing.get(to).map(|link| link.number) == Some(*number);
                if is_current {
                    self.outgoing.remove(to);
                }
            }
        }
    }

    /// Closes all queues and waits until every link has written its pending messages.
    async fn flush(mut self) {
        self.incoming.clear();
        self.outgoing.clear();
        drop(self.notify);
        while self.notices.recv().await.is_some() {}
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
