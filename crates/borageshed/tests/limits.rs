//! Runs daemons as separate processes against targets that name a limit on the requests of all daemons together.

use std::{
    io,
    time::{Duration, Instant},
};

use async_std::task;
use operator_site::{Site, call, stream, submission};
use test_support::{
    operator::{HOST, STREAMS},
    target::Target,
};

mod operator_site;

/// How long after its first answer with a limit a target may get more.
const GRACE: Duration = Duration::from_millis(3_500);
/// The span over which the requests that a target gets are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Sends a request every 50 ms for a time, to the daemons in turn, and returns how many were answered with 200.
async fn send_for(site: &Site, second: std::net::SocketAddr, time: Duration) -> usize {
    let start = Instant::now();
    let mut calls = Vec::new();
    while start.elapsed() < time {
        let to = if calls.len() % 2 == 0 { site.callers() } else { second };
        let request = call(STREAMS, &format!("r-{}", calls.len())).header("host", HOST);
        calls.push(task::spawn(async move { request.send(to).await }));
        task::sleep(Duration::from_millis(50)).await;
    }
    let mut served = 0;
    for call in calls {
        served += usize::from(call.await.is_ok_and(|it| it.status == 200));
    }
    served
}

/// Returns the most requests that the target got in [`WINDOW`], from [`GRACE`] after the first one.
fn most_in_a_window(target: &Target) -> usize {
    let received: Vec<Instant> = target.requests().iter().map(|it| it.received_at).collect();
    let Some(first) = received.first() else { return 0 };
    let counted: Vec<_> = received.iter().filter(|it| **it >= *first + GRACE).collect();
    let in_window = |start: &Instant| {
        counted.iter().filter(|it| ***it >= *start && ***it < *start + WINDOW).count()
    };
    counted.iter().map(|it| in_window(it)).max().unwrap_or(0)
}

// Guards against instances that ignore the limit of a target, or spend it each for itself.
#[async_std::test]
async fn a_target_gets_no_more_than_its_limit_from_all_instances() -> io::Result<()> {
    const LIMIT_PER_S: usize = 2;
    let target = Target::start(stream(2, 0)).await?;
    target.set_limit(Some("2"));
    let site = Site::start(&[("t-1", &target)]).await?;
    let (_second, second) = site.start_entry("second", 8_400).await?;
    let items: Vec<String> = (0..20).map(|it| format!("i-{it}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(site.send(submission("job", &items)).await.status, 202);
    let served = send_for(&site, second, Duration::from_secs(10)).await;
    let most = most_in_a_window(&target);
    assert!(most <= 6 * LIMIT_PER_S + 5, "{most} requests in {WINDOW:?}");
    assert!(served >= 10, "the limit is used: {served} served");
    Ok(())
}

// Guards against a limit that outlives the answers that name it.
#[async_std::test]
async fn a_limit_ends_when_answers_no_longer_name_it() -> io::Result<()> {
    let target = Target::start(stream(2, 0)).await?;
    target.set_limit(Some("1"));
    let site = Site::start(&[("t-1", &target)]).await?;
    let (_second, second) = site.start_entry("second", 8_400).await?;
    send_for(&site, second, Duration::from_secs(3)).await;
    target.set_limit(None);
    send_for(&site, second, Duration::from_secs(3)).await;
    let served = send_for(&site, second, Duration::from_secs(2)).await;
    assert!(served >= 30, "{served} of 40 served");
    Ok(())
}
