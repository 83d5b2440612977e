//! Tests of attempts: what counts as one, how many a request gets, and whether a retry follows.

mod dispatch_support;

use std::time::Duration;

use dispatch_support::{Bench, SECOND, batch, dispatches, online, refusals, target};
use policy::dispatch::{
    Action, Event, Execution, FailureCause, HealthState, NotRunCause, Reason, Request, TargetInfo,
};

use stdx::Name;

fn three_targets() -> [TargetInfo; 3] {
    ["t1", "t2", "t3"].map(|it| target(it, "z1", 4))
}

fn not_run(id: u64, cause: NotRunCause) -> Event {
    Event::NotRun { id, cause }
}

fn failed(id: u64, cause: FailureCause) -> Event {
    Event::FailedAfterSend { id, cause }
}

fn execution(actions: &[Action]) -> Option<Execution> {
    actions.iter().find_map(|it| match it {
        Action::Refuse { refusal, .. } => Some(refusal.execution),
        _ => None,
    })
}

// Guards against a refusal by a target that uses up the only attempt of a request that must not run twice.
#[test]
fn a_request_that_a_target_refused_is_placed_elsewhere_and_has_all_its_attempts() {
    let mut bench = Bench::new(&three_targets());
    let once = Request { idempotent: false, max_attempts: 1, ..online(1) };
    let mut tried = vec![dispatches(&bench.submit(once))[0].1.clone()];
    for _ in 0..2 {
        let placed = dispatches(&bench.event(not_run(1, NotRunCause::Full)));
        tried.push(placed[0].1.clone());
    }
    tried.sort();
    assert_eq!(
        tried,
        ["t1", "t2", "t3"].map(Name::new),
        "a target without room is not chosen again for a while"
    );
    let actions = bench.event(failed(1, FailureCause::AnswerLost));
    assert_eq!(refusals(&actions), [(1, Reason::TargetFailed)]);
    assert_eq!(execution(&actions), Some(Execution::Unknown));
}

// Guards against a request that is passed from one full target to the next without end.
#[test]
fn a_request_that_every_target_refuses_is_refused_as_not_run() {
    let mut bench = Bench::new(&three_targets());
    bench.submit(online(1));
    let mut actions = Vec::new();
    for _ in 0..20 {
        actions.extend(bench.event(not_run(1, NotRunCause::Full)));
        actions.extend(bench.advance(Duration::from_millis(100)));
    }
    assert_eq!(refusals(&actions), [(1, Reason::QueueFull)]);
    assert_eq!(execution(&actions), Some(Execution::NotRun));
}

// Guards against requests that are still sent to an address at which another target listens now.
#[test]
fn a_target_that_was_replaced_takes_no_more_work() {
    let mut bench = Bench::new(&[target("t1", "z1", 4)]);
    bench.submit(online(1));
    bench.event(not_run(1, NotRunCause::Replaced));
    assert_eq!(bench.health("t1"), HealthState::HeldDown);
}

// Guards against more runs than the route allows.
#[test]
fn a_request_runs_on_as_many_targets_as_it_may() {
    let mut bench = Bench::new(&three_targets());
    let twice = Request { max_attempts: 2, ..online(1) };
    assert_eq!(dispatches(&bench.submit(twice)).len(), 1);
    assert_eq!(dispatches(&bench.event(failed(1, FailureCause::BadAnswer))).len(), 1);
    let actions = bench.event(failed(1, FailureCause::BadAnswer));
    assert_eq!(refusals(&actions), [(1, Reason::TargetFailed)]);
}

// Guards against a stream that is ended although another target may continue it, or that is continued although no
// other target may do so.
#[test]
fn only_a_resumable_request_is_retried_after_the_first_byte_of_its_answer() {
    let mut bench = Bench::new(&three_targets());
    for (id, resumable) in [(1, true), (2, false)] {
        bench.submit(Request { resumable, max_attempts: 2, ..online(id) });
        bench.event(Event::FirstByte { id });
        let actions = bench.event(failed(id, FailureCause::AnswerLost));
        assert_eq!(dispatches(&actions).len(), usize::from(resumable), "request {id}");
    }
}

