//! Thread with its own async runtime that runs a stand-in.

use std::future::Future;
use std::io;
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// Thread that runs a stand-in until the handle is stopped or dropped.
#[derive(Debug)]
pub(crate) struct RunnerThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RunnerThread {
    /// Starts a thread that runs the future returned by `build` in its runtime.
    pub(crate) fn start<B, F>(name: &str, build: B) -> io::Result<Self>
    where
        B: FnOnce() -> F + Send + 'static,
        F: Future<Output = io::Result<()>>,
    {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name(name.into());
        let thread = thread.spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = stopped => {}
                    result = build() => log_error(result),
                }
            });
        })?;
        Ok(Self {
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Stops the thread and closes all its sockets.
    pub(crate) fn stop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

impl Drop for RunnerThread {
    fn drop(&mut self) {
        self.stop();
    }
}

fn log_error(result: io::Result<()>) {
    if let Err(error) = result {
        eprintln!("stand-in failed: {error}");
    }
}
