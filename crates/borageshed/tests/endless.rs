//! Tests with faulty targets that send bytes without end in a head, a stream or a body, until the connection is closed.

use std::{
    io,
    time::{Duration, Instant},
};

use async_std::{
    future::timeout,
    io::{ReadExt as _, WriteExt as _},
    net::TcpListener,
    stream::StreamExt as _,
    task,
};
use futures::future::join_all;
use operator_site::{KEY, Site, call, stream, submission, wait_until};
use test_support::{
    http::Call,
    operator::{self, DRAFTS, LOOKUPS, STREAMS},
    target::{Behaviour, Endless, Target},
};

mod operator_site;

/// The longest timeout of the operator's routes.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The time after [`TIMEOUT`] within which the final answer must arrive.
const SLACK: Duration = Duration::from_millis(500);
/// The maximum growth of a daemon's resident memory over all requests of a test, in kilobytes.
const MAX_GROWTH_KB: u64 = 16 << 10;

/// The memory of the smallest instance, in kilobytes.
const SMALL_INSTANCE_KB: u64 = 110 << 10;
const TARGETS: usize = 80;
const REQUESTS: usize = 600;
/// An event just below the limit for one event.
const UNFINISHED: &[u8] = &[b'x'; 250 << 10];

const HEAD_KINDS: [Endless; 3] = [Endless::Head, Endless::EmptyLines, Endless::InterimAnswers];
const STREAM_KINDS: [Endless; 4] =
    [Endless::ChunkSize, Endless::Trailer, Endless::Event, Endless::Events];

/// A site with a target that sends bytes without end, and a healthy target that is registered later.
struct Fixture {
    site: Site,
    endless: Target,
    healthy: Target,
    before_kb: u64,
}

impl Fixture {
    async fn start(behaviour: Behaviour) -> io::Result<Self> {
        let endless = Target::start(behaviour).await?;
        let healthy = Target::start(behaviour).await?;
        let site = Site::start(&[("t-1", &endless)]).await?;
        // The first request allocates memory that any request needs, which is not to count as growth.
        site.send(call(STREAMS, "warm")).await;
        let before_kb = site.entry.resident_kb().expect("the daemon runs");
        Ok(Self { site, endless, healthy, before_kb })
    }

    /// Registers the healthy target and waits until it receives a request.
    async fn add_healthy_target(&self) -> io::Result<()> {
        operator::register(&self.site.platform, "t-2", self.healthy.address());
        let is_asked = async || {
            // The endless target may get the request, and its answer may end early.
            let request = call(STREAMS, "t-2").header("host", operator::HOST);
            let _ = request.send(self.site.callers()).await;
            !self.healthy.requests().is_empty()
        };
        wait_until("the healthy target receives a request", is_asked).await
    }

    /// Asserts that the connections with endless answers are closed and that the daemon has not grown by
    /// [`MAX_GROWTH_KB`] or more.
    async fn assert_closed_without_growth(&self, kind: Endless) -> io::Result<()> {
        let closed = async || self.endless.open_endless_answers() == 0;
        wait_until(&format!("{kind:?} is closed"), closed).await?;
        let now_kb = self.site.entry.resident_kb().expect("the daemon runs");
        assert!(
            now_kb < self.before_kb + MAX_GROWTH_KB,
            "{kind:?}: {} to {now_kb}",
            self.before_kb
        );
        Ok(())
    }
}

/// Guards against a long wait of the caller, growing memory and a second run of the request when a head never ends.
#[async_std::test]
async fn a_head_without_end_fails_the_attempt_at_once() -> io::Result<()> {
    for kind in HEAD_KINDS {
        let fixture = Fixture::start(Behaviour::Status(200)).await?;
        fixture.endless.set_behaviour(Behaviour::Endless(kind));
        let start = Instant::now();
        let reply = fixture.site.send(call(DRAFTS, &format!("{kind:?}"))).await;
        // The request may have run, so it fails and is not run again.
        assert_eq!(reply.status, 502, "{kind:?}: {}", reply.text());
        assert!(start.elapsed() < Duration::from_secs(2), "{kind:?}: {:?}", start.elapsed());
        fixture.assert_closed_without_growth(kind).await?;
    }
    Ok(())
}