// Guards against a target that is held down, or a request that is refused as poison, because single answers get lost.
#[test]
fn lost_answers_of_a_live_target_make_no_request_a_suspect() {
    let mut bench = Bench::new(&[target("t1", "z1", 4)]);
    for id in 0..3 {
        bench.submit(Request { idempotent: false, ..online(id) });
        bench.event(failed(id, FailureCause::AnswerLost));
    }
    assert_eq!(bench.health("t1"), HealthState::Up);
    assert_eq!(dispatches(&bench.submit(online(9))).len(), 1);
}

// Guards against a probe of each new registered target by each daemon, and against a registered target that gets no work
// before a probe.
#[test]
fn a_registered_target_takes_work_at_once_and_its_changes_of_health_are_reported() {
    let registered = TargetInfo { registered: true, ..target("t1", "z1", 4) };
    let mut bench = Bench::new(&[]);
    let actions = bench.set_targets(&[registered]);
    assert!(!actions.iter().any(|it| matches!(it, Action::Probe { .. })), "{actions:?}");
    for id in 0..3 {
        assert_eq!(dispatches(&bench.submit(online(id))).len(), 1, "request {id}");
    }
    bench.event(failed(0, FailureCause::ConnectionLost));
    let reported = bench.advance(SECOND / 10);
    let is_reported =
        |it: &Action| matches!(it, Action::HealthChanged { health: HealthState::HeldDown, .. });
    assert!(reported.iter().any(is_reported), "{reported:?}");
}

// Guards against a verdict on innocent requests when a cut network ends the connections to many targets at once.
#[test]
fn deaths_of_many_targets_at_once_prove_nothing_against_a_request() {
    let names = ["t1", "t2", "t3", "t4", "t5"];
    let mut bench = Bench::new(&names.map(|it| target(it, "z1", 1)));
    let mut on: Vec<(u64, Name)> = Vec::new();
    for id in 1..=4 {
        on.extend(dispatches(&bench.submit(online(id))));
    }
    let mut actions = Vec::new();
    let mut strike = |bench: &mut Bench, id: u64| {
        let done = bench.event(failed(id, FailureCause::ConnectionLost));
        let placed = dispatches(&done);
        actions.extend(done);
        placed
    };
    let mut again = Vec::new();
    for id in 1..=4 {
        again.extend(strike(&mut bench, id));
    }
    for _ in 0..10 {
        let done = bench.advance(Duration::from_millis(50));
        again.extend(dispatches(&done));
    }
    for (id, _) in again {
        strike(&mut bench, id);
    }
    actions.extend(bench.advance(3 * SECOND));
    let poisoned = refusals(&actions).into_iter().filter(|(_, it)| *it == Reason::Poison);
    assert_eq!(poisoned.count(), 0);
}

// Guards against an item of a job that isolation or a verdict keeps from free targets because targets crashed under it.
#[test]
fn a_harmless_request_is_placed_again_after_any_number_of_crashes() {
    const CRASHES: u64 = 7;
    let names: Vec<String> = (0..=CRASHES).map(|it| format!("t{it}")).collect();
    let targets: Vec<_> = names.iter().map(|it| target(it, "z1", 4)).collect();
    let mut bench = Bench::new(&targets);
    let item = |id| Request { harmless: true, fingerprint: [7; 32], ..batch(id) };
    let mut id = 1;
    let mut placed = dispatches(&bench.submit(item(id)));
    for n in 0..CRASHES {
        assert_eq!(placed.len(), 1, "after {n} crashes: {placed:?}");
        let actions = bench.event(failed(id, FailureCause::Crashed));
        placed = dispatches(&actions);
        match refusals(&actions)[..] {
            [] => {}
            // The owner of an item submits it again.
            [(_, Reason::RetryBudget)] => {
                id += 1;
                placed = dispatches(&bench.submit(item(id)));
            }
            ref refused => panic!("after {n} crashes: {refused:?}"),
        }
    }
}
