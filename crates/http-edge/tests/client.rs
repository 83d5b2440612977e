//! The client against targets that answer with scripted bytes.

mod util;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::prelude::ReadExt;
use async_std::net::TcpListener;
use async_std::task;
use expect_test::expect;
use http_edge::client::{
    AnswerInfo, Client, ClientSettings, Failure, Progress, RequestIdCheck, SendError, Silence,
};
use http_edge::framing::BodyError;
use http_edge::status::Status;
use http_types::{Body, Method, Request, Response, Url};
use socket2::SockRef;

use util::{LOCAL, Reply, Target, start_target, until, with_timeout};

const OK: &str = "HTTP/1.1 200 OK\nx-request-id: {id}\n";

fn text(tail: &str) -> Reply {
    Reply::Text(format!("{OK}{tail}"))
}

fn text_then_close(tail: &str) -> Reply {
    Reply::TextThenClose(format!("{OK}{tail}"))
}

fn request(method: Method, body: &str) -> Request {
    let mut req = Request::new(method, Url::parse("http://edge/path?q=1").unwrap());
    if !body.is_empty() {
        req.set_body(body);
    }
    req
}

fn client() -> Client {
    Client::new(ClientSettings::default(), |_| {})
}

async fn get(client: &Client, target: &Target, id: &str) -> Result<Response, SendError> {
    with_timeout(client.send(target.addr, id, request(Method::Get, ""))).await
}

async fn body(res: Response) -> Result<String, Failure> {
    let mut res = res;
    let mut bytes = Vec::new();
    match with_timeout(res.read_to_end(&mut bytes)).await {
        Ok(_) => Ok(String::from_utf8(bytes).unwrap()),
        Err(e) => Err(Failure::from_io(&e).unwrap().clone()),
    }
}

/// Guards against an answer that ends before its announced length and reads as complete.
#[async_std::test]
async fn short_answer_fails_and_its_connection_is_not_reused() {
    for tail in [
        "content-length: 10\n\nabcd",
        "transfer-encoding: chunked\n\n4\nabcd\n",
        "transfer-encoding: chunked\n\n4\nab",
    ] {
        let target = start_target(vec![text_then_close(tail)]).await;
        let client = client();
        let res = get(&client, &target, "r1").await.unwrap();
        assert_eq!(body(res).await, Err(Failure::Body(BodyError::Truncated)), "{tail}");
        assert_eq!(client.idle_count(target.addr), 0);
    }
}

/// Guards against an empty body when the target announces no length.
#[async_std::test]
async fn answer_that_ends_by_close_is_delivered_whole() {
    let target =
        start_target(vec![text_then_close("\nall of it"), text("content-length: 2\n\nok")]).await;
    let client = client();
    assert_eq!(body(get(&client, &target, "r1").await.unwrap()).await.unwrap(), "all of it");
    assert_eq!(body(get(&client, &target, "r2").await.unwrap()).await.unwrap(), "ok");
    assert_eq!(target.connections.load(Ordering::SeqCst), 2);
}

/// Guards against an interim answer that is treated as the final one.
#[async_std::test]
async fn interim_answers_are_skipped() {
    let reply = format!(
        "HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Early Hints\nlink: x\n\n{OK}content-length: 5\n\nfinal"
    );
    let target = start_target(vec![Reply::Text(reply)]).await;
    let res = get(&client(), &target, "r1").await.unwrap();
    assert_eq!(Status::of(&res).code(), 200);
    assert_eq!(body(res).await.unwrap(), "final");
}

/// Guards against bytes after an answer that are read as the next one.
#[async_std::test]
async fn surplus_bytes_never_reach_the_next_answer() {
    let forged = "HTTP/1.1 200 OK\nx-request-id: r2\ncontent-length: 6\n\nforged";
    let at_once = text(&format!("content-length: 3\n\none{forged}"));
    let later = Reply::Gap(
        format!("{OK}content-length: 3\n\none"),
        Duration::from_millis(50),
        forged.to_owned(),
    );
    for first in [at_once, later] {
        let target = start_target(vec![first, text("content-length: 3\n\ntwo")]).await;
        let client = client();
        assert_eq!(body(get(&client, &target, "r1").await.unwrap()).await.unwrap(), "one");
        task::sleep(Duration::from_millis(150)).await;
        assert_eq!(body(get(&client, &target, "r2").await.unwrap()).await.unwrap(), "two");
        assert_eq!(target.connections.load(Ordering::SeqCst), 2);
    }
}

