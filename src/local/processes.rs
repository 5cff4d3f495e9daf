//! The controllers' processes: started, watched, killed when a fault asks for it, started again.

use crate::constants::*;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Where a controller's process stands.
enum Phase {
    /// It runs.
    Running(Child),
    /// It ended, and starts again then.
    Ended(Instant),
}

/// One controller.
struct Controller {
    name: String,
    files: (PathBuf, PathBuf),
    log: PathBuf,
    phase: Phase,
}

/// All controllers.
pub struct Processes {
    controllers: Vec<Controller>,
    log_format: &'static str,
}

impl Processes {
    /// Starts a controller from each pair of files, with its log beside them.
    pub fn start(
        files: Vec<(String, PathBuf, PathBuf)>,
        log_format: &'static str,
    ) -> std::io::Result<Processes> {
        let mut all = Processes { controllers: Vec::new(), log_format };
        for (name, config, operator) in files {
            let log = config.with_extension("log");
            let phase = Phase::Ended(Instant::now());
            all.controllers.push(Controller { name, files: (config, operator), log, phase });
        }
        all.watch()?;
        Ok(all)
    }

    /// Looks after them: one that ended is started again after a while.
    pub fn watch(&mut self) -> std::io::Result<()> {
        for controller in &mut self.controllers {
            match &mut controller.phase {
                Phase::Running(child) => {
                    if let Some(status) = child.try_wait()? {
                        tracing::warn!(controller = %controller.name, %status, "controller ended");
                        let again = Instant::now() + Duration::from_millis(LOCAL_RESTART_MS);
                        controller.phase = Phase::Ended(again);
                    }
                }
                Phase::Ended(at) if Instant::now() >= *at => {
                    controller.phase = Phase::Running(run(controller, self.log_format)?);
                }
                Phase::Ended(_) => {}
            }
        }
        Ok(())
    }

    /// Kills one, without a warning.
    pub fn kill(&mut self, node: usize) {
        if let Some(Phase::Running(child)) = self.controllers.get_mut(node).map(|c| &mut c.phase) {
            // It may have ended by itself meanwhile, which is as good.
            let _ = child.kill();
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for controller in &mut self.controllers {
            if let Phase::Running(child) = &mut controller.phase {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn run(controller: &Controller, log_format: &str) -> std::io::Result<Child> {
    let log = std::fs::File::options().create(true).append(true).open(&controller.log)?;
    Command::new(std::env::current_exe()?)
        .args(["--log-format", log_format, "--operator"])
        .arg(&controller.files.1)
        .arg("--config")
        .arg(&controller.files.0)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
}
