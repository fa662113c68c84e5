//! State of one agent at an entry.

use crate::entry::health::HealthRecord;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{DataCentreName, ServiceName};
use hornbeamlead_core::message::control::AgentAnnounce;
use hornbeamlead_core::message::request::LoadSample;
use hornbeamlead_core::status::{MemberState, MemberStatus};
use std::net::SocketAddr;
use std::time::Duration;

/// Duration over which the load of a new or returned worker ramps up.
pub(crate) const SLOW_START: Duration = Duration::from_secs(3);

/// Factor on the expected latency at the beginning of the slow start.
const SLOW_START_FACTOR: u64 = 8;

/// Service time used until the worker has reported one, in microseconds.
const DEFAULT_SERVICE_TIME_US: u64 = 1_000;

/// Lower bound of the latency added for a worker in another data centre, in microseconds.
const CROSS_CENTRE_US: u64 = 1_000;

/// State of an agent and its worker, kept by one entry.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    /// Newest announcement.
    pub(crate) announce: AgentAnnounce,
    /// Source address of its datagrams.
    pub(crate) control_address: SocketAddr,
    /// Newest load, from an announcement or a reply.
    pub(crate) load: LoadSample,
    /// Recent failures of the worker.
    pub(crate) health: HealthRecord,
    /// Requests of this entry in progress at the worker.
    pub(crate) outstanding: u32,
    /// Time at which silence makes the agent suspect.
    pub(crate) suspect_at: MonoTime,
    /// Time at which silence drops the agent.
    pub(crate) drop_at: MonoTime,
    /// Time of its timer in the directory; `MonoTime::MAX` without one.
    pub(crate) silence_timer: MonoTime,
    /// Whether the agent missed announcements or a link to it failed.
    pub(crate) suspect: bool,
    /// Start of the current slow start.
    pub(crate) slow_start_from: MonoTime,
    outstanding_at_sample: u32,
}

impl MemberRecord {
    /// Creates the record of a new incarnation of an agent.
    pub(crate) fn new(announce: AgentAnnounce, control_address: SocketAddr, now: MonoTime) -> Self {
        Self {
            load: announce.load,
            announce,
            control_address,
            health: HealthRecord::default(),
            outstanding: 0,
            suspect_at: MonoTime::MAX,
            drop_at: MonoTime::MAX,
            silence_timer: MonoTime::MAX,
            suspect: false,
            slow_start_from: now,
            outstanding_at_sample: 0,
        }
    }

    pub(crate) fn record_load(&mut self, load: LoadSample) {
        self.load = load;
        self.outstanding_at_sample = self.outstanding;
    }

    /// Returns the time at which continued silence changes the agent's state.
    pub(crate) fn silence_deadline(&self) -> MonoTime {
        match self.suspect {
            true => self.drop_at,
            false => self.suspect_at,
        }
    }

    /// Returns whether the agent serves a service.
    pub(crate) fn offers(&self, service: &ServiceName) -> bool {
        self.announce.services.contains(service)
    }

    /// Returns whether the agent accepts requests, according to its last load sample.
    pub(crate) fn accepting(&self) -> bool {
        !self.load.leaving
    }

    /// Returns the estimated load: requests of other entries at the last sample, plus this entry's.
    pub(crate) fn estimated_load(&self) -> u32 {
        let sampled = u32::from(self.load.in_flight) + u32::from(self.load.queued);
        sampled.saturating_sub(self.outstanding_at_sample) + self.outstanding
    }

    /// Returns whether the worker is estimated to have a free slot.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.estimated_load() < u32::from(self.load.slots)
    }

    /// Returns the expected latency of a request sent now, in microseconds.
    pub(crate) fn expected_latency_us(&self, now: MonoTime, own_centre: &DataCentreName) -> u64 {
        let service_us = match self.load.service_time_us {
            0 => DEFAULT_SERVICE_TIME_US,
            reported => u64::from(reported),
        };
        let slots = u64::from(self.load.slots.max(1));
        let work_us = service_us * (u64::from(self.estimated_load()) + slots) / slots;
        let remote_us = match self.announce.data_centre == *own_centre {
            true => 0,
            false => CROSS_CENTRE_US.max(service_us / 2),
        };
        (work_us + remote_us) * self.slow_start_factor(now)
    }

    pub(crate) fn state(&self) -> MemberState {
        match self {
            member if !member.accepting() => MemberState::Leaving,
            member if member.health.ejected() => MemberState::Ejected,
            member if member.suspect => MemberState::Suspect,
            _ => MemberState::Serving,
        }
    }

    /// Returns the status shown to operators.
    pub(crate) fn status(&self) -> MemberStatus {
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
        let age = now.since(self.slow_start_from);
        if age >= SLOW_START {
            return 1;
        }
        let left = SLOW_START.saturating_sub(age).as_micros();
        let extra = u128::from(SLOW_START_FACTOR - 1) * left / SLOW_START.as_micros();
        1 + u64::try_from(extra).unwrap_or(0)
    }
}
