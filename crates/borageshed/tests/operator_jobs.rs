//! Runs batch jobs on daemons, whose fleet the platform's operator declares, as separate processes against stand-ins.

use std::{
    io,
    time::{Duration, Instant},
};

use async_std::task;
use http_types::Method;
use operator_site::{KEY, LIMIT, Site, StoreCut, cut_off, stream, submission, wait_until};
use test_support::{
    http::Call,
    operator,
    platform::{Faults, READ_KEY_CALL},
    target::{Behaviour, Target},
};

mod operator_site;

// Guards against a job that is accepted twice or loses an item or a body, and against results whose positions change.
#[async_std::test]
async fn a_job_is_accepted_once_and_its_results_stay_where_they_were_read() -> io::Result<()> {
    let target = Target::start(stream(5, 5)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    for _ in 0..2 {
        let reply = site.send(submission("job-1", &["i-1", "i-2", "i-3"])).await;
        assert_eq!(reply.status, 202, "{}", reply.text());
    }
    let read = async |after| {
        let path = operator::results_path("job-1", after);
        site.send(Call::get(path).key("key-two")).await.json()
    };
    let body = site.send(Call::get(operator::body_path("job-1", "i-2")).key(KEY)).await;
    assert_eq!((body.status, body.text().as_str()), (200, "a"));
    wait_until("every item has a result", async || read(0).await["next"] == 3).await?;
    let whole = read(0).await;
    assert_eq!(whole["total"], 3);
    let text: Vec<String> = (1..=5).map(|n| format!("part {n}")).collect();
    for result in whole["results"].as_array().expect("results") {
        assert_eq!(result["text"], text.join("\n"), "{result}");
    }
    assert_eq!(read(1).await["results"][0], whole["results"][1]);
    let runs = target.requests().len();
    assert_eq!(runs, 3, "each item ran once");
    Ok(())
}

// Guards against an item that ends as failed because of an answer that does not count as a failed run, such as a target's
// timeout.
#[async_std::test]
async fn an_item_fails_only_for_statuses_that_count_as_failed_runs() -> io::Result<()> {
    let target = Target::start(Behaviour::Status(504)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    assert_eq!(site.send(submission("job-1", &["i-1"])).await.status, 202);
    wait_until("the item ran twice", async || target.requests().len() >= 2).await?;
    assert_eq!(site.stored_results("job-1"), 0, "no attempt counts");
    target.set_behaviour(stream(5, 5));
    site.wait_for_results("job-1", 1).await?;
    assert_eq!(site.stored_results("job-1"), 1);
    let path = operator::results_path("job-1", 0);
    let read = site.send(Call::get(path).key(KEY)).await.json();
    assert_eq!(read["results"][0]["state"], "completed", "{read}");
    Ok(())
}

// Guards against an item that is listed as completed although its stream ended inside an event.
#[async_std::test]
async fn an_item_continues_after_an_unframed_stream_that_ends_inside_an_event() -> io::Result<()> {
    let target = Target::start(Behaviour::BreakUnframedAfter(3)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    assert_eq!(site.send(submission("job-1", &["i-1"])).await.status, 202);
    site.wait_for_results("job-1", 1).await?;
    assert_eq!(site.stored_results("job-1"), 1);
    let path = operator::results_path("job-1", 0);
    let read = site.send(Call::get(path).key(KEY)).await.json();
    let whole: Vec<String> = (1..=6).map(|n| format!("part {n}")).collect();
    assert_eq!(read["results"][0]["text"], whole.join("\n"), "{read}");
    Ok(())
}

// Guards against two reads of the store for each call to a daemon that does not know the job, and against a wait for results
// that exist. If many daemons serve callers, most calls reach such a daemon.
#[async_std::test]
async fn the_first_call_for_results_reads_the_store_once_and_waits_only_for_what_is_missing()
-> io::Result<()> {
    let target = Target::start(stream(5, 5)).await?;
    let mut site = Site::start(&[("t-1", &target)]).await?;
    for id in ["job-1", "job-2"] {
        assert_eq!(site.send(submission(id, &["i-1", "i-2"])).await.status, 202);
        wait_until("every item has a result", async || site.stored_results(id) == 2).await?;
    }
    site.worker.crash();
    let read = async |job, after| {
        let call = Call::get(operator::results_path(job, after)).key(KEY);
        let start = Instant::now();
        let reply = site.send(call.header("x-wait-ms", "1000")).await.json();
        let listed = reply["results"].as_array().expect("results").len();
        ((listed, reply["total"].as_u64()), start.elapsed())
    };
    let before = site.platform.calls();
    let (whole, took) = read("job-1", 0).await;
    assert_eq!(whole, (2, Some(2)));
    assert!(took < Duration::from_millis(400), "{took:?}");
    assert_eq!(read("job-2", 1).await.0, (1, Some(2)));
    assert_eq!(read("job-2", 2).await.0, (0, Some(2)));
    let after = site.platform.calls();
    assert_eq!(after.get(READ_KEY_CALL), before.get(READ_KEY_CALL), "{before:?} {after:?}");
    Ok(())
}

// Guards against a read of the store for each call for results; callers make two such calls per second for each open job.
#[async_std::test]
async fn calls_for_the_results_of_a_job_are_answered_by_the_daemon_that_runs_it() -> io::Result<()>
{
    let target = Target::start(stream(20, 50)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    let reads = || -> u64 {
        let calls = site.platform.calls();
        calls.iter().filter(|(call, _)| call.contains("kv-range")).map(|(_, n)| n).sum()
    };
    assert_eq!(site.send(submission("job-1", &["i-1", "i-2", "i-3"])).await.status, 202);
    let before = reads();
    let start = Instant::now();
    let mut listed = 0;
    while listed < 3 && start.elapsed() < LIMIT {
        let call = Call::get(operator::results_path("job-1", listed)).key(KEY);
        let reply = site.send(call.header("x-wait-ms", "100")).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        listed = reply.json()["next"].as_u64().expect("a number") as usize;
    }
    assert_eq!(listed, 3);
    let body = site.send(Call::get(operator::body_path("job-1", "i-2")).key(KEY)).await;
    assert_eq!((body.status, body.text().as_str()), (200, "a"));
    // Rate slots are read every two seconds.
    assert!(reads() - before <= 2 + start.elapsed().as_secs() / 2, "{} reads", reads() - before);
    assert!(!site.platform.calls().contains_key(READ_KEY_CALL));
    Ok(())
}

// Guards against items that run after their job was cancelled, and against a repeated cancellation that fails.
#[async_std::test]
async fn a_cancelled_job_stops_and_its_cancellation_can_be_repeated() -> io::Result<()> {
    let target = Target::start(stream(100, 100)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    assert_eq!(site.send(submission("job-1", &["i-1"])).await.status, 202);
    wait_until("the item runs", async || !target.requests().is_empty()).await?;
    let path = operator::results_path("job-1", 0);
    let path = path.split('?').next().expect("a path");
    for _ in 0..2 {
        let end = Call::get(path).method(Method::Delete).key(KEY);
        assert_eq!(site.send(end).await.status, 200);
    }
    task::sleep(Duration::from_secs(1)).await;
    assert_eq!(target.requests().len(), 1);
    let unknown = Call::get(operator::results_path("job-2", 0)).key(KEY);
    assert_eq!(site.send(unknown).await.status, 404);
    Ok(())
}

// Guards against a cancellation that is reported as not run although it may have taken effect.
#[async_std::test]
async fn a_cancellation_that_may_have_taken_effect_is_not_refused() -> io::Result<()> {
    let target = Target::start(stream(100, 100)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    assert_eq!(site.send(submission("job-1", &["i-1"])).await.status, 202);
    let path = operator::results_path("job-1", 0);
    let path = path.split('?').next().expect("a path").to_owned();
    let faults = |faults: Faults| site.platform.set_faults(&faults).expect("valid");
    // The record is read after 200 ms and the cancellation is stored after 400 ms; reads from 300 ms on fail.
    faults(Faults { delay_ms: Some(200), lose_answers: Some(1_000), ..Faults::default() });
    let refuse_reads = async {
        task::sleep(Duration::from_millis(300)).await;
        faults(Faults { refuse_reads: Some(true), ..Faults::default() });
    };
    let end = site.send(Call::get(path).method(Method::Delete).key(KEY));
    let (reply, ()) = futures::join!(end, refuse_reads);
    assert_eq!(reply.status, 504);
    Ok(())
}

// Guards against a job that is refused although it was stored, or stored although it was refused.
#[async_std::test]
async fn a_job_is_refused_only_if_nothing_was_stored() -> io::Result<()> {
    let target = Target::start(stream(2, 0)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    let submit = |id: &str| submission(id, &["i-1"]);
    let faults = |faults: Faults| site.platform.set_faults(&faults).expect("valid");
    faults(Faults { refuse_with: Some(503), ..Faults::default() });
    assert_eq!(site.send(submit("job-1")).await.status, 503);
    faults(Faults { refuse_with: Some(0), lose_answers: Some(1), ..Faults::default() });
    assert_eq!(site.send(submit("job-2")).await.status, 202);
    let unknown = Call::get(operator::results_path("job-1", 0)).key(KEY);
    assert_eq!(site.send(unknown).await.status, 404);
    let large: Vec<String> = (0..150).map(|n| format!("i-{n}")).collect();
    let large: Vec<&str> = large.iter().map(String::as_str).collect();
    let large = submission("job-3", &large);
    assert_eq!(site.send(large).await.status, 429, "its tokens exceed the limit of waiting tokens");
    Ok(())
}

// Guards against a job that stays with a daemon that was killed.
#[async_std::test]
async fn a_job_of_a_killed_daemon_is_taken_over_by_the_restarted_daemon() -> io::Result<()> {
    let target = Target::start(stream(40, 50)).await?;
    let mut site = Site::start(&[("t-1", &target)]).await?;
    assert_eq!(site.send(submission("job-1", &["i-1", "i-2"])).await.status, 202);
    wait_until("items run", async || target.requests().len() == 2).await?;
    site.worker.crash();
    target.set_behaviour(stream(40, 1));
    site.worker = site.restart_worker()?;
    site.wait_for_results("job-1", 2).await
}

// Guards against the jobs of a restarted daemon that wait until the lease of its previous incarnation lapses: after all daemons
// have lost power, nobody runs them meanwhile. The claim is taken over, so it is never removed.
#[async_std::test]
async fn a_restarted_daemon_runs_its_jobs_again_before_its_former_lease_lapses() -> io::Result<()> {
    let target = Target::start(stream(40, 50)).await?;
    let mut site = Site::start(&[("t-1", &target)]).await?;
    assert_eq!(site.send(submission("job-1", &["i-1", "i-2"])).await.status, 202);
    wait_until("items run", async || target.requests().len() == 2).await?;
    let before = site.platform.with_kv(|kv| kv.revision());
    site.worker.crash();
    target.set_behaviour(stream(40, 1));
    site.worker = site.restart_worker()?;
    wait_until("the items run again", async || target.requests().len() == 4).await?;
    let changes = site.platform.with_kv(|kv| kv.changes("work/index/claim/", before));
    let changes = changes.expect("the history is complete").events;
    assert!(!changes[0].removed, "{changes:?}");
    site.wait_for_results("job-1", 2).await
}

// Guards against the output of running items that is lost when the daemon that runs them crashes.
#[async_std::test]
async fn the_items_of_a_crashed_daemon_continue_after_their_stored_output() -> io::Result<()> {
    let target = Target::start(stream(200, 20)).await?;
    let mut site = Site::start(&[("t-1", &target)]).await?;
    assert_eq!(site.send(submission("job-1", &["i-1", "i-2"])).await.status, 202);
    let stored = || site.platform.with_kv(|kv| kv.get("work/job/job-1/checkpoint").is_some());
    wait_until("partial outputs are stored", async || stored()).await?;
    site.worker.crash();
    site.worker = site.restart_worker()?;
    wait_until("the items run again", async || target.requests().len() == 4).await?;
    for req in &target.requests()[2..] {
        assert!(req.header("last-event-id").is_some(), "{req:?}");
    }
    site.wait_for_results("job-1", 2).await?;
    assert!(!stored(), "nothing is left of a job that has ended");
    let reply = site.send(Call::get(operator::results_path("job-1", 0)).key(KEY)).await.json();
    for result in reply["results"].as_array().expect("a list") {
        let text = result["text"].as_str().expect("text");
        assert_eq!(text.lines().count(), 200, "each event stands once: {text}");
    }
    Ok(())
}

// Guards against jobs that are refused because the daemon that their caller reaches is the only one without the store.
#[async_std::test]
async fn a_job_is_accepted_at_a_daemon_that_is_cut_off_from_the_store() -> io::Result<()> {
    for (n, cut) in [StoreCut::Reset, StoreCut::Silent].into_iter().enumerate() {
        let target = Target::start(stream(2, 1)).await?;
        let site = Site::start(&[("t-1", &target)]).await?;
        cut_off(&site.entry_link, cut);
        let id = format!("job-{n}");
        let submit = || submission(&id, &["i-1", "i-2"]);
        wait_until("the job is accepted", async || site.send(submit()).await.status == 202).await?;
        assert_eq!(site.send(submit()).await.status, 202, "{cut:?}: a resend finds the same job");
        site.wait_for_results(&id, 2).await?;
        assert_eq!(target.requests().len(), 2, "{cut:?}: each item runs once");
    }
    Ok(())
}

// Guards against items that start over elsewhere because the daemon that runs them is cut off from the store for longer than
// its lease lasts, while other daemons reach both.
#[async_std::test]
async fn a_daemon_that_is_cut_off_from_the_store_keeps_its_jobs() -> io::Result<()> {
    for cut in [StoreCut::Reset, StoreCut::Silent] {
        let target = Target::start(stream(300, 20)).await?;
        let site = Site::start(&[("t-1", &target)]).await?;
        assert_eq!(site.send(submission("job-1", &["i-1", "i-2"])).await.status, 202);
        wait_until("items run", async || target.requests().len() == 2).await?;
        cut_off(&site.worker_link, cut);
        site.wait_for_results("job-1", 2).await?;
        assert_eq!(target.requests().len(), 2, "{cut:?}: no item runs again");
    }
    Ok(())
}

// Guards against results that were read and disappear later, because a former owner stored them late and the new owner does not
// know them.
#[async_std::test]
async fn results_that_were_read_stay_when_a_paused_owner_resumes() -> io::Result<()> {
    let target = Target::start(stream(20, 100)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    let jobs = ["job-1", "job-2"];
    for id in jobs {
        assert_eq!(
            site.send(submission(id, &[&format!("{id}-a"), &format!("{id}-b")])).await.status,
            202
        );
    }
    wait_until("items run", async || target.requests().len() == 4).await?;
    // The streams end while the owner is paused; its lease lapses after 4 s.
    site.worker.pause();
    let _other = site.start_worker("worker-2", 8_300)?;
    wait_until("the items run again", async || target.requests().len() >= 6).await?;
    site.worker.resume();
    let mut read = [0; 2];
    let start = Instant::now();
    while read != [2; 2] {
        assert!(start.elapsed() < LIMIT, "{read:?}");
        for (id, read) in jobs.iter().zip(&mut read) {
            let stored = site.stored_results(id);
            let reply = site.send(Call::get(operator::results_path(id, 0)).key(KEY)).await;
            if reply.status != 200 {
                continue;
            }
            let listed = reply.json()["next"].as_u64().expect("a number") as usize;
            assert!(listed >= stored.max(*read), "{id}: {listed} of {stored}, {read} before");
            *read = listed;
        }
    }
    Ok(())
}

// Guards against a job that stays claimed and is never run, because the outcome of its claim or its items could not be read.
#[async_std::test]
async fn all_jobs_finish_although_the_store_fails_repeatedly() -> io::Result<()> {
    let target = Target::start(stream(2, 1)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    let faults = |faults: Faults| site.platform.set_faults(&faults).expect("valid");
    for n in 0..12 {
        faults(Faults { refuse_with: Some(0), lose_answers: Some(0), ..Faults::default() });
        let id = format!("job-{n}");
        assert_eq!(site.send(submission(&id, &[&format!("i-{n}")])).await.status, 202);
        // The claim follows within a few milliseconds, and then the job is read.
        task::sleep(Duration::from_millis(150 + 2 * n)).await;
        faults(Faults { refuse_with: Some(503), lose_answers: Some(1), ..Faults::default() });
        task::sleep(Duration::from_millis(60)).await;
    }
    faults(Faults { refuse_with: Some(0), lose_answers: Some(0), ..Faults::default() });
    for n in 0..12 {
        site.wait_for_results(&format!("job-{n}"), 1).await?;
    }
    Ok(())
}

// Guards against a job that stays claimed and is never run, because it could not be read right after its claim.
#[async_std::test]
async fn a_job_that_could_not_be_read_after_its_claim_is_run_later() -> io::Result<()> {
    let target = Target::start(stream(2, 1)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    let faults = |faults: Faults| site.platform.set_faults(&faults).expect("valid");
    site.worker.pause();
    // After this time no peer link is left over which the job could be handed over.
    task::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(site.send(submission("job-1", &["i-1"])).await.status, 202);
    faults(Faults { refuse_reads: Some(true), ..Faults::default() });
    site.worker.resume();
    task::sleep(Duration::from_millis(1_500)).await;
    assert!(target.requests().is_empty());
    faults(Faults { refuse_reads: Some(false), ..Faults::default() });
    site.wait_for_results("job-1", 1).await
}

// Guards against a daemon that keeps a job claimed without running it, because the claim could not be removed when the outcome
// of a transaction was unknown.
#[async_std::test]
async fn a_job_whose_results_may_be_stored_continues_after_the_outage() -> io::Result<()> {
    let target = Target::start(stream(4, 100)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    let faults = |faults: Faults| site.platform.set_faults(&faults).expect("valid");
    let items = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"];
    assert_eq!(site.send(submission("job-1", &items)).await.status, 202);
    wait_until("an item runs", async || !target.requests().is_empty()).await?;
    faults(Faults { refuse_reads: Some(true), lose_answers: Some(1_000), ..Faults::default() });
    wait_until("a result is stored", async || site.stored_results("job-1") > 0).await?;
    faults(Faults { outage: Some(true), ..Faults::default() });
    task::sleep(Duration::from_millis(1_500)).await;
    let (outage, refuse_reads) = (Some(false), Some(false));
    faults(Faults { outage, refuse_reads, lose_answers: Some(0), ..Faults::default() });
    site.wait_for_results("job-1", 6).await
}

// Guards against an instance that is removed while it still has work, and against an order to empty it that gets no answer.
#[async_std::test]
async fn an_instance_that_is_to_be_emptied_gives_up_its_work_and_reports_it() -> io::Result<()> {
    let target = Target::start(stream(200, 50)).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    assert_eq!(site.send(submission("job-1", &["i-1"])).await.status, 202);
    wait_until("the item runs", async || !target.requests().is_empty()).await?;
    operator::retire(&site.platform, "worker");
    let reported = async || operator::retirement_state(&site.platform, "worker");
    wait_until("the order is carried out", async || {
        reported().await.as_deref() == Some("completed")
    })
    .await
}
