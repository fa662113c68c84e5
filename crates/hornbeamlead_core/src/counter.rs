//! Reasons under which refusals and retries are counted.

/// Defines an enum whose variants each have a metric name and a wire number.
macro_rules! reason_enum {
    ($(#[$meta:meta])* $name:ident { $($(#[$vmeta:meta])* $variant:ident => $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $($(#[$vmeta])* $variant,)+ }

        impl $name {
            /// All reasons, in the order of their wire numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the name used in metrics, logs and responses.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)+ }
            }

            /// Returns the reason with a wire number; `None` if the number is unknown.
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

/// Error for a string that is not the name of a reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("unknown reason"))]
pub struct UnknownReason;

reason_enum!(
    /// Why a request, command or message was refused.
    RefusalReason {
        /// No accepted note declares the service.
        UnknownService => "unknown_service",
        /// No worker of the service is known.
        NoWorker => "no_worker",
        /// All slots are in use and the queue is full.
        QueueFull => "queue_full",
        /// The deadline can no longer be met.
        DeadlineUnreachable => "deadline_unreachable",
        /// The deadline has passed.
        DeadlinePassed => "deadline_passed",
        /// The process is shutting down.
        Leaving => "leaving",
        /// The service has exhausted its fair share.
        FairShare => "fair_share",
        /// No connection to the endpoint could be opened; no bytes were sent.
        EndpointUnreachable => "endpoint_unreachable",
        /// The connection to the endpoint failed after bytes were sent.
        EndpointBroken => "endpoint_broken",
        /// The link to the agent failed while the request was in flight.
        LinkBroken => "link_broken",
        /// The request id is fenced or was seen before.
        Fenced => "fenced",
        /// The arbiter of an idempotency key is unavailable.
        NoArbiter => "no_arbiter",
        /// Both replicas of an idempotency key's record may have been lost.
        KeyHistoryLost => "key_history_lost",
        /// The table of idempotency keys is full.
        KeysFull => "keys_full",
        /// A ring buffer between threads is full.
        RingFull => "ring_full",
        /// A message could not be decoded.
        Undecodable => "undecodable",
        /// A caller's request was malformed.
        BadRequest => "bad_request",
        /// A body exceeds the size limit.
        BodyTooLong => "body_too_long",
        /// A reply matches no request in flight.
        StrayAnswer => "stray_answer",
        /// A command carries an older epoch than the newest one seen.
        StaleEpoch => "stale_epoch",
        /// A start command arrived after its start deadline.
        StartTooLate => "start_too_late",
        /// A task does not fit in the free capacity of the worker.
        NoRoom => "no_room",
        /// The host holds no valid lease.
        NoLease => "no_lease",
        /// The retry budget is exhausted.
        BudgetSpent => "budget_spent",
        /// An announcement came from another worker than the agent's own.
        ForeignWorker => "foreign_worker",
        /// A connection without a complete request was closed to make room for another one.
        ConnectionEvicted => "connection_evicted",
        /// A request was not received completely in time.
        RequestTimeout => "request_timeout",
        /// The memory for requests is in use.
        MemoryFull => "memory_full",
    }
);

reason_enum!(
    /// Why an operation was retried.
    RetryReason {
        /// The agent reported that the request did not run.
        NotRun => "not_run",
        /// The link failed while an idempotent request was in flight.
        LinkBroken => "link_broken",
        /// The outcome of an idempotent request is unknown.
        OutcomeUnknown => "outcome_unknown",
        /// A second copy of a slow idempotent request was sent.
        Hedge => "hedge",
        /// A log append got no reply.
        LogAppend => "log_append",
        /// A log read got no reply.
        LogRead => "log_read",
        /// A worker call got no reply.
        WorkerCall => "worker_call",
        /// A datagram was retransmitted.
        Datagram => "datagram",
    }
);
