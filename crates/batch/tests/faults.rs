//! Every fault at every call of a job, and tests of single failure scenarios.

mod common;

use std::time::Duration;

use batch::{
    Cancellation, ItemOutcome, JobState, Key, Phase, SegmentRecord, StoreAction, Submission,
    SubmissionAnswer, Value, run::MAX_HELD_BYTES,
};
use common::{Simulation, done, run, spec, store::Fault};
use stdx::Name;

/// The fault that is injected at one call of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
enum InjectedFault {
    Call(Fault),
    /// The instance crashes before the call takes effect.
    CrashBefore,
    /// The instance crashes after the call took effect.
    CrashAfter,
    /// The instance is paused past its lease after the call took effect.
    Pause,
}

/// Guards against a call at which a single fault loses or repeats work: each fault is injected at each call in turn.
#[test]
fn no_single_fault_breaks_a_job() {
    for is_idempotent in [true, false] {
        let instance_faults =
            [InjectedFault::CrashBefore, InjectedFault::CrashAfter, InjectedFault::Pause];
        for injected in Fault::ALL.map(InjectedFault::Call).into_iter().chain(instance_faults) {
            let calls_hit =
                (0..).take_while(|call| run_with_fault_at(*call, injected, is_idempotent)).count();
            assert!(calls_hit > 20, "{injected:?} was injected at only {calls_hit} calls");
        }
    }
}

/// Runs a job with a fault at the given call; returns whether the job makes that many calls.
fn run_with_fault_at(call: usize, injected: InjectedFault, is_idempotent: bool) -> bool {
    let mut sim = Simulation::new();
    let manifest = sim.accept("kigali/acme", 260, 86_400, is_idempotent);
    (0..2).for_each(|i| sim.start(i, 1));
    let mut calls = 0;
    while sim.manifest(&manifest).state != JobState::Ended {
        assert!(
            sim.time.as_micros() < 600_000_000,
            "{injected:?} at call {call}: the job did not end"
        );
        sim.update_leases();
        for i in 0..2 {
            let mut hit = false;
            let mut on_call = |_: &StoreAction| {
                calls += 1;
                hit |= calls == call + 1;
                match injected {
                    InjectedFault::Call(fault) if calls == call + 1 => fault,
                    InjectedFault::CrashBefore if calls == call + 1 => Fault::CallLost,
                    _ => Fault::None,
                }
            };
            sim.drive(i, &mut on_call, &mut |run| (500, done(run)));
            match injected {
                InjectedFault::CrashBefore | InjectedFault::CrashAfter if hit => {
                    sim.instances[i] = None
                }
                InjectedFault::Pause if hit => {
                    sim.instance(i).paused_until = sim.time + Duration::from_secs(15);
                }
                _ => {}
            }
        }
        // A delayed write takes effect some rounds later, possibly after its retry has taken effect.
        if sim.time.as_micros().is_multiple_of(1_750_000) {
            sim.store.deliver_delayed();
        }
        sim.advance(250);
    }
    let counts = sim.check_results(&manifest);
    let loses_incarnation = matches!(
        injected,
        InjectedFault::CrashBefore | InjectedFault::CrashAfter | InjectedFault::Pause
    );
    if is_idempotent || !loses_incarnation {
        assert_eq!(counts.done, 260, "{injected:?} at call {call}");
    }
    assert_eq!(counts.done + counts.unknown, 260, "{injected:?} at call {call}");
    calls > call
}

/// Guards against the loss of a job that only the acknowledging instance knew of.
#[test]
fn a_job_survives_its_instance_lost_right_after_acknowledging() {
    let mut sim = Simulation::new();
    let manifest = sim.accept("kigali/acme", 50, 86_400, true);
    sim.start(0, 1);
    let ended = sim.finish(&manifest);
    assert_eq!(ended.counts.map(|it| it.done), Some(50));
}

