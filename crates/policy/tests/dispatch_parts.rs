//! Tests of prompt parts that crash each target which begins to answer on them.

use std::time::Duration;

use dispatch_support::{Bench, SECOND, dispatches, online, refusals, target};
use policy::dispatch::{Action, Event, FailureCause, PartId, Reason, Request, Settings};
use stdx::Name;

mod dispatch_support;

const DEADLY: PartId = PartId(1);
const SHARED: PartId = PartId(2);
/// The crashes that the platform's users accept before the part is refused.
const ACCEPTED_CRASHES: usize = 5;

fn with_parts(id: u64, parts: &[PartId]) -> Request {
    Request { shared_parts: parts.to_vec(), max_attempts: 1, ..online(id) }
}

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|it| Name::from(format!("t{it}"))).collect()
}

fn bench(targets: usize) -> Bench {
    let targets: Vec<_> = names(targets).iter().map(|it| target(it, "z1", 8)).collect();
    Bench::new(&targets)
}

/// Submits a request that crashes its target; returns whether it was dispatched.
fn crash(bench: &mut Bench, request: Request) -> bool {
    let id = request.id;
    let actions = bench.submit(request);
    if dispatches(&actions).is_empty() {
        return false;
    }
    bench.event(Event::Started { id });
    bench.event(Event::FirstByte { id });
    bench.event(Event::FailedAfterSend { id, cause: FailureCause::Crashed });
    bench.advance(SECOND);
    true
}

fn answer(bench: &mut Bench, request: Request) -> Vec<Action> {
    let id = request.id;
    let mut actions = bench.submit(request);
    actions.extend(bench.event(Event::OutputBegun { id }));
    actions.extend(bench.complete(id));
    actions
}

/// Guards against requests with one part of a prompt that crash target after target, since no two of them are alike.
#[test]
fn requests_that_share_a_part_which_crashes_targets_are_refused_after_a_few_crashes() {
    let mut bench = bench(40);
    let crashes =
        (0..30).filter(|id| crash(&mut bench, with_parts(*id, &[SHARED, DEADLY]))).count();
    assert!(crashes <= ACCEPTED_CRASHES, "{crashes} targets crashed");
    let refused = bench.submit(with_parts(100, &[DEADLY]));
    assert_eq!(refusals(&refused), [(100, Reason::PoisonPart)]);
    let sound = answer(&mut bench, with_parts(101, &[SHARED, PartId(7)]));
    assert_eq!(refusals(&sound), [], "the other part is not refused");
}

/// Guards against a part that is refused because it was in flight on targets that other requests crashed.
#[test]
fn a_part_on_which_targets_answer_is_not_refused() {
    let mut bench = bench(40);
    for id in 0..30 {
        crash(&mut bench, with_parts(id, &[SHARED, PartId(100 + id)]));
        let sound = answer(&mut bench, with_parts(1_000 + id, &[SHARED, PartId(7)]));
        assert_eq!(refusals(&sound), []);
    }
}

/// Guards against a part that is refused because a failure domain or a rack failed.
#[test]
fn simultaneous_crashes_of_many_targets_prove_nothing_against_a_part() {
    let mut bench = bench(20);
    for id in 0..10 {
        bench.submit(with_parts(id, &[SHARED, PartId(100 + id)]));
    }
    for id in 0..10 {
        bench.event(Event::FailedAfterSend { id, cause: FailureCause::Crashed });
    }
    let sound = answer(&mut bench, with_parts(50, &[SHARED, PartId(7)]));
    assert_eq!(refusals(&sound), []);
}

/// Guards against a network partition that is taken for crashes.
#[test]
fn broken_connections_prove_nothing_against_a_part() {
    let mut bench = bench(20);
    for id in 0..8 {
        bench.submit(with_parts(id, &[DEADLY]));
        bench.event(Event::FailedAfterSend { id, cause: FailureCause::ConnectionLost });
        bench.advance(SECOND);
    }
    assert_eq!(refusals(&answer(&mut bench, with_parts(50, &[DEADLY]))), []);
}

