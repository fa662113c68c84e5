//! Announcements of an agent to all entries, at the interval that each entry requests.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::ids::{CellId, Revision, ServiceName};
use hornbeamlead_core::message::control::{AgentAnnounce, AnnounceReply, CellView, ControlMessage};
use hornbeamlead_core::message::request::LoadSample;
use hornbeamlead_core::policy::ProcessIdentity;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval of announcements to an entry that does not reply.
const UNANSWERED_INTERVAL: Duration = Duration::from_millis(500);

/// Announcements sent in a burst after a change, since datagrams may be lost.
const BURST_COUNT: u32 = 3;

/// Interval of the announcements in a burst.
const BURST_INTERVAL: Duration = Duration::from_millis(100);

/// An unchanged view is included in one of this many announcements to an entry.
const VIEW_PERIOD: u64 = 8;

/// Content of an announcement.
#[derive(Clone, Debug)]
pub(super) struct AnnounceInput<'a> {
    /// Agent that announces itself.
    pub(super) identity: &'a ProcessIdentity,
    /// Cell of the agent.
    pub(super) cell: CellId,
    /// Services of its endpoint.
    pub(super) services: Vec<ServiceName>,
    /// Load of its endpoint.
    pub(super) load: LoadSample,
    /// Revision of the fleet configuration in force.
    pub(super) revision: Revision,
    /// Newest view of the cell.
    pub(super) view: Option<&'a CellView>,
}

/// Schedule of the announcements to one entry.
#[derive(Clone, Debug, Default)]
struct EntrySchedule {
    next_at: MonoTime,
    burst_left: u32,
    sent: u64,
}

/// Part of an announcement whose change is announced immediately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct AnnouncedState {
    services: Vec<ServiceName>,
    leaving: bool,
    view: u64,
}

/// Schedules the announcements to all entries.
#[derive(Debug)]
pub(super) struct EntryAnnouncer {
    schedules: BTreeMap<SocketAddr, EntrySchedule>,
    announced: AnnouncedState,
    sequence: u64,
}

impl EntryAnnouncer {
    /// Creates an announcer whose first announcements are due immediately.
    pub(super) fn new(entries: &[SocketAddr]) -> Self {
        let schedules = entries
            .iter()
            .map(|address| (*address, EntrySchedule::default()));
        Self {
            schedules: schedules.collect(),
            announced: AnnouncedState::default(),
            sequence: 0,
        }
    }

    /// Applies the interval that an entry requests, except during a burst.
    pub(super) fn handle_reply(&mut self, now: MonoTime, from: SocketAddr, reply: &AnnounceReply) {
        if let Some(schedule) = self.schedules.get_mut(&from)
            && schedule.burst_left == 0
        {
            schedule.next_at = now.plus(reply.next_after);
        }
    }

    pub(super) fn wake_at(&self) -> MonoTime {
        self.schedules
            .values()
            .map(|schedule| schedule.next_at)
            .min()
            .unwrap_or(MonoTime::MAX)
    }

    /// Returns the announcements that are due; after a change all of them are.
    pub(super) fn send_due(&mut self, now: MonoTime, input: AnnounceInput<'_>) -> Vec<AgentEffect> {
        self.detect_change(now, &input);
        let mut effects = Vec::new();
        for (address, schedule) in &mut self.schedules {
            if now < schedule.next_at {
                continue;
            }
            self.sequence += 1;
            let with_view = schedule.burst_left > 0 || schedule.sent % VIEW_PERIOD == 0;
            let announce = make_announce(&input, self.sequence, with_view);
            schedule.sent += 1;
            schedule.next_at = match schedule.burst_left {
                0 => now.plus(UNANSWERED_INTERVAL),
                _ => now.plus(BURST_INTERVAL),
            };
            schedule.burst_left = schedule.burst_left.saturating_sub(1);
            effects.push(AgentEffect::SendDatagram {
                to: *address,
                message: ControlMessage::Announce(announce),
            });
        }
        effects
    }

    fn detect_change(&mut self, now: MonoTime, input: &AnnounceInput<'_>) {
        let state = AnnouncedState {
            services: input.services.clone(),
            leaving: input.load.leaving,
            view: input.view.map_or(0, |view| view.number),
        };
        if state == self.announced {
            return;
        }
        self.announced = state;
        for schedule in self.schedules.values_mut() {
            schedule.burst_left = BURST_COUNT;
            schedule.next_at = now;
        }
    }
}

fn make_announce(input: &AnnounceInput<'_>, sequence: u64, with_view: bool) -> AgentAnnounce {
    let identity = input.identity;
    AgentAnnounce {
        host: identity.host.clone(),
        incarnation: identity.incarnation,
        sequence,
        data_centre: identity.data_centre.clone(),
        rack: identity.rack.clone(),
        cell: input.cell,
        link_address: identity.link_address,
        operator_address: identity.operator_address,
        services: input.services.clone(),
        load: input.load,
        revision: input.revision,
        view: input.view.filter(|_| with_view).cloned(),
    }
}
