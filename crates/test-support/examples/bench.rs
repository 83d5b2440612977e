//! Compares the speed of the daemon with that of a minimal proxy over the same HTTP libraries, in one run, and measures
//! the daemon's memory.

use std::{
    io::Write as _,
    net::SocketAddr,
    process::{Command, Output},
    time::Duration,
};

use anyhow::{Context as _, Result, ensure};
use async_std::{net::TcpStream, task};
use clap::Parser;
use fleet::SectionId;
use serde_json::json;
use stdx::Name;
use test_support::{
    deployment::{Deployment, Plan, account},
    processes::{Process, stand_in},
};

const KEY: &str = "bench-key";
/// Requests per second of the latency measurement.
const LATENCY_RATE: u32 = 1_000;
const IDLE_CONNECTIONS: usize = 1_000;

/// Measures the speed and memory of one daemon in front of a target that answers without delay.
#[derive(Debug, Parser)]
struct Args {
    /// Duration of each measurement in seconds.
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    /// Number of rounds; each measures the proxy and the daemon one after the other.
    #[arg(long, default_value_t = 3)]
    rounds: u32,
}

fn main() -> Result<()> {
    task::block_on(run(&Args::parse()))
}

async fn run(args: &Args) -> Result<()> {
    let plan = Plan {
        daemons: vec!["a"],
        engines: Vec::new(),
        settings: json!({ "log_level": "info" }),
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await?;
    let accounts = json!({ "bench": account(KEY, 1e6, 1e6) });
    let section = (SectionId::Accounts(Name::new("main")), Name::from(accounts.to_string()));
    let revision = deployment.apply(&[section]).await?;
    deployment.wait_status(0, |it| it["revision"].as_u64() == Some(revision)).await?;
    let pass_through_address = SocketAddr::new(deployment.platform_address().ip(), 9_900);
    let pass_through_args = [
        "--listen".to_owned(),
        pass_through_address.to_string(),
        "--target".to_owned(),
        deployment.plain_address(0).to_string(),
    ];
    let log = deployment.log("pass-through");
    let _pass_through =
        Process::start("pass-through", &stand_in("pass-through")?, &pass_through_args, &log)?;
    // The token bucket of a new account starts empty and fills at the account's rate.
    task::sleep(Duration::from_secs(2)).await;
    for round in 1..=args.rounds {
        print_line(&format!("round {round}"))?;
        for (name, address) in
            [("pass-through", pass_through_address), ("daemon", deployment.caller_address(0))]
        {
            print_line(&format!(
                "  {name:12} as fast as possible: {}",
                run_load(args, address, None)?
            ))?;
            print_line(&format!(
                "  {name:12} at {LATENCY_RATE}/s: {}",
                run_load(args, address, Some(LATENCY_RATE))?
            ))?;
        }
    }
    measure_idle_memory(&deployment).await
}

async fn measure_idle_memory(deployment: &Deployment) -> Result<()> {
    let before = deployment.daemons[0].resident_kb().context("the daemon has ended")?;
    let mut connections = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        connections.push(TcpStream::connect(deployment.caller_address(0)).await?);
    }
    task::sleep(Duration::from_secs(1)).await;
    let after = deployment.daemons[0].resident_kb().context("the daemon has ended")?;
    print_line(&format!(
        "resident: {before} kB after the load, {after} kB with {} idle connections",
        connections.len()
    ))
}

/// Runs the load generator and returns its output.
fn run_load(args: &Args, address: SocketAddr, rate: Option<u32>) -> Result<String> {
    let mut command = Command::new(stand_in("load")?);
    command.args(["--target", &address.to_string(), "--path", "/orders/orders", "--key", KEY]);
    command.args(["--seconds", &args.seconds.to_string()]);
    if let Some(rate) = rate {
        command.args(["--rate", &rate.to_string()]);
    }
    let Output { status, stdout, stderr } = command.output()?;
    ensure!(status.success(), "load generator failed: {}", String::from_utf8_lossy(&stderr));
    Ok(String::from_utf8_lossy(&stdout).trim().to_owned())
}

fn print_line(line: &str) -> Result<()> {
    writeln!(std::io::stdout(), "{line}")?;
    Ok(())
}
