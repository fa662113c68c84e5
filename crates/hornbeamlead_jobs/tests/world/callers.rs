//! Callers of the emulated platform, and the entry that serves them.

use super::*;
use hornbeamlead_jobs::entry::EntryPolicy;
use hornbeamlead_jobs::load::LoadReport;
use hornbeamlead_jobs::record::decode_heartbeat;

impl World {
    pub(super) fn notify_entry(&mut self, event: EntryEvent) {
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
                            self.after(self.store_ms, WorldEvent::EntryStored(caller, outcome));
                        }
                        _ => self.reads.push(PendingRead { host: None, call }),
                    }
                }
                Effect::Reply { ticket, reply } => {
                    self.record_reply(ticket, &reply);
                    self.replies.insert(ticket, reply);
                }
                _ => {}
            }
        }
    }

    pub(super) fn record_reply(&mut self, ticket: u64, reply: &CallerReply) {
        match reply {
            CallerReply::Accepted => {
                let job = self.submit_tickets.get(&ticket).copied();
                self.accepted.extend(job);
            }
            // Either acknowledges a cancellation.
            CallerReply::Cancelled | CallerReply::NoJob => {
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
            self.send_request(job, CallerOperation::Cancel);
        }
        self.notify_entry(EntryEvent::Tick);
    }

    pub(super) fn send_request(&mut self, job: JobId, operation: CallerOperation) -> u64 {
        // The reply may be immediate.
        let tickets = match operation {
            CallerOperation::Submit(_) => Some(&mut self.submit_tickets),
            CallerOperation::Cancel => Some(&mut self.cancel_tickets),
            CallerOperation::Read => None,
        };
        if let Some(tickets) = tickets {
            tickets.insert(self.last_ticket + 1, job);
        }
        self.send_to(&format!("/q/{job}"), operation)
    }

    fn send_to(&mut self, path: &str, operation: CallerOperation) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let request = CallerRequest {
            ticket,
            host: "h".into(),
            path: path.into(),
            operation,
            deadline: self.clock().mono.plus(Duration::from_secs(3)),
        };
        self.notify_entry(EntryEvent::Request(request));
        ticket
    }

    /// Submits a job, which is cancelled later with the probability in the faults.
    pub(crate) fn submit(&mut self, job: JobId, body: JobBody) {
        self.judge.submit(job, body.clone());
        self.send_request(job, CallerOperation::Submit(Ok(body)));
        if self.random.random::<f64>() < self.faults.cancel {
            let span = self.random.random_range(100..4000);
            self.cancels.push_back((self.now + span, job));
            self.cancels.make_contiguous().sort_unstable();
        }
    }

    /// Has an entry accept a job after the planner was lost, and puts one in its place that has just
    /// started and does not know the job.
    pub(crate) fn accept_unseen(&mut self, job: JobId, body: JobBody) {
        let planner = self.planner_host().expect("a planner is elected");
        self.kill(planner);
        self.submit(job, body);
        self.run(30);
        assert_eq!(self.accepted, [job]);
        self.set_entry_policy(EntryPolicy::default());
    }

    /// Asks for the phase of a job, and returns the number of the request.
    pub(crate) fn read(&mut self, job: JobId) -> u64 {
        self.send_request(job, CallerOperation::Read)
    }

    /// Returns the reply to a request, if there is one yet.
    pub(crate) fn reply(&self, ticket: u64) -> Option<&CallerReply> {
        self.replies.get(&ticket)
    }

    /// Returns the phase of a job as reported to callers.
    pub(crate) fn phase(&mut self, job: JobId) -> Option<JobPhase> {
        let ticket = self.send_request(job, CallerOperation::Read);
        match self.replies.get(&ticket) {
            Some(CallerReply::Phase(phase)) => Some(*phase),
            _ => None,
        }
    }

    /// Returns the length of the queue as reported to callers.
    pub(crate) fn queue_length(&mut self) -> Option<usize> {
        let ticket = self.send_to("/q/", CallerOperation::Read);
        match self.replies.get(&ticket) {
            Some(CallerReply::Waiting(waiting)) => Some(*waiting),
            _ => None,
        }
    }

    /// Returns the running attempts of a job.
    pub(crate) fn running(&self, job: JobId) -> Vec<RunName> {
        let runs = self
            .hosts
            .iter()
            .flat_map(|host| host.worker.running.keys());
        runs.filter(|run| run.task.step.job == job)
            .copied()
            .collect()
    }

    /// Returns the images of the long-running tasks on each host.
    pub(crate) fn serving_images(&self) -> Vec<BTreeSet<Box<str>>> {
        let images = |host: &WorldHost| {
            let steps = host.worker.running.keys();
            let steps = steps.filter_map(|run| self.judge.step(*run));
            let serving = steps.filter(|step| step.long_running);
            serving.map(|step| step.image.clone()).collect()
        };
        self.hosts.iter().map(images).collect()
    }

    /// Returns the running attempts of a job on one host.
    pub(crate) fn running_on(&self, host: usize, job: JobId) -> usize {
        let runs = self.hosts[host].worker.running.keys();
        runs.filter(|run| run.task.step.job == job).count()
    }

    /// Has planners replaced until one is elected on a host that runs tasks of a job, and returns the
    /// host.
    pub(crate) fn elect_on_busy_host(&mut self, job: JobId) -> usize {
        for _ in 0..40 {
            let planner = self.planner_host().expect("a planner is elected");
            if self.running_on(planner, job) > 0 {
                return planner;
            }
            self.kill(planner);
            self.run(2000);
        }
        panic!("no planner was elected on a host that runs tasks");
    }

    /// Cancels a job now.
    pub(crate) fn cancel(&mut self, job: JobId) {
        self.send_request(job, CallerOperation::Cancel);
    }

    /// Keeps workers from announcing themselves for a while.
    pub(crate) fn delay_announcements(&mut self, span_ms: u64) {
        for host in 0..self.hosts.len() {
            self.delay_announcement(host, span_ms);
        }
    }

    /// Keeps the worker of a host from announcing itself for a while.
    pub(crate) fn delay_announcement(&mut self, host: usize, span_ms: u64) {
        self.disturb(span_ms);
        self.hosts[host].announce_at = self.now + span_ms;
    }

    /// Makes all candidates choose the same epoch for the same offset, from their next start on.
    pub(crate) fn share_epochs(&mut self) {
        self.shared_epochs = true;
    }

    /// Returns the number of hosts that have a link to the planner.
    pub(crate) fn connected_hosts(&self) -> usize {
        let agents = self.hosts.iter().filter_map(|host| host.agent.as_ref());
        agents
            .filter(|agent| agent.locator.link().is_some())
            .count()
    }

    /// Creates a job of one step of long-running tasks.
    pub(crate) fn long_running_job(tasks: u32) -> JobBody {
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

    /// Creates a random job of one to three steps.
    pub(crate) fn random_job(&mut self) -> (JobId, JobBody) {
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

    /// Replaces the entry by one with other settings.
    pub(crate) fn set_entry_policy(&mut self, policy: EntryPolicy) {
        self.entry = EntryMachine::with_policy(policy, WorldFormat);
    }

    /// Returns the reply to the only submission of a job.
    pub(crate) fn submit_reply(&self, job: JobId) -> Option<&CallerReply> {
        let of_job = |(ticket, submitted): (&u64, &JobId)| (*submitted == job).then_some(*ticket);
        let ticket = self.submit_tickets.iter().find_map(of_job)?;
        self.replies.get(&ticket)
    }

    /// Returns the load report of the planner's newest heartbeat.
    pub(crate) fn newest_load(&self) -> Option<LoadReport> {
        let StoreOutcome::Records { records, .. } = self.store.read(&StoreOperation::Read {
            stream: StreamName::Plan,
            from: 0,
            wait_until: MonoTime(0),
            end_only: false,
        })?
        else {
            return None;
        };
        let values = records
            .iter()
            .rev()
            .filter_map(|read| read.value.as_deref());
        let records = values.filter_map(|value| decode_heartbeat(value).ok());
        records
            .map(|(record, reports)| (matches!(record, PlanRecord::Tick { .. }), reports.load))
            .find(|(heartbeat, _)| *heartbeat)?
            .1
    }
}
