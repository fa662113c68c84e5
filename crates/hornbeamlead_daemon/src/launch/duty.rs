//! Starts the thread of a duty.

use std::future::Future;
use std::io;
use std::thread::{Builder, JoinHandle};

/// Starts a thread with a runtime of its own and runs a duty on it.
///
/// The duty is made on the thread, inside the runtime, so that it can adopt sockets.
///
/// # Errors
/// Returns the error of starting the runtime or the thread.
pub(crate) fn start_duty<D, F>(name: &str, duty: D) -> io::Result<JoinHandle<()>>
where
    D: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let run = move || runtime.block_on(async move { duty().await });
    Builder::new().name(name.into()).spawn(run)
}
