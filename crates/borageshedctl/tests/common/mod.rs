//! Runs `borageshedctl` as a process against the platform stand-in.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Output, Stdio},
};

use async_std::task;
use test_support::platform::{Faults, Platform};

/// The exit code and output of a run of the tool.
#[derive(Debug)]
pub struct ToolOutput {
    /// The exit code.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl From<Output> for ToolOutput {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().expect("the tool exits"),
            out: String::from_utf8(output.stdout).expect("UTF-8"),
            err: String::from_utf8(output.stderr).expect("UTF-8"),
        }
    }
}

/// A platform stand-in and a temporary folder for section files.
pub struct Fixture {
    /// The platform stand-in.
    pub platform: Platform,
    /// The folder for section files.
    pub folder: tempfile::TempDir,
}

impl Fixture {
    /// Starts a stand-in and applies the Mukamana example to it.
    pub async fn start() -> Self {
        let platform = Platform::start(([127, 0, 0, 1], 0).into()).await.expect("loopback port");
        let fixture = Self { platform, folder: tempfile::tempdir().expect("temporary folder") };
        let output = fixture.run(&["apply", path(&example("mukamana"))]).await;
        assert_eq!(output.code, 0, "{output:?}");
        fixture
    }

    /// Returns the command that runs the tool against the stand-in.
    pub fn command(&self, args: &[&str]) -> Command {
        command(self.platform.address(), args)
    }

    /// Runs the tool against the stand-in.
    pub async fn run(&self, args: &[&str]) -> ToolOutput {
        finish(self.command(args)).await
    }

    /// Sets the faults of the stand-in.
    pub fn set_faults(&self, faults: Faults) {
        self.platform.set_faults(&faults).expect("valid faults");
    }

    /// Writes the accepted section to a file with the first occurrence of `from` replaced by `to`, and returns its
    /// path.
    pub async fn edited(&self, name: &str, section: &str, from: &str, to: &str) -> PathBuf {
        let text = self.run(&["show", section]).await.out;
        assert!(text.contains(from), "{text}");
        let file = self.folder.path().join(name).join(format!("{section}.jsonc"));
        fs::create_dir_all(file.parent().expect("a parent")).expect("folder");
        fs::write(&file, text.replacen(from, to, 1)).expect("file");
        file
    }
}

/// Returns the command that runs the tool with a short timeout for calls.
pub fn command(platform: SocketAddr, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_borageshedctl"));
    command
        .args(["--platform", &platform.to_string(), "--call-timeout-ms", "300"])
        .args(args)
        .stdin(Stdio::null());
    command
}

/// Runs a command to its end on a blocking thread, so that the stand-ins of this process keep running.
pub async fn finish(mut command: Command) -> ToolOutput {
    task::spawn_blocking(move || command.output().expect("the tool starts").into()).await
}

/// Returns the folder of an example.
pub fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

/// Returns a path as text.
pub fn path(path: &Path) -> &str {
    path.to_str().expect("UTF-8")
}