/// Guards against an index entry without a manifest that blocks a resend or is read forever.
#[test]
fn a_submission_interrupted_before_acceptance_can_be_resent_or_is_dropped() {
    let mut sim = Simulation::new();
    let file = sim.store_file("kigali/acme", 5);
    let spec = spec("kigali/acme", file, 60);
    let mut interrupted = Submission::new(spec.clone(), None, true);
    while sim.store.keys("open/").is_empty() {
        let action = interrupted.poll(sim.now()).expect("a call is due");
        let outcome = sim.store.call(&action, Fault::None);
        interrupted.on_outcome(sim.now(), outcome);
    }
    sim.start(0, 1);
    sim.rounds(50);
    assert_eq!(sim.store.keys("open/").len(), 1, "the submission may still be in progress");
    let SubmissionAnswer::Accepted(manifest) = sim.submit(spec, None, true) else {
        panic!("the resend was not accepted")
    };
    sim.finish(&manifest);

    let mut sim = Simulation::new();
    sim.store.set(&Key::OpenJob { job: interrupted.job().clone() }, Some(OPEN_JOB_ENTRY));
    sim.advance(2 * 3_600_000);
    sim.start(0, 1);
    sim.rounds(50);
    assert!(sim.store.keys("open/").is_empty(), "the entry must be removed after the window");
    // The interrupted submission continues: its manifest must not be created without an index entry.
    let action = interrupted.poll(sim.now()).expect("the manifest is due");
    let outcome = sim.store.call(&action, Fault::None);
    interrupted.on_outcome(sim.now(), outcome);
    assert_eq!(interrupted.answer(), Some(&SubmissionAnswer::Abandoned));
}

const OPEN_JOB_ENTRY: &str =
    "{\"account\":\"kigali/acme\",\"items\":5,\"deadline_ms\":1800000060000}";

/// Guards against commits of a previous owner after another owner has claimed the segment.
#[test]
fn the_commit_of_an_owner_paused_past_its_lease_fails() {
    let mut sim = Simulation::new();
    let manifest = sim.accept("kigali/acme", 40, 86_400, true);
    sim.start(0, 1);
    sim.rounds(12);
    assert_eq!(sim.instance(0).runners[0].phase(), Phase::Active);
    sim.instance(0).paused_until = sim.time + Duration::from_secs(8);
    sim.start(1, 1);
    sim.rounds(79);
    let taken = record(&sim, &manifest, 0);
    assert_eq!(taken.fence, 2, "the segment was taken over");
    sim.instance(0).paused_until = sim.time;
    let lost = (0..600).any(|_| {
        sim.round();
        sim.instance(0).runners.iter().any(|it| it.phase() == Phase::Lost)
    });
    sim.rounds(600);
    assert!(lost, "the commit of the previous owner must fail");
    assert_eq!(sim.check_results(&manifest).done, 40);
    let chunks = record(&sim, &manifest, 0).chunks.len();
    assert_eq!(sim.store.keys("jobs/").iter().filter(|it| it.contains("/result/")).count(), chunks);
}

/// Guards against the removal of committed result chunks: the commit took effect, its answer was lost, and the next
/// owner wrote its record before the commit was retried.
#[test]
fn results_of_a_commit_with_a_lost_answer_survive_a_takeover() {
    let mut sim = Simulation::new();
    let manifest = sim.accept("kigali/acme", 200, 86_400, true);
    sim.start(0, 1);
    let mut answer_lost = false;
    while !answer_lost {
        sim.update_leases();
        let mut on_call = |action: &StoreAction| {
            let is_commit =
                matches!(action, StoreAction::CompareAndSwap { key: Key::Segment { .. }, .. });
            answer_lost |= is_commit;
            if is_commit { Fault::AnswerLost } else { Fault::None }
        };
        sim.drive(0, &mut on_call, &mut |run| (200, done(run)));
        sim.advance(100);
    }
    assert!(!record(&sim, &manifest, 0).done.is_empty());
    sim.instance(0).paused_until = sim.time + Duration::from_secs(20);
    sim.start(1, 1);
    sim.rounds(120);
    assert_eq!(record(&sim, &manifest, 0).fence, 2);
    sim.instance(0).paused_until = sim.time;
    sim.finish(&manifest);
    sim.rounds(50);
    assert_eq!(sim.check_results(&manifest).done, 200);
}

