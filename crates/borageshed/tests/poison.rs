//! Poison requests through several daemons, while harmless requests are in flight.

use std::{io, net::SocketAddr, time::Duration};

use async_std::{future::timeout, task};
use futures::future::join_all;
use serde_json::json;
use test_support::{
    deployment::{Deployment, Plan},
    http::{Call, Reply},
};

const KEY: &str = "alpha-key";
const DAEMONS: usize = 3;
const ENGINES: usize = 4;
/// How long the expected number of engines may take to die.
const DEATH_TIMEOUT: Duration = Duration::from_secs(5);

fn completion(prompt: &str, max_tokens: u32) -> Call {
    let body = json!({ "model": "assistant", "prompt": prompt, "max_tokens": max_tokens, "stream": false });
    Call::post("/v1/completions", body.to_string()).key(KEY)
}

fn poison_request() -> Call {
    completion("please CRASH-THE-ENGINE now", 5)
}

async fn start_deployment() -> io::Result<Deployment> {
    let plan = Plan { daemons: vec!["a"; DAEMONS], engines: vec!["a"; ENGINES], ..Plan::default() };
    let deployment = Deployment::start(plan).await?;
    for i in 0..DAEMONS {
        let is_linked = |it: &serde_json::Value| {
            it["peers"].as_array().is_some_and(|it| it.len() == DAEMONS - 1)
        };
        deployment.wait_status(i, is_linked).await?;
    }
    Ok(deployment)
}

async fn count_dead_engines(deployment: &Deployment) -> usize {
    let mut dead = 0;
    for i in 0..ENGINES {
        dead += usize::from(Call::get("/health").send(deployment.engine_address(i)).await.is_err());
    }
    dead
}

async fn wait_for_dead_engines(deployment: &Deployment, wanted: usize) -> io::Result<()> {
    let reached = async {
        while count_dead_engines(deployment).await < wanted {
            task::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(DEATH_TIMEOUT, reached).await.map_err(|_| {
        io::Error::new(io::ErrorKind::TimedOut, format!("fewer than {wanted} engines died"))
    })
}

/// Sends harmless requests through every daemon; each of them takes seconds.
async fn send_harmless_requests(addresses: Vec<SocketAddr>, round: &str) -> Vec<Reply> {
    let calls = (0..12).map(|i| {
        let call = completion(&format!("harmless {round} {i}"), 120);
        let address = addresses[i % DAEMONS];
        async move { call.send(address).await.expect("a whole answer") }
    });
    join_all(calls).await
}

fn addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    (0..DAEMONS).map(|it| deployment.caller_address(it)).collect()
}

// Guards against a daemon that does not share its suspicion of a request: each daemon that receives the request again
// would run it on other engines, and harmless requests that are retried on the same engine would be taken for poison.
#[async_std::test]
async fn a_poison_request_sent_again_through_other_daemons_kills_two_engines() -> io::Result<()> {
    let deployment = start_deployment().await?;
    let harmless = task::spawn(send_harmless_requests(addresses(&deployment), "resent"));
    task::sleep(Duration::from_millis(300)).await;
    // The caller disconnects when the first engine dies, and sends the request again through all daemons.
    let first = task::spawn({
        let address = deployment.caller_address(0);
        async move { poison_request().send(address).await }
    });
    wait_for_dead_engines(&deployment, 1).await?;
    first.cancel().await;
    for i in [1, 2, 0, 1, 2] {
        let reply = poison_request().send(deployment.caller_address(i)).await.expect("an answer");
        assert!(reply.status >= 400, "{}", reply.text());
        task::sleep(Duration::from_millis(50)).await;
    }
    for reply in harmless.await {
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    // The harmless requests complete on the remaining engines, which takes long enough for a late third death to show.
    assert_eq!(count_dead_engines(&deployment).await, 2);
    Ok(())
}

// Guards against two daemons that retry a harmless request and a poison request on one engine at the same time, and
// against copies of a poison request that run on several engines after the first death.
#[async_std::test]
async fn harmless_requests_of_all_daemons_survive_two_crashes() -> io::Result<()> {
    let deployment = start_deployment().await?;
    let harmless = task::spawn(send_harmless_requests(addresses(&deployment), "waiting"));
    task::sleep(Duration::from_millis(300)).await;
    let reply = poison_request().send(deployment.caller_address(1)).await.expect("an answer");
    assert!(reply.status >= 400, "{}", reply.text());
    for i in 0..DAEMONS {
        let reply = poison_request().send(deployment.caller_address(i)).await.expect("an answer");
        assert!(reply.status >= 400, "{}", reply.text());
        assert_eq!(reply.json()["execution"], "not_run", "{}", reply.text());
    }
    for reply in harmless.await {
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(count_dead_engines(&deployment).await, 2);
    Ok(())
}

// Guards against a verdict that is lost when the daemons that decided it crash.
#[async_std::test]
async fn a_verdict_outlives_every_daemon() -> io::Result<()> {
    // Boxed, because the futures of a whole deployment overflow the stack of a test thread.
    let mut deployment = Box::pin(start_deployment()).await?;
    let first =
        Box::pin(poison_request().send(deployment.caller_address(0))).await.expect("an answer");
    assert_eq!(first.status, 422, "{}", first.text());
    Box::pin(wait_for_dead_engines(&deployment, 2)).await?;
    // The verdict is written to the key-value service concurrently with the answer.
    task::sleep(Duration::from_millis(500)).await;
    for i in 0..DAEMONS {
        deployment.daemons[i].crash();
        deployment.daemons[i] = deployment.start_daemon(i)?;
    }
    for i in 0..DAEMONS {
        Box::pin(deployment.wait_ready(i)).await?;
        let again =
            Box::pin(poison_request().send(deployment.caller_address(i))).await.expect("an answer");
        assert_eq!(again.status, 422, "{}", again.text());
        assert_eq!(again.json()["execution"], "not_run", "{}", again.text());
    }
    assert_eq!(Box::pin(count_dead_engines(&deployment)).await, 2);
    Ok(())
}
