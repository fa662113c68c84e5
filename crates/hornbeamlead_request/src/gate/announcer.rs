//! Announcements of an agent to all entries, at the pace each entry asked for.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::ids::{CellId, Revision, ServiceName};
use hornbeamlead_core::message::control::{AgentAnnounce, AnnounceReply, CellView, ControlMessage};
use hornbeamlead_core::message::request::LoadSample;
use hornbeamlead_core::policy::ProcessIdentity;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between announcements to an entry that has not answered.
const UNANSWERED_INTERVAL: Duration = Duration::from_millis(500);

/// Announcements sent quickly after a change, since datagrams may be lost.
const QUICK_REPEATS: u32 = 3;

/// Time between announcements that are sent quickly.
const QUICK_INTERVAL: Duration = Duration::from_millis(100);

/// An unchanged view is sent with every so many announcements to an entry.
const VIEW_PERIOD: u64 = 8;

/// What an announcement tells.
#[derive(Clone, Debug)]
pub(super) struct AnnounceInput<'a> {
    /// Agent.
    pub(super) place: &'a ProcessIdentity,
    /// Its cell.
    pub(super) cell: CellId,
    /// Services of its endpoint.
    pub(super) services: Vec<ServiceName>,
    /// Load of its worker.
    pub(super) load: LoadSample,
    /// Configuration in force.
    pub(super) revision: Revision,
    /// Newest view of its cell.
    pub(super) view: Option<&'a CellView>,
}

/// One entry that the agent announces itself to.
#[derive(Clone, Debug, Default)]
struct EntryContact {
    next_at: MonoTime,
    quick_left: u32,
    sent: u64,
}

/// Part of an announcement whose change is told at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct AnnouncedState {
    services: Vec<ServiceName>,
    leaving: bool,
    view: u64,
}

/// Paces the announcements.
#[derive(Debug)]
pub(super) struct EntryAnnouncer {
    contacts: BTreeMap<SocketAddr, EntryContact>,
    told: AnnouncedState,
    sequence: u64,
}

impl EntryAnnouncer {
    /// Makes an announcer whose first announcements are due at once.
    pub(super) fn new(entries: &[SocketAddr]) -> Self {
        let contacts = entries
            .iter()
            .map(|address| (*address, EntryContact::default()));
        Self {
            contacts: contacts.collect(),
            told: AnnouncedState::default(),
            sequence: 0,
        }
    }

    /// Takes an entry's wish for the next announcement.
    pub(super) fn answered(&mut self, now: MonoTime, from: SocketAddr, reply: &AnnounceReply) {
        if let Some(contact) = self.contacts.get_mut(&from)
            && contact.quick_left == 0
        {
            contact.next_at = now.plus(reply.next_after);
        }
    }

    /// Returns when the next announcement is due.
    pub(super) fn wake_at(&self) -> MonoTime {
        self.contacts
            .values()
            .map(|contact| contact.next_at)
            .min()
            .unwrap_or(MonoTime::MAX)
    }

    /// Returns the announcements that are due now; a change makes all of them due.
    pub(super) fn send_due(&mut self, now: MonoTime, input: AnnounceInput<'_>) -> Vec<AgentEffect> {
        self.note_change(now, &input);
        let mut effects = Vec::new();
        for (address, contact) in &mut self.contacts {
            if now < contact.next_at {
                continue;
            }
            self.sequence += 1;
            let with_view = contact.quick_left > 0 || contact.sent % VIEW_PERIOD == 0;
            let announce = make_announce(&input, self.sequence, with_view);
            contact.sent += 1;
            contact.next_at = match contact.quick_left {
                0 => now.plus(UNANSWERED_INTERVAL),
                _ => now.plus(QUICK_INTERVAL),
            };
            contact.quick_left = contact.quick_left.saturating_sub(1);
            effects.push(AgentEffect::SendDatagram {
                to: *address,
                message: ControlMessage::Announce(announce),
            });
        }
        effects
    }

    fn note_change(&mut self, now: MonoTime, input: &AnnounceInput<'_>) {
        let state = AnnouncedState {
            services: input.services.clone(),
            leaving: input.load.leaving,
            view: input.view.map_or(0, |view| view.number),
        };
        if state == self.told {
            return;
        }
        self.told = state;
        for contact in self.contacts.values_mut() {
            contact.quick_left = QUICK_REPEATS;
            contact.next_at = now;
        }
    }
}

fn make_announce(input: &AnnounceInput<'_>, sequence: u64, with_view: bool) -> AgentAnnounce {
    let place = input.place;
    AgentAnnounce {
        host: place.host.clone(),
        incarnation: place.incarnation,
        sequence,
        data_centre: place.data_centre.clone(),
        rack: place.rack.clone(),
        cell: input.cell,
        link_address: place.link_address,
        operator_address: place.operator_address,
        services: input.services.clone(),
        load: input.load,
        revision: input.revision,
        view: input.view.filter(|_| with_view).cloned(),
    }
}
