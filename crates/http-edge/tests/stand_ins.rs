//! The client against the stand-ins for targets, which use the server.

mod util;

use std::time::Duration;

use async_std::io::prelude::ReadExt;
use futures::future::join_all;
use http_edge::client::{Client, ClientSettings, Failure, Progress};
use http_types::{Method, Request, Response, Url};
use serde_json::{Value, json};
use test_support::engine::{Engine, EngineSettings, Faults};
use test_support::plain::{PlainFaults, PlainService};

use util::{LOCAL, until, with_timeout};

fn client() -> Client {
    // On a machine that is busy with other work, a connection may take longer than the default.
    let connect_timeout = Duration::from_secs(10);
    Client::new(ClientSettings { connect_timeout, ..ClientSettings::default() }, |_| {})
}

async fn engine(slots: usize) -> Engine {
    let faults = Faults { step_us: 1_000, load_lag_ms: 0, ..Faults::default() };
    let settings = EngineSettings { slots, faults, ..EngineSettings::default() };
    Engine::start(LOCAL, settings).await.unwrap()
}

fn request(method: Method, path: &str, body: &Value) -> Request {
    let mut req = Request::new(method, Url::parse(&format!("http://edge{path}")).unwrap());
    if !body.is_null() {
        req.set_body(body.clone());
    }
    req
}

fn completion(prompt: &str, max_tokens: usize) -> Request {
    let body =
        json!({"model": "small", "prompt": prompt, "max_tokens": max_tokens, "stream": true});
    request(Method::Post, "/v1/completions", &body)
}

async fn json_of(mut res: Response) -> Value {
    with_timeout(res.body_json()).await.unwrap()
}

/// Returns the tokens of a complete stream.
async fn tokens(mut res: Response) -> std::io::Result<Vec<String>> {
    let mut text = String::new();
    with_timeout(res.read_to_string(&mut text)).await?;
    let text = text.strip_suffix("data: [DONE]\n\n").expect("the stream has no end marker");
    Ok(text.split_terminator("\n\n").map(token_of).collect())
}

fn token_of(event: &str) -> String {
    let value: Value = serde_json::from_str(event.strip_prefix("data: ").unwrap()).unwrap();
    value["choices"][0]["text"].as_str().unwrap().to_owned()
}

/// Reads the first `n` tokens of a stream.
async fn first_tokens(res: &mut Response, n: usize) -> Vec<String> {
    let mut text = String::new();
    while text.matches("\n\n").count() < n {
        let mut byte = [0];
        with_timeout(res.read_exact(&mut byte)).await.unwrap();
        text.push(char::from(byte[0]));
    }
    text.split_terminator("\n\n").map(token_of).collect()
}

/// Guards against differences between whole and streamed answers, and against cached tokens that are not reported.
#[async_std::test]
async fn engine_answers_whole_and_in_streams() {
    let engine = engine(4).await;
    let client = client();
    let prompt = "word ".repeat(40);
    let chat = json!({
        "model": "small", "max_tokens": 3,
        "messages": [{"role": "user", "content": prompt}],
    });
    let mut cached = Vec::new();
    for id in ["r1", "r2"] {
        let req = request(Method::Post, "/v1/chat/completions", &chat);
        let answer = json_of(client.send(engine.addr(), id, req).await.unwrap()).await;
        assert_eq!(
            answer["choices"][0]["message"]["content"].as_str().unwrap().matches(' ').count(),
            3
        );
        cached.push(answer["usage"]["cached_tokens"].clone());
    }
    assert_eq!(cached, [0, 32]);
    let res = client.send(engine.addr(), "r3", completion("hello", 5)).await.unwrap();
    assert_eq!(tokens(res).await.unwrap().len(), 5);
    let models = request(Method::Get, "/v1/models", &Value::Null);
    let models = json_of(client.send(engine.addr(), "r4", models).await.unwrap()).await;
    assert_eq!(models["data"][0]["id"], "small");
    let counts = request(Method::Get, "/executions", &Value::Null);
    let counts = json_of(client.send(engine.addr(), "r5", counts).await.unwrap()).await;
    assert_eq!(counts, json!({"r1": 1, "r2": 1, "r3": 1}));
}

