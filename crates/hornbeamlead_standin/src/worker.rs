//! Stand-in for a worker with its endpoint.

mod announce;
mod endpoint;
mod server;
mod state;
mod tasks;
mod usage;

pub mod control;
pub mod history;

use crate::http::bind;
use crate::runner::RunnerThread;
use control::{WorkerControl, WorkerSettings};
use history::{EndpointRuns, WorkerHistory};
use state::WorkerState;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// State shared by the listeners of one worker.
pub(crate) type SharedState = Arc<Mutex<WorkerState>>;

/// Locks the state, also after a panic of another holder.
pub(crate) fn lock(state: &SharedState) -> MutexGuard<'_, WorkerState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Running worker with its endpoint.
#[derive(Debug)]
pub struct WorkerStandin {
    worker_address: SocketAddr,
    endpoint_address: SocketAddr,
    state: SharedState,
    runner: RunnerThread,
}

impl WorkerStandin {
    /// Starts a worker and its endpoint.
    ///
    /// # Errors
    /// Returns the error of binding or of starting the thread.
    pub fn start(settings: WorkerSettings) -> io::Result<Self> {
        let worker_listener = bind(settings.listen)?;
        let endpoint_listener = bind(settings.endpoint)?;
        let worker_address = worker_listener.local_addr()?;
        let endpoint_address = endpoint_listener.local_addr()?;
        let state = Arc::new(Mutex::new(WorkerState::new(settings)));
        let shared = Arc::clone(&state);
        let runner = RunnerThread::start("worker", move || async move {
            tokio::select! {
                ended = server::run(worker_listener, Arc::clone(&shared)) => ended,
                ended = endpoint::run(endpoint_listener, Arc::clone(&shared)) => ended,
                () = announce::run(worker_address, endpoint_address, Arc::clone(&shared)) => Ok(()),
                () = usage::run(Arc::clone(&shared)) => Ok(()),
            }
        })?;
        Ok(Self {
            worker_address,
            endpoint_address,
            state,
            runner,
        })
    }

    /// Returns the address that takes calls about tasks.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.worker_address
    }

    /// Returns the address that takes requests.
    #[must_use]
    pub fn endpoint_addr(&self) -> SocketAddr {
        self.endpoint_address
    }

    /// Changes the behaviour.
    pub fn control(&self, change: impl FnOnce(&mut WorkerControl)) {
        change(&mut lock(&self.state).control);
    }

    /// Returns what the worker did with tasks.
    #[must_use]
    pub fn history(&self) -> WorkerHistory {
        lock(&self.state).read_history()
    }

    /// Returns what the endpoint did with requests.
    #[must_use]
    pub fn runs(&self) -> EndpointRuns {
        lock(&self.state).runs.clone()
    }

    /// Stops the worker and its endpoint at once, and returns what they did.
    pub fn stop(mut self) -> (WorkerHistory, EndpointRuns) {
        self.runner.stop();
        lock(&self.state).kill_tasks();
        (self.history(), self.runs())
    }
}
