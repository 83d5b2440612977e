//! Checks how the owner of a job answers the questions of daemons that serve its callers.

mod job_fixture;

use std::time::Duration;

use borageshed::job_work::readers::{
    ANSWER_TIMEOUT, ClaimProspect, LocalJobState, Question, Readers, Reply,
};
use jobs::{Checkpoint, Discovery, ItemEnd, JobId, JobRecord, JobRun, JobTimes, Submission};
use kv_store::Revision;
use peer::{JobRequest, JobStatus};
use stdx::{Name, Timestamp};

use job_fixture::submission;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn run(items: &[&str]) -> JobRun {
    let submission = submission(JobId::parse("job-1").expect("valid"), items);
    let transaction = submission.transaction().expect("valid");
    let record: JobRecord = serde_json::from_slice(&transaction.writes[0].value).expect("a record");
    let times = JobTimes::of(&record, Discovery { at: at(0), is_fresh: true }, at(0), 0);
    let Submission { id, route, items, .. } = submission;
    JobRun::new(id, record, Revision(5), route, items, vec![], times)
}

fn finish(run: &mut JobRun, index: usize, text: &str) {
    run.start_item(index);
    run.on_end(index, ItemEnd::Completed { text: text.to_owned() }, at(0));
}

fn ask(readers: &mut Readers, now: Timestamp, after: u32, item: &str) {
    ask_for(readers, now, after, item, 900);
}

fn ask_for(readers: &mut Readers, now: Timestamp, after: u32, item: &str, wait_ms: u32) {
    let req = JobRequest { id: 7, job: "job-1".to_owned(), after, wait_ms, item: item.to_owned() };
    readers.ask(now, Question { from: "entry".into(), req });
}

fn owned_state(run: &JobRun) -> LocalJobState<'_> {
    LocalJobState { owned: Some(run), owner: None, prospect: ClaimProspect::Remote }
}

fn texts(replies: &[Reply]) -> Vec<Vec<String>> {
    let text = |content: &bytes::Bytes| String::from_utf8_lossy(content).into_owned();
    replies.iter().map(|it| it.answer.content.iter().map(text).collect()).collect()
}

/// Guards against results that are sent before they are stored, which another owner could contradict, and against a caller who
/// keeps waiting although there is a result.
#[test]
fn a_result_is_sent_as_soon_as_it_is_stored() {
    let (mut readers, mut run) = (Readers::default(), run(&["a", "b"]));
    finish(&mut run, 0, "first");
    run.commit(at(0), &Checkpoint::default()).expect("a result");
    ask(&mut readers, at(0), 0, "");
    assert!(readers.answer(at(500), |_| owned_state(&run)).is_empty(), "it is not stored yet");
    run.on_committed(Revision(6));
    let replies = readers.answer(at(600), |_| owned_state(&run));
    assert_eq!(texts(&replies), [[r#"{"id":"a","state":"completed","text":"first"}"#]]);
    assert_eq!((replies[0].answer.total, &*replies[0].to), (2, "entry"));
    assert!(!readers.has_waiting());
    ask(&mut readers, at(700), 1, "");
    assert!(readers.answer(at(1_599), |_| owned_state(&run)).is_empty());
    assert_eq!(
        texts(&readers.answer(at(1_600), |_| owned_state(&run))),
        [[""; 0]],
        "the wait is over"
    );
}

/// Guards against an outdated answer from an owner whose lease may have lapsed, while a newer owner has stored further results.
#[test]
fn a_daemon_whose_lease_may_have_lapsed_sends_no_results() {
    let mut readers = Readers::default();
    ask(&mut readers, at(0), 0, "");
    let unknown =
        |_: &JobId| LocalJobState { owned: None, owner: None, prospect: ClaimProspect::Remote };
    let replies = readers.answer(at(1), unknown);
    assert_eq!(replies[0].answer.status, i32::from(JobStatus::Unsure));
    ask(&mut readers, at(0), 0, "");
    let other = Name::from("other");
    let elsewhere = |_: &JobId| LocalJobState {
        owned: None,
        owner: Some(&other),
        prospect: ClaimProspect::Remote,
    };
    assert_eq!(readers.answer(at(1), elsewhere)[0].answer.owner, "other");
}

/// Guards against a read of the store for each question about a job that has just been accepted.
#[test]
fn a_question_about_a_job_that_is_about_to_be_claimed_waits() {
    let (mut readers, run) = (Readers::default(), run(&["a"]));
    let soon = |_: &JobId| LocalJobState { owned: None, owner: None, prospect: ClaimProspect::Due };
    ask(&mut readers, at(0), 0, "a");
    assert!(readers.answer(at(300), soon).is_empty());
    assert_eq!(texts(&readers.answer(at(310), |_| owned_state(&run))), [["body of a"]]);
    ask(&mut readers, at(400), 0, "");
    assert!(readers.answer(at(1_000), soon).is_empty());
    assert_eq!(readers.answer(at(1_200), soon)[0].answer.status, i32::from(JobStatus::Unsure));
}

/// Guards against a read of the store for each question about a finished job.
#[test]
fn questions_about_a_finished_job_are_answered_from_memory() {
    let (mut readers, mut run) = (Readers::default(), run(&["a"]));
    finish(&mut run, 0, "all");
    run.commit(at(0), &Checkpoint::default()).expect("a result");
    run.on_committed(Revision(6));
    readers.keep_ended(run);
    let unknown =
        |_: &JobId| LocalJobState { owned: None, owner: None, prospect: ClaimProspect::Remote };
    ask(&mut readers, at(0), 0, "");
    ask(&mut readers, at(0), 1, "");
    let replies = readers.answer(at(1), unknown);
    assert_eq!(texts(&replies).iter().map(Vec::len).collect::<Vec<_>>(), [1, 0]);
    assert!(replies.iter().all(|it| it.answer.status == i32::from(JobStatus::Known)));
}

/// Guards against a wait at each call about a job that ended before its owner restarted.
#[test]
fn a_job_that_stays_unknown_is_waited_for_once() {
    let mut readers = Readers::default();
    let unknown =
        |_: &JobId| LocalJobState { owned: None, owner: None, prospect: ClaimProspect::Unknown };
    ask(&mut readers, at(0), 0, "");
    assert!(readers.answer(at(300), unknown).is_empty(), "it may have been accepted just now");
    assert_eq!(readers.answer(at(700), unknown)[0].answer.status, i32::from(JobStatus::Unsure));
    ask(&mut readers, at(800), 0, "");
    assert_eq!(readers.answer(at(801), unknown)[0].answer.status, i32::from(JobStatus::Unsure));
    let due = |_: &JobId| LocalJobState { owned: None, owner: None, prospect: ClaimProspect::Due };
    ask(&mut readers, at(900), 0, "");
    assert!(readers.answer(at(901), due).is_empty(), "it was accepted after all");
}

/// Guards against an answer that arrives after the asking daemon has timed out and begun to read the store.
#[test]
fn a_question_about_an_unknown_job_is_answered_before_its_asker_gives_up() {
    let mut readers = Readers::default();
    let unknown =
        |_: &JobId| LocalJobState { owned: None, owner: None, prospect: ClaimProspect::Unknown };
    ask_for(&mut readers, at(0), 0, "a", 0);
    let before = at(0) + (ANSWER_TIMEOUT - Duration::from_millis(100));
    assert_eq!(readers.answer(before, unknown)[0].answer.status, i32::from(JobStatus::Unsure));
}
