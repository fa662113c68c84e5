//! One agent as an entry knows it.

use crate::entry::health::HealthRecord;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{DataCentreName, ServiceName};
use hornbeamlead_core::message::control::AgentAnnounce;
use hornbeamlead_core::message::request::LoadSample;
use hornbeamlead_core::status::{MemberState, MemberStatus};
use std::net::SocketAddr;
use std::time::Duration;

/// Time over which a new or returned worker comes up to its full share.
pub(crate) const SLOW_START: Duration = Duration::from_secs(3);

/// Factor by which a worker at the very start of its slow start looks busier.
const SLOW_START_FACTOR: u64 = 8;

/// Service time assumed while none was reported, in microseconds.
const ASSUMED_SERVICE_TIME_US: u64 = 1_000;

/// Added to the expected time of a worker in another data centre, in microseconds.
const CROSS_CENTRE_US: u64 = 1_000;

/// Agent with its worker, as one entry knows it.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    /// Newest announcement.
    pub(crate) announce: AgentAnnounce,
    /// Address that its datagrams come from.
    pub(crate) control: SocketAddr,
    /// Newest load heard of, by announcement or answer.
    pub(crate) load: LoadSample,
    /// Failures seen.
    pub(crate) health: HealthRecord,
    /// Requests of this entry in progress there.
    pub(crate) own: u32,
    /// When silence makes the agent suspect.
    pub(crate) suspect_at: MonoTime,
    /// When silence drops the agent.
    pub(crate) drop_at: MonoTime,
    /// Due time of its entry in the directory's queue of silences; the latest time for none.
    pub(crate) silence_queued: MonoTime,
    /// Whether the agent was silent for a while or refused a connection.
    pub(crate) suspect: bool,
    /// When its slow start began.
    pub(crate) since: MonoTime,
    own_at_sample: u32,
}

impl MemberRecord {
    /// Makes the record of an agent that is heard of for the first time in this life.
    pub(crate) fn new(announce: AgentAnnounce, control: SocketAddr, now: MonoTime) -> Self {
        Self {
            load: announce.load,
            announce,
            control,
            health: HealthRecord::default(),
            own: 0,
            suspect_at: MonoTime::MAX,
            drop_at: MonoTime::MAX,
            silence_queued: MonoTime::MAX,
            suspect: false,
            since: now,
            own_at_sample: 0,
        }
    }

    /// Takes note of a load sample.
    pub(crate) fn note_load(&mut self, load: LoadSample) {
        self.load = load;
        self.own_at_sample = self.own;
    }

    /// Returns the next moment at which silence changes the state.
    pub(crate) fn silence_due(&self) -> MonoTime {
        match self.suspect {
            true => self.drop_at,
            false => self.suspect_at,
        }
    }

    /// Returns whether the agent runs a service.
    pub(crate) fn offers(&self, service: &ServiceName) -> bool {
        self.announce.services.contains(service)
    }

    /// Returns whether the agent takes requests as far as it has said.
    pub(crate) fn open(&self) -> bool {
        !self.load.leaving
    }

    /// Returns the requests thought to be at the worker: other entries' at the last sample, and own.
    pub(crate) fn busy(&self) -> u32 {
        let sampled = u32::from(self.load.in_flight) + u32::from(self.load.queued);
        sampled.saturating_sub(self.own_at_sample) + self.own
    }

    /// Returns whether a slot is thought to be free.
    pub(crate) fn has_room(&self) -> bool {
        self.busy() < u32::from(self.load.slots)
    }

    /// Returns the time that a request sent now is expected to take, in microseconds.
    pub(crate) fn expected_us(&self, now: MonoTime, own_centre: &DataCentreName) -> u64 {
        let service_us = match self.load.service_time_us {
            0 => ASSUMED_SERVICE_TIME_US,
            reported => u64::from(reported),
        };
        let slots = u64::from(self.load.slots.max(1));
        let work_us = service_us * (u64::from(self.busy()) + slots) / slots;
        let away_us = match self.announce.data_centre == *own_centre {
            true => 0,
            false => CROSS_CENTRE_US.max(service_us / 2),
        };
        (work_us + away_us) * self.slow_start_factor(now)
    }

    /// Returns the state for operators.
    pub(crate) fn state(&self) -> MemberState {
        match self {
            member if !member.open() => MemberState::Leaving,
            member if member.health.ejected() => MemberState::Ejected,
            member if member.suspect => MemberState::Suspect,
            _ => MemberState::Serving,
        }
    }

    /// Returns the standing for operators.
    pub(crate) fn standing(&self) -> MemberStatus {
        MemberStatus {
            host: self.announce.host.clone(),
            incarnation: self.announce.incarnation,
            data_centre: self.announce.data_centre.clone(),
            state: self.state(),
            revision: self.announce.revision,
            load: self.load,
            operator_address: self.announce.operator_address,
        }
    }

    fn slow_start_factor(&self, now: MonoTime) -> u64 {
        let age = now.since(self.since);
        if age >= SLOW_START {
            return 1;
        }
        let left = SLOW_START.saturating_sub(age).as_micros();
        let extra = u128::from(SLOW_START_FACTOR - 1) * left / SLOW_START.as_micros();
        1 + u64::try_from(extra).unwrap_or(0)
    }
}
