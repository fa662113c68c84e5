//! What was sent, answered and run, with the time in milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Record of a case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Returns the time since the start in milliseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:7} {}\n", self.now(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes())
            .expect("the record can be written");
    }
}
