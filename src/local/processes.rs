//! The controller processes: starts them, restarts them after they exit, and kills them for injected faults.

use crate::constants::LOCAL_RESTART_DELAY_MS;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// State of a controller process.
enum ProcessState {
    /// The process runs.
    Running(Child),
    /// The process has exited and is restarted at this time.
    Exited(Instant),
}

/// One controller process.
struct ControllerProcess {
    name: String,
    /// Settings file and operators' file.
    config_files: (PathBuf, PathBuf),
    log_file: PathBuf,
    state: ProcessState,
}

/// The processes of all controllers. They are killed when this is dropped.
pub struct ControllerProcesses {
    controllers: Vec<ControllerProcess>,
    log_format: &'static str,
}

impl ControllerProcesses {
    /// Starts a controller for each name, settings file and operators' file. Its log is appended to a file beside the
    /// settings file. Fails if a process cannot be started.
    pub fn start(
        files: Vec<(String, PathBuf, PathBuf)>,
        log_format: &'static str,
    ) -> std::io::Result<ControllerProcesses> {
        let mut processes = ControllerProcesses { controllers: Vec::new(), log_format };
        for (name, config, operator) in files {
            let log_file = config.with_extension("log");
            let state = ProcessState::Exited(Instant::now());
            processes.controllers.push(ControllerProcess {
                name,
                config_files: (config, operator),
                log_file,
                state,
            });
        }
        processes.restart_exited()?;
        Ok(processes)
    }

    /// Checks the processes, and restarts those that exited at least [`LOCAL_RESTART_DELAY_MS`] ago.
    pub fn restart_exited(&mut self) -> std::io::Result<()> {
        for controller in &mut self.controllers {
            match &mut controller.state {
                ProcessState::Running(child) => {
                    if let Some(status) = child.try_wait()? {
                        tracing::warn!(controller = %controller.name, %status, "controller process exited");
                        let restart_at =
                            Instant::now() + Duration::from_millis(LOCAL_RESTART_DELAY_MS);
                        controller.state = ProcessState::Exited(restart_at);
                    }
                }
                ProcessState::Exited(restart_at) if Instant::now() >= *restart_at => {
                    controller.state =
                        ProcessState::Running(spawn_controller(controller, self.log_format)?);
                }
                ProcessState::Exited(_) => {}
            }
        }
        Ok(())
    }

    /// Kills a controller process without a graceful shutdown.
    pub fn kill(&mut self, node: usize) {
        if let Some(ProcessState::Running(child)) =
            self.controllers.get_mut(node).map(|c| &mut c.state)
        {
            // An error means that the process has already exited.
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
