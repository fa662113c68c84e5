//! Runs the tool against a stand-in log, with files of its own.

#![allow(dead_code, reason = "each test file uses some of them")]

use hornbeamlead_standin::log::{LogControl, LogStandin};
use std::net::SocketAddr;
use std::ops::Deref;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use tempfile::TempDir;

/// Address of a port where nobody listens.
pub(crate) const NOBODY: &str = "127.0.0.1:1";

/// Stand-in log with a desk of the tool.
pub(crate) struct ToolBench {
    pub(crate) log: LogStandin,
    desk: ToolDesk,
}

/// Folder with the settings and notes of the tool.
pub(crate) struct ToolDesk {
    dir: TempDir,
}

/// What a run of the tool gave.
#[derive(Debug)]
pub(crate) struct ToolRun {
    pub(crate) status: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl ToolRun {
    /// Returns the report as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("no JSON: {self:?}"))
    }
}

impl ToolBench {
    /// Starts a log, for a tool that reaches no entry.
    pub(crate) fn start() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = LogStandin::start(address, LogControl::default()).expect("the log starts");
        let nobody = NOBODY.parse().expect("the address is well formed");
        Self {
            desk: ToolDesk::new(log.addr(), &[nobody]),
            log,
        }
    }
}

impl Deref for ToolBench {
    type Target = ToolDesk;

    fn deref(&self) -> &ToolDesk {
        &self.desk
    }
}

impl ToolDesk {
    /// Makes the settings of a tool that knows the log and the entries' operators' addresses.
    pub(crate) fn new(log: SocketAddr, entries: &[SocketAddr]) -> Self {
        let desk = Self {
            dir: tempfile::tempdir().expect("a directory can be made"),
        };
        let entries: Vec<String> = entries.iter().map(|one| format!("\"{one}\"")).collect();
        let settings = format!(
            r#"{{"log": {{"address": "{log}"}}, "entries": [{}], "author": "nimal"}}"#,
            entries.join(", ")
        );
        desk.write("tool.json", &settings);
        desk
    }

    /// Writes a file and returns its path.
    pub(crate) fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).expect("the file is written");
        path
    }

    /// Writes a note that adds a data centre, and returns the file's path.
    pub(crate) fn centre_note(&self, id: &str, based_on: &str, centre: &str) -> PathBuf {
        let text = format!(
            r#"{{"id": "{id}", "based_on": {based_on}, "author": "nimal",
                "added": {{"data_centres": [{{"name": "{centre}"}}]}}}}"#
        );
        self.write(&format!("{id}.json"), &text)
    }

    /// Starts the tool with arguments and the settings of this bench.
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

    /// Runs the tool with arguments and the settings of this bench.
    pub(crate) fn run(&self, args: &[&str]) -> ToolRun {
        finish(self.spawn(args))
    }

    /// Applies a note's file.
    pub(crate) fn apply(&self, file: &Path, more: &[&str]) -> ToolRun {
        let mut args = vec!["note", "apply", text(file)];
        args.extend(more);
        self.run(&args)
    }
}

/// Waits for a run of the tool.
pub(crate) fn finish(child: Child) -> ToolRun {
    outcome(&child.wait_with_output().expect("the tool ends"))
}

/// Runs the tool without settings of a bench.
pub(crate) fn run_bare(args: &[&str]) -> ToolRun {
    outcome(&tool().args(args).output().expect("the tool ends"))
}

/// Returns a path as text.
pub(crate) fn text(path: &Path) -> &str {
    path.to_str().expect("the path is text")
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
