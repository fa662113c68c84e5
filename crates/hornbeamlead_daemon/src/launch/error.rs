//! Why a process could not run.

use snafu::Snafu;
use std::io;

/// Reports why a process could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum LaunchError {
    /// A thread or socket could not be set up.
    #[snafu(display("cannot start the {duty} thread: {source}"))]
    Start {
        /// Duty of the thread.
        duty: &'static str,
        /// Cause.
        source: io::Error,
    },
    /// The settings give no address for a listener of the role.
    #[snafu(display("no address for {listener}"))]
    NoListener {
        /// Listener.
        listener: &'static str,
    },
    /// A thread panicked.
    #[snafu(display("the {duty} thread failed"))]
    Panicked {
        /// Duty of the thread.
        duty: &'static str,
    },
}
