//! The server over real sockets, driven with raw bytes.

mod util;

use std::io;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::io::prelude::WriteExt;
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use expect_test::{Expect, expect};
use futures::StreamExt;
use http_edge::server::{DrainOutcome, Server, ServerLimits};
use stdx::panics;

use util::{
    LOCAL, Seen, app, read_rest, read_until, send_and_read_all, start, until, with_timeout,
};

fn limits() -> ServerLimits {
    ServerLimits { linger: Duration::from_millis(100), ..ServerLimits::default() }
}

/// Returns the status line and the stable members of the problem document.
async fn read_refusal(limits: ServerLimits, request: &[u8]) -> String {
    let (_server, addr, seen) = start(limits).await;
    let answer = send_and_read_all(addr, request).await;
    assert!(
        seen.bodies.lock().unwrap().iter().all(Result::is_err),
        "the handler accepted the body"
    );
    let (head, body) = answer.split_once("\n\n").unwrap_or((&answer, "{}"));
    let document: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let status = head.lines().next().unwrap_or("no answer");
    format!("{status} | {} | {} | {}", document["type"], document["execution"], document["detail"])
}

async fn check_refusal(request: &str, expected: Expect) {
    expected.assert_eq(&read_refusal(limits(), request.as_bytes()).await);
}

