//! Helpers for tests over real sockets.
#![allow(dead_code, reason = "each test binary uses a part of the helpers")]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::io::BufReader;
use async_std::io::prelude::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http_edge::server::{Caller, Server, ServerLimits};

pub const LOCAL: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Longest time that any single step of a test may take.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(5);

pub async fn with_timeout<T>(work: impl Future<Output = T>) -> T {
    async_std::future::timeout(STEP_TIMEOUT, work)
        .await
        .expect("the step did not finish within STEP_TIMEOUT")
}

/// Waits until the condition holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let start = std::time::Instant::now();
    while !condition() {
        assert!(start.elapsed() < STEP_TIMEOUT, "condition not met within STEP_TIMEOUT: {what}");
        task::sleep(Duration::from_millis(2)).await;
    }
}

/// Events that the handlers of the test application record.
#[derive(Clone, Default)]
pub struct Seen {
    pub bodies: Arc<Mutex<Vec<Result<String, String>>>>,
    pub disconnects: Arc<AtomicU64>,
    pub dropped: Arc<AtomicU64>,
}

/// A body that yields one line, then stays pending, and counts its drop.
struct StalledBody {
    first: &'static [u8],
    dropped: Arc<AtomicU64>,
}

impl async_std::io::Read for StalledBody {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        _cx: &mut std::task::Context<'_>,
        buf: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        let first = std::mem::take(&mut self.first);
        buf[..first.len()].copy_from_slice(first);
        if first.is_empty() {
            std::task::Poll::Pending
        } else {
            std::task::Poll::Ready(Ok(first.len()))
        }
    }
}

impl Drop for StalledBody {
    fn drop(&mut self) {
        self.dropped.fetch_add(1, Ordering::SeqCst);
    }
}

pub fn app(seen: &Seen) -> tide::Server<Seen> {
    let mut app = tide::with_state(seen.clone());
    app.at("/host").get(|req: tide::Request<Seen>| async move {
        Ok(format!("{} {}", req.url().host_str().unwrap_or(""), req.url().path()))
    });
    app.at("/echo").post(|mut req: tide::Request<Seen>| async move {
        let body = req.body_string().await;
        let record = body.as_ref().map(Clone::clone).map_err(ToString::to_string);
        req.state().bodies.lock().unwrap().push(record);
        body
    });
    app.at("/late").post(|mut req: tide::Request<Seen>| async move {
        task::sleep(Duration::from_millis(400)).await;
        req.body_string().await
    });
    app.at("/ignore").post(|_| async { Ok("ignored") });
    app.at("/slow").get(|_| async {
        task::sleep(Duration::from_millis(150)).await;
        Ok("slow")
    });
    app.at("/wait").get(|req: tide::Request<Seen>| async move {
        let caller = req.ext::<Caller>().unwrap().clone();
        caller.closed().await;
        req.state().disconnects.fetch_add(1, Ordering::SeqCst);
        Ok("")
    });
    app.at("/stall").get(|req: tide::Request<Seen>| async move {
        let dropped = Arc::clone(&req.state().dropped);
        let body = BufReader::new(StalledBody { first: b"data: 1\n\n", dropped });
        Ok(tide::Response::builder(200).body(tide::Body::from_reader(body, None)).build())
    });
    app.at("/short").get(|_| async {
        let body = tide::Body::from_reader(async_std::io::Cursor::new(b"abc"), Some(10));
        Ok(tide::Response::builder(200).body(body).build())
    });
    app
}

pub async fn start(limits: ServerLimits) -> (Server<Seen>, SocketAddr, Seen) {
    let seen = Seen::default();
    let server = Server::bind(LOCAL, limits, app(&seen)).await.unwrap();
    let addr = server.local_addr().unwrap();
    (server, addr, seen)
}

/// Sends bytes and returns everything up to the end of the connection, without `date` lines.
pub async fn send_and_read_all(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    // The server may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    read_rest(&mut stream).await
}

pub async fn read_rest(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = with_timeout(stream.read_to_end(&mut bytes)).await;
    without_dates(&bytes)
}

/// Reads until the received text contains `end`.
pub async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    while !without_dates(&bytes).contains(end) {
        let n = with_timeout(stream.read(&mut buf)).await.unwrap();
        assert!(n > 0, "closed before {end:?}: {}", without_dates(&bytes));
        bytes.extend_from_slice(&buf[..n]);
    }
    without_dates(&bytes)
}

fn without_dates(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes).replace("\r\n", "\n");
    text.split_inclusive('\n').filter(|line| !line.starts_with("date: ")).collect()
}

/// What a scripted target does after it has read a request head.
#[derive(Clone)]
pub enum Reply {
    /// Sends the text, in which `{id}` stands for the request id, and serves the next request.
    Text(String),
    /// Sends the text and closes.
    TextThenClose(String),
    /// Sends nothing and keeps the connection open.
    Silence,
    /// Sends the first text, waits, and sends the second text.
    Gap(String, Duration, String),
}

/// A target that answers the n-th request, counted over all connections, with the n-th reply.
#[derive(Clone)]
pub struct Target {
    pub addr: SocketAddr,
    pub requests: Arc<Mutex<Vec<String>>>,
    pub connections: Arc<AtomicU64>,
    /// Connections that the client closed.
    pub closed: Arc<AtomicU64>,
}

pub async fn start_target(replies: Vec<Reply>) -> Target {
    let listener = TcpListener::bind(LOCAL).await.unwrap();
    let target = Target {
        addr: listener.local_addr().unwrap(),
        requests: Arc::default(),
        connections: Arc::default(),
        closed: Arc::default(),
    };
    let cx = target.clone();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            cx.connections.fetch_add(1, Ordering::SeqCst);
            let (cx, replies) = (cx.clone(), replies.clone());
            task::spawn(async move {
                if answer(&cx, &replies, stream).await {
                    cx.closed.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    target
}

/// Returns whether the client closed the connection.
async fn answer(cx: &Target, replies: &[Reply], mut stream: TcpStream) -> bool {
    let mut buf = [0; 4096];
    loop {
        let mut text = String::new();
        while !text.contains("\r\n\r\n") {
            match stream.read(&mut buf).await {
                Ok(0) | Err(_) => return true,
                Ok(n) => text.push_str(&String::from_utf8_lossy(&buf[..n])),
            }
        }
        let id = text.lines().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap_or("");
        let id = id.to_owned();
        let reply = {
            let mut requests = cx.requests.lock().unwrap();
            requests.push(text.replace("\r\n", "\n").replace(&cx.addr.to_string(), "ADDR"));
            replies[requests.len() - 1].clone()
        };
        let bytes = |text: &str| text.replace("{id}", &id).replace('\n', "\r\n").into_bytes();
        match reply {
            Reply::Text(text) => stream.write_all(&bytes(&text)).await.unwrap(),
            Reply::TextThenClose(text) => {
                stream.write_all(&bytes(&text)).await.unwrap();
                return false;
            }
            Reply::Silence => {}
            Reply::Gap(first, gap, second) => {
                stream.write_all(&bytes(&first)).await.unwrap();
                task::sleep(gap).await;
                let _ = stream.write_all(&bytes(&second)).await;
            }
        }
    }
}
