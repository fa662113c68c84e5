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

/// Signals that the process takes from now on, and keeps until somebody is told of them.
pub(super) struct TakenSignals(Signals);

/// Installs the handlers. Until then a signal ends the process, so this comes before any listener.
///
/// # Errors
/// Returns the error of installing them.
pub(super) fn take_signals() -> io::Result<TakenSignals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map(TakenSignals)
}

/// Calls `tell` at each signal, also at those that came before.
///
/// # Errors
/// Returns the error of starting the thread.
pub(super) fn on_signal(
    mut signals: TakenSignals,
    tell: impl Fn(SignalAsk) + Send + 'static,
) -> io::Result<()> {
    let wait = move || {
        for signal in signals.0.forever() {
            tell(match signal {
                SIGHUP => SignalAsk::Reload,
                _ => SignalAsk::Stop,
            });
        }
    };
    thread::Builder::new().name("signals".into()).spawn(wait)?;
    Ok(())
}