/// Guards against an idempotent request that fails although another target could answer it.
#[async_std::test]
async fn an_idempotent_request_goes_to_another_target_when_a_head_never_ends() -> io::Result<()> {
    for kind in HEAD_KINDS {
        let fixture = Fixture::start(Behaviour::Status(200)).await?;
        fixture.add_healthy_target().await?;
        fixture.endless.set_behaviour(Behaviour::Endless(kind));
        let before = fixture.endless.requests().len();
        for n in 0..20 {
            let reply = fixture.site.send(call(LOOKUPS, &format!("{kind:?}-{n}"))).await;
            assert_eq!(reply.status, 200, "{kind:?}: {}", reply.text());
        }
        let received = fixture.endless.requests().len() - before;
        assert!(
            received <= 8,
            "{kind:?}: the faulty target received {received} requests, at most 8 are allowed"
        );
        fixture.assert_closed_without_growth(kind).await?;
    }
    Ok(())
}

/// Guards against bytes without end that are forwarded as if they were events, and against memory that grows with them.
#[async_std::test]
async fn a_stream_with_bytes_without_end_is_continued_elsewhere_or_broken_off() -> io::Result<()> {
    for kind in STREAM_KINDS {
        let fixture = Fixture::start(stream(6, 0)).await?;
        fixture.endless.set_behaviour(Behaviour::Endless(kind));
        let start = Instant::now();
        let request = call(DRAFTS, &format!("{kind:?}")).header("host", operator::HOST);
        // The answer ends early, which this client reports as an error or as an incomplete body.
        let reply = request.send(fixture.site.callers()).await;
        assert!(start.elapsed() < TIMEOUT + SLACK, "{kind:?}: {:?}", start.elapsed());
        assert!(reply.is_err(), "{kind:?} looks complete");
        fixture.assert_closed_without_growth(kind).await?;
    }
    let fixture = Fixture::start(stream(6, 0)).await?;
    fixture.add_healthy_target().await?;
    fixture.endless.set_behaviour(Behaviour::Endless(Endless::Event));
    // The retry budget of a service always allows three retries in ten seconds.
    for n in 0..3 {
        let reply = fixture.site.send(call(STREAMS, &format!("resumed-{n}"))).await;
        let expected: Vec<String> = (1..=6).map(|n| format!("part {n}")).collect();
        assert_eq!((reply.status, reply.event_data()), (200, expected));
    }
    fixture.assert_closed_without_growth(Endless::Event).await
}

/// Guards against a body without end that is buffered, or forwarded after the timeout of the request.
#[async_std::test]
async fn a_body_without_end_is_stopped_at_the_timeout_of_the_request() -> io::Result<()> {
    for kind in [Endless::Body, Endless::LongBody] {
        let fixture = Fixture::start(Behaviour::Status(200)).await?;
        fixture.endless.set_behaviour(Behaviour::Endless(kind));
        let start = Instant::now();
        let request = call(LOOKUPS, &format!("{kind:?}")).header("host", operator::HOST);
        let reply = request.send(fixture.site.callers()).await;
        assert!(reply.is_err(), "{kind:?} looks complete");
        assert!(start.elapsed() < TIMEOUT + SLACK, "{kind:?}: {:?}", start.elapsed());
        fixture.assert_closed_without_growth(kind).await?;
    }
    Ok(())
}

