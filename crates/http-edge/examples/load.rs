//! Sends the same request over persistent connections and prints throughput and latency.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::io::prelude::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use clap::Parser;
use futures::future::try_join_all;
use hdrhistogram::Histogram;

/// A load generator for one address.
#[derive(Debug, Parser)]
struct Args {
    /// Address to send to.
    #[arg(long)]
    target: SocketAddr,
    /// Connections that send at the same time.
    #[arg(long, default_value_t = 32)]
    connections: u32,
    /// Duration in seconds.
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Requests per second over all connections; without it each connection sends its next request after each answer.
    #[arg(long)]
    rate: Option<u32>,
    /// Path of the requests.
    #[arg(long, default_value = "/load")]
    path: String,
    /// Bearer key of the requests.
    #[arg(long)]
    key: Option<String>,
    /// Size of the request body in bytes.
    #[arg(long, default_value_t = 512)]
    body: usize,
}

#[async_std::main]
#[expect(clippy::print_stdout, reason = "the figures are the output of the program")]
async fn main() -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let args = Args::parse();
    let key = args.key.map(|it| format!("authorization: Bearer {it}\r\n")).unwrap_or_default();
    let head =
        format!("POST {} HTTP/1.1\r\nhost: a\r\n{key}content-length: {}\r\n", args.path, args.body);
    let request = format!("{head}x-request-id: load\r\n\r\n{}", "b".repeat(args.body));
    let interval = args.rate.map(|rate| Duration::from_secs(1) * args.connections / rate);
    let length = Duration::from_secs(args.seconds);
    let start = Instant::now();
    let workers = (0..args.connections).map(|n| {
        let offset = interval.unwrap_or_default() * n / args.connections;
        task::spawn(run(args.target, request.clone(), interval, start + offset, start + length))
    });
    let mut total = Histogram::<u64>::new(3)?;
    for latencies in try_join_all(workers).await? {
        total.add(latencies)?;
    }
    let rate = total.len() as f64 / start.elapsed().as_secs_f64();
    let micros = |quantile| total.value_at_quantile(quantile);
    println!("{rate:.0} requests/s, p50 {} us, p99 {} us", micros(0.5), micros(0.99));
    Ok(())
}

type Latencies = Result<Histogram<u64>, Box<dyn std::error::Error + Send + Sync>>;

/// Sends requests until `end`. Latency is measured from the planned time of a request, so that a stall is not hidden by
/// requests that are sent late because of it.
async fn run(
    target: SocketAddr,
    request: String,
    interval: Option<Duration>,
    mut planned: Instant,
    end: Instant,
) -> Latencies {
    let mut latencies = Histogram::new(3)?;
    let mut stream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    while Instant::now() < end {
        match interval {
            Some(_) => task::sleep(planned.saturating_duration_since(Instant::now())).await,
            None => planned = Instant::now(),
        }
        stream.write_all(request.as_bytes()).await?;
        read_answer(&mut stream).await?;
        latencies.record(u64::try_from(planned.elapsed().as_micros())?)?;
        planned += interval.unwrap_or_default();
    }
    Ok(latencies)
}

async fn read_answer(
    stream: &mut TcpStream,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let mut buf = vec![0; 16 * 1024];
    let mut filled = 0;
    loop {
        let n = stream.read(&mut buf[filled..]).await?;
        if n == 0 {
            return Err("the connection was closed".into());
        }
        filled += n;
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut res = httparse::Response::new(&mut headers);
        if let httparse::Status::Complete(head) = res.parse(&buf[..filled])? {
            let length = res.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
            let length = length.ok_or("the answer has no length")?;
            let length: usize = std::str::from_utf8(length.value)?.parse()?;
            if res.code != Some(200) {
                return Err(format!("status {:?}", res.code).into());
            }
            if filled >= head + length {
                return Ok(());
            }
        }
    }
}
