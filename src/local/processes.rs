//! The controllers' processes: started, watched, killed when a fault asks for it, started again.

use crate::constants::LOCAL_RESTART_DELAY_MS;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Where a controller's process stands.
enum ProcessState {
    /// It runs.
    Running(Child),
    /// It ended, and starts again then.
    Exited(Instant),
}

/// One controller.
struct ControllerProcess {
    name: String,
    config_files: (PathBuf, PathBuf),
    log_file: PathBuf,
    state: ProcessState,
}

/// All controllers.
pub struct ControllerProcesses {
    controllers: Vec<ControllerProcess>,
    log_format: &'static str,
}

impl ControllerProcesses {
    /// Starts a controller from each pair of files, with its log beside them.
    pub fn start(
        files: Vec<(String, PathBuf, PathBuf)>,
        log_format: &'static str,
    ) -> std::io::Result<ControllerProcesses> {
        let mut all = ControllerProcesses { controllers: Vec::new(), log_format };
        for (name, config, operator) in files {
            let log = config.with_extension("log");
            let phase = ProcessState::Exited(Instant::now());
            all.controllers.push(ControllerProcess {
                name,
                config_files: (config, operator),
                log_file: log,
                state: phase,
            });
        }
        all.restart_exited()?;
        Ok(all)
    }

    /// Looks after them: one that ended is started again after a while.
    pub fn restart_exited(&mut self) -> std::io::Result<()> {
        for controller in &mut self.controllers {
            match &mut controller.state {
                ProcessState::Running(child) => {
                    if let Some(status) = child.try_wait()? {
                        tracing::warn!(controller = %controller.name, %status, "controller ended");
                        let again = Instant::now() + Duration::from_millis(LOCAL_RESTART_DELAY_MS);
                        controller.state = ProcessState::Exited(again);
                    }
                }
                ProcessState::Exited(at) if Instant::now() >= *at => {
                    controller.state =
                        ProcessState::Running(spawn_controller(controller, self.log_format)?);
                }
                ProcessState::Exited(_) => {}
            }
        }
        Ok(())
    }

    /// Kills one, without a warning.
    pub fn kill(&mut self, node: usize) {
        if let Some(ProcessState::Running(child)) =
            self.controllers.get_mut(node).map(|c| &mut c.state)
        {
            // It may have ended by itself meanwhile, which is as good.
            let _ = child.kill();
        }
    }
}

impl Drop for ControllerProcesses {
    fn drop(&mut self) {
        for controller in &mut self.controllers {
            if let ProcessState::Running(child) = &mut controller.state {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn spawn_controller(controller: &ControllerProcess, log_format: &str) -> std::io::Result<Child> {
    let log = std::fs::File::options().create(true).append(true).open(&controller.log_file)?;
    Command::new(std::env::current_exe()?)
        .args(["--log-format", log_format, "--operator"])
        .arg(&controller.config_files.1)
        .arg("--config")
        .arg(&controller.config_files.0)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
}
