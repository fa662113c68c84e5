//! Recovers the state of all jobs from the store: the latest snapshot, the plan records after it or
//! their copies in the journal, and the jobs stream.

use super::PlannerMachine;
use super::interference::InterferenceModel;
use crate::effect::{Effect, LinkId};
use crate::follow::{FollowOutcome, NewestReader, NewestRecords, StreamFollower};
use crate::ids::{PlannerEpoch, StreamOffset};
use crate::journal::{SnapshotOrigin, read_journal};
use crate::ledger::JobState;
use crate::message::AgentMessage;
use crate::operators::OperatorFormat;
use crate::record::{PlanRecord, decode_heartbeat};
use crate::snapshot::{SnapshotOutcome, SnapshotReader, SnapshotSet};
use crate::snapshot_retry::{SnapshotRetry, snapshot_reader};
use crate::store::{PlannerComponent, ReadRecord, StoreOutcome, StreamName};
use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Occurrences of jobs whose bodies are applied at a time, so that a planner that takes over many jobs
/// does not keep its process from other work.
const APPLIED_OCCURRENCES: usize = 1000;

/// Size of the part of a snapshot that is decoded at a time, in bytes.
const DECODED_BYTES: usize = 128 * 1024;

/// Time limit for opening a link to ask an agent to connect.
const CONNECT_REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// First id of the links that carry these requests; far above all other link ids of a process.
const CONNECT_REQUEST_LINKS: u64 = 1 << 56;

#[derive(Debug)]
enum PlanStage {
    Snapshot(NewestReader),
    Decoding(SnapshotReader),
    Records(StreamFollower),
    /// Records that the snapshot lacks have expired.
    Journal(JournalStage),
    Done,
}

/// Read of the journal.
#[derive(Debug)]
struct JournalStage {
    reader: NewestReader,
    /// Offset of the snapshot in the plan.
    from: StreamOffset,
    /// First offset of the plan that is still stored.
    first: StreamOffset,
}

#[derive(Debug)]
enum JobsStage {
    Reading(NewestReader),
    Read(NewestRecords),
    /// Bodies and cancellations that are not applied yet.
    Applying {
        bodies: VecDeque<ReadRecord>,
        cancels: Vec<ReadRecord>,
    },
}

/// Progress of a recovery. The plan and the jobs are read in parallel.
#[derive(Debug)]
pub(super) struct RecoveryState {
    claim: StreamOffset,
    plan: PlanStage,
    snapshot_retry: SnapshotRetry,
    jobs: JobsStage,
}

