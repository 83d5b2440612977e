//! Tests of deaths of registered targets, which the target list confirms or an answer refutes.

use std::time::Duration;

use dispatch_support::{Bench, SECOND, dispatches, ids, online, refusals, service, target};
use policy::dispatch::{Action, Event, FailureCause, Reason, Request, Suspicion, TargetInfo};
use stdx::Name;

mod dispatch_support;

/// The time after which the list drops a target that is gone: three heartbeats of 1.2 s.
const LIST_EXPIRY: Duration = Duration::from_millis(3_600);

/// Guards against a verdict on harmless requests when a network cut ends the connections to many targets at once.
#[test]
fn deaths_of_many_registered_targets_at_once_prove_nothing_against_a_request() {
    let mut bench = registered(&["t1", "t2", "t3", "t4", "t5"]);
    for id in 1..=4 {
        bench.submit(online(id));
    }
    let mut actions = Vec::new();
    let mut again = Vec::new();
    for id in 1..=4 {
        let done = lose_connection(&mut bench, id);
        again.extend(ids(&done));
        actions.extend(done);
    }
    again.extend(ids(&bench.advance(SECOND / 2)));
    assert!(!again.is_empty(), "no request was placed again");
    for id in &again {
        actions.extend(lose_connection(&mut bench, *id));
    }
    let later = advance_answering_probes(&mut bench, 20 * SECOND);
    assert!(again.iter().all(|it| ids(&later).contains(it)), "{again:?} {:?}", ids(&later));
    actions.extend(later);
    let poisoned = refusals(&actions).into_iter().filter(|(_, it)| *it == Reason::Poison);
    assert_eq!(poisoned.count(), 0);
}

/// Guards against a third target that a poison request crashes while the list still names the first two.
#[test]
fn a_request_that_crashes_registered_targets_is_poison_once_the_list_drops_them() {
    let mut bench = registered(&["t1", "t2", "t3"]);
    let lost = lose_two_targets(&mut bench, online(1));
    let waiting = bench.advance(LIST_EXPIRY);
    assert_eq!((ids(&waiting), refusals(&waiting)), (vec![], vec![]));
    let mut actions = bench.set_targets(&without(&["t1", "t2", "t3"], &lost));
    actions.extend(bench.advance(SECOND / 10));
    assert_eq!(refusals(&actions), [(1, Reason::Poison)]);
    assert_eq!(refusals(&bench.submit(Request { id: 2, ..online(1) })), [(2, Reason::Poison)]);
}

/// Guards against a third target that a request crashes through an instance which sees a change of the list before the
/// instance that decides on the verdict does.
#[test]
fn an_instance_that_awaits_a_verdict_goes_on_waiting_after_the_list_has_dropped_the_targets() {
    let mut bench = registered(&["t1", "t2", "t3"]);
    let request = online(1);
    for target in ["t1", "t2"] {
        let (fingerprint, service) = (request.fingerprint, service());
        let death = Suspicion { fingerprint, service, target: target.into() };
        bench.event(Event::PoisonSuspicion(death));
    }
    bench.submit(request.clone());
    let mut actions = bench.advance(LIST_EXPIRY);
    actions.extend(bench.set_targets(&list(&["t3"])));
    actions.extend(bench.advance(SECOND * 2 / 5));
    assert_eq!((ids(&actions), refusals(&actions)), (vec![], vec![]));
    let verdict = Event::PoisonVerdict { fingerprint: request.fingerprint };
    assert_eq!(refusals(&bench.event(verdict)), [(1, Reason::Poison)]);
}

