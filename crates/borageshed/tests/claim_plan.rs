//! Checks when a daemon claims the jobs that it learns of.

mod job_fixture;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageshed::job_work::{
    claim_plan::{ClaimPlan, HandOver},
    claiming::HandedOverJob,
    index::IndexChange,
};
use jobs::{JobId, OpenJob, claim};
use kv_store::Revision;
use stdx::{Name, Timestamp};

/// The longest time that the last daemon in the ranking may wait before it claims an unclaimed job.
const MAX_DELAY: Duration = Duration::from_secs(6);
/// The revision at which jobs are accepted.
const ACCEPTED_AT: i64 = 5;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn runners(count: usize) -> BTreeSet<Name> {
    (0..count).map(|it| Name::from(format!("worker-{it}"))).collect()
}

fn id(text: &str) -> JobId {
    JobId::parse(text).expect("valid")
}

fn handed_over(job: &str) -> HandedOverJob {
    job_fixture::handed_over(job, ACCEPTED_AT)
}

fn open(job: &str) -> (JobId, OpenJob) {
    let handed_over = handed_over(job);
    (handed_over.id, handed_over.open)
}

/// Returns a listing without jobs that is complete up to a revision.
fn empty_listing(revision: i64) -> IndexChange {
    let revision = Revision(revision);
    IndexChange::Listed { open: BTreeMap::new(), claimed: BTreeMap::new(), revision }
}

/// Returns the plan of the preferred owner of the job.
fn preferred_owner_plan(job: &str, runners: &BTreeSet<Name>) -> ClaimPlan {
    ClaimPlan::new(claim::preferred_owner(&id(job), runners).expect("there are daemons").clone())
}

fn due(plan: &mut ClaimPlan, millis: u64) -> Vec<(String, bool)> {
    let due = plan.take_due(at(millis));
    due.into_iter().map(|it| (it.id.as_str().to_owned(), it.handed_over.is_some())).collect()
}

/// Guards against a daemon that claims a job twice: when the job is handed over and when the index reports it.
#[test]
fn a_job_that_is_handed_over_and_then_indexed_is_claimed_once() {
    let runners = runners(45);
    let mut plan = preferred_owner_plan("job-1", &runners);
    plan.hand_over(at(0), handed_over("job-1"));
    let (id, job) = open("job-1");
    plan.on_change(at(10), IndexChange::Opened(id, job), &runners);
    assert_eq!(due(&mut plan, 10), [("job-1".to_owned(), true)]);
    assert_eq!(due(&mut plan, 60_000), []);
}

/// Guards against the loss of a job that was accepted while the index was being read.
#[test]
fn a_job_that_is_newer_than_the_listing_stays_known() {
    let runners = runners(45);
    let mut plan = preferred_owner_plan("job-1", &runners);
    plan.hand_over(at(0), handed_over("job-1"));
    let listing = empty_listing(ACCEPTED_AT - 1);
    plan.on_change(at(5), listing, &runners);
    assert_eq!(due(&mut plan, 5), [("job-1".to_owned(), true)]);
}

/// Guards against a job that is never run because its claim was stored but its items could not be read.
#[test]
fn a_job_that_could_not_be_read_is_claimed_again_although_the_index_names_this_daemon() {
    let runners = runners(45);
    let mut plan = preferred_owner_plan("job-1", &runners);
    let own = claim::preferred_owner(&id("job-1"), &runners).expect("there are daemons").clone();
    let (job_id, job) = open("job-1");
    plan.on_change(at(0), IndexChange::Opened(job_id.clone(), job), &runners);
    assert_eq!(due(&mut plan, 100), [("job-1".to_owned(), false)]);
    plan.on_change(at(110), IndexChange::Claimed(job_id.clone(), own), &runners);
    plan.retry(at(120), &job_id);
    assert_eq!(due(&mut plan, 120), []);
    assert_eq!(due(&mut plan, 1_000), [("job-1".to_owned(), false)]);
}

