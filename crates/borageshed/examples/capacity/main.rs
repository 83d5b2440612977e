//! Measures how the cost of a daemon grows with the numbers that the users' `fleetbench sweep` keeps constant: accounts,
//! targets, open jobs and idle connections. `docs/CAPACITY.md` computes the expected size from both.
//!
//! Run with `cargo run --release -p borageshed --example capacity -- <series>` after
//! `cargo build --release --workspace --bins --examples`, which builds the daemon and the stand-ins that it starts.

use std::{
    fs,
    io::{self, Write as _},
};

use anyhow::Result;
use async_std::task;
use clap::{Parser, Subcommand};

mod accounts;
mod connections;
mod document;
mod load;
mod measure;
mod open_jobs;
#[path = "../../tests/operator_site/mod.rs"]
mod operator_site;
mod registry;
mod targets;

/// Measures how processor time, memory, messages and calls grow with one number.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    series: Series,
}

#[derive(Debug, Clone, Subcommand)]
enum Series {
    /// Doubles the accounts: size, validation, memory and the bytes of one edit.
    Accounts {
        /// Numbers of accounts.
        #[arg(long, value_delimiter = ',', default_value = "1812,3625,7250,14500,29000")]
        counts: Vec<usize>,
    },
    /// Doubles the targets: memory, processor time and heartbeat bytes.
    Targets {
        /// Numbers of targets.
        #[arg(long, value_delimiter = ',', default_value = "57,114,228,455,910")]
        counts: Vec<usize>,
    },
    /// Registers targets, which then write their entries again and again: memory and processor time.
    Registry {
        /// Numbers of targets.
        #[arg(long, value_delimiter = ',', default_value = "86,300,910,3000")]
        counts: Vec<usize>,
    },
    /// Doubles the open jobs while all daemons are full: calls and bytes.
    OpenJobs {
        /// Numbers of open jobs.
        #[arg(long, value_delimiter = ',', default_value = "50,100,200,400")]
        counts: Vec<usize>,
    },
    /// Doubles the idle connections: memory.
    Connections {
        /// Numbers of connections.
        #[arg(long, value_delimiter = ',', default_value = "250,500,1000,2000")]
        counts: Vec<usize>,
    },
}

fn main() -> Result<()> {
    let args = Args::parse();
    print_line(&format!("machine load before: {}", machine_load()?))?;
    task::block_on(async {
        match args.series {
            Series::Accounts { counts } => accounts::run(&counts).await,
            Series::Targets { counts } => targets::run(&counts).await,
            Series::Registry { counts } => registry::run(&counts).await,
            Series::OpenJobs { counts } => open_jobs::run(&counts).await,
            Series::Connections { counts } => connections::run(&counts).await,
        }
    })?;
    print_line(&format!("machine load after: {}", machine_load()?))
}

/// Prints a line of the results to standard output.
fn print_line(line: &str) -> Result<()> {
    writeln!(io::stdout(), "{line}")?;
    Ok(())
}

/// Returns the load averages of the last 1, 5 and 15 minutes and the number of processors.
fn machine_load() -> Result<String> {
    let averages = fs::read_to_string("/proc/loadavg")?;
    let averages: Vec<&str> = averages.split_whitespace().take(3).collect();
    Ok(format!("{} on {} cores", averages.join(" "), std::thread::available_parallelism()?))
}