/// Guards against a slot that stays occupied after the caller disconnected.
#[async_std::test]
async fn cancelled_stream_frees_its_slot() {
    let engine = engine(1).await;
    let client = client();
    let mut res = client.send(engine.addr(), "r1", completion("a", 100_000)).await.unwrap();
    first_tokens(&mut res, 2).await;
    let load = request(Method::Get, "/load", &Value::Null);
    let load = json_of(client.send(engine.addr(), "r2", load).await.unwrap()).await;
    assert_eq!(load["running"], 1);
    drop(res);
    until("the slot is free", || engine.occupancy() == (0, 0)).await;
}

/// Guards against a stream that is lost, or repeats tokens, when its connection becomes silent.
#[async_std::test]
async fn stream_resumes_over_a_new_connection_when_the_old_one_is_silent() {
    let engine = engine(1).await;
    let client = client();
    let mut res = client.send(engine.addr(), "r1", completion("a", 200)).await.unwrap();
    let id = res.header("x-engine-request-id").unwrap().as_str().to_owned();
    let mut received = first_tokens(&mut res, 3).await;
    let patch = request(Method::Put, "/faults", &json!({"silent": true}));
    client.send(engine.addr(), "r2", patch).await.unwrap();
    // Tokens that were sent before the switch still arrive; the connection then stays open without a byte.
    let mut rest = String::new();
    let quiet = Duration::from_millis(400);
    let more = async_std::future::timeout(quiet, res.read_to_string(&mut rest)).await;
    assert!(more.is_err(), "the connection is not silent");
    let resume = json!({"engine_request_id": id, "resume_from": 3});
    let resume = request(Method::Post, "/v1/completions", &resume);
    let resumed = client.send_over_new_connection(engine.addr(), "r3", resume);
    received.extend(tokens(with_timeout(resumed).await.unwrap()).await.unwrap());
    let whole = client.send_over_new_connection(engine.addr(), "r4", completion("a", 200));
    assert_eq!(received, tokens(whole.await.unwrap()).await.unwrap());
    assert_eq!(engine.executions()["r1"], 1);
    assert!(!engine.executions().contains_key("r3"));
}

/// Guards against a crash after which requests in flight still complete or the engine keeps its state.
#[async_std::test]
async fn crash_fails_all_requests_in_flight() {
    let engine = engine(4).await;
    let client = client();
    let mut harmless = Vec::new();
    for id in ["r1", "r2"] {
        let mut res = client.send(engine.addr(), id, completion("a", 100_000)).await.unwrap();
        first_tokens(&mut res, 1).await;
        harmless.push(res);
    }
    let poison = completion("CRASH-THE-ENGINE", 3);
    let poison = match with_timeout(client.send(engine.addr(), "poison", poison)).await {
        Ok(res) => tokens(res).await.is_err(),
        Err(e) => e.progress == Progress::Sent,
    };
    assert!(poison, "the request that crashes the engine got an answer");
    assert!(join_all(harmless.into_iter().map(tokens)).await.iter().all(Result::is_err));
    assert_eq!(engine.executions()["poison"], 1);
    let res = client.send(engine.addr(), "r3", completion("a", 2)).await.unwrap();
    assert_eq!(tokens(res).await.unwrap().len(), 2);
}

/// Guards against a request that ran and whose lost answer is reported as not run.
#[async_std::test]
async fn lost_answer_of_a_plain_service_counts_as_sent() {
    let plain = PlainService::start(LOCAL, PlainFaults::default()).await.unwrap();
    let client = client();
    let order = || request(Method::Post, "/orders", &json!({"sku": 1}));
    let answer = json_of(client.send(plain.addr(), "r1", order()).await.unwrap()).await;
    assert_eq!(
        answer,
        json!({"method": "POST", "path": "/orders", "body_bytes": 9, "execution": 1})
    );
    plain.set_faults(PlainFaults { close_after_run: true, ..PlainFaults::default() });
    let error = with_timeout(client.send(plain.addr(), "r2", order())).await.unwrap_err();
    assert_eq!((error.progress, error.failure), (Progress::Sent, Failure::ClosedBeforeAnswer));
    assert_eq!(plain.executions()["r2"], 1);
}
