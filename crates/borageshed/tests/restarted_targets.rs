//! Runs daemons as separate processes against targets that start again under their ids, with software of another version, while a daemon
//! does not hear of it.

use std::{collections::BTreeSet, io, net::SocketAddr, time::Duration};

use async_std::task;
use operator_site::{Site, call, wait_until};
use test_support::{
    operator::{self, HOST, STREAMS},
    target::{Behaviour, Target},
};

mod operator_site;

/// Returns the ids of the requests that a target was asked to begin, or to go on with.
fn ids(target: &Target, is_continued: bool) -> BTreeSet<String> {
    let requests = target.requests();
    let matching =
        requests.iter().filter(|it| it.header("last-event-id").is_some() == is_continued);
    matching.filter_map(|it| it.header("x-request-id")).map(str::to_owned).collect()
}

/// Returns the ids of the requests that began at one target and went on at the other.
fn joined(one: &Target, other: &Target) -> Vec<String> {
    let moved = |from: &Target, to: &Target| -> Vec<String> {
        ids(from, false).intersection(&ids(to, true)).cloned().collect()
    };
    [moved(one, other), moved(other, one)].concat()
}

/// Starts a site with two targets of version 1, each of which has received a request.
async fn site_with_known_targets(kept: &Target, restarted: &Target) -> io::Result<Site> {
    let site = Site::start(&[]).await?;
    operator::register_version(&site.platform, "t-1", kept.address(), "v1");
    operator::register_version(&site.platform, "t-2", restarted.address(), "v1");
    let are_known = async || {
        send_streams(site.callers(), "known", 4).await;
        !kept.requests().is_empty() && !restarted.requests().is_empty()
    };
    wait_until("the entry daemon knows the targets", are_known).await?;
    Ok(site)
}

/// Sends requests for streams one after the other; their answers may break off. Returns how many were whole.
async fn send_streams(entry: SocketAddr, name: &str, count: usize) -> usize {
    let mut whole = 0;
    for n in 0..count {
        let request = call(STREAMS, &format!("{name}-{n}")).header("host", HOST);
        whole += usize::from(request.send(entry).await.is_ok_and(|it| it.event_data().len() == 6));
    }
    whole
}

// Guards against an answer that a daemon joins from two versions, because a target starts again with another one while the daemon is cut
// off from the store.
#[async_std::test]
async fn a_stream_is_not_joined_after_a_restart_that_a_cut_off_instance_has_not_heard_of()
-> io::Result<()> {
    let kept = Target::start(Behaviour::BreakAfter(3)).await?;
    let restarted = Target::start(Behaviour::BreakAfter(3)).await?;
    let site = site_with_known_targets(&kept, &restarted).await?;
    site.entry_link.silence();
    site.entry_link.silence_new(true);
    site.worker.pause();
    restarted.restart();
    operator::register_version(&site.platform, "t-2", restarted.address(), "v2");
    send_streams(site.callers(), "cut", 12).await;
    assert!(!ids(&kept, false).is_empty() && !ids(&restarted, false).is_empty());
    assert_eq!(joined(&kept, &restarted), Vec::<String>::new());
    site.entry_link.cut();
    site.entry_link.silence_new(false);
    site.worker.resume();
    Ok(())
}

// Guards against the same joined answer from a daemon that was stopped while a target started again, and against streams that break
// although another target of their version could continue them.
#[async_std::test]
async fn a_stream_is_not_joined_after_a_restart_while_an_instance_was_stopped() -> io::Result<()> {
    const COUNT: usize = 16;
    let kept = Target::start(Behaviour::BreakAfter(3)).await?;
    let same = Target::start(Behaviour::BreakAfter(3)).await?;
    let restarted = Target::start(Behaviour::BreakAfter(3)).await?;
    let site = site_with_known_targets(&kept, &restarted).await?;
    operator::register_version(&site.platform, "t-3", same.address(), "v1");
    let is_known = async || {
        send_streams(site.callers(), "same", 2).await;
        !same.requests().is_empty()
    };
    wait_until("the entry daemon knows the third target", is_known).await?;
    site.entry.pause();
    restarted.restart();
    operator::register_version(&site.platform, "t-2", restarted.address(), "v2");
    let callers = site.callers();
    let tries: Vec<_> = (0..COUNT)
        .map(|n| {
            task::spawn(async move { send_streams(callers, &format!("stopped-{n}"), 1).await })
        })
        .collect();
    task::sleep(Duration::from_secs(1)).await;
    site.entry.resume();
    for it in tries {
        it.await;
    }
    assert_eq!(joined(&kept, &restarted), Vec::<String>::new());
    assert_eq!(joined(&same, &restarted), Vec::<String>::new());
    let goes_on = async || send_streams(callers, "later", 1).await == 1;
    wait_until("a stream goes on at another target of its version", goes_on).await?;
    Ok(())
}
