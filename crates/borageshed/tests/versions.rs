//! Runs daemons as separate processes against targets of several software versions, whose output does not fit together.

use std::{io, time::Duration};

use async_std::task;
use operator_site::{KEY, Site, StoreCut, call, cut_off, end_cut, stream, submission, wait_until};
use test_support::{
    http::{Call, Reply},
    operator::{self, DRAFTS, HOST, STREAMS},
    target::{Behaviour, Identity, Target},
};

mod operator_site;

/// Returns the ids of the last events after which a target was asked to continue streams.
fn continued(target: &Target) -> Vec<String> {
    let requests = target.requests();
    let ids = requests.iter().filter_map(|it| it.header("last-event-id"));
    ids.map(str::to_owned).collect()
}

/// Sends a request that takes up the stream that the attempt `first` began, after its third event.
async fn take_up(to: std::net::SocketAddr, id: &str, first: &str) -> Reply {
    let request = call(STREAMS, id).header("host", HOST);
    let request = request.header("last-event-id", "3").header("resumes", first);
    request.send(to).await.expect("an answer")
}

/// Starts a site with a target of version 1, on which the stream `r-1` breaks after its third event, and then adds a target of
/// version 2.
async fn site_with_broken_stream(old: &Target, new: &Target) -> io::Result<Site> {
    let site = Site::start(&[]).await?;
    operator::register_version(&site.platform, "t-1", old.address(), "v1");
    let begun = async || {
        let request = call(STREAMS, "r-1").header("host", HOST);
        // The answer breaks off.
        let _ = request.send(site.callers()).await;
        !old.requests().is_empty()
    };
    wait_until("a stream has begun", begun).await?;
    operator::register_version(&site.platform, "t-2", new.address(), "v2");
    wait_until_used(site.callers(), new).await?;
    Ok(site)
}

/// Waits until an entry daemon knows a target, which it shows by sending it a request that nobody resumes.
async fn wait_until_used(entry: std::net::SocketAddr, target: &Target) -> io::Result<()> {
    let is_used = async || {
        let request = call(DRAFTS, "known").header("host", HOST);
        // The answer may break off.
        let _ = request.send(entry).await;
        !target.requests().is_empty()
    };
    wait_until("the entry daemon knows the target", is_used).await
}

// Guards against an answer that a daemon joins from the output of two versions.
#[async_std::test]
async fn a_broken_stream_does_not_go_on_at_another_version() -> io::Result<()> {
    let old = Target::start(Behaviour::BreakAfter(3)).await?;
    let new = Target::start(Behaviour::BreakAfter(3)).await?;
    let site = Site::start(&[]).await?;
    operator::register_version(&site.platform, "t-1", old.address(), "v1");
    operator::register_version(&site.platform, "t-2", new.address(), "v2");
    task::sleep(Duration::from_millis(500)).await;
    for n in 0..6 {
        let request = call(STREAMS, &format!("r-{n}")).header("host", HOST);
        let _ = request.send(site.callers()).await;
    }
    assert!(old.requests().len() + new.requests().len() >= 6);
    for target in [&old, &new] {
        for request in target.requests().iter().filter(|it| it.header("last-event-id").is_some()) {
            let id = request.header("x-request-id");
            let begun = target
                .requests()
                .iter()
                .any(|it| it.header("x-request-id") == id && it.header("last-event-id").is_none());
            assert!(begun, "{id:?} was begun at the other version");
        }
    }
    Ok(())
}

// Guards against a stream that breaks although another target of its version could continue it.
#[async_std::test]
async fn a_broken_stream_goes_on_at_another_target_of_its_version() -> io::Result<()> {
    let old = Target::start(Behaviour::BreakAfter(3)).await?;
    let same = Target::start(Behaviour::BreakAfter(3)).await?;
    let other = Target::start(Behaviour::Full).await?;
    let site = Site::start(&[]).await?;
    operator::register_version(&site.platform, "t-1", old.address(), "v1");
    operator::register_version(&site.platform, "t-2", same.address(), "v1");
    operator::register_version(&site.platform, "t-3", other.address(), "v2");
    let whole = async || {
        let reply = call(STREAMS, "r").header("host", HOST).send(site.callers()).await;
        reply.is_ok_and(|it| it.event_data().len() == 6)
    };
    wait_until("a whole stream", whole).await?;
    assert_eq!(continued(&other), Vec::<String>::new());
    Ok(())
}

