//! The daemon's command line.

use std::{
    env, fs,
    io::{self, Write as _},
    os::unix::process::CommandExt as _,
    path::PathBuf,
    process::{Command, ExitCode},
};

use anyhow::{Context, Result};
use borageshed::{daemon, settings::Settings};
use clap::Parser;

/// Settings of the GNU C library's allocator, which it reads when a process starts. By default it keeps the memory of large
/// buffers after they are freed, up to several times the budget of callers.
const ALLOCATOR: [(&str, &str); 2] =
    [("MALLOC_MMAP_THRESHOLD_", "65536"), ("MALLOC_TRIM_THRESHOLD_", "131072")];

/// Serves online and batch inference on one fleet.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// The settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Only check the settings, then exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    run(&Args::parse()).unwrap_or_else(|e| {
        // If stderr is closed, there is nowhere else to report the error.
        let _ = writeln!(io::stderr(), "borageshed: {e:#}");
        ExitCode::FAILURE
    })
}

fn run(args: &Args) -> Result<ExitCode> {
    let file = args.settings.display().to_string();
    let text = fs::read_to_string(&args.settings)
        .with_context(|| format!("cannot read the settings {file}"))?;
    let settings = Settings::parse(&file, &text)?;
    if args.check {
        return Ok(ExitCode::SUCCESS);
    }
    set_allocator();
    daemon::run(settings, args.settings.clone())
}

/// Executes the program again with the settings of the allocator, unless they are set. The process stays the same one.
fn set_allocator() {
    let missing: Vec<_> =
        ALLOCATOR.into_iter().filter(|(name, _)| env::var_os(name).is_none()).collect();
    let Ok(program) = env::current_exe() else { return };
    if !missing.is_empty() {
        // It returns only on failure; the daemon then runs without the settings.
        let _ = Command::new(program).args(env::args_os().skip(1)).envs(missing).exec();
    }
}
