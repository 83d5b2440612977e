//! Runs a plain service stand-in until the process is stopped.

use std::net::SocketAddr;

use clap::Parser;
use test_support::plain::{PlainFaults, PlainService};

/// A plain service that counts executions, for tests.
#[derive(Debug, Parser)]
struct Args {
    /// Address to serve on.
    #[arg(long)]
    listen: SocketAddr,
    /// Delay before a request is run, in milliseconds.
    #[arg(long, default_value_t = 0)]
    start_delay_ms: u64,
    /// Delay between the run and the answer, in milliseconds.
    #[arg(long, default_value_t = 0)]
    answer_delay_ms: u64,
}

#[async_std::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let faults = PlainFaults {
        start_delay_ms: args.start_delay_ms,
        answer_delay_ms: args.answer_delay_ms,
        ..PlainFaults::default()
    };
    let _plain = PlainService::start(args.listen, faults).await?;
    futures::future::pending().await
}
