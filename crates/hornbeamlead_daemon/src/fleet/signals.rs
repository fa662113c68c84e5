//! Signal thread: SIGTERM and SIGINT request a graceful stop, SIGHUP a check of the settings.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::thread;

/// Action requested by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalRequest {
    /// Stop gracefully.
    Stop,
    /// Check the changed settings file.
    Reload,
}

/// Installed signal handlers; signals stay pending until [`spawn_signal_thread`] reads them.
pub(super) struct SignalHandlers(Signals);

/// Installs the handlers. Until then a signal terminates the process, so this has to precede the
/// first listener.
///
/// # Errors
/// Returns the error of installing them.
pub(super) fn install_handlers() -> io::Result<SignalHandlers> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map(SignalHandlers)
}

/// Starts a thread that calls `notify` for each signal since the handlers were installed.
///
/// # Errors
/// Returns the error of starting the thread.
pub(super) fn spawn_signal_thread(
    mut signals: SignalHandlers,
    notify: impl Fn(SignalRequest) + Send + 'static,
) -> io::Result<()> {
    let wait = move || {
        for signal in signals.0.forever() {
            notify(match signal {
                SIGHUP => SignalRequest::Reload,
                _ => SignalRequest::Stop,
            });
        }
    };
    thread::Builder::new().name("signals".into()).spawn(wait)?;
    Ok(())
}