/// Guards against a harmless request that is refused for an hour because a network cut made the list drop live targets.
#[test]
fn a_verdict_is_lifted_when_a_target_whose_death_it_counts_answers_or_returns() {
    for answers in [true, false] {
        let mut bench = registered(&["t1", "t2", "t3"]);
        let lost = lose_two_targets(&mut bench, online(1));
        bench.advance(SECOND);
        for target in &lost {
            bench.probed(target, true);
        }
        let placed: Vec<_> =
            (10..22).flat_map(|id| dispatches(&bench.submit(online(id)))).collect();
        let running = placed.iter().find(|it| lost.contains(&it.1)).map(|it| it.0);
        bench.set_targets(&without(&["t1", "t2", "t3"], &lost));
        assert_eq!(refusals(&bench.advance(SECOND / 2)), [(1, Reason::Poison)]);
        let actions = match answers {
            true => {
                let id = running.expect("a request runs on a target that counts as dead");
                bench.event(Event::FirstByte { id })
            }
            false => bench.set_targets(&list(&["t1", "t2", "t3"])),
        };
        let lifted = |it: &Action| matches!(it, Action::LiftVerdict { .. });
        assert!(actions.iter().any(lifted), "{actions:?}");
        assert_eq!(refusals(&bench.submit(Request { id: 2, ..online(1) })), []);
    }
}

/// Guards against an answer that was already on its way when its target died and that refutes the death nevertheless.
#[test]
fn an_answer_to_an_earlier_attempt_does_not_refute_a_death() {
    let mut bench = registered(&["t1", "t2", "t3"]);
    let early = dispatches(&bench.submit(online(7)));
    bench.advance(SECOND / 10);
    let lost = lose_two_targets(&mut bench, online(1));
    bench.event(Event::FirstByte { id: 7 });
    bench.complete(7);
    bench.set_targets(&without(&["t1", "t2", "t3"], &lost));
    assert_eq!(refusals(&bench.advance(SECOND / 2)), [(1, Reason::Poison)], "{early:?} {lost:?}");
}

/// Guards against a request that waits for the target list past its deadline instead of being answered at once.
#[test]
fn a_request_whose_deadline_comes_before_the_confirmation_is_answered_at_once() {
    let mut bench = registered(&["t1", "t2", "t3"]);
    let deadline = bench.now + 2 * SECOND;
    let mut actions = Vec::new();
    bench.submit(Request { deadline, ..online(1) });
    for _ in 0..2 {
        actions.extend(lose_connection(&mut bench, 1));
        actions.extend(bench.advance(SECOND / 5));
    }
    assert_eq!(refusals(&actions), [(1, Reason::TargetFailed)]);
}

fn registered(names: &[&str]) -> Bench {
    Bench::new(&list(names))
}

fn list(names: &[&str]) -> Vec<TargetInfo> {
    names.iter().map(|it| TargetInfo { registered: true, ..target(it, "z1", 4) }).collect()
}

fn without(names: &[&str], gone: &[Name]) -> Vec<TargetInfo> {
    list(names).into_iter().filter(|it| !gone.contains(&it.name)).collect()
}

fn lose_connection(bench: &mut Bench, id: u64) -> Vec<Action> {
    bench.event(Event::FailedAfterSend { id, cause: FailureCause::ConnectionLost })
}

/// Lets time pass while every target answers its probes.
fn advance_answering_probes(bench: &mut Bench, duration: Duration) -> Vec<Action> {
    let end = bench.now + duration;
    let mut actions = Vec::new();
    while bench.now < end {
        let mut done = bench.advance(SECOND / 20);
        let probed = done.iter().filter_map(|it| match it {
            Action::Probe { target, .. } => Some(target.clone()),
            _ => None,
        });
        for target in probed.collect::<Vec<_>>() {
            done.extend(bench.probed(&target, true));
        }
        actions.extend(done);
    }
    actions
}

/// Submits a request whose connections to two targets break, and returns those targets.
fn lose_two_targets(bench: &mut Bench, request: Request) -> Vec<Name> {
    let id = request.id;
    let mut placed = dispatches(&bench.submit(request));
    placed.extend(dispatches(&lose_connection(bench, id)));
    placed.extend(dispatches(&bench.advance(SECOND / 5)));
    lose_connection(bench, id);
    assert_eq!(placed.len(), 2, "{placed:?}");
    placed.into_iter().map(|it| it.1).collect()
}
