//! Measures the dispatcher against baselines in simulated time.
//!
//! Run with `cargo run --release -p policy --example dispatch-experiment`.

use std::io::{self, Write};

use clap::Parser;

mod baseline;
mod cost;
mod engine;
mod scenarios;
mod sim;
mod targets;

/// Measures the dispatcher against baselines in simulated time.
#[derive(Parser)]
struct Args {
    /// The seed of arrivals and decisions.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs only the scenario of this name.
    #[arg(long)]
    only: Option<String>,
}

type Scenario = fn(u64, &mut dyn Write) -> io::Result<()>;

const SCENARIOS: [(&str, Scenario); 6] = [
    ("batch", scenarios::batch),
    ("fairness", scenarios::fairness),
    ("routing", scenarios::routing),
    ("hold-down", scenarios::hold_down),
    ("retries", scenarios::retries),
    ("cost", cost::cost),
];

fn main() -> io::Result<()> {
    let args = Args::parse();
    let mut out = io::stdout().lock();
    for (name, scenario) in SCENARIOS {
        if args.only.as_deref().is_none_or(|it| it == name) {
            writeln!(out, "{name} (seed {})", args.seed)?;
            scenario(args.seed, &mut out)?;
        }
    }
    Ok(())
}
