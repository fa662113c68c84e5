//! Sizes of workers and tasks: processors, memory and accelerators.

use crate::newtype::number_type;

number_type!(
    /// Processor share, in thousandths of a core.
    CpuMillis,
    u32
);
number_type!(
    /// Memory, in mebibytes.
    MemoryMebibytes,
    u32
);
number_type!(
    /// Number of accelerators.
    AcceleratorCount,
    u16
);

/// Amount of each resource that a worker has or a task takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ResourceSize {
    /// Processors.
    pub cpu: CpuMillis,
    /// Memory.
    pub memory: MemoryMebibytes,
    /// Accelerators.
    pub accelerators: AcceleratorCount,
}

impl ResourceSize {
    /// Returns whether this size fits in `room` in every dimension.
    #[must_use]
    pub fn fits(&self, room: &Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Adds per dimension, saturating.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: CpuMillis(self.cpu.0.saturating_add(other.cpu.0)),
            memory: MemoryMebibytes(self.memory.0.saturating_add(other.memory.0)),
            accelerators: AcceleratorCount(
                self.accelerators.0.saturating_add(other.accelerators.0),
            ),
        }
    }

    /// Subtracts per dimension, saturating at zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: CpuMillis(self.cpu.0.saturating_sub(other.cpu.0)),
            memory: MemoryMebibytes(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: AcceleratorCount(
                self.accelerators.0.saturating_sub(other.accelerators.0),
            ),
        }
    }
}

impl std::fmt::Display for ResourceSize {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{}m/{}MiB/{}acc",
            self.cpu, self.memory, self.accelerators
        )
    }
}
