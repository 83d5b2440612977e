//! A minimal proxy that uses `async-h1` on both sides, as a baseline for the speed of the daemon.
//!
//! Each connection of a caller gets its own connection to the target. Requests are not checked, retried or limited.

use std::net::SocketAddr;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use clap::Parser;
use http_types::headers::CONNECTION;

/// A minimal proxy to one target.
#[derive(Debug, Parser)]
struct Args {
    /// Address to serve on.
    #[arg(long)]
    listen: SocketAddr,
    /// Address of the target.
    #[arg(long)]
    target: SocketAddr,
}

#[async_std::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let listener = TcpListener::bind(args.listen).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        // A failed connection does not affect others.
        task::spawn(async move { serve(stream, args.target).await.ok() });
    }
}

async fn serve(stream: TcpStream, target: SocketAddr) -> http_types::Result<()> {
    stream.set_nodelay(true)?;
    let upstream = TcpStream::connect(target).await?;
    upstream.set_nodelay(true)?;
    async_h1::accept(stream, |mut req| {
        let upstream = upstream.clone();
        async move {
            req.remove_header(CONNECTION);
            async_h1::connect(upstream, req).await
        }
    })
    .await
}
