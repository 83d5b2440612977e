//! Tests with faulty targets that send bytes without end in a head, a stream or a body, until the connection is closed.

use std::{
    io,
    time::{Duration, Instant},
};

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