/// Guards against items that run for seconds after the end of their job was acknowledged, because the answer to the claim
/// arrived after the index had reported the end.
#[test]
fn a_job_that_ends_while_it_is_claimed_is_not_run() {
    let runners = runners(45);
    let mut plan = preferred_owner_plan("job-1", &runners);
    plan.hand_over(at(0), handed_over("job-1"));
    assert_eq!(due(&mut plan, 0), [("job-1".to_owned(), true)]);
    plan.on_change(at(300), IndexChange::Closed(id("job-1")), &runners);
    assert!(!plan.finish_claim_call(&id("job-1")));

    plan.hand_over(at(400), handed_over("job-2"));
    assert_eq!(due(&mut plan, 400), [("job-2".to_owned(), true)]);
    plan.on_change(at(500), empty_listing(ACCEPTED_AT), &runners);
    assert!(!plan.finish_claim_call(&id("job-2")));

    plan.hand_over(at(600), job_fixture::handed_over("job-3", ACCEPTED_AT + 1));
    assert_eq!(due(&mut plan, 600), [("job-3".to_owned(), true)]);
    assert!(plan.finish_claim_call(&id("job-3")), "its end was not reported");
}

/// Guards against the loss of a job that was claimed while an older listing was being read.
#[test]
fn a_claimed_job_that_is_newer_than_the_listing_is_run() {
    let runners = runners(45);
    let mut plan = preferred_owner_plan("job-1", &runners);
    plan.hand_over(at(0), handed_over("job-1"));
    assert_eq!(due(&mut plan, 0), [("job-1".to_owned(), true)]);
    assert_eq!(plan.on_change(at(5), empty_listing(ACCEPTED_AT - 1), &runners), []);
    assert!(plan.finish_claim_call(&id("job-1")));
    plan.mark_running(id("job-1"));
    let earlier = IndexChange::CompleteTo(Revision(ACCEPTED_AT - 1));
    assert_eq!(plan.on_change(at(6), earlier, &runners), []);
    let (job_id, job) = open("job-1");
    plan.on_change(at(10), IndexChange::Opened(job_id, job), &runners);
    assert_eq!(plan.on_change(at(11), IndexChange::CompleteTo(Revision(9)), &runners), []);
    assert_eq!(due(&mut plan, 60_000), [], "it is claimed once");
}

/// Guards against items that run after the end of their job, because the index listed neither the job nor its end.
#[test]
fn a_job_that_a_complete_index_lacks_has_ended() {
    let runners = runners(45);
    let ends = [empty_listing(ACCEPTED_AT), IndexChange::CompleteTo(Revision(ACCEPTED_AT))];
    for end in ends {
        let mut plan = preferred_owner_plan("job-1", &runners);
        plan.hand_over(at(0), handed_over("job-1"));
        due(&mut plan, 0);
        assert!(plan.finish_claim_call(&id("job-1")));
        plan.mark_running(id("job-1"));
        assert_eq!(plan.on_change(at(5), end, &runners), [id("job-1")]);
        plan.mark_stopped(&id("job-1"));
        plan.retry(at(10), &id("job-1"));
        assert!(!plan.is_open(&id("job-1")));
        assert_eq!(due(&mut plan, 60_000), []);
    }
}

/// Guards against a job that is opened for good because it is handed over late or twice, after its end.
#[test]
fn a_job_that_is_handed_over_after_its_end_is_not_claimed() {
    let runners = runners(45);
    let mut plan = preferred_owner_plan("job-1", &runners);
    assert_eq!(plan.hand_over(at(0), handed_over("job-1")), HandOver::Added);
    plan.on_change(at(1), IndexChange::Closed(id("job-1")), &runners);
    plan.on_change(at(1), IndexChange::CompleteTo(Revision(ACCEPTED_AT + 1)), &runners);
    assert_eq!(plan.hand_over(at(2), handed_over("job-1")), HandOver::AlreadyEnded);
    assert!(!plan.is_open(&id("job-1")));
    assert_eq!(due(&mut plan, 60_000), []);
}

