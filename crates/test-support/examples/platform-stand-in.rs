//! Runs the stand-in for the platform's key-value service and instance list until the process is stopped.

use std::{io::Write, net::SocketAddr};

use async_std::task;
use clap::Parser;
use test_support::platform::Platform;

/// Stand-in for the platform's key-value service and instance list.
#[derive(Debug, Parser)]
struct Args {
    /// Address to listen on; port 0 selects any free port; the address is printed.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    task::block_on(async {
        let platform = Platform::start(args.listen).await?;
        writeln!(std::io::stdout(), "listening={}", platform.address())?;
        std::future::pending::<()>().await;
        Ok(())
    })
}
