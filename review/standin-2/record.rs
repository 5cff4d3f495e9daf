//! `record.txt`: what was sent, answered and run, each with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
        }
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.ms();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:>4}.{:03} {}", ms / 1000, ms % 1000, text.as_ref());
        }
    }
}
