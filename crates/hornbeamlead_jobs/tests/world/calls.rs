//! Calls of the emulated processes to store and workers.

use super::*;

impl World {
    pub(super) fn call_store(&mut self, host: usize, incarnation: u64, call: StoreCall) {
        let caller = call.caller;
        let answer = |outcome| WorldEvent::Stored(host, incarnation, caller, outcome);
        if let Err(outcome) = self.reach_store(host, &call.operation) {
            let span = if matches!(outcome, StoreOutcome::Refused { .. }) {
                10
            } else {
                700
            };
            return self.after(span, answer(outcome));
        }
        match &call.operation {
            StoreOperation::Append {
                stream,
                records,
                condition,
            } => {
                let lost =
                    self.now < self.faults_until && self.random.random::<f64>() < self.faults.lost;
                if lost {
                    let span = self.random.random_range(0..4000);
                    let late = WorldEvent::LateAppend(*stream, records.clone(), *condition);
                    self.after(span, late);
                    let cause = "lost".into();
                    return self.after(700, answer(StoreOutcome::Unanswered { cause }));
                }
                let outcome = self.store.append(self.now, *stream, records, *condition);
                self.after(STORE_MS, answer(outcome));
            }
            _ => self.reads.push(PendingRead {
                host: Some((host, incarnation)),
                call,
            }),
        }
    }

    /// Finds a way to the store, as the store thread of a process does.
    fn reach_store(&mut self, host: usize, operation: &StoreOperation) -> Result<(), StoreOutcome> {
        let now = self.clock().mono;
        let mut way = self.hosts[host].route.choose(now, operation);
        loop {
            let outcome = self.try_way(host, way);
            let made = outcome.as_ref().err().cloned();
            let made = made.unwrap_or(StoreOutcome::Appended { offset: 0 });
            self.hosts[host].route.record_outcome(now, way, &made);
            let relay = self.hosts[host].route.relay(now);
            way = match (way, &made, relay) {
                (StoreRoute::Direct, StoreOutcome::Refused { .. }, Some(relay)) => {
                    StoreRoute::Relay(relay)
                }
                _ => return outcome,
            };
        }
    }

    fn try_way(&mut self, host: usize, way: StoreRoute) -> Result<(), StoreOutcome> {
        let via = match way {
            StoreRoute::Direct => host,
            StoreRoute::Relay(relay) => (0..self.hosts.len())
                .find(|&other| address(other) == relay)
                .unwrap_or(host),
        };
        let dead = self.hosts[via].agent.is_none() || self.now < self.hosts[via].frozen_until;
        let harmed = self.is_cut(host) || self.is_cut(via) || (via != host && dead);
        if !harmed && self.now >= self.hosts[via].store_away_until {
            return Ok(());
        }
        let cause = "away".into();
        Err(match self.random.random::<bool>() {
            true => StoreOutcome::Refused { cause },
            false => StoreOutcome::Unanswered { cause },
        })
    }

    pub(super) fn call_worker(&mut self, host: usize, incarnation: u64, call: WorkerCall) {
        match &call.operation {
            WorkerOperation::Hold { .. } => self.holds.push(PendingHold {
                host,
                incarnation,
                call,
            }),
            _ => {
                let late =
                    self.now < self.faults_until && self.random.random::<f64>() < self.faults.late;
                if late {
                    let span = self.random.random_range(2000..6000);
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