impl RecoveryState {
    pub(super) fn new(epoch: PlannerEpoch, claim: StreamOffset) -> Self {
        let caller = PlannerComponent::Recovery.caller(epoch);
        let plan_caller = PlannerComponent::Plan.caller(epoch);
        Self {
            claim,
            plan: PlanStage::Snapshot(snapshot_reader(plan_caller)),
            snapshot_retry: SnapshotRetry::new(plan_caller),
            jobs: JobsStage::Reading(NewestReader::new(StreamName::Jobs, caller)),
        }
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn poll_recovery(&mut self, now: MonoTime) {
        self.decode_snapshot(now);
        self.apply_bodies(now);
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let plan = match &mut recovery.plan {
            PlanStage::Snapshot(reader) => reader.poll(now),
            PlanStage::Records(follower) => follower.poll(now),
            PlanStage::Journal(stage) => stage.reader.poll(now),
            PlanStage::Decoding(_) | PlanStage::Done => None,
        };
        let jobs = match &mut recovery.jobs {
            JobsStage::Reading(reader) => reader.poll(now),
            _ => None,
        };
        self.effects
            .extend(plan.into_iter().chain(jobs).map(Effect::Store));
    }

    pub(super) fn handle_recovery(
        &mut self,
        now: MonoTime,
        component: PlannerComponent,
        outcome: StoreOutcome,
    ) {
        let Some(mut recovery) = self.recovery.take() else {
            return;
        };
        match component {
            PlannerComponent::Plan => self.recover_plan(now, &mut recovery, outcome),
            _ => {
                if let JobsStage::Reading(reader) = &mut recovery.jobs
                    && let Some(newest) = reader.take(now, outcome)
                {
                    recovery.jobs = JobsStage::Read(newest);
                }
            }
        }
        let is_plan_done = matches!(recovery.plan, PlanStage::Done);
        if let JobsStage::Read(newest) = &mut recovery.jobs
            && is_plan_done
        {
            self.jobs_follower.continue_after(newest);
            let records = std::mem::take(&mut newest.records);
            let (cancels, bodies): (Vec<_>, Vec<_>) =
                records.into_iter().partition(super::intake::is_cancel);
            self.adopt_crashes(now);
            recovery.jobs = JobsStage::Applying {
                bodies: bodies.into(),
                cancels,
            };
        }
        self.recovery = Some(recovery);
        self.apply_bodies(now);
    }

    /// Applies some of the bodies that were read, and completes the recovery after the last.
    fn apply_bodies(&mut self, now: MonoTime) {
        let Some(mut recovery) = self.recovery.take() else {
            return;
        };
        let JobsStage::Applying { bodies, cancels } = &mut recovery.jobs else {
            self.recovery = Some(recovery);
            return;
        };
        let mut occurrences = 0;
        while let Some(body) = bodies.pop_front_if(|_| occurrences < APPLIED_OCCURRENCES) {
            let job = super::intake::job_of(&body);
            let state = job.and_then(|job| self.ledger.jobs.get(&job));
            occurrences += 1 + state.map_or(0, |state| state.occurrences.len());
            self.apply_jobs(now, &[body]);
        }
        match bodies.is_empty() {
            true => self.activate(now, cancels),
            false => self.recovery = Some(recovery),
        }
    }

    fn recover_plan(&mut self, now: MonoTime, recovery: &mut RecoveryState, outcome: StoreOutcome) {
        match &mut recovery.plan {
            PlanStage::Snapshot(reader) => {
                if let Some(newest) = reader.take(now, outcome) {
                    recovery.plan = self.begin_snapshot(&newest.records);
                }
            }
            PlanStage::Records(follower) => match follower.take(now, outcome) {
                FollowOutcome::Records { records, .. } => {
                    if self.replay(recovery.claim, &records) {
                        recovery.plan = PlanStage::Done;
                    }
                }
                FollowOutcome::Expired { first } => {
                    let from = follower.next();
                    let caller = PlannerComponent::Plan.caller(self.epoch);
                    recovery.plan = match recovery.snapshot_retry.is_gap(from) {
                        true => PlanStage::Journal(JournalStage {
                            reader: NewestReader::new(StreamName::Journal, caller),
                            from,
                            first,
                        }),
                        false => PlanStage::Snapshot(snapshot_reader(caller)),
                    };
                }
                FollowOutcome::Failed => {}
            },
            PlanStage::Journal(stage) => {
                if let Some(newest) = stage.reader.take(now, outcome) {
                    let (from, first) = (stage.from, stage.first);
                    self.recover_journal(now, recovery, (from, first), &newest.records);
                }
            }
            PlanStage::Decoding(_) | PlanStage::Done => {}
        }
    }

    /// Applies the copies of the records that have expired. What the journal lacks must not be
    /// skipped, since a task whose end is unknown would run twice.
    fn recover_journal(
        &mut self,
        now: MonoTime,
        recovery: &mut RecoveryState,
        (from, first): (StreamOffset, StreamOffset),
        records: &[ReadRecord],
    ) {
        let snapshot = SnapshotOrigin {
            offset: from,
            writer: self.ledger.journaled,
        };
        match read_journal(records, snapshot) {
            // Whether the claim is that of this process was not read before it expired.
            Ok(_) if first > recovery.claim => self.depose("claim_expired"),
            Ok(copies) => {
                let expired = copies.into_iter().take_while(|copy| copy.0 < first);
                let expired: Vec<_> = expired.collect();
                let detail = format!("from={from} first={first} records={}", expired.len());
                self.log("journal_replayed", "plan", detail);
                self.effects.push(Effect::Count("journal_replayed"));
                for (offset, bytes) in expired {
                    self.replay_record(offset, &bytes);
                }
                recovery.plan = PlanStage::Records(self.plan_follower(first));
            }
            Err(gap) => {
                let retry = &mut recovery.snapshot_retry;
                let line = retry.log_gap(from, first, &gap.to_string());
                let counter = line.is_some().then_some(Effect::Count("plan_gap"));
                self.effects.extend(line.into_iter().chain(counter));
                recovery.plan = PlanStage::Snapshot(retry.after_pause(now));
            }
        }
    }

    fn plan_follower(&self, next: StreamOffset) -> StreamFollower {
        let caller = PlannerComponent::Plan.caller(self.epoch);
        let mut follower =
            StreamFollower::new(StreamName::Plan, caller, Duration::ZERO, Duration::ZERO);
        follower.seek(next);
        follower
    }

    /// Begins with a snapshot, or with an empty plan if there is none.
    fn begin_snapshot(&mut self, records: &[ReadRecord]) -> PlanStage {
        self.upkeep.recover_set(SnapshotSet::of_newest(records));
        if !records.is_empty() {
            return PlanStage::Decoding(SnapshotReader::new(records));
        }
        self.ledger = Default::default();
        self.placed.restart(None);
        self.journal.restart(0);
        PlanStage::Records(self.plan_follower(0))
    }

    /// Decodes a part of the snapshot.
    fn decode_snapshot(&mut self, now: MonoTime) {
        let Some(mut recovery) = self.recovery.take() else {
            return;
        };
        if let PlanStage::Decoding(reader) = &mut recovery.plan
            && let Some(outcome) = reader.advance(DECODED_BYTES)
        {
            recovery.plan = self.adopt_snapshot(now, &mut recovery.snapshot_retry, outcome);
        }
        self.recovery = Some(recovery);
    }

    fn adopt_snapshot(
        &mut self,
        now: MonoTime,
        retry: &mut SnapshotRetry,
        outcome: SnapshotOutcome,
    ) -> PlanStage {
        match outcome {
            Ok(Some((ledger, offset))) => {
                self.interference = InterferenceModel::from_learned(&ledger.learned);
                self.ledger = ledger;
                self.placed.restart(self.ledger.placed.take());
                self.journal.restart(offset);
                PlanStage::Records(self.plan_follower(offset))
            }
            Ok(None) => PlanStage::Snapshot(retry.after_pause(now)),
            Err(error) => {
                let cause = error.to_string();
                self.log("snapshot_unreadable", "plan", format!("cause={cause:?}"));
                PlanStage::Snapshot(retry.after_pause(now))
            }
        }
    }

    /// Applies records up to this planner's claim, and returns whether the claim was reached.
    fn replay(&mut self, claim: StreamOffset, records: &[ReadRecord]) -> bool {
        for read in records.iter().take_while(|read| read.offset <= claim) {
            let bytes = read.value.clone().unwrap_or_default();
            let record = self.replay_record(read.offset, &bytes);
            if let Some(PlanRecord::Claim(other) | PlanRecord::Takeover(other)) = record
                && read.offset == claim
                && other.incarnation != self.policy.incarnation
            {
                self.depose("claim_of_another");
            }
        }
        records.last().is_some_and(|read| read.offset >= claim)
    }

    fn replay_record(&mut self, offset: StreamOffset, bytes: &Bytes) -> Option<PlanRecord> {
        match decode_heartbeat(bytes) {
            Ok((record, reports)) => {
                if let PlanRecord::Claim(_) | PlanRecord::Takeover(_) = record {
                    self.upkeep.advance_set();
                }
                if let PlanRecord::Tick { .. } = record {
                    self.placed.restart(reports.placed);
                }
                self.track_placed(&record);
                self.ledger.apply(&record);
                self.journal.hold(&record, (offset, bytes.clone()));
                Some(record)
            }
            Err(error) => {
                let cause = error.to_string();
                let detail = format!("offset={offset} cause={cause:?}");
                self.log("record_unreadable", "plan", detail);
                None
            }
        }
    }

    fn activate(&mut self, now: MonoTime, cancels: &[ReadRecord]) {
        self.check_job_outcomes(now);
        self.apply_jobs(now, cancels);
        self.ledger.complete_ages();
        let lacks_body = |state: &JobState| state.record.is_none() && !state.phase.is_final();
        let jobs = self.ledger.jobs.iter();
        let missing_body = jobs.filter(|(_, state)| lacks_body(state));
        let missing_body: Vec<_> = missing_body.map(|(job, _)| *job).collect();
        for job in missing_body {
            self.log("job_without_body", job, String::new());
        }
        self.adopt_placements(now);
        self.adopt_placed();
        let detail = format!(
            "epoch={} jobs={} runs={} took_ms={}",
            self.epoch,
            self.ledger.jobs.len(),
            self.runs.len(),
            now.since(self.started_at).as_millis()
        );
        self.log("planner_active", self.policy.host.clone(), detail);
        self.request_connections(now);
    }

    /// Asks all known agents to connect. Other agents read the planner's address from the store.
    fn request_connections(&mut self, now: MonoTime) {
        let (epoch, address) = (self.epoch, self.policy.address);
        let agents = self
            .ledger
            .hosts
            .values()
            .filter(|agent| **agent != address);
        for (number, &agent) in agents.enumerate() {
            let link = LinkId(CONNECT_REQUEST_LINKS + now.0 + number as u64);
            self.effects.push(Effect::Dial {
                link,
                address: agent,
                deadline: now.plus(CONNECT_REQUEST_TIMEOUT),
            });
            let message = AgentMessage::ConnectRequest { epoch, address };
            self.effects.push(Effect::ToPlanner { link, message });
            self.effects.push(Effect::CloseLink { link });
        }
    }
}
