//! Resource vectors of workers and tasks: CPU, memory and accelerators.

use crate::newtype::number_type;

number_type!(
    /// CPU share, in thousandths of a core.
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

/// Amounts of the resources that a worker provides or a task reserves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ResourceSize {
    /// CPU share.
    pub cpu: CpuMillis,
    /// Memory size.
    pub memory: MemoryMebibytes,
    /// Number of accelerators.
    pub accelerators: AcceleratorCount,
}

impl ResourceSize {
    /// Returns whether this size fits in `available` in every dimension.
    #[must_use]
    pub fn fits(&self, available: &Self) -> bool {
        self.cpu <= available.cpu
            && self.memory <= available.memory
            && self.accelerators <= available.accelerators
    }

    /// Adds `other` in every dimension, saturating.
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

    /// Subtracts `other` in every dimension, saturating at zero.
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
