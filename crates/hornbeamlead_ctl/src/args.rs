//! Command-line options and commands of the tool.

use crate::report::ExitStatus;
use bpaf::Bpaf;
use std::path::PathBuf;
use std::time::Duration;

/// Width at which help texts wrap, in columns.
const TEXT_WIDTH: usize = 100;

/// Settings file used without `--settings` and `HORNBEAMCTL_SETTINGS`.
const DEFAULT_SETTINGS: &str = "hornbeamctl.json";

/// Timeout used without `--timeout`.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(11);

/// Footer of the help text.
const EXIT_STATUSES: &str = "Exit status: 0 done, 1 refused or not done, 2 usage or settings.";

/// Options common to most commands.
#[derive(Clone, Debug, Bpaf)]
pub struct CommonOptions {
    /// Settings of this tool, JSON with comments [hornbeamctl.json]
    #[bpaf(
        long,
        env("HORNBEAMCTL_SETTINGS"),
        argument("FILE"),
        fallback(DEFAULT_SETTINGS.into())
    )]
    pub settings: PathBuf,
    /// Prints JSON for scripts
    #[bpaf(long, switch)]
    pub json: bool,
}

/// Options for publishing a note.
#[derive(Clone, Debug, Bpaf)]
pub struct PublishOptions {
    /// Waits until the note is in force in all known processes, and lists those that lag
    #[bpaf(long, switch)]
    pub wait: bool,
    /// Timeout for the log's answer, and again for the wait [11s]
    #[bpaf(
        long,
        argument::<String>("TIME"),
        parse(parse_timeout),
        fallback(DEFAULT_TIMEOUT)
    )]
    pub timeout: Duration,
}

/// Commands for release notes.
#[derive(Clone, Debug, Bpaf)]
pub enum NoteCommand {
    /// Validates a note's file without publishing it
    #[bpaf(command)]
    Check {
        /// Prints JSON for scripts
        #[bpaf(long, switch)]
        json: bool,
        /// Release note, JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Publishes a note and reports whether it was accepted; the same file may be applied again
    #[bpaf(command)]
    Apply {
        #[bpaf(external(common_options))]
        /// Options common to most commands.
        common: CommonOptions,
        #[bpaf(external(publish_options))]
        /// Options for publishing a note.
        publish: PublishOptions,
        /// Release note, JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows whether a note was accepted or refused
    #[bpaf(command)]
    Status {
        #[bpaf(external(common_options))]
        /// Options common to most commands.
        common: CommonOptions,
        /// Id of the note
        #[bpaf(positional("ID"))]
        id: String,
    },
}

/// Commands for the configuration of a platform with a store.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigCommand {
    /// Checks a configuration's file before it is sent: errors, entries that never match, limits
    /// that contradict each other, and what changes. Exit status: 0 no findings, 1 findings.
    /// Example: hornbeamctl config check next.json --against current.json
    #[bpaf(command)]
    Check {
        /// Configuration in force, as a file of the same form
        #[bpaf(long, argument("FILE"))]
        against: Option<PathBuf>,
        /// Prints JSON for scripts
        #[bpaf(long, switch)]
        json: bool,
        /// Content of the store's record `config`, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Controls a hornbeamlead fleet: release notes, drains, cancellations, status, explanations
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXIT_STATUSES), generate(tool_options))]
pub enum ToolCommand {
    /// Validates and publishes release notes, and shows their status
    #[bpaf(command)]
    Note(#[bpaf(external(note_command))] NoteCommand),
    /// Checks the configuration of a platform with a store
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Takes a data centre out of service
    #[bpaf(command)]
    Drain {
        #[bpaf(external(common_options))]
        /// Options common to most commands.
        common: CommonOptions,
        #[bpaf(external(publish_options))]
        /// Options for publishing a note.
        publish: PublishOptions,
        /// Name of the data centre
        #[bpaf(positional("DATA_CENTRE"))]
        data_centre: String,
    },
    /// Brings a data centre back into service
    #[bpaf(command)]
    Return {
        #[bpaf(external(common_options))]
        /// Options common to most commands.
        common: CommonOptions,
        #[bpaf(external(publish_options))]
        /// Options for publishing a note.
        publish: PublishOptions,
        /// Name of the data centre
        #[bpaf(positional("DATA_CENTRE"))]
        data_centre: String,
    },
    /// Cancels a job by withdrawing it
    #[bpaf(command)]
    Cancel {
        #[bpaf(external(common_options))]
        /// Options common to most commands.
        common: CommonOptions,
        #[bpaf(external(publish_options))]
        /// Options for publishing a note.
        publish: PublishOptions,
        /// Name of the job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Shows all known processes, data centres and the progress of jobs
    #[bpaf(command)]
    Status {
        #[bpaf(external(common_options))]
        /// Options common to most commands.
        common: CommonOptions,
    },
    /// Shows recent decisions about a task, job, request, note, host or data centre, newest first
    #[bpaf(command)]
    Explain {
        #[bpaf(external(common_options))]
        /// Options common to most commands.
        common: CommonOptions,
        /// Reconstructs a job's outcome and its causes from log files instead of querying the
        /// processes; - for standard input
        #[bpaf(long, argument("FILE"))]
        log: Vec<PathBuf>,
        /// Part of the subject's name
        #[bpaf(positional("SUBJECT"))]
        subject: String,
    },
}

/// Parses the command line of this process; prints help, the version or a usage error itself.
///
/// # Errors
/// Returns the exit status when there is no command to run.
pub fn parse_args() -> Result<ToolCommand, ExitStatus> {
    let parsed = tool_options().run_inner(bpaf::Args::current_args());
    parsed.map_err(|failure| {
        failure.print_message(TEXT_WIDTH);
        match failure.exit_code() {
            0 => ExitStatus::Done,
            _ => ExitStatus::Usage,
        }
    })
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "the derived parser passes the text by value"
)]
fn parse_timeout(text: String) -> Result<Duration, hornbeamlead_settings::quantity::QuantityError> {
    hornbeamlead_settings::quantity::parse_duration(&text)
}