// Guards against a stream that its caller takes up at another instance, also after a restart, and that goes on at another version.
#[async_std::test]
async fn a_stream_that_is_taken_up_does_not_go_on_at_another_version() -> io::Result<()> {
    let old = Target::start(Behaviour::BreakAfter(3)).await?;
    let new = Target::start(Behaviour::BreakAfter(3)).await?;
    let site = site_with_broken_stream(&old, &new).await?;
    let (_second, second) = site.start_entry("second", 8_400).await?;
    for n in 0..4 {
        take_up(second, &format!("s-{n}"), "r-1").await;
        take_up(site.callers(), &format!("e-{n}"), "r-1").await;
    }
    assert_eq!(continued(&new), Vec::<String>::new(), "the new version was asked to go on");
    let went_on = continued(&old).iter().filter(|it| *it == "3").count();
    assert!(went_on >= 8, "{went_on} of 8 went on");
    operator::unregister(&site.platform, "t-1");
    task::sleep(Duration::from_millis(500)).await;
    let reply = take_up(second, "s-last", "r-1").await;
    assert_eq!(reply.status, 503, "no target of the version is left");
    assert_eq!(continued(&new), Vec::<String>::new(), "the new version was asked to go on");
    let fresh = call(STREAMS, "f-1").header("host", HOST).send(second).await;
    assert!(fresh.is_ok_and(|it| it.status == 200), "the caller can start anew");
    Ok(())
}

// Guards against instances that have all just started, do not know which version began a stream, or that an old one has just left, and
// join two versions or refuse what they could find out.
#[async_std::test]
async fn a_stream_that_is_taken_up_after_a_kill_of_all_entry_daemons_goes_on_at_its_version()
-> io::Result<()> {
    let old = Target::start(Behaviour::BreakAfter(3)).await?;
    let new = Target::start(Behaviour::BreakAfter(3)).await?;
    let mut site = site_with_broken_stream(&old, &new).await?;
    site.restart_entry().await?;
    let went_on = async || {
        let reply = take_up(site.callers(), "e-1", "r-1").await;
        reply.status == 200 && continued(&old).contains(&"3".to_owned())
    };
    wait_until("the stream goes on", went_on).await?;
    operator::unregister(&site.platform, "t-1");
    task::sleep(Duration::from_millis(500)).await;
    site.restart_entry().await?;
    for n in 0..4 {
        let reply = take_up(site.callers(), &format!("l-{n}"), "r-1").await;
        assert_eq!(reply.status, 503, "no target of the version is left");
    }
    assert_eq!(continued(&new), Vec::<String>::new(), "the new version was asked to go on");
    Ok(())
}

// Guards against a daemon that guesses the version of an attempt of which nobody knows.
#[async_std::test]
async fn an_attempt_that_nobody_knows_is_not_taken_up_while_two_versions_serve() -> io::Result<()> {
    let old = Target::start(Behaviour::BreakAfter(3)).await?;
    let new = Target::start(Behaviour::BreakAfter(3)).await?;
    let site = site_with_broken_stream(&old, &new).await?;
    let before = continued(&old).len();
    let reply = take_up(site.callers(), "s-1", "made-up").await;
    assert_eq!(reply.status, 503);
    assert_eq!((continued(&old).len(), continued(&new).len()), (before, 0));
    Ok(())
}

