//! Stops an entry daemon with SIGTERM while requests arrive, wait and run.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use async_std::task;
use futures::future::join_all;
use operator_site::{LIMIT, Site, call, stream, wait_until};
use serde_json::json;
use test_support::{
    http::Reply,
    link::Relay as Link,
    operator::{self, DRAFTS, HOST, LOOKUPS, STREAMS},
    processes::Process,
    target::Target,
};

mod operator_site;

/// The time from SIGTERM to the end of the drain; shorter than the timeouts of the operator's routes, which are 5 s.
const DRAIN: Duration = Duration::from_millis(3_000);
/// A refusal within this time is one at once.
const AT_ONCE: Duration = Duration::from_millis(500);
/// The number of slots of a target.
const SLOTS: usize = 8;

/// Starts a daemon whose drain takes [`DRAIN`] and accepts connections for most of it.
async fn start_entry(site: &Site) -> io::Result<(Process, SocketAddr)> {
    let limits = json!({ "drain_lead_ms": 2_000, "drain_ms": 1_000 });
    site.start_entry_with(("draining", 8_400), limits).await
}

async fn send(callers: SocketAddr, prefix: &str, id: &str) -> io::Result<Reply> {
    call(prefix, id).header("host", HOST).send(callers).await.map_err(io::Error::other)
}

fn assert_refused(reply: &Reply) {
    assert_eq!(reply.status, 503, "{}", reply.text());
    assert!(reply.header("retry-after").is_some(), "{}", reply.text());
    assert_eq!(reply.header("connection"), Some("close"));
}

// Guards against a request that may run once and is passed on although the drain cuts its answer.
#[async_std::test]
async fn a_request_that_may_outlast_the_drain_is_refused_at_once() -> io::Result<()> {
    let target = Target::start(stream(40, 100)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    let (mut entry, callers) = start_entry(&site).await?;
    entry.terminate();
    task::sleep(Duration::from_millis(500)).await;
    for (n, prefix) in [DRAFTS, STREAMS].iter().enumerate() {
        let started = Instant::now();
        assert_refused(&send(callers, prefix, &format!("r-{n}")).await?);
        assert!(started.elapsed() < AT_ONCE, "{:?}", started.elapsed());
    }
    assert_eq!(target.requests().len(), 0, "what is refused does not run");
    assert!(entry.wait(LIMIT).expect("the daemon ends").success());
    Ok(())
}

// Guards against a request that waits for a slot until the drain closes its connection.
#[async_std::test]
async fn a_request_that_waits_for_a_slot_is_refused_when_the_drain_leaves_too_little_time()
-> io::Result<()> {
    let target = Target::start(stream(20, 100)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    let (entry, callers) = start_entry(&site).await?;
    let running: Vec<String> = (0..SLOTS).map(|n| format!("running-{n}")).collect();
    let running = join_all(running.iter().map(|id| send(callers, STREAMS, id)));
    let waiting = async {
        wait_until("all slots are taken", async || target.requests().len() == SLOTS).await?;
        send(callers, DRAFTS, "waiting").await
    };
    let stop = async {
        wait_until("all slots are taken", async || target.requests().len() == SLOTS).await?;
        task::sleep(Duration::from_millis(200)).await;
        entry.terminate();
        io::Result::Ok(Instant::now())
    };
    let (running, waiting, stopped_at) = futures::join!(running, waiting, stop);
    assert_refused(&waiting?);
    assert!(stopped_at?.elapsed() < DRAIN);
    for reply in running {
        assert_eq!(reply?.event_data().len(), 20, "what was passed on is answered");
    }
    assert_eq!(target.requests().len(), SLOTS);
    Ok(())
}

// Guards against a request that was passed on and whose connection the drain closes without an answer.
#[async_std::test]
async fn a_request_whose_target_is_silent_gets_an_answer_before_the_drain_ends() -> io::Result<()> {
    let silent = TcpListener::bind("127.0.0.1:0")?;
    let site = Site::start(&[]).await?;
    operator::register(&site.platform, "t-1", silent.local_addr()?);
    let (mut entry, callers) = start_entry(&site).await?;
    let request = send(callers, LOOKUPS, "r-1");
    let stop = async {
        task::sleep(Duration::from_millis(300)).await;
        entry.terminate();
    };
    let (reply, ()) = futures::join!(request, stop);
    let reply = reply?;
    assert_eq!(reply.status, 504, "{}", reply.text());
    assert!(entry.wait(LIMIT).expect("the daemon ends").success());
    Ok(())
}

// Guards against a stream that breaks late in a drain and is sent on to a target, so that its caller hears of it only at the end.
#[async_std::test]
async fn a_stream_that_breaks_and_may_outlast_the_drain_ends_at_once() -> io::Result<()> {
    let site = Site::start(&[]).await?;
    let targets = [Target::start(stream(40, 100)).await?, Target::start(stream(40, 100)).await?];
    let links =
        [Link::start(targets[0].address()).await?, Link::start(targets[1].address()).await?];
    for (id, link) in ["t-1", "t-2"].iter().zip(&links) {
        operator::register(&site.platform, id, link.address());
    }
    let (entry, callers) = start_entry(&site).await?;
    let asked = || targets.iter().map(|it| it.requests().len()).sum::<usize>();
    let running = async { (send(callers, STREAMS, "r-1").await, Instant::now()) };
    let stop = async {
        wait_until("the stream has begun", async || asked() == 1).await?;
        entry.terminate();
        task::sleep(Duration::from_millis(1_000)).await;
        links.iter().for_each(Link::cut);
        io::Result::Ok(Instant::now())
    };
    let ((reply, ended_at), broken_at) = futures::join!(running, stop);
    assert_eq!(asked(), 1, "the stream is not sent on");
    assert!(reply.map_or(0, |it| it.event_data().len()) < 40, "the stream is incomplete");
    let waited = ended_at.saturating_duration_since(broken_at?);
    assert!(waited < AT_ONCE, "{waited:?}");
    Ok(())
}
