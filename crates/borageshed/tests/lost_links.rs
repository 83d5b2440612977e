//! Runs an entry daemon that reaches no target while other daemons do.

use std::{
    io,
    time::{Duration, Instant},
};

use futures::future::join_all;
use link_site::{Cut, LinkSite};
use operator_site::call;
use test_support::{
    operator::{DRAFTS, LOOKUPS, STREAMS},
    target::Behaviour,
};

mod link_site;
mod operator_site;

/// The longest time until a request is answered that comes when the daemon knows of the cut.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
const EVENTS: u64 = 5;
/// More requests at the same time than there are open connections from the requests before.
const PARALLEL: usize = 12;

fn stream() -> Behaviour {
    Behaviour::Stream { events: EVENTS, pause: Duration::from_millis(10) }
}

/// Sends requests of each kind at the same time, and checks that they are answered promptly and run once.
async fn check_all_kinds(site: &LinkSite, round: &str) {
    let prefixes = [LOOKUPS, STREAMS, DRAFTS].into_iter().cycle().take(PARALLEL);
    join_all(prefixes.enumerate().map(async |(n, prefix)| {
        let id = format!("{round}-{n}");
        let started = Instant::now();
        let reply = site.send(call(prefix, &id)).await;
        assert_eq!(reply.status, 200, "{id}: {}", reply.text());
        assert_eq!(reply.event_data().len() as u64, EVENTS, "{id}: {}", reply.text());
        assert!(started.elapsed() < ANSWER_LIMIT, "{id} took {:?}", started.elapsed());
        assert_eq!(site.runs(&id), 1, "{id}");
    }))
    .await;
}

async fn check_cut(cut: Cut) -> io::Result<()> {
    let site = LinkSite::start(&[stream(), stream(), stream()]).await?;
    let reply = site.send(call(LOOKUPS, "before")).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    site.cut(cut).await?;
    // The first requests find out about the cut.
    for n in 0..4 {
        let id = format!("first-{n}");
        let reply = site.send(call(LOOKUPS, &id)).await;
        assert_eq!(reply.status, 200, "{id}: {}", reply.text());
    }
    for n in 0..3 {
        check_all_kinds(&site, &format!("cut-{n}")).await;
    }
    Ok(())
}

// Guards against callers who are refused because the instance that they reach has lost its links to all targets, although others reach them.
#[async_std::test]
async fn callers_are_served_while_connections_to_all_targets_are_refused() -> io::Result<()> {
    check_cut(Cut::Refuse).await
}

// The same if the open connections are reset.
#[async_std::test]
async fn callers_are_served_while_connections_to_all_targets_are_reset() -> io::Result<()> {
    check_cut(Cut::Reset).await
}

// The same if the links fall silent.
#[async_std::test]
async fn callers_are_served_while_connections_to_all_targets_hang() -> io::Result<()> {
    check_cut(Cut::Silent).await
}
