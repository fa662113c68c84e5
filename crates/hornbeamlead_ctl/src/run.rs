//! Carries out one command.

use crate::args::{CommonOptions, NoteCommand, PublishOptions, ToolCommand};
use crate::explain::explain;
use crate::failure::{BadNameSnafu, SetupSnafu, ToolFailure};
use crate::files::{load_lines, load_note, load_settings};
use crate::made_note::{cancel_note, move_note};
use crate::note_commands::{ask_note, check_note};
use crate::operators::OperatorsClient;
use crate::publish::{PublishReport, PublishVerdict, publish};
use crate::report::{ExitStatus, ToolReport, print};
use crate::rollout::wait_for;
use crate::status::ask_status;
use crate::story::JobStory;
use hornbeamlead_core::ids::{NameError, Revision};
use hornbeamlead_core::note::ReleaseNote;
use hornbeamlead_platform::log::LogClient;
use snafu::ResultExt;
use std::str::FromStr;

/// Carries out a command, prints its report and returns the exit status.
pub fn run(command: &ToolCommand) -> ExitStatus {
    let json = wants_json(command);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(SetupSnafu);
    match runtime {
        Ok(runtime) => runtime.block_on(carry_out(command, json)),
        Err(failure) => print(&failure, json),
    }
}

fn wants_json(command: &ToolCommand) -> bool {
    match command {
        ToolCommand::Note(NoteCommand::Check { json, .. }) => *json,
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

async fn carry_out(command: &ToolCommand, json: bool) -> ExitStatus {
    match command {
        ToolCommand::Note(NoteCommand::Check { file, .. }) => show(check_note(file), json),
        ToolCommand::Note(NoteCommand::Apply {
            common,
            publish,
            file,
        }) => {
            let note = load_note(file);
            show(publish_made(common, publish, |_| note).await, json)
        }
        ToolCommand::Note(NoteCommand::Status { common, id }) => {
            show(ask_note(common, id).await, json)
        }
        ToolCommand::Drain {
            common,
            publish,
            data_centre,
        } => show(move_centre(common, publish, data_centre, false).await, json),
        ToolCommand::Return {
            common,
            publish,
            data_centre,
        } => show(move_centre(common, publish, data_centre, true).await, json),
        ToolCommand::Cancel {
            common,
            publish,
            job,
        } => show(cancel(common, publish, job).await, json),
        ToolCommand::Status { common } => match load_settings(common) {
            Ok(settings) => {
                let log = LogClient::new(settings.log);
                let report = ask_status(&OperatorsClient::new(), &log, &settings.entries).await;
                print(&report, json)
            }
            Err(failure) => print(&failure, json),
        },
        ToolCommand::Explain { log, subject, .. } if !log.is_empty() => {
            let lines = load_lines(log);
            show(lines.map(|lines| JobStory::new(subject, lines)), json)
        }
        ToolCommand::Explain {
            common, subject, ..
        } => match load_settings(common) {
            Ok(settings) => {
                let client = OperatorsClient::new();
                print(&explain(&client, &settings.entries, subject).await, json)
            }
            Err(failure) => print(&failure, json),
        },
    }
}

fn show<R: ToolReport>(result: Result<R, ToolFailure>, json: bool) -> ExitStatus {
    match result {
        Ok(report) => print(&report, json),
        Err(failure) => print(&failure, json),
    }
}

async fn move_centre(
    common: &CommonOptions,
    options: &PublishOptions,
    data_centre: &str,
    in_service: bool,
) -> Result<PublishReport, ToolFailure> {
    let name = parse_name(data_centre)?;
    publish_made(common, options, |author| {
        move_note(author, &name, in_service).context(BadNameSnafu { text: data_centre })
    })
    .await
}

async fn cancel(
    common: &CommonOptions,
    options: &PublishOptions,
    job: &str,
) -> Result<PublishReport, ToolFailure> {
    let name = parse_name(job)?;
    publish_made(common, options, |author| {
        cancel_note(author, &name).context(BadNameSnafu { text: job })
    })
    .await
}

/// Publishes a note made for the author of the settings, and waits where that is asked for.
async fn publish_made(
    common: &CommonOptions,
    options: &PublishOptions,
    make: impl FnOnce(&str) -> Result<ReleaseNote, ToolFailure>,
) -> Result<PublishReport, ToolFailure> {
    let settings = load_settings(common)?;
    let note = make(&settings.author)?;
    let log = LogClient::new(settings.log);
    let mut report = publish(&log, &note, options.timeout).await?;
    if let (true, PublishVerdict::Accepted, Some(revision)) =
        (options.wait, report.outcome, report.revision)
    {
        let revision = Revision(revision);
        let rollout = wait_for(&settings.entries, revision, options.timeout).await;
        report.rollout = Some(rollout);
    }
    Ok(report)
}

fn parse_name<T: FromStr<Err = NameError>>(text: &str) -> Result<T, ToolFailure> {
    text.parse().context(BadNameSnafu { text })
}