/// Guards against unbounded memory in an outage of the key-value service, and against the loss of results in it.
#[test]
fn in_a_long_outage_results_wait_in_bounded_memory() {
    let mut sim = Simulation::new();
    let manifest = sim.accept("kigali/acme", 200, 86_400, true);
    sim.start(0, 1);
    sim.rounds(10);
    let mut large = |run: &batch::ItemRun| {
        let body = format!("{{\"run\":{},\"text\":\"{}\"}}", run.id.run, "x".repeat(200_000));
        (1_000, ItemOutcome::Done { status: 200, body: Value::from(body) })
    };
    let mut held = Vec::new();
    let before = sim.runs.len();
    for _ in 0..1_200 {
        sim.drive(0, &mut |_| Fault::Unavailable, &mut large);
        held.push(sim.instance(0).runners[0].held_bytes());
        sim.advance(100);
    }
    assert!(held.iter().all(|it| *it <= MAX_HELD_BYTES + 200 * 200), "the limit was exceeded");
    let runner = &sim.instance(0).runners[0];
    assert_eq!(runner.running(), 0, "no further items may start at the limit");
    assert!(runner.held_bytes() > MAX_HELD_BYTES / 2, "the limit was not reached");
    assert_eq!(runner.counts().ended(), 0);
    let ran = sim.runs.len() - before;
    assert!(ran <= MAX_HELD_BYTES / 200_000, "{ran} items ran in the outage");
    sim.finish(&manifest);
    assert_eq!(sim.check_results(&manifest).done, 200);
    assert!(
        sim.runs.values().all(|it| it.len() == 1),
        "the results from the outage must be committed"
    );
}

/// Guards against two jobs, or none, when a caller submits the same job through two instances at once.
#[test]
fn two_submissions_at_once_create_one_job() {
    // Bit `i` of `order` selects the submission that makes call `i`.
    for order in 0_u32..256 {
        for is_same in [true, false] {
            let mut sim = Simulation::new();
            let file = sim.store_file("kigali/acme", 5);
            let first = spec("kigali/acme", file, 60);
            let mut second = first.clone();
            second.window_s += u64::from(!is_same);
            let mut pair = [first, second].map(|it| Submission::new(it, Some("key"), true));
            for i in 0..16 {
                let turn = if i < 8 { order as usize >> i & 1 } else { i % 2 };
                let Some(action) = pair[turn].poll(sim.now()) else { continue };
                let outcome = sim.store.call(&action, Fault::None);
                pair[turn].on_outcome(sim.now(), outcome);
                sim.advance(1);
            }
            match pair.each_ref().map(|it| it.answer().expect("both are answered")) {
                [SubmissionAnswer::Accepted(a), SubmissionAnswer::Accepted(b)] => {
                    assert!(is_same && a == b)
                }
                [SubmissionAnswer::Accepted(_), SubmissionAnswer::Conflict]
                | [SubmissionAnswer::Conflict, SubmissionAnswer::Accepted(_)] => assert!(!is_same),
                other => panic!("order {order:b}: {other:?}"),
            }
            assert_eq!(sim.store.keys("open/").len(), 1);
        }
    }
}

/// Guards against an answer of "not run" although the manifest may have been created.
#[test]
fn a_submission_given_up_after_a_lost_answer_is_unknown() {
    for (fault, expected) in [
        (Fault::AnswerLost, batch::submit::AcceptanceStatus::Unknown),
        (Fault::CallLost, batch::submit::AcceptanceStatus::Unknown),
        (Fault::Unavailable, batch::submit::AcceptanceStatus::NotAccepted),
    ] {
        let mut sim = Simulation::new();
        let file = sim.store_file("kigali/acme", 5);
        let mut submission = Submission::new(spec("kigali/acme", file, 60), None, true);
        // The fourth call creates the manifest.
        for call in 1..=4 {
            let action = submission.poll(sim.now()).expect("a call is due");
            let outcome = sim.store.call(&action, if call == 4 { fault } else { Fault::None });
            submission.on_outcome(sim.now(), outcome);
        }
        assert_eq!(submission.give_up(), expected, "{fault:?}");
    }
}