/// Guards against closing the connection without an answer after a malformed head.
#[async_std::test]
async fn malformed_head_is_answered_with_400() {
    check_refusal(
        "GET / HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n",
        expect![[r#"HTTP/1.1 400 Bad Request | "urn:borageshed:problem:malformed-request" | "not_run" | "the request head is not valid: invalid header name""#]],
    )
    .await;
}

/// Guards against closing the connection without an answer when `Host` is missing.
#[async_std::test]
async fn missing_host_is_answered_with_400() {
    check_refusal(
        "GET /host HTTP/1.1\r\n\r\n",
        expect![[r#"HTTP/1.1 400 Bad Request | "urn:borageshed:problem:malformed-request" | "not_run" | "the Host header is missing""#]],
    )
    .await;
}

/// Guards against closing the connection without an answer after a negative length.
#[async_std::test]
async fn negative_length_is_answered_with_400() {
    check_refusal(
        "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: -4\r\n\r\nabcd",
        expect![[r#"HTTP/1.1 400 Bad Request | "urn:borageshed:problem:malformed-request" | "not_run" | "Content-Length is not a decimal number""#]],
    )
    .await;
}

/// Guards against request smuggling by two lengths.
#[async_std::test]
async fn different_lengths_are_answered_with_400() {
    check_refusal(
        "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\ncontent-length: 4\r\n\r\nabcd",
        expect![[r#"HTTP/1.1 400 Bad Request | "urn:borageshed:problem:malformed-request" | "not_run" | "several Content-Length values differ""#]],
    )
    .await;
}

/// Guards against request smuggling by a length next to a transfer coding.
#[async_std::test]
async fn length_with_chunked_is_answered_with_400() {
    check_refusal(
        "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        expect![[r#"HTTP/1.1 400 Bad Request | "urn:borageshed:problem:malformed-request" | "not_run" | "Content-Length and Transfer-Encoding are both present""#]],
    )
    .await;
}

/// Guards against a long head that fills the memory, or whose connection is closed without an answer.
#[async_std::test]
async fn head_over_the_limit_is_answered_with_431() {
    let request = format!("GET /host HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "a".repeat(17 * 1024));
    check_refusal(
        &request,
        expect![[r#"HTTP/1.1 431 Request Header Fields Too Large | "urn:borageshed:problem:head-too-large" | "not_run" | "the request head is longer than 16384 bytes""#]],
    )
    .await;
}

/// Guards against a head that never ends; without the limit the caller would wait until the head timeout.
#[async_std::test]
async fn endless_head_is_answered_with_431() {
    let request = format!("GET /host HTTP/1.1\r\nhost: a\r\nx: {}", "a".repeat(17 * 1024));
    check_refusal(
        &request,
        expect![[r#"HTTP/1.1 431 Request Header Fields Too Large | "urn:borageshed:problem:head-too-large" | "not_run" | "the request head is longer than 16384 bytes""#]],
    )
    .await;
}

/// Guards against a reset that destroys the answer while the caller still sends.
#[async_std::test]
async fn refusal_reaches_a_caller_that_sends_a_large_body() {
    let (_server, addr, _) =
        start(ServerLimits { max_body_bytes: 8, ..ServerLimits::default() }).await;
    let length = 4 * 1024 * 1024;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let head = format!("POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    task::sleep(Duration::from_millis(50)).await;
    with_timeout(stream.write_all(&vec![b'a'; length])).await.unwrap();
    assert!(read_rest(&mut stream).await.starts_with("HTTP/1.1 413 "));
}

/// Guards against the limit of 8 KiB that `async-h1` sets.
#[async_std::test]
async fn head_under_the_limit_is_served() {
    let (_server, addr, _) = start(limits()).await;
    let fill = "a".repeat(15 * 1024);
    let request =
        format!("GET /host HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx: {fill}\r\n\r\n");
    assert!(send_and_read_all(addr, request.as_bytes()).await.ends_with("\n\na /host"));
}

/// Guards against bodies over the limit, with a known length and in chunks.
#[async_std::test]
async fn body_over_the_limit_is_answered_with_413() {
    let small = ServerLimits { max_body_bytes: 8, ..limits() };
    let whole = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n123456789";
    expect![[r#"HTTP/1.1 413 Payload Too Large | "urn:borageshed:problem:body-too-large" | "not_run" | "the request body is longer than 8 bytes""#]]
        .assert_eq(&read_refusal(small.clone(), whole).await);
    let chunked = b"POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n";
    expect![[r#"HTTP/1.1 413 Payload Too Large | "urn:borageshed:problem:body-too-large" | "not_run" | "the body is longer than the limit""#]]
        .assert_eq(&read_refusal(small, chunked).await);
}

/// Guards against an absolute-form target that replaces the `Host`.
#[async_std::test]
async fn absolute_target_must_name_the_host() {
    check_refusal(
        "GET http://other/host HTTP/1.1\r\nhost: a\r\n\r\n",
        expect![[r#"HTTP/1.1 400 Bad Request | "urn:borageshed:problem:malformed-request" | "not_run" | "the request target names another host than the Host header""#]],
    )
    .await;
    let (_server, addr, _) = start(limits()).await;
    let same = b"GET http://a/host HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    assert!(send_and_read_all(addr, same).await.ends_with("\n\na /host"));
}

/// Guards against a body that ends early and reaches the handler as complete.
#[async_std::test]
async fn short_request_body_fails_in_the_handler() {
    let requests = [
        "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabcd",
        "POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n",
    ];
    for request in requests {
        let (_server, addr, seen) = start(limits()).await;
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        until("the handler ends", || !seen.bodies.lock().unwrap().is_empty()).await;
        let bodies = seen.bodies.lock().unwrap().clone();
        assert_eq!(bodies, [Err("the body ended before its announced end".to_owned())]);
    }
}

/// Guards against the time that a request waits in a queue being taken for a gap in its body.
#[async_std::test]
async fn gap_in_a_body_counts_only_while_the_handler_waits() {
    let gap = Duration::from_millis(300);
    let (_server, addr, _) = start(ServerLimits { body_gap_timeout: gap, ..limits() }).await;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let head = b"POST /late HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n";
    stream.write_all(head).await.unwrap();
    task::sleep(Duration::from_millis(430)).await;
    stream.write_all(b"ok").await.unwrap();
    let answer = read_until(&mut stream, "\n\n").await;
    assert!(answer.starts_with("HTTP/1.1 200 OK\n"), "{answer}");
}

/// Guards against a second request that is lost because it arrived with the first one.
#[async_std::test]
async fn pipelined_requests_are_answered_in_order() {
    let (_server, addr, _) = start(limits()).await;
    let requests = "GET /slow HTTP/1.1\r\nhost: a\r\n\r\n\
        POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none\
        POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n\
        GET /host HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let answers = send_and_read_all(addr, requests.as_bytes()).await;
    let bodies: Vec<_> = answers.split("HTTP/1.1 200 OK\n").skip(1).collect();
    let bodies: Vec<_> = bodies.iter().map(|text| text.split("\n\n").nth(1).unwrap()).collect();
    assert_eq!(bodies, ["slow", "one", "two", "a /host"]);
}

/// Guards against a disconnect of the caller that is detected only at the next byte of a stalled stream.
#[async_std::test]
async fn disconnect_of_the_caller_ends_a_stalled_stream_at_once() {
    let (server, addr, seen) = start(limits()).await;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(b"GET /stall HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    read_until(&mut stream, "data: 1\n").await;
    let left = Instant::now();
    drop(stream);
    until("the stream is dropped", || seen.dropped.load(Ordering::SeqCst) == 1).await;
    assert!(left.elapsed() < Duration::from_millis(500), "{:?}", left.elapsed());
    until("the connection ends", || server.callers().is_empty()).await;
    assert_eq!(server.stats().caller_disconnects, 1);
}

/// Guards against a disconnect of the caller that is not reported to a handler that has not answered yet.
#[async_std::test]
async fn disconnect_of_the_caller_is_reported_to_the_handler() {
    let (_server, addr, seen) = start(limits()).await;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    task::sleep(Duration::from_millis(50)).await;
    assert_eq!(seen.disconnects.load(Ordering::SeqCst), 0);
    drop(stream);
    until("the handler is notified", || seen.disconnects.load(Ordering::SeqCst) == 1).await;
}

/// Guards against a stream that continues after the caller's key was withdrawn.
#[async_std::test]
async fn server_closes_a_connection_with_a_running_stream() {
    let (server, addr, seen) = start(limits()).await;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(b"GET /stall HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    read_until(&mut stream, "data: 1\n").await;
    let id = server.callers()[0].id();
    assert!(server.close(id));
    assert_eq!(read_rest(&mut stream).await, "");
    until("the stream is dropped", || seen.dropped.load(Ordering::SeqCst) == 1).await;
    until("the connection ends", || !server.close(id)).await;
}

/// Guards against a `100 Continue` that is missing, or sent although the body is not wanted.
#[async_std::test]
async fn continue_is_sent_when_the_handler_reads_the_body() {
    let (_server, addr, _) = start(limits()).await;
    let head = "HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(format!("POST /echo {head}").as_bytes()).await.unwrap();
    assert_eq!(read_until(&mut stream, "\n\n").await, "HTTP/1.1 100 Continue\n\n");
    stream.write_all(b"hi").await.unwrap();
    assert!(read_until(&mut stream, "hi").await.starts_with("HTTP/1.1 200 OK\n"));
    let answer = send_and_read_all(addr, format!("POST /ignore {head}").as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200 OK\nconnection: close\n"), "{answer}");
}

/// Guards against an answer of the handler that is shorter than announced and looks complete.
#[async_std::test]
async fn short_answer_closes_the_connection() {
    let (_server, addr, _) = start(limits()).await;
    let answer = send_and_read_all(addr, b"GET /short HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert!(answer.contains("content-length: 10\n") && answer.ends_with("\n\nabc"), "{answer}");
}

/// Guards against a drain that aborts requests, waits for idle connections or still accepts connections.
#[async_std::test]
async fn drain_finishes_what_runs_and_closes_idle_connections() {
    let (server, addr, _) = start(limits()).await;
    let mut idle = TcpStream::connect(addr).await.unwrap();
    idle.write_all(b"GET /host HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    read_until(&mut idle, "a /host").await;
    let mut running = TcpStream::connect(addr).await.unwrap();
    let pipelined = "GET /slow HTTP/1.1\r\nhost: a\r\n\r\n".repeat(2);
    running.write_all(pipelined.as_bytes()).await.unwrap();
    until("both connections are open", || server.stats().requests == 2).await;
    let caller = task::spawn(async move { read_rest(&mut running).await });
    let outcome = with_timeout(server.drain(Duration::from_secs(3))).await;
    assert_eq!(outcome.closed_at_deadline, 0);
    assert_eq!(read_rest(&mut idle).await, "");
    let answers = caller.await;
    assert_eq!(answers.matches("\n\nslow").count(), 2, "{answers}");
    assert_eq!(answers.matches("connection: close\n").count(), 1, "{answers}");
    assert!(TcpStream::connect(addr).await.is_err());
}

/// Guards against an accept loop that ends or spins when the process has no free file descriptors.
#[async_std::test]
async fn accept_loop_survives_lack_of_descriptors() {
    const EMFILE: i32 = 24;
    let listener = TcpListener::bind(LOCAL).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let errors = futures::stream::iter((0..3).map(|_| Err(io::Error::from_raw_os_error(EMFILE))));
    let accepted = futures::stream::unfold(listener, |listener| async {
        let next = listener.accept().await.map(|(stream, _)| stream);
        Some((next, listener))
    });
    let start = Instant::now();
    let server = Server::serve(Box::pin(errors.chain(accepted)), limits(), app(&Seen::default()));
    let answer =
        send_and_read_all(addr, b"GET /host HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            .await;
    assert!(answer.ends_with("a /host"));
    assert_eq!(server.stats().accept_errors, 3);
    assert!(start.elapsed() >= Duration::from_millis(150), "the loop did not pause");
}

/// Guards against an unbounded number of connections and against refused callers that get no answer.
#[async_std::test]
async fn connection_over_the_limit_is_refused_with_503() {
    let (server, addr, _) = start(ServerLimits { max_connections: 1, ..limits() }).await;
    let first = TcpStream::connect(addr).await.unwrap();
    until("the first is open", || server.callers().len() == 1).await;
    expect![[r#"
        HTTP/1.1 503 Service Unavailable
        connection: close
        content-length: 182
        content-type: application/problem+json
        retry-after: 1

        {"detail":"the instance has as many connections as it accepts","execution":"not_run","status":503,"title":"Too many connections","type":"urn:borageshed:problem:too-many-connections"}"#]]
    .assert_eq(&send_and_read_all(addr, b"").await);
    drop(first);
    until("the first is closed", || server.callers().is_empty()).await;
    let answer =
        send_and_read_all(addr, b"GET /host HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            .await;
    assert!(answer.ends_with("a /host"));
}

/// Guards against connections that stay open although the caller sends no request or only a part of one.
#[async_std::test]
async fn silent_callers_are_closed_in_time() {
    let short = Duration::from_millis(100);
    let limits = ServerLimits {
        idle_timeout: short,
        head_timeout: short,
        body_gap_timeout: short,
        ..limits()
    };
    let (_server, addr, _) = start(limits).await;
    assert_eq!(send_and_read_all(addr, b"").await, "");
    let half_a_head = send_and_read_all(addr, b"GET /host HTTP/1.1\r\n").await;
    assert!(half_a_head.starts_with("HTTP/1.1 408 "), "{half_a_head}");
    let half_a_body =
        send_and_read_all(addr, b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\na")
            .await;
    assert!(half_a_body.starts_with("HTTP/1.1 408 "), "{half_a_body}");
}

/// Guards against a server whose accept loop panicked, so that it takes no connections, and a process that goes on without noticing.
#[async_std::test]
async fn a_panic_of_the_accept_loop_reaches_the_handler_and_ends_accepting() {
    let (tx, rx) = async_channel::unbounded();
    panics::on_essential_panic(move |name, panic| {
        tx.try_send((name, panic.message.clone())).expect("an open channel");
    });
    let incoming = futures::stream::poll_fn(|_| panic!("probe"));
    let server = Server::serve(Box::pin(incoming), limits(), app(&Seen::default()));
    let reported = async_std::future::timeout(Duration::from_secs(2), rx.recv()).await;
    assert_eq!(reported.expect("a report"), Ok(("accept loop", "probe".to_owned())));
    let drained =
        async_std::future::timeout(Duration::from_secs(2), server.drain(Duration::from_secs(60)));
    assert_eq!(drained.await, Ok(DrainOutcome { closed_at_deadline: 0 }));
}
