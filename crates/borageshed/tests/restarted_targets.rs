//! Runs daemons as separate processes against targets that start again under their ids, with software of another version, while a daemon
//! does not hear of it.

use std::{collections::BTreeSet, io, net::SocketAddr, time::Duration};

use async_std::task;
use operator_site::{KEY, Site, StoreCut, call, cut_off, end_cut, submission, wait_until};
use test_support::{
    http::Call,
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

/// Starts a site with two targets of version 1, each of which has begun a stream.
async fn site_with_known_targets(kept: &Target, restarted: &Target) -> io::Result<Site> {
    let site = Site::start(&[]).await?;
    operator::register_version(&site.platform, "t-1", kept.address(), "v1");
    operator::register_version(&site.platform, "t-2", restarted.address(), "v1");
    let are_known = async || {
        send_streams(site.callers(), "known", 4).await;
        !ids(kept, false).is_empty() && !ids(restarted, false).is_empty()
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
    cut_off(&site.entry_link, StoreCut::Silent);
    site.worker.pause();
    restarted.restart();
    operator::register_version(&site.platform, "t-2", restarted.address(), "v2");
    send_streams(site.callers(), "cut", 12).await;
    assert!(!ids(&kept, false).is_empty() && !ids(&restarted, false).is_empty());
    assert_eq!(joined(&kept, &restarted), Vec::<String>::new());
    end_cut(&site.entry_link);
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

/// Sends a request that takes up the stream that the attempt `first` began, after its third event; returns the status.
async fn take_up(to: SocketAddr, id: &str, first: &str) -> u16 {
    let request = call(STREAMS, id).header("host", HOST);
    let request = request.header("last-event-id", "3").header("resumes", first);
    request.send(to).await.expect("an answer").status
}

// Guards against a take-up that trusts a record of an instance that placed the stream at a version which its target had no longer.
#[async_std::test]
async fn a_stream_that_began_at_a_restarted_target_is_not_taken_up_at_its_earlier_version()
-> io::Result<()> {
    let kept = Target::start(Behaviour::BreakAfter(3)).await?;
    let restarted = Target::start(Behaviour::BreakAfter(3)).await?;
    let site = site_with_known_targets(&kept, &restarted).await?;
    let (_second, second) = site.start_entry("second", 8_400).await?;
    let are_known = async || {
        let before = (kept.requests().len(), restarted.requests().len());
        send_streams(second, "second", 4).await;
        kept.requests().len() > before.0 && restarted.requests().len() > before.1
    };
    wait_until("the second entry daemon knows the targets", are_known).await?;
    cut_off(&site.entry_link, StoreCut::Silent);
    restarted.restart();
    operator::register_version(&site.platform, "t-2", restarted.address(), "v2");
    send_streams(site.callers(), "cut", 12).await;
    let begun: Vec<String> =
        ids(&restarted, false).into_iter().filter(|it| it.starts_with("cut")).collect();
    assert!(!begun.is_empty());
    let mut statuses = Vec::new();
    for first in &begun {
        statuses.push(take_up(second, &format!("up-{first}"), first).await);
    }
    let at_kept: Vec<_> = ids(&kept, true).into_iter().filter(|it| it.starts_with("up")).collect();
    assert_eq!(
        at_kept,
        Vec::<String>::new(),
        "the earlier version was asked to go on: {statuses:?}"
    );
    Ok(())
}

// Guards against a take-up at a target that has the version of the stream only in the list that a stopped instance last read.
#[async_std::test]
async fn a_stream_is_not_taken_up_at_a_target_that_has_restarted_with_another_version()
-> io::Result<()> {
    const COUNT: usize = 8;
    let kept = Target::start(Behaviour::BreakAfter(3)).await?;
    let restarted = Target::start(Behaviour::BreakAfter(3)).await?;
    let site = site_with_known_targets(&kept, &restarted).await?;
    let begun: Vec<String> = ids(&kept, false).into_iter().collect();
    site.entry.pause();
    restarted.restart();
    operator::register_version(&site.platform, "t-2", restarted.address(), "v2");
    let callers = site.callers();
    let tries: Vec<_> = (0..COUNT)
        .map(|n| {
            let first = begun[n % begun.len()].clone();
            task::spawn(async move { take_up(callers, &format!("up-{n}"), &first).await })
        })
        .collect();
    task::sleep(Duration::from_secs(1)).await;
    site.entry.resume();
    let mut statuses = Vec::new();
    for it in tries {
        statuses.push(it.await);
    }
    assert_eq!(ids(&restarted, true), BTreeSet::new(), "the new version was asked: {statuses:?}");
    let went_on = statuses.iter().filter(|it| **it == 200).count();
    assert!(went_on * 2 >= COUNT, "{statuses:?}");
    Ok(())
}

// Guards against the text of an item that is joined from two versions, because a target starts again with another one while the owner of
// the job is cut off from the store.
#[async_std::test]
async fn an_item_is_not_joined_after_a_restart_that_its_cut_off_owner_has_not_heard_of()
-> io::Result<()> {
    let kept = Target::start(Behaviour::BreakAfter(3)).await?;
    let restarted = Target::start(Behaviour::BreakAfter(3)).await?;
    let site = site_with_known_targets(&kept, &restarted).await?;
    // The items wait until the owner has been cut off.
    kept.set_behaviour(Behaviour::Full);
    restarted.set_behaviour(Behaviour::Full);
    let items: Vec<String> = (0..8).map(|n| format!("i-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(site.send(submission("job", &items)).await.status, 202);
    let has_owner = async || kept.requests().iter().any(|it| !it.ran);
    wait_until("the job has an owner", has_owner).await?;
    cut_off(&site.worker_link, StoreCut::Silent);
    site.entry.pause();
    restarted.restart();
    operator::register_version(&site.platform, "t-2", restarted.address(), "v2");
    kept.set_behaviour(Behaviour::BreakAfter(3));
    restarted.set_behaviour(Behaviour::BreakAfter(3));
    task::sleep(Duration::from_millis(1_500)).await;
    end_cut(&site.worker_link);
    site.entry.resume();
    site.wait_for_results("job", items.len()).await?;
    let ran = |target: &Target, is_continued| -> BTreeSet<String> {
        let requests = target.requests();
        let ran = requests.iter().filter(|it| it.ran);
        let ran = ran.filter(|it| it.header("last-event-id").is_some() == is_continued);
        ran.filter_map(|it| it.header("x-request-id")).map(str::to_owned).collect()
    };
    for (one, other) in [(&kept, &restarted), (&restarted, &kept)] {
        let alone: BTreeSet<_> = ran(one, false).difference(&ran(other, false)).cloned().collect();
        let joined: Vec<_> = alone.intersection(&ran(other, true)).cloned().collect();
        assert_eq!(joined, Vec::<String>::new(), "went on at the other version");
    }
    let results = site.send(Call::get(operator::results_path("job", 0)).key(KEY)).await.json();
    for result in results["results"].as_array().into_iter().flatten() {
        let text = result["text"].as_str().unwrap_or_default();
        assert_eq!(text.lines().count(), 6, "{result}");
    }
    Ok(())
}
