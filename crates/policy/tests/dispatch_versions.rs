//! Tests of targets of several software versions, whose output does not fit together.

use policy::dispatch::{Event, FailureCause, Reason, Request, TargetInfo};

mod dispatch_support;
use dispatch_support::{
    Bench, SECOND, batch, dispatches, for_account, ids, online, refusals, target,
};

fn of_version(name: &str, failure_domain: &str, version: &str) -> TargetInfo {
    TargetInfo { registered: true, version: version.into(), ..target(name, failure_domain, 1) }
}

fn stream(id: u64) -> Request {
    Request { resumable: true, ..online(id) }
}

/// Lets a request begin its answer and break.
fn break_stream(bench: &mut Bench, id: u64) -> Vec<policy::dispatch::Action> {
    bench.event(Event::Started { id });
    bench.event(Event::FirstByte { id });
    bench.event(Event::OutputBegun { id });
    bench.event(Event::FailedAfterSend { id, cause: FailureCause::AnswerLost })
}

// Guards against an answer that goes on at another version, and against a stream that breaks although its version serves elsewhere.
#[test]
fn a_stream_with_output_goes_on_at_its_version_also_in_another_failure_domain() {
    let mut bench = Bench::new(&[of_version("t1", "z1", "v1")]);
    assert_eq!(ids(&bench.submit(stream(1))), [1]);
    let targets =
        [of_version("t1", "z1", "v1"), of_version("t2", "z1", "v2"), of_version("t3", "z2", "v1")];
    bench.set_targets(&[
        TargetInfo { leaving: true, ..targets[0].clone() },
        targets[1].clone(),
        TargetInfo { concurrency: 4, ..targets[2].clone() },
    ]);
    let actions = break_stream(&mut bench, 1);
    assert_eq!(dispatches(&actions), [(1, "t3".into())], "{actions:?}");
}

// Guards against a stream that is bound to a version before its caller has got any of it.
#[test]
fn a_stream_without_output_may_start_at_another_version() {
    let mut bench = Bench::new(&[of_version("t1", "z1", "v1")]);
    bench.submit(stream(1));
    bench.set_targets(&[of_version("t2", "z1", "v2")]);
    bench.event(Event::FirstByte { id: 1 });
    let failed = Event::FailedAfterSend { id: 1, cause: FailureCause::AnswerLost };
    assert_eq!(dispatches(&bench.event(failed)), [(1, "t2".into())]);
}

// Guards against a caller who waits for a version that has left, when it breaks, while it waits and when it is taken up.
#[test]
fn a_request_whose_version_has_left_is_refused_at_once() {
    let mut bench = Bench::new(&[of_version("t1", "z1", "v1"), of_version("t2", "z1", "v2")]);
    let taken_up = |id| Request { version: Some("v1".into()), ..stream(id) };
    assert_eq!(dispatches(&bench.submit(taken_up(1))), [(1, "t1".into())]);
    assert!(bench.submit(taken_up(2)).is_empty(), "the second one waits");
    bench.set_targets(&[of_version("t2", "z1", "v2")]);
    assert_eq!(refusals(&bench.advance(SECOND)), [(2, Reason::NoTargetOfVersion)]);
    assert_eq!(refusals(&break_stream(&mut bench, 1)), [(1, Reason::NoTargetOfVersion)]);
    assert_eq!(refusals(&bench.submit(taken_up(3))), [(3, Reason::NoTargetOfVersion)]);
    assert_eq!(dispatches(&bench.submit(stream(4))), [(4, "t2".into())]);
}

// Guards against requests that wait behind a stream which waits for a target of its version.
#[test]
fn a_request_that_waits_for_a_version_does_not_block_other_accounts() {
    let mut bench = Bench::new(&[of_version("t1", "z1", "v1"), of_version("t2", "z1", "v2")]);
    let of_v1 = |id| Request { version: Some("v1".into()), ..stream(id) };
    bench.submit(of_v1(1));
    assert!(ids(&bench.submit(of_v1(2))).is_empty());
    let other = for_account("b", online(3));
    assert_eq!(dispatches(&bench.submit(other)), [(3, "t2".into())]);
    assert_eq!(dispatches(&bench.complete(1)), [(2, "t1".into())]);
}

// Guards against an entry whose version changes while a request runs there, and against versions that only look alike.
#[test]
fn the_version_at_the_dispatch_counts_and_names_are_compared_exactly() {
    let mut bench = Bench::new(&[of_version("t1", "z1", "v1")]);
    bench.submit(stream(1));
    bench.set_targets(&[of_version("t1", "z1", "V1"), of_version("t2", "z1", "v1 ")]);
    assert_eq!(refusals(&break_stream(&mut bench, 1)), [(1, Reason::NoTargetOfVersion)]);
}

// Guards against a batch request that is continued at another version, or waits for one that has left.
#[test]
fn batch_requests_go_on_at_their_version_only() {
    let mut bench = Bench::new(&[
        TargetInfo { concurrency: 4, ..of_version("t1", "z1", "v1") },
        TargetInfo { concurrency: 4, ..of_version("t2", "z1", "v2") },
    ]);
    let of = |id, version: &str| Request { version: Some(version.into()), ..batch(id) };
    bench.advance(SECOND);
    assert_eq!(dispatches(&bench.submit(of(1, "v2"))), [(1, "t2".into())]);
    assert_eq!(refusals(&bench.submit(of(2, "v0"))), [(2, Reason::NoTargetOfVersion)]);
}
