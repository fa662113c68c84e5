//! Command line arguments.

use bpaf::Bpaf;

/// Measures hornbeamlead with stand-ins for the platform.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct MeasureArgs {
    /// Print JSON instead of a table.
    pub json: bool,
    /// What to measure.
    #[bpaf(external(experiment_name))]
    pub experiment: ExperimentName,
}

/// Named experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Bpaf)]
pub enum ExperimentName {
    /// Live requests under load and faults, against random choice with plain retries.
    #[bpaf(command)]
    Requests,
    /// Batch tasks beside live services, against first-fit without learning.
    #[bpaf(command)]
    Batch,
    /// State, messages, processor time and memory of each role as the fleet grows.
    #[bpaf(command)]
    Capacity,
}
