//! Dispatch of the parsed command.

use crate::args::{CommonOptions, ConfigCommand, NoteCommand, PublishOptions, ToolCommand};
use crate::config_command::check_file;
use crate::explain::explain;
use crate::failure::{InvalidNameSnafu, SetupSnafu, ToolFailure};
use crate::files::{load_lines, load_note, load_settings};
use crate::generated_note::{cancel_note, service_state_note};
use crate::job_timeline::JobTimeline;
use crate::note_commands::{check_note, query_note_status};
use crate::operator_client::OperatorClient;
use crate::publish::{PublishReport, PublishVerdict, publish};
use crate::report::{ExitStatus, ToolReport, print};
use crate::rollout::await_revision;
use crate::status::query_status;
use hornbeamlead_core::ids::{NameError, Revision};
use hornbeamlead_core::note::ReleaseNote;
use hornbeamlead_platform::log::LogClient;
use snafu::ResultExt;
use std::str::FromStr;

/// Runs a command, prints its report and returns the exit status.
pub fn run(command: &ToolCommand) -> ExitStatus {
    let json = json_requested(command);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(SetupSnafu);
    match runtime {
        Ok(runtime) => runtime.block_on(execute(command, json)),
        Err(failure) => print(&failure, json),
    }
}

fn json_requested(command: &ToolCommand) -> bool {
    match command {
        ToolCommand::Note(NoteCommand::Check { json, .. })
        | ToolCommand::Config(ConfigCommand::Check { json, .. }) => *json,
        ToolCommand::Note(
            NoteCommand::Apply { common, .. } | NoteCommand::Status { common, .. },
        )
        | ToolCommand::Drain { common, .. }
        | ToolCommand::Return { common, .. }
        | ToolCommand::Cancel { common, .. }
        | ToolCommand::Status { common }
        | ToolCommand::Explain { common, .. } => common.json,
    }
}

async fn execute(command: &ToolCommand, json: bool) -> ExitStatus {
    match command {
        ToolCommand::Note(NoteCommand::Check { file, .. }) => print_result(check_note(file), json),
        ToolCommand::Config(ConfigCommand::Check { against, file, .. }) => {
            print_result(check_file(file, against.as_deref()), json)
        }
        ToolCommand::Note(NoteCommand::Apply {
            common,
            publish,
            file,
        }) => {
            let note = load_note(file);
            print_result(publish_note(common, publish, |_| note).await, json)
        }
        ToolCommand::Note(NoteCommand::Status { common, id }) => {
            print_result(query_note_status(common, id).await, json)
        }
        ToolCommand::Drain {
            common,
            publish,
            data_centre,
        } => print_result(
            publish_service_state(common, publish, data_centre, false).await,
            json,
        ),
        ToolCommand::Return {
            common,
            publish,
            data_centre,
        } => print_result(
            publish_service_state(common, publish, data_centre, true).await,
            json,
        ),
        ToolCommand::Cancel {
            common,
            publish,
            job,
        } => print_result(publish_cancellation(common, publish, job).await, json),
        ToolCommand::Status { common } => match load_settings(common) {
            Ok(settings) => {
                let log = LogClient::new(settings.log);
                let report = query_status(&OperatorClient::new(), &log, &settings.entries).await;
                print(&report, json)
            }
            Err(failure) => print(&failure, json),
        },
        ToolCommand::Explain { log, subject, .. } if !log.is_empty() => {
            let lines = load_lines(log);
            print_result(lines.map(|lines| JobTimeline::new(subject, lines)), json)
        }
        ToolCommand::Explain {
            common, subject, ..
        } => match load_settings(common) {
            Ok(settings) => {
                let client = OperatorClient::new();
                print(&explain(&client, &settings.entries, subject).await, json)
            }
            Err(failure) => print(&failure, json),
        },
    }
}

fn print_result<R: ToolReport>(result: Result<R, ToolFailure>, json: bool) -> ExitStatus {
    match result {
        Ok(report) => print(&report, json),
        Err(failure) => print(&failure, json),
    }
}

async fn publish_service_state(
    common: &CommonOptions,
    options: &PublishOptions,
    data_centre: &str,
    in_service: bool,
) -> Result<PublishReport, ToolFailure> {
    let name = parse_name(data_centre)?;
    publish_note(common, options, |author| {
        service_state_note(author, &name, in_service)
            .context(InvalidNameSnafu { text: data_centre })
    })
    .await
}

async fn publish_cancellation(
    common: &CommonOptions,
    options: &PublishOptions,
    job: &str,
) -> Result<PublishReport, ToolFailure> {
    let name = parse_name(job)?;
    publish_note(common, options, |author| {
        cancel_note(author, &name).context(InvalidNameSnafu { text: job })
    })
    .await
}

/// Builds a note with the author from the settings and publishes it; with `--wait`, also waits
/// for its rollout.
async fn publish_note(
    common: &CommonOptions,
    options: &PublishOptions,
    make_note: impl FnOnce(&str) -> Result<ReleaseNote, ToolFailure>,
) -> Result<PublishReport, ToolFailure> {
    let settings = load_settings(common)?;
    let note = make_note(&settings.author)?;
    let log = LogClient::new(settings.log);
    let mut report = publish(&log, &note, options.timeout).await?;
    if let (true, PublishVerdict::Accepted, Some(revision)) =
        (options.wait, report.outcome, report.revision)
    {
        let revision = Revision(revision);
        let rollout = await_revision(&settings.entries, revision, options.timeout).await;
        report.rollout = Some(rollout);
    }
    Ok(report)
}

fn parse_name<T: FromStr<Err = NameError>>(text: &str) -> Result<T, ToolFailure> {
    text.parse().context(InvalidNameSnafu { text })
}
