//! Targets in trouble that send bytes without end: in a head, a stream or a body, until the caller closes.

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

/// The longest time that the operator's routes allow.
const TIMEOUT: Duration = Duration::from_secs(5);
/// What a caller may have to wait beyond that for the final answer.
const SLACK: Duration = Duration::from_millis(500);
/// By how much a daemon may grow over all requests of a test, in kilobytes.
const MAX_GROWTH_KB: u64 = 16 << 10;

const HEAD_KINDS: [Endless; 3] = [Endless::Head, Endless::EmptyLines, Endless::InterimAnswers];
const STREAM_KINDS: [Endless; 4] =
    [Endless::ChunkSize, Endless::Trailer, Endless::Event, Endless::Events];

/// A target that sends bytes without end, and a sound one.
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
        // The first request takes the memory that every one takes.
        site.send(call(STREAMS, "warm")).await;
        let before_kb = site.entry.resident_kb().expect("it runs");
        Ok(Self { site, endless, healthy, before_kb })
    }

    /// Lets the daemons know of the sound target.
    async fn add_healthy_target(&self) -> io::Result<()> {
        operator::register(&self.site.platform, "t-2", self.healthy.address());
        let is_asked = async || {
            // An answer of the other target may break off.
            let request = call(STREAMS, "t-2").header("host", operator::HOST);
            let _ = request.send(self.site.callers()).await;
            !self.healthy.asked().is_empty()
        };
        wait_until("the sound target is asked", is_asked).await
    }

    /// Asserts that the connections of endless answers are closed and that the daemon has not grown.
    async fn assert_closed_without_growth(&self, kind: Endless) -> io::Result<()> {
        let closed = async || self.endless.endless() == 0;
        wait_until(&format!("{kind:?} is closed"), closed).await?;
        let now_kb = self.site.entry.resident_kb().expect("it runs");
        assert!(
            now_kb < self.before_kb + MAX_GROWTH_KB,
            "{kind:?}: {} to {now_kb}",
            self.before_kb
        );
        Ok(())
    }
}

/// Guards against a caller that waits, memory that grows and a request that runs twice, when a head never ends.
#[async_std::test]
async fn a_head_without_end_fails_the_attempt_at_once() -> io::Result<()> {
    for kind in HEAD_KINDS {
        let fixture = Fixture::start(Behaviour::Status(200)).await?;
        fixture.endless.set(Behaviour::Endless(kind));
        let start = Instant::now();
        let reply = fixture.site.send(call(DRAFTS, &format!("{kind:?}"))).await;
        // It may have run, so nothing else is promised, and nobody else runs it.
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
        fixture.endless.set(Behaviour::Endless(kind));
        let before = fixture.endless.asked().len();
        for n in 0..20 {
            let reply = fixture.site.send(call(LOOKUPS, &format!("{kind:?}-{n}"))).await;
            assert_eq!(reply.status, 200, "{kind:?}: {}", reply.text());
        }
        let asked = fixture.endless.asked().len() - before;
        assert!(asked <= 8, "{kind:?}: a target in trouble is asked rarely, not {asked} times");
        fixture.assert_closed_without_growth(kind).await?;
    }
    Ok(())
}

/// Guards against a stream that is passed on as if bytes without end were events, and against memory that grows with them.
#[async_std::test]
async fn a_stream_with_bytes_without_end_is_continued_elsewhere_or_broken_off() -> io::Result<()> {
    for kind in STREAM_KINDS {
        let fixture = Fixture::start(stream(6, 0)).await?;
        fixture.endless.set(Behaviour::Endless(kind));
        let start = Instant::now();
        let request = call(DRAFTS, &format!("{kind:?}")).header("host", operator::HOST);
        // The answer breaks off, which this client reports as an error or as an incomplete body.
        let reply = request.send(fixture.site.callers()).await;
        assert!(start.elapsed() < TIMEOUT + SLACK, "{kind:?}: {:?}", start.elapsed());
        assert!(reply.is_err(), "{kind:?} looks complete");
        fixture.assert_closed_without_growth(kind).await?;
    }
    let fixture = Fixture::start(stream(6, 0)).await?;
    fixture.add_healthy_target().await?;
    fixture.endless.set(Behaviour::Endless(Endless::Event));
    // A service may repeat three requests in ten seconds in any case.
    for n in 0..3 {
        let reply = fixture.site.send(call(STREAMS, &format!("resumed-{n}"))).await;
        let expected: Vec<String> = (1..=6).map(|n| format!("part {n}")).collect();
        assert_eq!((reply.status, reply.event_data()), (200, expected));
    }
    fixture.assert_closed_without_growth(Endless::Event).await
}

/// Guards against a body without end that is held, or passed on for longer than the caller waits.
#[async_std::test]
async fn a_body_without_end_is_stopped_at_the_timeout_of_the_request() -> io::Result<()> {
    for kind in [Endless::Body, Endless::LongBody] {
        let fixture = Fixture::start(Behaviour::Status(200)).await?;
        fixture.endless.set(Behaviour::Endless(kind));
        let start = Instant::now();
        let request = call(LOOKUPS, &format!("{kind:?}")).header("host", operator::HOST);
        let reply = request.send(fixture.site.callers()).await;
        assert!(reply.is_err(), "{kind:?} looks complete");
        assert!(start.elapsed() < TIMEOUT + SLACK, "{kind:?}: {:?}", start.elapsed());
        fixture.assert_closed_without_growth(kind).await?;
    }
    Ok(())
}

/// Guards against a refusal whose body never ends, which keeps the request from the target that has room.
#[async_std::test]
async fn a_refusal_without_end_does_not_hold_the_request_up() -> io::Result<()> {
    let fixture = Fixture::start(Behaviour::Status(200)).await?;
    fixture.add_healthy_target().await?;
    fixture.endless.set(Behaviour::Endless(Endless::SlowRefusal));
    for n in 0..8 {
        let start = Instant::now();
        let reply = fixture.site.send(call(DRAFTS, &format!("r-{n}"))).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    }
    fixture.assert_closed_without_growth(Endless::SlowRefusal).await
}

/// Guards against a batch item that holds its slot and takes memory for ever.
#[async_std::test]
async fn a_batch_item_is_run_elsewhere_when_its_answer_never_ends() -> io::Result<()> {
    for kind in [Endless::Event, Endless::Events, Endless::Head, Endless::Body] {
        let fixture = Fixture::start(stream(4, 0)).await?;
        let before_kb = fixture.site.worker.resident_kb().expect("it runs");
        fixture.endless.set(Behaviour::Endless(kind));
        assert_eq!(fixture.site.send(submission("job-1", &["i-1", "i-2"])).await.status, 202);
        wait_until("an item runs", async || fixture.endless.asked().len() > 1).await?;
        fixture.add_healthy_target().await?;
        fixture.site.wait_for_results("job-1", 2).await?;
        let results =
            fixture.site.send(Call::get(operator::results_path("job-1", 0)).key(KEY)).await;
        for result in results.json()["results"].as_array().expect("results") {
            assert_eq!(result["text"], "part 1\npart 2\npart 3\npart 4", "{kind:?}");
        }
        let now_kb = fixture.site.worker.resident_kb().expect("it runs");
        assert!(now_kb < before_kb + MAX_GROWTH_KB, "{kind:?}: {before_kb} to {now_kb}");
    }
    Ok(())
}
