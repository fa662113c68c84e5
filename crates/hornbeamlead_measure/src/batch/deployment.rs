//! The two deployments: data centres, weights, and jobs whose declarations are far off.

use serde_json::{Value, json};

/// Deployment on which the experiment runs.
#[derive(Debug)]
pub(super) struct Deployment {
    pub(super) name: &'static str,
    /// Data centres with their number of hosts; the first one is taken out of service for a while.
    pub(super) data_centres: &'static [(&'static str, usize)],
    /// Weights of tail latency, throughput and evictions.
    weights: [u32; 3],
    /// Interval of each task's checkpoints, in milliseconds.
    pub(super) checkpoint_ms: u64,
    /// Number of urgent tasks, which are declared while the queue is full.
    pub(super) urgent: u64,
}

/// Three data centres with 11 workers.
pub(super) const COOPERAGE: Deployment = Deployment {
    name: "cooperage",
    data_centres: &[("negombo", 4), ("colombo", 4), ("kalutara", 3)],
    weights: [1, 1, 4],
    checkpoint_ms: 1_000,
    urgent: 12,
};

/// Four data centres with 11 workers.
pub(super) const CREMA: Deployment = Deployment {
    name: "crema",
    data_centres: &[
        ("perth", 3),
        ("fremantle", 3),
        ("joondalup", 3),
        ("bunbury", 2),
    ],
    weights: [4, 2, 1],
    checkpoint_ms: 1_000,
    urgent: 12,
};

impl Deployment {
    /// Returns the settings of the agents.
    pub(super) fn settings(&self, learning: bool) -> Value {
        let [tail_latency, throughput, evictions] = self.weights;
        json!({"schedule": {
            "learning": learning,
            "service_p99_goal": "3ms",
            "weights": {
                "tail_latency": tail_latency,
                "throughput": throughput,
                "evictions": evictions,
            },
        }})
    }

    /// Returns the real behaviour of each kind of task. It differs from the declared values by a
    /// factor of up to 4 in either direction.
    pub(super) fn kinds() -> Value {
        json!({
            "seasoning": {"run_time_percent": 33, "usage_percent": 25, "slowdown_percent": 0},
            "certificates": {"run_time_percent": 400, "usage_percent": 100, "slowdown_percent": 0},
            "noisy": {"run_time_percent": 100, "usage_percent": 100, "slowdown_percent": 20},
            "urgent": {"run_time_percent": 100, "usage_percent": 100, "slowdown_percent": 0},
        })
    }

    /// Returns the jobs that are published at the start.
    pub(super) fn initial_jobs(&self, deadline_ms: u64) -> Value {
        json!([
            self.job("seasoning", "seasoning", 700, 2_000, 12_000, deadline_ms),
            self.job(
                "certificates",
                "certificates",
                30,
                1_000,
                3_000,
                deadline_ms
            ),
        ])
    }

    /// Returns a job of 20 tasks that slow down the requests on their hosts.
    pub(super) fn wave(&self, number: u64, deadline_ms: u64) -> Value {
        let name = format!("wave-{number}");
        json!([self.job(&name, "noisy", 20, 1_000, 4_000, deadline_ms)])
    }

    /// Returns an urgent job of one task.
    pub(super) fn urgent_job(&self, number: u64, deadline_ms: u64) -> Value {
        let name = format!("urgent-{number}");
        let mut job = self.job(&name, "urgent", 1, 500, 500, deadline_ms);
        job["urgent"] = json!(true);
        json!([job])
    }

    fn job(
        &self,
        name: &str,
        kind: &str,
        tasks: u32,
        cpu_millis: u32,
        run_time_ms: u64,
        deadline_ms: u64,
    ) -> Value {
        json!({
            "name": name, "team": "yard", "kind": kind, "tasks": tasks,
            "size": {"cpu_millis": cpu_millis, "memory_mebibytes": 1_024, "accelerators": 0},
            "run_time_ms": run_time_ms, "deadline_unix_ms": deadline_ms,
            "priority": 5, "urgent": false, "delivery": "resumable",
            "checkpoint_every_ms": self.checkpoint_ms,
        })
    }
}
