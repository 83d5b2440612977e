//! Sends requests at a fixed rate.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::{Result, ensure};
use async_std::{net::TcpStream, task};
use futures::future::try_join_all;
use http_edge::status::Status;
use http_types::{Method, Request, Url};

use crate::document::LOAD_KEY;

/// The number of persistent connections, and so the maximum number of open requests. The client of `http-edge` cannot be
/// used here, because it removes the key of the caller.
const CONNECTIONS: u32 = 64;

/// Sends GET requests for `path` at `rate` requests per second and returns their number.
pub async fn run(address: SocketAddr, path: &str, rate: u32, time: Duration) -> Result<u64> {
    let url = Url::parse(&format!("http://{address}{path}"))?;
    let interval = Duration::from_secs(1) * CONNECTIONS / rate;
    let start = Instant::now();
    let senders = (0..CONNECTIONS).map(|n| {
        let schedule =
            Schedule { first: start + interval * n / CONNECTIONS, interval, end: start + time };
        task::spawn(send_on_connection(address, url.clone(), schedule))
    });
    Ok(try_join_all(senders).await?.into_iter().sum())
}

/// The times at which requests are sent on one connection.
#[derive(Clone, Copy)]
struct Schedule {
    first: Instant,
    interval: Duration,
    end: Instant,
}

async fn send_on_connection(address: SocketAddr, url: Url, schedule: Schedule) -> Result<u64> {
    let mut requests = 0;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut planned = schedule.first;
    while planned < schedule.end {
        task::sleep(planned.saturating_duration_since(Instant::now())).await;
        let mut req = Request::new(Method::Get, url.clone());
        req.insert_header("authorization", format!("Bearer {LOAD_KEY}"));
        let answer = async_h1::connect(stream.clone(), req).await;
        let mut res = answer.map_err(http_types::Error::into_inner)?;
        let body = res.body_bytes().await.map_err(http_types::Error::into_inner)?;
        let text = String::from_utf8_lossy(&body);
        let status = Status::of(&res).code();
        ensure!(status == 200, "{status}: {text}");
        requests += 1;
        planned += schedule.interval;
    }
    Ok(requests)
}