// Guards against a result that is joined from the output of two versions.
#[async_std::test]
async fn an_item_starts_anew_if_no_target_of_its_version_is_left() -> io::Result<()> {
    let old = Target::start(Behaviour::BreakAndRefuse(3)).await?;
    let new = Target::start(stream(5, 0)).await?;
    let site = Site::start(&[]).await?;
    operator::register_version(&site.platform, "t-1", old.address(), "v1");
    task::sleep(Duration::from_millis(500)).await;
    assert_eq!(site.send(submission("job", &["i-1"])).await.status, 202);
    wait_until("the item has begun", async || !old.requests().is_empty()).await?;
    operator::unregister(&site.platform, "t-1");
    operator::register_version(&site.platform, "t-2", new.address(), "v2");
    site.wait_for_results("job", 1).await?;
    let at_new = new.requests();
    let joined = at_new.iter().filter(|it| it.header("last-event-id").is_some()).count();
    assert_eq!(joined, 0, "{at_new:?}");
    let results = site.send(Call::get(operator::results_path("job", 0)).key(KEY)).await.json();
    let text = results["results"][0]["text"].as_str().unwrap_or_default().to_owned();
    assert_eq!(text.lines().count(), 5, "{text}");
    Ok(())
}

/// How long an instance runs before it no longer counts as new and stops waiting for what others know.
const SETTLE_TIME: Duration = Duration::from_secs(35);

