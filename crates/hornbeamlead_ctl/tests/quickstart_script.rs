//! The `quickstart` script: runs to its end in time, and stops all processes that it started.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Maximum run time of the script.
const RUN_BOUND: Duration = Duration::from_secs(60);

/// Starts the script with the programs already built and a temporary folder.
fn start(arguments: &[&str], folder: &Path) -> Child {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(root.join("quickstart"))
        .arg("--built")
        .args(arguments)
        .env("TMPDIR", folder)
        .stdout(Stdio::piped())
        .stderr(Stdio::inherit())
        .spawn()
        .expect("the script starts")
}

/// Returns the command lines of running processes that contain the folder's path.
fn running_in(folder: &Path) -> Vec<String> {
    let folder = folder.to_str().expect("the path is valid UTF-8");
    let processes = std::fs::read_dir("/proc").expect("/proc is readable");
    let lines = processes.flatten().filter_map(|process| {
        let line = std::fs::read(process.path().join("cmdline")).ok()?;
        Some(String::from_utf8_lossy(&line).replace('\0', " "))
    });
    lines.filter(|line| line.contains(folder)).collect()
}

fn is_empty(folder: &Path) -> bool {
    let mut entries = std::fs::read_dir(folder).expect("the folder is readable");
    entries.next().is_none()
}

#[test]
fn cooperage_runs() {
    let folder = TempDir::new().expect("a temporary folder is created");
    let began = Instant::now();
    let output = start(&[], folder.path()).wait_with_output();
    let output = output.expect("the script ends");
    let output_text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output_text}");
    assert!(began.elapsed() < RUN_BOUND, "{output_text}");
    assert!(
        output_text.contains("no task runs in colombo any more"),
        "{output_text}"
    );
    assert!(
        output_text.contains("finished=90 failed=0"),
        "{output_text}"
    );
    assert_eq!(running_in(folder.path()), Vec::<String>::new());
    assert!(is_empty(folder.path()));
}

#[test]
fn stopped_midway() {
    let folder = TempDir::new().expect("a temporary folder is created");
    let mut child = start(&["crema", "--keep"], folder.path());
    let deadline = Instant::now() + RUN_BOUND;
    while running_in(folder.path()).len() < 13 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(50));
    }
    let stopped = Command::new("kill").arg(child.id().to_string()).status();
    assert!(stopped.expect("kill runs").success());
    let status = child.wait().expect("the script ends");
    assert_eq!(status.code(), Some(143));
    assert_eq!(running_in(folder.path()), Vec::<String>::new());
    assert!(is_empty(folder.path()));
}
