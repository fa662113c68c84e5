//! Callers of the emulated platform, and the entry that serves them.

use super::*;

impl World {
    pub(super) fn tell_entry(&mut self, event: EntryEvent) {
        let now = self.clock();
        let effects = self.entry.handle(now, event);
        for effect in effects {
            match effect {
                Effect::Store(call) => {
                    let caller = call.caller;
                    match &call.operation {
                        StoreOperation::Append {
                            stream,
                            records,
                            condition,
                        } => {
                            let outcome = self.store.append(self.now, *stream, records, *condition);
                            self.after(STORE_MS, WorldEvent::EntryStored(caller, outcome));
                        }
                        _ => self.reads.push(PendingRead { host: None, call }),
                    }
                }
                Effect::Reply { ticket, reply } => {
                    self.note_reply(ticket, &reply);
                    self.replies.insert(ticket, reply);
                }
                _ => {}
            }
        }
    }

    pub(super) fn note_reply(&mut self, ticket: u64, reply: &CallerReply) {
        match reply {
            CallerReply::Accepted => {
                let job = self.submit_tickets.get(&ticket).copied();
                self.accepted.extend(job);
            }
            CallerReply::Cancelled => {
                if let Some(job) = self.cancel_tickets.get(&ticket) {
                    self.judge.cancel(self.now, *job);
                }
            }
            _ => {}
        }
    }

    pub(super) fn step_callers(&mut self) {
        while let Some(&(at, job)) = self.cancels.front() {
            if at > self.now {
                break;
            }
            self.cancels.pop_front();
            let ticket = self.operation(job, CallerOperation::Cancel);
            self.cancel_tickets.insert(ticket, job);
        }
        self.tell_entry(EntryEvent::Tick);
    }

    pub(super) fn operation(&mut self, job: JobId, operation: CallerOperation) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        if matches!(operation, CallerOperation::Submit(_)) {
            self.submit_tickets.insert(ticket, job);
        }
        let request = CallerRequest {
            ticket,
            host: "h".into(),
            path: format!("/q/{job}").into(),
            operation,
            deadline: self.clock().mono.plus(Duration::from_secs(3)),
        };
        self.tell_entry(EntryEvent::Request(request));
        ticket
    }

    /// Hands in a job; it may be cancelled later, as the faults say.
    pub(crate) fn submit(&mut self, job: JobId, body: JobBody) {
        self.judge.submit(job, body.clone());
        self.operation(job, CallerOperation::Submit(Ok(body)));
        if self.random.random::<f64>() < self.faults.cancel {
            let span = self.random.random_range(100..4000);
            self.cancels.push_back((self.now + span, job));
            self.cancels.make_contiguous().sort_unstable();
        }
    }

    /// Returns the state of a job as a caller sees it.
    pub(crate) fn phase(&mut self, job: JobId) -> Option<JobPhase> {
        let ticket = self.operation(job, CallerOperation::Read);
        match self.replies.get(&ticket) {
            Some(CallerReply::Phase(phase)) => Some(*phase),
            _ => None,
        }
    }

    /// Returns the attempts of a job that run.
    pub(crate) fn running(&self, job: JobId) -> Vec<RunName> {
        let runs = self
            .hosts
            .iter()
            .flat_map(|host| host.worker.running.keys());
        runs.filter(|run| run.task.step.job == job)
            .copied()
            .collect()
    }

    /// Cancels a job now.
    pub(crate) fn cancel(&mut self, job: JobId) {
        let ticket = self.operation(job, CallerOperation::Cancel);
        self.cancel_tickets.insert(ticket, job);
    }

    /// Keeps workers from announcing themselves for a while.
    pub(crate) fn delay_announcements(&mut self, span_ms: u64) {
        for host in &mut self.hosts {
            host.announce_at = self.now + span_ms;
        }
    }

    /// Has all candidates choose the same epoch for the same offset, from their next start on.
    pub(crate) fn share_epochs(&mut self) {
        self.shared_epochs = true;
    }

    /// Returns how many hosts have a link to the planner.
    pub(crate) fn connected_hosts(&self) -> usize {
        let agents = self.hosts.iter().filter_map(|host| host.agent.as_ref());
        agents
            .filter(|agent| agent.locator.link().is_some())
            .count()
    }

    /// Makes a job of one step of lasting tasks.
    pub(crate) fn lasting_job(tasks: u32) -> JobBody {
        let step = StepSpec {
            tasks,
            cpu: 500,
            memory: 100,
            long_running: true,
            ..StepSpec::default()
        };
        JobBody {
            spec: "serve".into(),
            steps: vec![step],
            ..JobBody::default()
        }
    }

    /// Draws a job of one to three steps.
    pub(crate) fn draw_job(&mut self) -> (JobId, JobBody) {
        let job = JobId(self.random.random());
        let steps = self.random.random_range(1..=3_u16);
        let step = |index: u16, random: &mut SmallRng| StepSpec {
            tasks: random.random_range(1..=4),
            cpu: random.random_range(100..1500),
            memory: random.random_range(50..500),
            estimate_ms: 800,
            after: if index > 0 {
                vec![index - 1]
            } else {
                Vec::new()
            },
            ..StepSpec::default()
        };
        let steps = (0..steps)
            .map(|index| step(index, &mut self.random))
            .collect();
        let body = JobBody {
            spec: "work".into(),
            steps,
            ..JobBody::default()
        };
        (job, body)
    }
}
