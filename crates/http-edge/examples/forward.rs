//! Forwards all requests to one target with the server and client of this crate, for comparison with `pass-through`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use clap::Parser;
use http_edge::client::{Client, ClientSettings, Progress, REQUEST_ID};
use http_edge::problem::{Execution, Problem, ProblemKind};
use http_edge::server::{Server, ServerLimits};
use tide::{Request, Response};

/// A forwarder to one target.
#[derive(Debug, Parser)]
struct Args {
    /// Address to serve on.
    #[arg(long)]
    listen: SocketAddr,
    /// Address of the target.
    #[arg(long)]
    target: SocketAddr,
}

#[derive(Clone)]
struct State {
    client: Client,
    target: SocketAddr,
    next_id: Arc<AtomicU64>,
}

#[async_std::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let mut app = tide::with_state(State {
        client: Client::new(ClientSettings::default(), |_| {}),
        target: args.target,
        next_id: Arc::default(),
    });
    app.at("/").all(forward);
    app.at("/*").all(forward);
    let _server = Server::bind(args.listen, ServerLimits::default(), app).await?;
    futures::future::pending().await
}

async fn forward(req: Request<State>) -> tide::Result {
    let State { client, target, next_id } = req.state().clone();
    let sent_id = req.header(REQUEST_ID).map(|values| values.as_str().to_owned());
    let id = sent_id.unwrap_or_else(|| format!("fwd-{}", next_id.fetch_add(1, Ordering::Relaxed)));
    let req: http_types::Request = req.into();
    let res = client.send(target, &id, req).await.unwrap_or_else(|e| {
        let execution = match e.progress {
            Progress::NotSent => Execution::NotRun,
            Progress::Sent => Execution::Unknown,
        };
        Problem::new(ProblemKind::TargetFailed, execution, e.to_string()).into_response()
    });
    Ok(Response::from_res(res))
}
