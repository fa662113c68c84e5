//! Reasons for which notes are refused.

use crate::ids::{JobName, NoteId, Revision};
use snafu::Snafu;

/// Kind of an item, as shown in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemKind {
    /// Data centre.
    DataCentre,
    /// Team.
    Team,
    /// Service.
    Service,
    /// Job.
    Job,
}

impl std::fmt::Display for ItemKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::DataCentre => "data centre",
            Self::Team => "team",
            Self::Service => "service",
            Self::Job => "job",
        })
    }
}

/// Why a note was refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NoteRefusal {
    /// Another note was accepted after the revision that the note is based on.
    #[snafu(display("based on revision {based_on}, but revision {current} is in force"))]
    Outdated {
        /// Revision that the note is based on.
        based_on: Revision,
        /// Current revision.
        current: Revision,
    },
    /// The id was used before.
    #[snafu(display("note id {id} was used before, at revision {earlier}"))]
    UsedId {
        /// Id of both notes.
        id: NoteId,
        /// Revision of the earlier note; 0 if it was refused.
        earlier: Revision,
    },
    /// An added item exists already.
    #[snafu(display("{kind} {name} exists already; list it under changed"))]
    Exists {
        /// Kind of the item.
        kind: ItemKind,
        /// Name of the item.
        name: Box<str>,
    },
    /// A changed or withdrawn item does not exist.
    #[snafu(display("{kind} {name} does not exist; list it under added"))]
    Missing {
        /// Kind of the item.
        kind: ItemKind,
        /// Name of the item.
        name: Box<str>,
    },
    /// A job references an item that is not declared.
    #[snafu(display("job {job} names {kind} {name}, which is not declared"))]
    Dangling {
        /// Name of the job.
        job: JobName,
        /// Kind of the missing item.
        kind: ItemKind,
        /// Name of the missing item.
        name: Box<str>,
    },
    /// An item to be withdrawn is still referenced by a job.
    #[snafu(display("{kind} {name} is still named by job {job}"))]
    InUse {
        /// Kind of the item.
        kind: ItemKind,
        /// Name of the item.
        name: Box<str>,
        /// A job that references the item.
        job: JobName,
    },
}