/// Guards against callers who lose answers on their way because a part of their prompts is condemned meanwhile.
#[test]
fn answers_that_have_begun_end_although_a_part_is_condemned_and_do_not_start_again() {
    let mut bench = bench(40);
    let broken = Request { max_attempts: 3, resumable: true, ..with_parts(1_001, &[DEADLY]) };
    let answering = [with_parts(1_000, &[DEADLY]), broken];
    for request in answering {
        let id = request.id;
        bench.submit(request);
        for event in [Event::Started { id }, Event::FirstByte { id }, Event::OutputBegun { id }] {
            bench.event(event);
        }
    }
    for target in names(40).into_iter().rev().take(ACCEPTED_CRASHES) {
        let actions = bench.event(Event::PartCrash { target, parts: vec![DEADLY] });
        assert_eq!(refusals(&actions), []);
        bench.advance(SECOND);
    }
    let refused = bench.submit(with_parts(1, &[DEADLY]));
    assert_eq!(refusals(&refused), [(1, Reason::PoisonPart)]);
    let broken = Event::FailedAfterSend { id: 1_001, cause: FailureCause::ConnectionLost };
    assert_eq!(refusals(&bench.event(broken)), [(1_001, Reason::PoisonPart)]);
    assert_eq!(refusals(&bench.complete(1_000)), []);
}

/// Guards against a part that is refused for ever, and against many requests that try it again at once.
#[test]
fn a_refused_part_is_tried_by_one_request_later_and_comes_back_when_targets_answer() {
    let mut bench = bench(40);
    for id in 0..10 {
        crash(&mut bench, with_parts(id, &[DEADLY]));
    }
    bench.advance(60 * SECOND);
    assert!(crash(&mut bench, with_parts(20, &[DEADLY])), "one request tries the part");
    assert!(!crash(&mut bench, with_parts(21, &[DEADLY])), "the crash renews the verdict");
    bench.advance(60 * SECOND * 2);
    let trial = bench.submit(with_parts(22, &[DEADLY]));
    assert_eq!(dispatches(&trial).len(), 1);
    let other = bench.submit(with_parts(23, &[DEADLY]));
    assert_eq!(refusals(&other), [(23, Reason::PoisonPart)], "one request at a time");
    let lifted = bench.event(Event::OutputBegun { id: 22 });
    assert!(lifted.contains(&Action::LiftPartVerdict { part: DEADLY }), "{lifted:?}");
    assert_eq!(refusals(&answer(&mut bench, with_parts(24, &[DEADLY]))), []);
}

/// Guards against a part that stays refused because the request that tries it broke off for another reason and was not sent again.
#[test]
fn a_request_that_tries_a_refused_part_is_sent_again_after_its_connection_broke() {
    let mut bench = bench(40);
    for id in 0..10 {
        crash(&mut bench, with_parts(id, &[DEADLY]));
    }
    bench.advance(60 * SECOND);
    let trial = Request { max_attempts: 3, ..with_parts(20, &[DEADLY]) };
    assert_eq!(dispatches(&bench.submit(trial)).len(), 1);
    bench.event(Event::Started { id: 20 });
    let broken = Event::FailedAfterSend { id: 20, cause: FailureCause::ConnectionLost };
    assert_eq!(dispatches(&bench.event(broken)).len(), 1);
}

/// Guards against instances that each need crashes of their own, and against a restarted one that has forgotten the verdict.
#[test]
fn crashes_and_verdicts_of_peers_count() {
    let mut bench = bench(10);
    for target in names(3) {
        bench.event(Event::PartCrash { target, parts: vec![SHARED, DEADLY] });
        bench.advance(SECOND);
    }
    let refused = bench.submit(with_parts(1, &[DEADLY]));
    assert_eq!(refusals(&refused), [(1, Reason::PoisonPart)]);
    bench.event(Event::PartVerdict { part: PartId(9), lifetime: Duration::from_secs(20) });
    let refused = bench.submit(with_parts(2, &[PartId(9)]));
    assert_eq!(refusals(&refused), [(2, Reason::PoisonPart)]);
    bench.event(Event::ClearedParts(vec![PartId(9)]));
    assert_eq!(refusals(&answer(&mut bench, with_parts(3, &[PartId(9)]))), []);
}

/// Guards against evidence without end while each crash brings new parts.
#[test]
fn the_parts_that_are_remembered_are_bounded() {
    let mut bench = Bench::with(
        Settings { max_verdicts: 8, ..Settings::new("d0".into(), "z1".into()) },
        &[target("t", "z1", 8)],
    );
    for n in 0..100 {
        bench.event(Event::PartCrash { target: "t".into(), parts: vec![PartId(n)] });
        bench.event(Event::PartVerdict { part: PartId(1_000 + n), lifetime: SECOND });
    }
    let refused = (0..100).filter(|n| {
        let actions = bench.submit(with_parts(500 + n, &[PartId(1_000 + n)]));
        refusals(&actions).iter().any(|it| it.1 == Reason::PoisonPart)
    });
    assert_eq!(refused.count(), 8);
}
