//! Checks that items of ended jobs are not run by a daemon that could not follow the index of jobs meanwhile.

use std::{io, time::Duration};

use async_std::task;
use http_types::Method;
use operator_site::{KEY, Site, StoreCut, cut_off, end_cut, stream, submission, wait_until};
use test_support::{
    http::Call,
    operator,
    target::{Behaviour, Target},
};

mod operator_site;

/// How long after the end of a job its items may still reach targets.
const END_DEADLINE: Duration = Duration::from_secs(3);
/// How long the test waits for items that should not run.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

// Guards against items that run for as long as the daemon lives, because it took over a job while the store turned it away, and the job
// was added to the index and removed from it in that time.
#[async_std::test]
async fn items_of_a_job_that_began_and_ended_in_an_outage_of_the_index_are_not_run()
-> io::Result<()> {
    let target = Target::start(Behaviour::Full).await?;
    let site = Site::start(&[("t-1", &target)]).await?;
    let worker_log = || std::fs::read_to_string(site.folder.path().join("worker.log"));
    wait_until("the worker reaches its peer", async || {
        worker_log().is_ok_and(|it| it.contains("lease granted"))
    })
    .await?;
    cut_off(&site.worker_link, StoreCut::Reset);
    wait_until("the worker misses the store", async || {
        worker_log().is_ok_and(|it| it.contains("cannot read the index of jobs"))
    })
    .await?;
    let accepted = async || site.send(submission("job-1", &["i-1", "i-2"])).await.status == 202;
    wait_until("the job is accepted", accepted).await?;
    // The worker claims the job through the entry daemon.
    wait_until("the job is claimed", async || {
        worker_log().is_ok_and(|it| it.contains("job claimed"))
    })
    .await?;
    let end = || Call::get(operator::job_path("job-1")).method(Method::Delete).key(KEY);
    wait_until("the job is ended", async || site.send(end()).await.status == 200).await?;
    task::sleep(Duration::from_millis(500)).await;
    end_cut(&site.worker_link);
    wait_until("the worker reaches the store", async || {
        worker_log().is_ok_and(|it| it.contains("index of jobs can be read again"))
    })
    .await?;
    task::sleep(END_DEADLINE).await;
    let refused = target.requests().len();
    target.set_behaviour(stream(2, 1));
    task::sleep(OBSERVATION_TIME).await;
    assert_eq!(target.requests().len(), refused, "no item is sent after the end of its job");
    Ok(())
}