/// Guards against a job that never ends because of one item, and against attempts that are lost in a takeover.
#[test]
fn an_item_that_can_never_be_done_ends_as_failed_after_three_attempts() {
    let mut sim = Simulation::new();
    let manifest = sim.accept("kigali/acme", 20, 86_400, true);
    let mut tries = 0;
    let mut rounds = 0;
    for i in 0..2 {
        sim.start(i, 1);
        while sim.manifest(&manifest).state != JobState::Ended && rounds < 400 * (i + 1) {
            let mut outcome = |run: &batch::ItemRun| match &*run.custom_id {
                "c000007" if i == 1 || tries < 2 => {
                    tries += 1;
                    (100, ItemOutcome::AttemptFailed { reason: Name::new("503 from target") })
                }
                // Preemptions are not counted as attempts.
                _ if run.id.run < 10 => (100, ItemOutcome::Yielded),
                "c000007" | "c000019" if i == 0 => (1_000_000, done(run)),
                _ => (100, done(run)),
            };
            sim.step(i, &mut outcome);
            rounds += 1;
        }
        if i == 0 {
            assert_eq!(record(&sim, &manifest, 0).attempts.get(&7), Some(&2));
            sim.instances[0] = None;
        }
    }
    assert_eq!(tries, 3);
    let counts = sim.check_results(&manifest);
    assert_eq!((counts.done, counts.failed), (19, 1));
    let errors = sim.read(&sim.manifest(&manifest), batch::ResultFile::Errors);
    assert_eq!(errors[0]["error"]["message"], "503 from target");
}

/// Guards against a cancellation that loses results, leaves the job open, or lets items start, in any round of a job.
#[test]
fn a_cancellation_at_any_moment_ends_the_job_and_every_item() {
    for is_idempotent in [true, false] {
        for rounds in 0..110 {
            let mut sim = Simulation::new();
            let manifest = sim.accept("kigali/acme", 520, 86_400, is_idempotent);
            (0..2).for_each(|i| sim.start(i, 1));
            sim.rounds(rounds);
            let mut cancellation =
                Cancellation::new(manifest.spec.account.clone(), manifest.job.clone());
            run!(cancellation, sim);
            assert!(cancellation.answer().is_some());
            let records = (0..3).filter_map(|n| find_record(&sim, &manifest, n));
            let committed: u64 = records.map(|it| it.counts().done).sum();
            let ended = sim.finish(&manifest);
            let counts = sim.check_results(&manifest);
            assert!(counts.done >= committed, "a committed result was lost");
            assert!(counts.done == 520 || ended.cancelled, "{counts:?}");
            let ran = sim.runs.len();
            sim.rounds(100);
            assert_eq!(sim.runs.len(), ran, "items ran after the end of the job");
        }
    }
}

/// Guards against a second run of an item that may have run, and against its job never ending.
#[test]
fn started_items_of_a_lost_owner_end_as_unknown() {
    let mut sim = Simulation::new();
    let manifest = sim.accept("kigali/acme", 40, 86_400, false);
    sim.start(0, 1);
    while sim.runs.is_empty() {
        sim.round();
    }
    let started = record(&sim, &manifest, 0).started;
    assert!(sim.runs.len() as u32 <= started.len(), "starts must be committed before dispatch");
    sim.instances[0] = None;
    sim.start(1, 1);
    sim.finish(&manifest);
    let counts = sim.check_results(&manifest);
    assert_eq!((counts.unknown, counts.done), (16, 24));
}

