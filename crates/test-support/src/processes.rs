//! Starts, pauses and stops the processes of a test: the daemons and the stand-ins.

use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program of this workspace and appends its output to a log file.
    ///
    /// # Errors
    ///
    /// Fails if the program is not built or the log file cannot be written.
    pub fn start(name: &str, program: &Path, args: &[String], log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| {
                io::Error::new(e.kind(), format!("cannot start {}: {e}", program.display()))
            })?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// Returns the name under which the process was started.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM, on which a daemon drains and exits.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process without a chance to clean up, as in a crash, and waits for its end.
    pub fn crash(&mut self) {
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait();
    }

    /// Suspends the process.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits for the process to exit; `None` if it has not after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Returns the resident memory in kilobytes; `None` if the process has ended.
    pub fn resident_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find(|it| it.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    fn signal(&self, signal: Signal) {
        let Ok(pid) = i32::try_from(self.id()) else { return };
        // An error means that the process has ended already.
        let _ = kill(Pid::from_raw(pid), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a shipped binary in the build folder of the running program.
///
/// # Errors
///
/// Fails if the path of the running program is unknown.
pub fn binary(name: &str) -> io::Result<PathBuf> {
    Ok(build_folder()?.join(name))
}

/// Returns the path of a stand-in, which is an example of this crate.
///
/// # Errors
///
/// Fails if the path of the running program is unknown.
pub fn stand_in(name: &str) -> io::Result<PathBuf> {
    Ok(build_folder()?.join("examples").join(name))
}

/// Returns the folder of the binaries; tests run in its subfolder `deps`, examples in `examples`.
fn build_folder() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program.parent().unwrap_or(Path::new("."));
    let is_nested = folder.ends_with("deps") || folder.ends_with("examples");
    let folder = if is_nested { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.to_owned())
}
