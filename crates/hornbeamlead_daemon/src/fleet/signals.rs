//! Signals thread: termination asks for the planned stop, hang-up for a look at the settings.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::thread;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalAsk {
    /// Planned stop.
    Stop,
    /// The settings file has changed.
    Reload,
}

/// Calls `tell` at each signal.
///
/// # Errors
/// Returns the error of installing the handlers or of starting the thread.
pub(super) fn on_signal(tell: impl Fn(SignalAsk) + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let wait = move || {
        for signal in signals.forever() {
            tell(match signal {
                SIGHUP => SignalAsk::Reload,
                _ => SignalAsk::Stop,
            });
        }
    };
    thread::Builder::new().name("signals".into()).spawn(wait)?;
    Ok(())
}