/// Guards against a drain that ends undispatched items as unknown or that takes until the lease lapses.
#[test]
fn a_release_gives_back_items_that_were_not_dispatched() {
    for is_idempotent in [true, false] {
        let mut sim = Simulation::new();
        let manifest = sim.accept("kigali/acme", 40, 86_400, is_idempotent);
        sim.start(0, 1);
        // At the end of this loop the runner has not received the outcome of the commit of the first starts.
        let has_starts = |it: SegmentRecord| !it.started.is_empty();
        while sim.runs.is_empty() && !find_record(&sim, &manifest, 0).is_some_and(has_starts) {
            sim.round();
        }
        let now = sim.now();
        sim.instance(0).runners[0].release(now);
        sim.instance(0).capacity = 0;
        sim.rounds(30);
        assert!(sim.instance(0).runners.is_empty());
        assert_eq!(record(&sim, &manifest, 0).owner, None);
        sim.start(1, 1);
        sim.finish(&manifest);
        assert_eq!(sim.check_results(&manifest).done, 40);
    }
}

/// Guards against outcomes of earlier dispatches that are accepted, and against a second run of non-idempotent items
/// whose answers were lost.
#[test]
fn stale_outcomes_are_ignored_and_lost_answers_end_as_unknown() {
    let mut sim = Simulation::new();
    let manifest = sim.accept("kigali/acme", 20, 86_400, false);
    sim.start(0, 1);
    for _ in 0..200 {
        let lost = ItemOutcome::Lost { reason: Name::new("connection closed") };
        sim.step(0, &mut |it| (50, if it.id.item < 5 { lost.clone() } else { done(it) }));
    }
    let counts = sim.check_results(&manifest);
    assert_eq!((counts.unknown, counts.done), (5, 15));

    let manifest = sim.accept("kigali/other", 1, 86_400, true);
    while sim.instance(0).runners.first().is_none_or(|it| it.running() == 0) {
        sim.step(0, &mut |run| (1_000_000, done(run)));
    }
    let now = sim.now();
    let runner = &mut sim.instance(0).runners[0];
    let first = batch::RunId { item: 0, run: 0 };
    runner.on_item(now, first, ItemOutcome::Yielded);
    let second = runner.take_item(now).expect("a preempted item may run again at once").id;
    runner.on_item(now, second, ItemOutcome::Lost { reason: Name::new("closed") });
    assert_eq!(runner.take_item(now), None, "a failed attempt must be followed by a delay");
    for id in [first, second] {
        runner.on_item(now, id, ItemOutcome::Failed { reason: Name::new("stale") });
    }
    let later = batch::Now { mono: now.mono + Duration::from_secs(5), ..now };
    assert!(runner.take_item(later).is_some(), "the item may run again after the delay");
    runner.on_item(now, second, ItemOutcome::Failed { reason: Name::new("stale") });
    assert_eq!(runner.running(), 1, "an outcome of an earlier run must not end this one");
    runner.abandon();
    assert_eq!(runner.take_cancelled().len(), 1, "a lapsed lease must stop the running item");
    assert_eq!((runner.phase(), manifest.items), (Phase::Lost, 1));
}

/// Guards against items that start after the job's window, and against a job that stays open after it.
#[test]
fn unfinished_items_expire_with_the_window() {
    let mut sim = Simulation::new();
    let manifest = sim.accept("kigali/acme", 600, 20, true);
    sim.start(0, 1);
    for _ in 0..400 {
        let is_over = sim.time.as_micros() >= 20_000_000;
        sim.step(0, &mut |run| {
            assert!(!is_over, "an item started after the window");
            (if run.id.item % 64 == 0 { 60_000 } else { 1_000 }, done(run))
        });
    }
    let counts = sim.check_results(&manifest);
    assert!(counts.done > 0 && counts.expired > 0 && counts.done + counts.expired == 600);
}

fn record(sim: &Simulation, manifest: &batch::JobManifest, n: u32) -> SegmentRecord {
    find_record(sim, manifest, n).expect("the segment was claimed")
}

fn find_record(sim: &Simulation, manifest: &batch::JobManifest, n: u32) -> Option<SegmentRecord> {
    let (account, job) = (manifest.spec.account.clone(), manifest.job.clone());
    let value = sim.store.get(&Key::Segment { account, job, n })?;
    Some(serde_json::from_str(&value).expect("records are JSON"))
}