/// Begins streams through an entry daemon until a target has begun `count` of them; returns their ids.
async fn begin_streams(
    entry: std::net::SocketAddr,
    target: &Target,
    count: usize,
) -> io::Result<Vec<String>> {
    let mut begun = Vec::new();
    for n in 0..200 {
        let id = format!("begun-{n}");
        let request = call(STREAMS, &id).header("host", HOST);
        // The answer may break off.
        let _ = request.send(entry).await;
        if target.requests().iter().any(|it| it.header("x-request-id") == Some(&id)) {
            begun.push(id);
        }
        if begun.len() == count {
            return Ok(begun);
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    Err(io::Error::other(format!("{} of {count} streams have begun", begun.len())))
}

/// Returns how many of the take-ups with these ids a target was asked to continue.
fn taken_up_at(target: &Target, ids: &[String]) -> usize {
    let requests = target.requests();
    let has_id = |id: &String| requests.iter().any(|it| it.header("x-request-id") == Some(id));
    ids.iter().filter(|it| has_id(it)).count()
}

// Guards against a stream that goes on at the only version that an instance knows while it is cut off from the store and from the
// daemon that knows the stream.
#[async_std::test]
async fn a_stream_that_began_at_a_version_unknown_to_a_cut_off_instance_is_not_joined_there()
-> io::Result<()> {
    let old = Target::start(Behaviour::BreakAfter(3)).await?;
    let new = Target::start(Behaviour::BreakAfter(3)).await?;
    let site = Site::start(&[]).await?;
    operator::register_version(&site.platform, "t-1", old.address(), "v1");
    let (_second, second) = site.start_entry("second", 8_400).await?;
    wait_until_used(site.callers(), &old).await?;
    task::sleep(SETTLE_TIME).await;
    cut_off(&site.entry_link, StoreCut::Silent);
    site.worker.pause();
    operator::register_version(&site.platform, "t-2", new.address(), "v2");
    let begun = begin_streams(second, &new, 4).await?;
    let mut ids = Vec::new();
    for first in &begun {
        let id = format!("cut-{first}");
        take_up(site.callers(), &id, first).await;
        ids.push(id);
    }
    assert_eq!(taken_up_at(&old, &ids), 0, "the old version was asked to go on");
    end_cut(&site.entry_link);
    site.worker.resume();
    let goes_on = async || {
        take_up(site.callers(), "healed", &begun[0]).await;
        taken_up_at(&new, &["healed".to_owned()]) == 1
    };
    wait_until("the stream goes on at its version", goes_on).await?;
    assert_eq!(taken_up_at(&old, &["healed".to_owned()]), 0, "the old version was asked to go on");
    Ok(())
}

// Guards against streams that are joined or refused by an instance that was stopped while their version appeared.
#[async_std::test]
async fn streams_that_began_while_an_instance_was_stopped_go_on_there_at_their_version()
-> io::Result<()> {
    const COUNT: usize = 8;
    let old = Target::start(Behaviour::BreakAfter(3)).await?;
    let new = Target::start(Behaviour::BreakAfter(3)).await?;
    let site = Site::start(&[]).await?;
    operator::register_version(&site.platform, "t-1", old.address(), "v1");
    let (_second, second) = site.start_entry("second", 8_400).await?;
    wait_until_used(site.callers(), &old).await?;
    task::sleep(SETTLE_TIME).await;
    site.entry.pause();
    operator::register_version(&site.platform, "t-2", new.address(), "v2");
    let begun = begin_streams(second, &new, COUNT).await?;
    let ids: Vec<String> = begun.iter().map(|it| format!("stopped-{it}")).collect();
    let callers = site.callers();
    let tries: Vec<_> = ids
        .iter()
        .cloned()
        .zip(begun)
        .map(|(id, first)| task::spawn(async move { take_up(callers, &id, &first).await.status }))
        .collect();
    task::sleep(Duration::from_secs(3)).await;
    site.entry.resume();
    let mut statuses = Vec::new();
    for it in tries {
        statuses.push(it.await);
    }
    assert_eq!(taken_up_at(&old, &ids), 0, "the old version was asked to go on: {statuses:?}");
    let went_on = taken_up_at(&new, &ids);
    assert!(went_on >= COUNT / 2, "{went_on} of {COUNT} went on: {statuses:?}");
    Ok(())
}

/// Starts a site with the target `t-1` of version 1, which has sent the whole stream `r-1`.
async fn site_with_whole_stream(target: &Target) -> io::Result<Site> {
    let site = Site::start(&[]).await?;
    start_target(&site, target, "v1");
    let is_whole = async || {
        let reply = call(STREAMS, "r-1").header("host", HOST).send(site.callers()).await;
        reply.is_ok_and(|it| it.event_data().len() == 6)
    };
    wait_until("a whole stream", is_whole).await?;
    // The instance reads the targets for a take-up, after which it is certain that version 1 began the stream.
    let goes_on = async || take_up(site.callers(), "sure", "r-1").await.status == 200;
    wait_until("the stream goes on", goes_on).await?;
    Ok(site)
}

/// Makes the target `t-1` one that has just started with a version.
fn start_target(site: &Site, target: &Target, version: &str) {
    target.restart();
    target.set_identity(Identity { id: "t-1".to_owned(), version: version.to_owned() });
    operator::register_version(&site.platform, "t-1", target.address(), version);
}

// Guards against a stream that goes on at a target that has started again under its id with another version, just before its
// new entry arrives.
#[async_std::test]
async fn a_stream_does_not_go_on_at_its_target_that_has_started_again_at_another_version()
-> io::Result<()> {
    let target = Target::start(stream(6, 0)).await?;
    let site = site_with_whole_stream(&target).await?;
    for n in 0..10 {
        site.entry_link.delay(Duration::from_millis(30));
        start_target(&site, &target, &format!("v{}", n + 2));
        let reply = take_up(site.callers(), &format!("e-{n}"), "r-1").await;
        assert_eq!(reply.status, 503, "{:?}", reply.event_data());
        site.entry_link.delay(Duration::ZERO);
        start_target(&site, &target, "v1");
        let goes_on = async || take_up(site.callers(), "back", "r-1").await.status == 200;
        wait_until("the stream goes on at its version", goes_on).await?;
    }
    Ok(())
}

// Guards against an instance that takes a failed read of the targets for a confirmation.
#[async_std::test]
async fn a_stream_does_not_go_on_at_another_version_beside_a_short_loss_of_the_store()
-> io::Result<()> {
    let target = Target::start(stream(6, 0)).await?;
    let site = site_with_whole_stream(&target).await?;
    site.entry_link.refuse(true);
    site.entry_link.cut();
    start_target(&site, &target, "v2");
    let restored = async {
        task::sleep(Duration::from_millis(200)).await;
        site.entry_link.refuse(false);
    };
    let (reply, ()) = futures::join!(take_up(site.callers(), "e-1", "r-1"), restored);
    assert!(matches!(reply.status, 502 | 503), "{} {:?}", reply.status, reply.event_data());
    Ok(())
}
