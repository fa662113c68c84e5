//! Limits of the machine that a process runs on.

use crate::finding::FindingLog;
use crate::section::Section;
use hornbeamlead_core::resource::MemoryMebibytes;

/// Default of `limits.memory`: that of the smallest machines, beside a worker.
const DEFAULT_MEMORY: MemoryMebibytes = MemoryMebibytes(128);

/// Default of `limits.descriptors`: those of the smallest machines.
const DEFAULT_DESCRIPTORS: u32 = 4096;

/// Minimum of `limits.memory`, with which a process holds a few of the largest requests.
const MIN_MEMORY: MemoryMebibytes = MemoryMebibytes(64);

/// Minimum of `limits.descriptors`; half of them are for files and for the process's own connections.
const MIN_DESCRIPTORS: u32 = 1024;

/// Memory and descriptors that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory beyond which the process is killed.
    pub memory: MemoryMebibytes,
    /// Number of files and sockets that may be open at a time.
    pub descriptors: u32,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            memory: DEFAULT_MEMORY,
            descriptors: DEFAULT_DESCRIPTORS,
        }
    }
}

/// Reads the section `limits`.
pub(crate) fn read_machine_limits(
    parent: &mut Section<'_>,
    log: &mut FindingLog<'_>,
) -> MachineLimits {
    let mut limits = MachineLimits::default();
    let Some(mut section) = parent.section("limits", log) else {
        return limits;
    };
    limits.memory = section.or_default("memory", limits.memory, log);
    limits.descriptors = section.or_default("descriptors", limits.descriptors, log);
    section.check(
        limits.memory >= MIN_MEMORY,
        &["memory"],
        || format!("memory is below {MIN_MEMORY}"),
        "write the memory of the machine that the process may use",
        log,
    );
    section.check(
        limits.descriptors >= MIN_DESCRIPTORS,
        &["descriptors"],
        || format!("descriptors is below {MIN_DESCRIPTORS}"),
        "write the number of descriptors that the process may open",
        log,
    );
    section.finish(log);
    limits
}
