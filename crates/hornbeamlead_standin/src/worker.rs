//! Stand-in for the worker of a host, with its endpoint.

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
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// State shared by the listeners of one worker.
pub(crate) type SharedState = Arc<Mutex<WorkerState>>;

/// Locks the state, even if a holder of the lock has panicked.
pub(crate) fn lock(state: &SharedState) -> MutexGuard<'_, WorkerState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Running stand-in of a worker, with its endpoint.
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
    /// Returns an error if an address cannot be bound or the thread cannot be started.
    pub fn start(settings: WorkerSettings) -> io::Result<Self> {
        let worker_listener = bind(settings.listen)?;
        Self::start_on(worker_listener, settings)
    }

    /// Starts a worker on a listener that is bound already, and its endpoint.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound or the thread cannot be started.
    pub(crate) fn start_on(
        worker_listener: TcpListener,
        settings: WorkerSettings,
    ) -> io::Result<Self> {
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

    /// Changes the behaviour of the worker and its endpoint.
    pub fn control(&self, change: impl FnOnce(&mut WorkerControl)) {
        change(&mut lock(&self.state).control);
    }

    /// Returns the history of the worker's tasks.
    #[must_use]
    pub fn history(&self) -> WorkerHistory {
        lock(&self.state).read_history()
    }

    /// Returns the endpoint's runs of requests.
    #[must_use]
    pub fn runs(&self) -> EndpointRuns {
        lock(&self.state).runs.clone()
    }

    /// Kills the worker with its endpoint and tasks; returns its history and its runs.
    pub fn stop(mut self) -> (WorkerHistory, EndpointRuns) {
        self.runner.stop();
        lock(&self.state).kill_tasks();
        (self.history(), self.runs())
    }
}
