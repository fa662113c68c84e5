//! Calls of the emulated processes to the store and to workers.

use super::*;

impl World {
    pub(super) fn call_store(&mut self, host: usize, incarnation: u64, call: StoreCall) {
        let caller = call.caller;
        let answer = |outcome| WorldEvent::Stored(host, incarnation, caller, outcome);
        if self.is_store_silent(host) {
            return self.leave_unanswered(host, incarnation, &call);
        }
        if let Err(outcome) = self.reach_store(host, &call.operation) {
            let span = if matches!(outcome, StoreOutcome::Refused { .. }) {
                10
            } else {
                700
            };
            return self.after(span, answer(outcome));
        }
        match &call.operation {
            StoreOperation::Append { stream, .. } if self.refused_stream == Some(*stream) => {
                let cause = "refused".into();
                self.after(self.store_ms, answer(StoreOutcome::Refused { cause }));
            }
            StoreOperation::Append {
                stream,
                records,
                condition,
            } => {
                let lost = self.now < self.faults_until
                    && self.random.random::<f64>() < self.faults.lost_answers;
                if lost {
                    let span = self.random.random_range(0..4000);
                    self.disturb(span);
                    let late = WorldEvent::LateAppend(*stream, records.clone(), *condition);
                    self.after(span, late);
                    let cause = "lost".into();
                    return self.after(700, answer(StoreOutcome::Unanswered { cause }));
                }
                let outcome = self.store.append(self.now, *stream, records, *condition);
                self.after(self.store_ms, answer(outcome));
            }
            _ => self.reads.push(PendingRead {
                host: Some((host, incarnation)),
                call,
            }),
        }
    }

    pub(super) fn step_reads(&mut self) {
        let reads = std::mem::take(&mut self.reads);
        for read in reads {
            let over = match &read.call.operation {
                StoreOperation::Read { wait_until, .. } => wait_until.0 / 1000 <= self.now,
                _ => true,
            };
            match self.store.read(&read.call.operation) {
                Some(outcome) => self.answer_read(read, outcome),
                None if over => {
                    let outcome = self.store.read_empty(&read.call.operation);
                    self.answer_read(read, outcome);
                }
                None => self.reads.push(read),
            }
        }
    }

    fn answer_read(&mut self, read: PendingRead, outcome: StoreOutcome) {
        let caller = read.call.caller;
        if let Some((host, incarnation)) = read.host
            && self.is_store_silent(host)
        {
            return self.leave_unanswered(host, incarnation, &read.call);
        }
        let event = match read.host {
            Some((host, incarnation)) => WorldEvent::Stored(host, incarnation, caller, outcome),
            None => WorldEvent::EntryStored(caller, outcome),
        };
        self.after(self.store_ms, event);
    }

    fn is_store_silent(&self, host: usize) -> bool {
        self.now < self.hosts[host].store_silent_until
    }

    /// Ends a call that gets no answer, at its deadline.
    fn leave_unanswered(&mut self, host: usize, incarnation: u64, call: &StoreCall) {
        let span = (call.deadline.0 / 1000).saturating_sub(self.now);
        let cause = "silent".into();
        let outcome = StoreOutcome::Unanswered { cause };
        let event = WorldEvent::Stored(host, incarnation, call.caller, outcome);
        self.after(span, event);
    }

    /// Selects a route to the store as a process does. Returns the error of the last route tried.
    fn reach_store(&mut self, host: usize, operation: &StoreOperation) -> Result<(), StoreOutcome> {
        let now = self.clock().mono;
        let mut route = self.hosts[host].route.choose(now, operation);
        loop {
            let outcome = self.try_route(host, route);
            let reported = outcome.as_ref().err().cloned();
            let reported = reported.unwrap_or(StoreOutcome::Appended { offset: 0 });
            self.hosts[host].route.record_outcome(now, route, &reported);
            let relay = self.hosts[host].route.relay(now);
            route = match (route, &reported, relay) {
                (StoreRoute::Direct, StoreOutcome::Refused { .. }, Some(relay)) => {
                    StoreRoute::Relay(relay)
                }
                _ => return outcome,
            };
        }
    }

    fn try_route(&mut self, host: usize, route: StoreRoute) -> Result<(), StoreOutcome> {
        let via = match route {
            StoreRoute::Direct => host,
            StoreRoute::Relay(relay) => (0..self.hosts.len())
                .find(|&other| address(other) == relay)
                .unwrap_or(host),
        };
        let down = self.hosts[via].agent.is_none() || self.now < self.hosts[via].frozen_until;
        let unreachable =
            self.is_partitioned(host) || self.is_partitioned(via) || (via != host && down);
        if !unreachable && self.now >= self.hosts[via].store_down_until {
            return Ok(());
        }
        let cause = "unavailable".into();
        Err(match self.random.random::<bool>() {
            true => StoreOutcome::Refused { cause },
            false => StoreOutcome::Unanswered { cause },
        })
    }

    pub(super) fn call_worker(&mut self, host: usize, incarnation: u64, call: WorkerCall) {
        match &call.operation {
            // Nobody listens at any other address.
            _ if call.address != address(host) => {
                let answer = WorkerAnswer::Gone;
                self.after(
                    2,
                    WorldEvent::WorkerReplied(host, incarnation, call, answer),
                );
            }
            WorkerOperation::Hold { .. } => self.holds.push(PendingHold {
                host,
                incarnation,
                call,
            }),
            _ => {
                let late = self.now < self.faults_until
                    && self.random.random::<f64>() < self.faults.late_orders;
                if late {
                    let span = self.random.random_range(2000..6000);
                    self.disturb(span);
                    self.after(span, WorldEvent::LateOrder(host, call.clone()));
                    let answer = WorkerAnswer::Unanswered;
                    return self.after(
                        500,
                        WorldEvent::WorkerReplied(host, incarnation, call, answer),
                    );
                }
                self.call_now(host, incarnation, call);
            }
        }
    }
}
