//! Spawns threads with an async runtime of their own.

use std::future::Future;
use std::io;
use std::thread::{Builder, JoinHandle};

/// Spawns a thread with a single-threaded runtime of its own and runs a task on it.
///
/// The task's future is created on the thread, inside the runtime, so that it can register sockets.
///
/// # Errors
/// Returns the error of starting the runtime or the thread.
pub(crate) fn spawn_runtime_thread<T, F>(name: &str, task: T) -> io::Result<JoinHandle<()>>
where
    T: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let run = move || runtime.block_on(async move { task().await });
    Builder::new().name(name.into()).spawn(run)
}