/// Guards against a refusal whose body never ends and that delays the request although another target has a free slot.
#[async_std::test]
async fn a_refusal_without_end_does_not_hold_the_request_up() -> io::Result<()> {
    let fixture = Fixture::start(Behaviour::Status(200)).await?;
    fixture.add_healthy_target().await?;
    fixture.endless.set_behaviour(Behaviour::Endless(Endless::SlowRefusal));
    for n in 0..8 {
        let start = Instant::now();
        let reply = fixture.site.send(call(DRAFTS, &format!("r-{n}"))).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    }
    fixture.assert_closed_without_growth(Endless::SlowRefusal).await
}

/// Guards against a batch item that never frees its slot and takes ever more memory.
#[async_std::test]
async fn a_batch_item_is_run_elsewhere_when_its_answer_never_ends() -> io::Result<()> {
    for kind in [Endless::Event, Endless::Events, Endless::Head, Endless::Body] {
        let fixture = Fixture::start(stream(4, 0)).await?;
        let before_kb = fixture.site.worker.resident_kb().expect("the daemon runs");
        fixture.endless.set_behaviour(Behaviour::Endless(kind));
        assert_eq!(fixture.site.send(submission("job-1", &["i-1", "i-2"])).await.status, 202);
        wait_until("an item runs", async || fixture.endless.requests().len() > 1).await?;
        fixture.add_healthy_target().await?;
        fixture.site.wait_for_results("job-1", 2).await?;
        let results =
            fixture.site.send(Call::get(operator::results_path("job-1", 0)).key(KEY)).await;
        for result in results.json()["results"].as_array().expect("results") {
            assert_eq!(result["text"], "part 1\npart 2\npart 3\npart 4", "{kind:?}");
        }
        let now_kb = fixture.site.worker.resident_kb().expect("the daemon runs");
        assert!(now_kb < before_kb + MAX_GROWTH_KB, "{kind:?}: {before_kb} to {now_kb}");
    }
    Ok(())
}

/// Accepts connections, answers each with the start of an event that never ends, and keeps the connection open.
async fn serve_unfinished_events(listener: TcpListener) {
    let mut incoming = listener.incoming();
    while let Some(Ok(mut connection)) = incoming.next().await {
        task::spawn(async move {
            let mut head = [0; 4 * 1024];
            // The caller may have gone; then nothing is left to do.
            let Ok(1..) = connection.read(&mut head).await else { return };
            let answer =
                [b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ", UNFINISHED]
                    .concat();
            if connection.write_all(&answer).await.is_ok() {
                task::sleep(2 * TIMEOUT).await;
            }
        });
    }
}

// Guards against a daemon that runs out of memory, because each of many answers may hold as much as one.
#[async_std::test]
async fn unfinished_events_of_many_targets_together_stay_within_the_memory_of_a_small_instance()
-> io::Result<()> {
    let site = Site::start(&[]).await?;
    for n in 0..TARGETS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        operator::register(&site.platform, &format!("t-{n}"), listener.local_addr()?);
        task::spawn(serve_unfinished_events(listener));
    }
    let ids: Vec<String> = (0..REQUESTS).map(|n| format!("r-{n}")).collect();
    let requests = join_all(ids.iter().map(async |id| {
        // Refusals are repeated, so that many answers are open at once. How each ends is not what this test is about.
        let started = Instant::now();
        while started.elapsed() < TIMEOUT {
            let request = call(STREAMS, id).header("host", operator::HOST);
            let reply = timeout(2 * TIMEOUT, request.send(site.callers())).await;
            if !reply.is_ok_and(|it| it.is_ok_and(|it| matches!(it.status, 429 | 503))) {
                break;
            }
            task::sleep(Duration::from_millis(100)).await;
        }
    }));
    let mut requests = std::pin::pin!(requests);
    let mut peak_kb = 0;
    while timeout(Duration::from_millis(20), &mut requests).await.is_err() {
        peak_kb = peak_kb.max(site.entry.resident_kb().expect("the daemon runs"));
    }

    assert!(peak_kb < SMALL_INSTANCE_KB, "{peak_kb} KB");
    Ok(())
}
