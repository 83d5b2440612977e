//! Runs daemons as separate processes against targets that crash one after the other while they run batch items.

use std::{
    io,
    time::{Duration, Instant},
};

use operator_site::{KEY, Site, stream, wait_until};
use test_support::{
    http::Call,
    operator::{self, JOBS},
    target::{Behaviour, Target},
    wait,
};

mod operator_site;

/// An item that has not failed at a target for this long, and on which nothing works, counts as abandoned.
const MAX_IDLE: Duration = Duration::from_secs(20);

// Guards against items that wait longer than they may after targets have crashed under them through no fault of theirs.
#[async_std::test]
async fn an_item_whose_targets_crashed_runs_again_before_it_counts_as_abandoned() -> io::Result<()>
{
    let crashing = [
        Target::start(Behaviour::Crash).await?,
        Target::start(Behaviour::Crash).await?,
        Target::start(Behaviour::Crash).await?,
    ];
    let site = Site::start(&[]).await?;
    for (n, target) in crashing.iter().enumerate() {
        operator::register(&site.platform, &format!("t-{n}"), target.address());
        if n == 0 {
            let body = operator::job_body_with_shared_part(&["i-1"]);
            let submission = Call::post(JOBS, body).key(KEY).header("x-request-id", "job");
            assert_eq!(site.send(submission).await.status, 202);
        }
        wait_until("the target has crashed", async || !target.requests().is_empty()).await?;
        operator::unregister(&site.platform, &format!("t-{n}"));
    }
    let healthy = Target::start(stream(3, 0)).await?;
    operator::register(&site.platform, "t-healthy", healthy.address());
    let started = Instant::now();
    let is_done = async || {
        let path = operator::results_path("job", 0);
        site.send(Call::get(path).key(KEY)).await.json()["next"] == 1
    };
    wait::wait_until("the item is done", 4 * MAX_IDLE, Duration::from_millis(100), is_done).await?;
    let idle = started.elapsed();
    assert!(idle < MAX_IDLE, "{idle:?}");
    Ok(())
}

// Guards against a sound item that is never placed again after a burst of crashes, although targets have room.
#[async_std::test]
async fn an_item_under_which_many_targets_crashed_is_placed_again_at_once() -> io::Result<()> {
    const CRASHES: usize = 8;
    const MAX_PAUSE: Duration = Duration::from_secs(4);
    let site = Site::start(&[]).await?;
    let body = operator::job_body_with_shared_part(&["i-1"]);
    let submission = Call::post(JOBS, body).key(KEY).header("x-request-id", "job");
    assert_eq!(site.send(submission).await.status, 202);
    let mut pauses = Vec::new();
    for n in 0..CRASHES {
        let target = Target::start(Behaviour::Crash).await?;
        operator::register(&site.platform, &format!("t-{n}"), target.address());
        let started = Instant::now();
        let has_crashed = async || !target.requests().is_empty();
        wait::wait_until(
            "the target has crashed",
            MAX_IDLE,
            Duration::from_millis(20),
            has_crashed,
        )
        .await?;
        pauses.push(started.elapsed());
        operator::unregister(&site.platform, &format!("t-{n}"));
    }
    assert!(pauses[1..].iter().all(|it| *it < MAX_PAUSE), "{pauses:?}");
    let healthy = Target::start(stream(3, 0)).await?;
    operator::register(&site.platform, "t-healthy", healthy.address());
    site.wait_for_results("job", 1).await
}