/// Guards against a daemon that claims an ended job again and again, because the claim finds the end before the index shows it.
#[test]
fn a_job_whose_claim_finds_it_ended_is_not_claimed_again() {
    let runners = runners(45);
    let mut plan = preferred_owner_plan("job-1", &runners);
    plan.hand_over(at(0), handed_over("job-1"));
    assert_eq!(due(&mut plan, 0), [("job-1".to_owned(), true)]);
    plan.finish_claim_call(&id("job-1"));
    plan.close(&id("job-1"));
    plan.on_claimed_elsewhere(at(5), &id("job-1"));
    plan.retry(at(5), &id("job-1"));
    assert_eq!(due(&mut plan, 60_000), []);
}

/// Guards against a job that every daemon tries to claim, and against a job that is not claimed again after its owner is lost.
#[test]
fn a_job_that_another_daemon_runs_is_claimed_only_once_that_claim_has_ended() {
    let runners = runners(45);
    let mut plan = preferred_owner_plan("job-1", &runners);
    let (job_id, job) = open("job-1");
    plan.on_change(at(0), IndexChange::Opened(job_id.clone(), job), &runners);
    plan.on_change(at(20), IndexChange::Claimed(job_id.clone(), "other".into()), &runners);
    assert_eq!(due(&mut plan, 60_000), []);
    assert_eq!(plan.other_owner(&job_id).map(|it| &**it), Some("other"));
    plan.on_change(at(60_000), IndexChange::ClaimEnded(job_id), &runners);
    assert_eq!(due(&mut plan, 60_100), [("job-1".to_owned(), false)]);
}

/// Guards against a job that nobody claims because the index reported neither the start nor the end of another daemon's claim.
#[test]
fn a_job_whose_other_claim_the_index_never_reported_is_claimed_again() {
    let runners = runners(4);
    let mut plan = preferred_owner_plan("job-1", &runners);
    let (job_id, job) = open("job-1");
    plan.on_change(at(0), IndexChange::Opened(job_id.clone(), job), &runners);
    assert_eq!(due(&mut plan, 100), [("job-1".to_owned(), false)]);
    plan.finish_claim_call(&job_id);
    plan.on_claimed_elsewhere(at(110), &job_id);
    assert_eq!(due(&mut plan, 1_000), [], "the index may still report the claim");
    assert_eq!(due(&mut plan, 5_000), [("job-1".to_owned(), false)]);
    plan.finish_claim_call(&job_id);
    plan.on_claimed_elsewhere(at(5_010), &job_id);
    plan.on_change(at(5_500), IndexChange::Claimed(job_id.clone(), "other".into()), &runners);
    assert_eq!(due(&mut plan, 60_000), [], "the index will report the end of the claim");
}

/// Guards against a restarted daemon that leaves the jobs of its previous incarnation waiting until that lease lapses.
#[test]
fn a_job_that_is_still_claimed_under_the_own_name_is_claimed_at_once() {
    let runners = runners(45);
    let mut plan = ClaimPlan::new("worker-0".into());
    let (own, foreign) = (open("job-1"), open("job-2"));
    let claimed = [(own.0.clone(), "worker-0".into()), (foreign.0.clone(), "worker-1".into())];
    let listing = IndexChange::Listed {
        open: [own, foreign].into(),
        claimed: claimed.into_iter().collect(),
        revision: Revision(5),
    };
    plan.on_change(at(0), listing, &runners);
    assert_eq!(due(&mut plan, 0), [("job-1".to_owned(), false)]);
    assert_eq!(due(&mut plan, 60_000), []);
}

/// Guards against a job that waits for half a minute because many daemons run items and those ahead in the ranking are down.
#[test]
fn the_last_of_many_daemons_claims_a_job_within_seconds() {
    let runners = runners(370);
    for runner in &runners {
        let delay = claim::delay(&id("job-1"), runner, &runners);
        assert!(delay <= MAX_DELAY, "{runner} waits for {delay:?}");
    }
}
