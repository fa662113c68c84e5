//! Harness that runs the tool with temporary files against a stand-in log.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use hornbeamlead_standin::log::{LogControl, LogStandin};
use std::net::SocketAddr;
use std::ops::Deref;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use tempfile::TempDir;

/// Address on which no process listens.
pub(crate) const CLOSED_ADDRESS: &str = "127.0.0.1:1";

/// Stand-in log and a workspace of the tool that uses it.
pub(crate) struct ToolHarness {
    pub(crate) log: LogStandin,
    workspace: ToolWorkspace,
}

/// Temporary directory with the settings and notes of the tool.
pub(crate) struct ToolWorkspace {
    dir: TempDir,
}

/// Exit status and output of a run of the tool.
#[derive(Debug)]
pub(crate) struct ToolRun {
    pub(crate) status: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl ToolRun {
    /// Parses standard output as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("output is not JSON: {self:?}"))
    }
}

impl ToolHarness {
    /// Starts a log; the only entry in the tool's settings is unreachable.
    pub(crate) fn start() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = LogStandin::start(address, LogControl::default()).expect("the log starts");
        let closed_entry = CLOSED_ADDRESS.parse().expect("the address is valid");
        Self {
            workspace: ToolWorkspace::new(log.addr(), &[closed_entry]),
            log,
        }
    }
}

impl Deref for ToolHarness {
    type Target = ToolWorkspace;

    fn deref(&self) -> &ToolWorkspace {
        &self.workspace
    }
}

impl ToolWorkspace {
    /// Creates a workspace whose settings name the log and the entries' operator addresses.
    pub(crate) fn new(log: SocketAddr, entries: &[SocketAddr]) -> Self {
        let workspace = Self {
            dir: tempfile::tempdir().expect("a temporary directory is created"),
        };
        let entries: Vec<String> = entries.iter().map(|entry| format!("\"{entry}\"")).collect();
        let settings = format!(
            r#"{{"log": {{"address": "{log}"}}, "entries": [{}], "author": "nimal"}}"#,
            entries.join(", ")
        );
        workspace.write("tool.json", &settings);
        workspace
    }

    /// Writes a file and returns its path.
    pub(crate) fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).expect("the file is written");
        path
    }

    /// Writes a note that adds a data centre and returns the file's path.
    pub(crate) fn centre_note(&self, id: &str, based_on: &str, centre: &str) -> PathBuf {
        let text = format!(
            r#"{{"id": "{id}", "based_on": {based_on}, "author": "nimal",
                "added": {{"data_centres": [{{"name": "{centre}"}}]}}}}"#
        );
        self.write(&format!("{id}.json"), &text)
    }

    /// Starts the tool with arguments and the settings of this workspace.
    pub(crate) fn spawn(&self, args: &[&str]) -> Child {
        tool()
            .args(args)
            .arg("--settings")
            .arg(self.dir.path().join("tool.json"))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the tool starts")
    }

    /// Runs the tool with arguments and the settings of this workspace to its end.
    pub(crate) fn run(&self, args: &[&str]) -> ToolRun {
        finish(self.spawn(args))
    }

    /// Runs `note apply` on a file.
    pub(crate) fn apply(&self, file: &Path, extra_args: &[&str]) -> ToolRun {
        let mut args = vec!["note", "apply", text(file)];
        args.extend(extra_args);
        self.run(&args)
    }
}

/// Waits until a started tool ends.
pub(crate) fn finish(child: Child) -> ToolRun {
    outcome(&child.wait_with_output().expect("the tool ends"))
}

/// Runs the tool without the settings of a workspace.
pub(crate) fn run_without_settings(args: &[&str]) -> ToolRun {
    outcome(&tool().args(args).output().expect("the tool ends"))
}

/// Returns a path as text.
pub(crate) fn text(path: &Path) -> &str {
    path.to_str().expect("the path is valid UTF-8")
}

fn tool() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hornbeamctl"));
    command.env_remove("HORNBEAMCTL_SETTINGS");
    command
}

fn outcome(output: &Output) -> ToolRun {
    ToolRun {
        status: output.status.code().unwrap_or(-1),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}
