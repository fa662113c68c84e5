//! Errors that end a process.

use snafu::Snafu;
use std::io;

/// Error that ends the process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum LaunchError {
    /// A thread, or a socket that it needs, could not be set up.
    #[snafu(display("cannot start the {thread} thread: {source}"))]
    Start {
        thread: &'static str,
        source: io::Error,
    },
    /// The settings give no address for a listener of the role.
    #[snafu(display("no address for {listener}"))]
    NoListener { listener: &'static str },
    #[snafu(display("the {thread} thread failed"))]
    Panicked { thread: &'static str },
}
