//! The daemon's command line.

use std::{
    fs,
    io::{self, Write as _},
    path::PathBuf,
    process::ExitCode,
};

use anyhow::{Context, Result};
use borageshed::{daemon, settings::Settings};
use clap::Parser;

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
    daemon::run(settings, args.settings.clone())
}
