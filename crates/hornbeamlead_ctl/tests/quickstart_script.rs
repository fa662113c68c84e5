//! The script at the root: runs to its end in time, and stops all that it started.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Time within which the script has to end.
const RUN_BOUND: Duration = Duration::from_secs(60);

/// Starts the script over the programs that are built, with a folder of its own.
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

/// Returns the command lines of running processes that name the folder.
fn running_in(folder: &Path) -> Vec<String> {
    let folder = folder.to_str().expect("the path is text");
    let processes = std::fs::read_dir("/proc").expect("processes can be listed");
    let lines = processes.flatten().filter_map(|process| {
        let line = std::fs::read(process.path().join("cmdline")).ok()?;
        Some(String::from_utf8_lossy(&line).replace('\0', " "))
    });
    lines.filter(|line| line.contains(folder)).collect()
}

fn is_empty(folder: &Path) -> bool {
    let mut entries = std::fs::read_dir(folder).expect("the folder can be listed");
    entries.next().is_none()
}

#[test]
fn cooperage_runs() {
    let folder = TempDir::new().expect("a folder can be made");
    let began = Instant::now();
    let output = start(&[], folder.path()).wait_with_output();
    let output = output.expect("the script ends");
    let told = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{told}");
    assert!(began.elapsed() < RUN_BOUND, "{told}");
    assert!(told.contains("no task runs in colombo any more"), "{told}");
    assert!(told.contains("finished=90 failed=0"), "{told}");
    assert_eq!(running_in(folder.path()), Vec::<String>::new());
    assert!(is_empty(folder.path()));
}

#[test]
fn stopped_midway() {
    let folder = TempDir::new().expect("a folder can be made");
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
