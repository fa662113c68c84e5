//! Reasons that are counted: each refusal and each retry has one.

/// Defines an enum whose variants each have a metric name.
macro_rules! reason_enum {
    ($(#[$meta:meta])* $name:ident { $($(#[$vmeta:meta])* $variant:ident => $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $($(#[$vmeta])* $variant,)+ }

        impl $name {
            /// All reasons, in the order of their wire numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the name used in metrics, logs and answers.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)+ }
            }

            /// Returns the reason of a wire number.
            #[must_use]
            pub fn from_number(number: u8) -> Option<Self> {
                Self::ALL.get(usize::from(number)).copied()
            }

            /// Returns the wire number.
            #[must_use]
            pub fn number(self) -> u8 {
                self as u8
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::counter::UnknownReason;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::ALL
                    .iter()
                    .copied()
                    .find(|reason| reason.as_str() == text)
                    .ok_or(crate::counter::UnknownReason)
            }
        }
    };
}

/// Reports a text that names no reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("no reason has this name"))]
pub struct UnknownReason;

reason_enum!(
    /// Why a request, command or message was refused.
    RefusalReason {
        /// Service is in no accepted note.
        UnknownService => "unknown_service",
        /// No worker of the service is known.
        NoWorker => "no_worker",
        /// All slots and the queue are taken.
        QueueFull => "queue_full",
        /// The deadline cannot be met any more.
        DeadlineUnreachable => "deadline_unreachable",
        /// The deadline passed.
        DeadlinePassed => "deadline_passed",
        /// The process is stopping.
        Leaving => "leaving",
        /// The service has used up its fair share.
        FairShare => "fair_share",
        /// The endpoint could not be reached before a byte was sent.
        EndpointUnreachable => "endpoint_unreachable",
        /// The endpoint broke off after bytes were sent.
        EndpointBroken => "endpoint_broken",
        /// The link to the agent broke while the request was there.
        LinkBroken => "link_broken",
        /// The id was fenced or seen before.
        Fenced => "fenced",
        /// The arbiter of a key cannot act now.
        NoArbiter => "no_arbiter",
        /// Both holders of a key's record may have been lost.
        KeyHistoryLost => "key_history_lost",
        /// The table of keys is full.
        KeysFull => "keys_full",
        /// A ring between threads is full.
        RingFull => "ring_full",
        /// A message could not be decoded.
        Undecodable => "undecodable",
        /// A caller's request was malformed.
        BadRequest => "bad_request",
        /// A body is over the limit.
        BodyTooLong => "body_too_long",
        /// An answer matched no open request.
        StrayAnswer => "stray_answer",
        /// A command came from an older epoch.
        StaleEpoch => "stale_epoch",
        /// A start came after its last moment.
        StartTooLate => "start_too_late",
        /// A start does not fit in what the worker has left.
        NoRoom => "no_room",
        /// The host holds no valid lease.
        NoLease => "no_lease",
        /// The retry budget is spent.
        BudgetSpent => "budget_spent",
    }
);

reason_enum!(
    /// Why something was tried again.
    RetryReason {
        /// An agent said that the request did not run.
        NotRun => "not_run",
        /// The link broke under an idempotent request.
        LinkBroken => "link_broken",
        /// The outcome of an idempotent request is not known.
        OutcomeUnknown => "outcome_unknown",
        /// A second copy of a slow idempotent request.
        Hedge => "hedge",
        /// An append to the log had no answer.
        LogAppend => "log_append",
        /// A read of the log had no answer.
        LogRead => "log_read",
        /// A call to the worker had no answer.
        WorkerCall => "worker_call",
        /// A datagram was repeated.
        Datagram => "datagram",
    }
);