/// Guards against idle connections that are not reused, and against reuse of one that the target closed.
#[async_std::test]
async fn connection_is_reused_after_a_complete_answer_only() {
    let replies = vec![
        text("content-length: 3\n\none"),
        text("transfer-encoding: chunked\n\n3\ntwo\n0\n\n"),
        Reply::Text("HTTP/1.1 204 No Content\nx-request-id: {id}\n\n".to_owned()),
        text("connection: close\ncontent-length: 4\n\nfour"),
        text_then_close("content-length: 4\n\nfive"),
        text("content-length: 3\n\nsix"),
    ];
    let target = start_target(replies).await;
    let client = client();
    let mut bodies = Vec::new();
    let mut reused = Vec::new();
    for id in 0..6 {
        let res = get(&client, &target, &format!("r{id}")).await.unwrap();
        reused.push(res.ext().get::<AnswerInfo>().unwrap().reused);
        bodies.push(body(res).await.unwrap());
        // Gives the close of the target time to arrive.
        task::sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(bodies, ["one", "two", "", "four", "five", "six"]);
    assert_eq!(reused, [false, true, true, true, false, false]);
}

/// Guards against use of an idle connection at the moment when the target closes it because of its idle timeout.
#[async_std::test]
async fn old_idle_connection_is_not_used() {
    let ok = || text("content-length: 2\n\nok");
    let target = start_target(vec![ok(), ok()]).await;
    let settings =
        ClientSettings { idle_timeout: Duration::from_millis(20), ..ClientSettings::default() };
    let client = Client::new(settings, |_| {});
    for id in ["r1", "r2"] {
        body(get(&client, &target, id).await.unwrap()).await.unwrap();
        task::sleep(Duration::from_millis(40)).await;
    }
    assert_eq!(target.connections.load(Ordering::SeqCst), 2);
    assert_eq!((client.close_expired(), client.idle_count(target.addr)), (1, 0));
}

/// Guards against a target that continues to work on a request after the caller has disconnected.
#[async_std::test]
async fn dropping_an_answer_closes_the_connection() {
    let target = start_target(vec![text("content-length: 10\n\nabc"), Reply::Silence]).await;
    let client = client();
    let mut res = get(&client, &target, "r1").await.unwrap();
    let mut three = [0; 3];
    with_timeout(res.read_exact(&mut three)).await.unwrap();
    drop(res);
    until("the target sees the close", || target.closed.load(Ordering::SeqCst) == 1).await;
    let waiting = client.send(target.addr, "r2", request(Method::Get, ""));
    assert!(async_std::future::timeout(Duration::from_millis(100), waiting).await.is_err());
    until("the target sees the close", || target.closed.load(Ordering::SeqCst) == 2).await;
    assert_eq!(client.idle_count(target.addr), 0);
}

/// Guards against waiting forever for a silent target, before and within an answer.
#[async_std::test]
async fn silent_target_is_reported_and_the_exchange_times_out() {
    let ms = Duration::from_millis;
    let settings = ClientSettings {
        first_byte_timeout: ms(600),
        gap_timeout: ms(900),
        silence_after: ms(200),
        ..ClientSettings::default()
    };
    let silences = Arc::new(Mutex::new(Vec::<Silence>::new()));
    let record = Arc::clone(&silences);
    let client = Client::new(settings, move |silence| record.lock().unwrap().push(silence));
    let target = start_target(vec![Reply::Silence, text("content-length: 9\n\nabc")]).await;
    let error = get(&client, &target, "r1").await.unwrap_err();
    assert_eq!((error.progress, error.failure), (Progress::Sent, Failure::FirstByteTimeout));
    let res = get(&client, &target, "r2").await.unwrap();
    assert_eq!(body(res).await, Err(Failure::GapTimeout));
    let ids: Vec<_> =
        silences.lock().unwrap().iter().map(|silence| silence.request_id.clone()).collect();
    assert_eq!(ids, ["r1", "r2"], "one report for each gap");
}

/// Guards against a silent connection whose exchange continues, and against older idle connections that stay in the
/// pool, after the target answered a probe on a new connection.
#[async_std::test]
async fn owner_closes_a_silent_connection_and_older_idle_connections() {
    let settings =
        ClientSettings { silence_after: Duration::from_millis(300), ..ClientSettings::default() };
    let (tx, rx) = async_std::channel::unbounded();
    let client = Client::new(settings, move |silence| tx.try_send(silence).unwrap());
    let ok = || text("content-length: 2\n\nok");
    let target = start_target(vec![ok(), ok(), Reply::Silence, ok(), ok()]).await;
    // Leaves two idle connections; the third request takes one of them and gets no answer.
    let first = get(&client, &target, "r1").await.unwrap();
    let second = get(&client, &target, "r2").await.unwrap();
    body(first).await.unwrap();
    body(second).await.unwrap();
    assert_eq!(client.idle_count(target.addr), 2);
    let (cx, addr) = (client.clone(), target.addr);
    let waiting = task::spawn(async move { cx.send(addr, "r3", request(Method::Get, "")).await });
    let silence = with_timeout(rx.recv()).await.unwrap();
    assert_eq!(silence.request_id, "r3");
    let probe = client.send_over_new_connection(addr, "probe", request(Method::Get, ""));
    let probe = with_timeout(probe).await.unwrap();
    let newer = probe.ext().get::<AnswerInfo>().unwrap().connection.clone();
    body(probe).await.unwrap();
    assert_eq!(client.close_idle(addr, Some(&newer)), 1);
    silence.connection.close();
    let error = with_timeout(waiting).await.unwrap_err();
    assert_eq!((error.progress, error.failure), (Progress::Sent, Failure::ClosedByOwner));
    let next = get(&client, &target, "r4").await.unwrap();
    assert_eq!(next.ext().get::<AnswerInfo>().unwrap().connection.id(), newer.id());
}

/// Guards against a refusal that says "not run" although the request may have been sent.
#[async_std::test]
async fn failure_says_whether_a_byte_may_have_left() {
    let closed = TcpListener::bind(LOCAL).await.unwrap();
    let addr = closed.local_addr().unwrap();
    drop(closed);
    let error = client().send(addr, "r1", request(Method::Get, "")).await.unwrap_err();
    assert_eq!(error.progress, Progress::NotSent);
    assert!(matches!(error.failure, Failure::Connect(_)));
    let target = start_target(vec![Reply::TextThenClose(String::new())]).await;
    let error = get(&client(), &target, "no id").await.unwrap_err();
    assert_eq!(error.progress, Progress::NotSent);
    let error = get(&client(), &target, "r1").await.unwrap_err();
    assert_eq!((error.progress, error.failure), (Progress::Sent, Failure::ClosedBeforeAnswer));
}

/// Guards against delivery of an answer to another request.
#[async_std::test]
async fn answer_with_another_request_id_is_not_delivered() {
    let other = Reply::Text("HTTP/1.1 200 OK\nx-request-id: r0\ncontent-length: 1\n\nx".to_owned());
    let none = Reply::Text("HTTP/1.1 200 OK\ncontent-length: 1\n\nx".to_owned());
    let target = start_target(vec![other, none.clone(), none]).await;
    let client = client();
    for found in [Some("r0".to_owned()), None] {
        let error = get(&client, &target, "r1").await.unwrap_err();
        assert_eq!(error.failure, Failure::RequestId { expected: "r1".to_owned(), found });
    }
    assert_eq!(client.idle_count(target.addr), 0);
    let lax =
        ClientSettings { request_id_check: RequestIdCheck::IfPresent, ..ClientSettings::default() };
    let res = get(&Client::new(lax, |_| {}), &target, "r1").await.unwrap();
    assert_eq!(body(res).await.unwrap(), "x");
}

/// Guards against accepting malformed answers.
#[async_std::test]
async fn malformed_answers_fail() {
    let long = format!("{OK}x: {}", "a".repeat(20 * 1024));
    let replies = vec![
        text("content-length: 1\ncontent-length: 2\n\nab"),
        text("content-length: -1\n\n"),
        Reply::Text(long),
        Reply::Text("HTTP/1.1 101 Switching Protocols\n\n".to_owned()),
    ];
    let count = replies.len();
    let target = start_target(replies).await;
    let mut failures = Vec::new();
    for _ in 0..count {
        failures.push(get(&client(), &target, "r1").await.unwrap_err().failure.to_string());
    }
    expect![[r#"
        [
            "the answer is not valid: several Content-Length values differ",
            "the answer is not valid: Content-Length is not a decimal number",
            "the head of the answer is not valid: too long",
            "the head of the answer is not valid: unexpected upgrade",
        ]
    "#]]
    .assert_debug_eq(&failures);
}

/// Guards against loss of the answer to a request that ran, because of an unusual status or header.
#[async_std::test]
async fn unusual_answers_are_delivered() {
    let reply = "HTTP/1.1 499 Odd\nx-request-id: {id}\nx-name: caf\u{e9}\ncontent-length: 2\n\nok";
    let target = start_target(vec![Reply::Text(reply.to_owned())]).await;
    let res = get(&client(), &target, "r1").await.unwrap();
    assert_eq!((Status::of(&res).code(), res.header("x-name").is_none()), (499, true));
    assert_eq!(body(res).await.unwrap(), "ok");
}

/// Guards against forwarding the caller's key and connection headers to a target.
#[async_std::test]
async fn keys_and_hop_by_hop_headers_are_removed() {
    let reply = "connection: x-internal\nx-internal: 1\nkeep-alive: 5\ncontent-type: text/event-stream\ncontent-length: 2\n\nok";
    let target = start_target(vec![text(reply)]).await;
    let mut req = request(Method::Post, "hi");
    for (name, value) in [
        ("authorization", "Bearer secret"),
        ("proxy-authorization", "Basic secret"),
        ("connection", "close, x-hop"),
        ("x-hop", "1"),
        ("te", "trailers"),
        ("expect", "100-continue"),
        ("x-request-id", "callers-own"),
        ("traceparent", "00-1-2-01"),
    ] {
        req.insert_header(name, value);
    }
    let res = with_timeout(client().send(target.addr, "r1", req)).await.unwrap();
    let mut names: Vec<_> = res.header_names().map(|name| name.as_str().to_owned()).collect();
    names.sort();
    assert_eq!(names, ["content-type", "x-request-id"]);
    assert_eq!(res.header("content-type").unwrap().as_str(), "text/event-stream");
    let sent = target.requests.lock().unwrap()[0].clone();
    let (start, headers) = sent.split_once("x-request-id").unwrap();
    let mut headers: Vec<_> = headers.lines().skip(1).collect();
    headers.sort_unstable();
    expect![[r#"
        POST /path?q=1 HTTP/1.1
        host: ADDR

        content-length: 2
        content-type: text/plain;charset=utf-8
        hi
        traceparent: 00-1-2-01"#]]
    .assert_eq(&format!("{start}{}", headers.join("\n")));
}

/// Guards against a request whose body ends early and that the target treats as complete.
#[async_std::test]
async fn request_body_that_ends_early_breaks_the_connection() {
    let target = start_target(vec![Reply::Silence]).await;
    let mut req = request(Method::Post, "");
    req.set_body(Body::from_reader(async_std::io::Cursor::new(b"abc"), Some(10)));
    let error = with_timeout(client().send(target.addr, "r1", req)).await.unwrap_err();
    assert_eq!(error.failure, Failure::RequestBody(std::io::ErrorKind::UnexpectedEof));
    assert_eq!(error.progress, Progress::Sent);
    until("the target sees the close", || target.closed.load(Ordering::SeqCst) == 1).await;
}

/// Guards against a client that reads an early refusal only after it has sent the whole body, or that reports a timeout
/// of the target when the caller sends slowly.
#[async_std::test]
async fn early_answer_is_delivered_while_the_body_is_pending() {
    let early = Duration::from_millis(150);
    let answer = format!("{OK}content-length: 5\n\nearly");
    let target = start_target(vec![Reply::Gap(String::new(), early, answer)]).await;
    let settings =
        ClientSettings { gap_timeout: Duration::from_millis(50), ..ClientSettings::default() };
    let client = Client::new(settings, |_| {});
    let mut req = request(Method::Post, "");
    let first = async_std::io::Cursor::new(b"abc".to_vec());
    let endless = async_std::io::BufReader::new(first.chain(PendingReader));
    req.set_body(Body::from_reader(endless, None));
    let res = with_timeout(client.send(target.addr, "r1", req)).await.unwrap();
    assert_eq!(body(res).await.unwrap(), "early");
    assert_eq!(client.idle_count(target.addr), 0, "the rest of the body was not sent");
}

struct PendingReader;

impl async_std::io::Read for PendingReader {
    fn poll_read(
        self: std::pin::Pin<&mut Self>,
        _cx: &mut std::task::Context<'_>,
        _buf: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::task::Poll::Pending
    }
}

/// Guards against a request that reaches its target after the client has given it up.
#[async_std::test]
async fn a_request_that_is_given_up_does_not_reach_its_target_later() {
    const BODY_BYTES: usize = 1 << 20;
    const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
    // The target does not read while the request is in progress, so most of it stays in the buffers of the client's kernel.
    let listener = std::net::TcpListener::bind(LOCAL).unwrap();
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let client = client();
    let req = request(Method::Post, &"x".repeat(BODY_BYTES));
    let sent = client.send(listener.local_addr().unwrap(), "a", req);
    assert!(timeout(Duration::from_millis(300), sent).await.is_err(), "no answer");
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut received = 0;
    let mut buf = vec![0; 64 << 10];
    while let Ok(n @ 1..) = std::io::Read::read(&mut stream, &mut buf) {
        received += n;
    }
    assert!(received < BODY_BYTES, "the whole request arrived");
}

/// Guards against a late copy of an answer that is taken for the answer to the next send of the same request.
#[async_std::test]
async fn a_repeated_answer_does_not_answer_the_next_send_of_its_request() {
    const DELAY: Duration = Duration::from_millis(100);
    for status in ["503 Service Unavailable", "500 Internal Server Error", "200 OK"] {
        let first = format!("HTTP/1.1 {status}\nx-request-id: {{id}}\ncontent-length: 5\n\nfirst");
        let target = start_target(vec![
            Reply::Gap(first.clone(), DELAY, first),
            text("content-length: 6\n\nsecond"),
        ])
        .await;
        let client = client();
        assert_eq!(body(get(&client, &target, "a").await.unwrap()).await.unwrap(), "first");
        let again = get(&client, &target, "a").await.unwrap();
        assert_eq!(body(again).await.unwrap(), "second", "after {status}");
        // The connections are kept for other requests.
        assert_eq!(client.idle_count(target.addr), 2);
    }
}

/// Guards against bytes after an answer that are taken for the answer to the next request, because they name no request.
#[async_std::test]
async fn an_answer_without_an_id_is_accepted_only_as_the_first_one_of_a_connection() {
    let anonymous = "HTTP/1.1 200 OK\ncontent-length: 1\n\nx".to_owned();
    let target = start_target(vec![Reply::Text(anonymous.clone()), Reply::Text(anonymous)]).await;
    let settings = ClientSettings {
        request_id_check: RequestIdCheck::RequiredOnReuse,
        ..ClientSettings::default()
    };
    let client = Client::new(settings, |_| {});
    assert_eq!(body(get(&client, &target, "a").await.unwrap()).await.unwrap(), "x");
    let error = get(&client, &target, "b").await.unwrap_err();
    let expected = Failure::RequestId { expected: "b".to_owned(), found: None };
    assert_eq!((error.progress, error.failure), (Progress::Sent, expected));
}

/// Guards against a link that counts as silent although nothing is owed on it, and against one that is owed an answer and does not.
#[async_std::test]
async fn an_address_owes_an_answer_from_the_request_to_the_end_of_the_answer() {
    let target = start_target(vec![text("content-length: 2\n\nok")]).await;
    let client = client();
    assert_eq!(client.traffic(target.addr), None);
    let open = with_timeout(client.connect(target.addr)).await.unwrap();
    let connected = client.traffic(target.addr).unwrap();
    assert_eq!(connected.owes_since, None);
    let res = with_timeout(client.send_on(open, "a", request(Method::Get, ""))).await.unwrap();
    let owed = client.traffic(target.addr).unwrap();
    assert!(owed.owes_since.is_some(), "the body has not been read");
    assert!(owed.received_at > connected.received_at);
    assert_eq!(body(res).await, Ok("ok".to_owned()));
    assert_eq!(client.traffic(target.addr).unwrap().owes_since, None);
}
