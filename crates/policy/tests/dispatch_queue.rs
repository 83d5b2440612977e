//! Tests of queueing, fairness, refusal and batch preemption.

mod dispatch_support;

use std::{collections::BTreeMap, time::Duration};

use dispatch_support::{
    Bench, SECOND, account, batch, dispatches, for_account, ids, online, refusals, service,
    stopped, target,
};
use policy::dispatch::{Action, Event, Execution, Reason, Request, Settings};
use stdx::{Name, Timestamp};

// Guards against an account that is served more because it sends more requests, and against weights without effect.
#[test]
fn accounts_are_served_by_weight() {
    let mut bench = Bench::new(&[target("t1", "z1", 1)]);
    bench.submit(online(0));
    for id in 1..=60 {
        bench.submit(for_account("many", online(id)));
    }
    for id in 101..=130 {
        bench.submit(for_account("few", Request { weight: 2, ..online(id) }));
    }
    let (mut done, mut few) = (0, 0);
    for _ in 0..30 {
        few += u32::from(done > 100);
        done = ids(&bench.complete(done))[0];
    }
    assert!((19..=21).contains(&few), "weight 2 of 3 got {few} of 30");
}

// Guards against an account with large requests that gets more than its share because their cost is underestimated.
#[test]
fn the_actual_cost_replaces_the_estimate() {
    let mut bench = Bench::new(&[target("t1", "z1", 1)]);
    bench.submit(online(0));
    for id in 1..=9 {
        bench.submit(for_account(if id % 2 == 1 { "large" } else { "small" }, online(id)));
    }
    assert_eq!(ids(&bench.complete(0)), [1]);
    let actions = bench.event(Event::Completed { id: 1, tokens: Some(350) });
    assert_eq!(ids(&actions), [2]);
    assert_eq!(ids(&bench.complete(2)), [4], "the account of the large request is served later");
    assert_eq!(ids(&bench.complete(4)), [6]);
}

// Guards against unbounded memory, and against a full queue that refuses requests of accounts which hold little of it.
#[test]
fn a_full_queue_pushes_out_its_largest_holder() {
    let settings = Settings {
        max_queued: 4,
        max_queued_per_account: 3,
        ..Settings::new("d0".into(), "z1".into())
    };
    let mut bench = Bench::with(settings, &[target("t1", "z1", 1)]);
    for id in 0..=3 {
        bench.submit(online(id));
    }
    assert_eq!(refusals(&bench.submit(online(4))), [(4, Reason::QueueFull)]);
    assert_eq!(refusals(&bench.submit(for_account("b", online(5)))), []);
    assert_eq!(refusals(&bench.submit(for_account("c", online(6)))), [(3, Reason::QueueFull)]);
    assert_eq!(refusals(&bench.submit(for_account("c", online(7)))), [(7, Reason::QueueFull)]);
}

// Guards against few requests whose large bodies exhaust the memory.
#[test]
fn waiting_bytes_are_bounded() {
    let settings = Settings { max_queued_bytes: 1_000, ..Settings::new("d0".into(), "z1".into()) };
    let mut bench = Bench::with(settings, &[target("t1", "z1", 1)]);
    bench.submit(online(0));
    assert_eq!(refusals(&bench.submit(Request { bytes: 900, ..online(1) })), []);
    let actions = bench.submit(Request { bytes: 101, ..online(2) });
    assert_eq!(refusals(&actions), [(2, Reason::QueueFull)]);
}

// Guards against a request that is queued although it cannot start before its deadline.
#[test]
fn a_wait_past_the_deadline_is_refused_at_once_as_not_run() {
    let mut bench = Bench::new(&[target("t1", "z1", 1)]);
    bench.submit(online(0));
    bench.advance(SECOND);
    bench.complete(0);
    bench.submit(online(1));
    bench.submit(online(2));
    let deadline = bench.now + Duration::from_millis(900);
    let actions = bench.submit(Request { deadline, ..online(3) });
    let [Action::Refuse { id: 3, refusal }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!((refusal.reason, refusal.execution), (Reason::WaitTooLong, Execution::NotRun));
    assert!(refusal.retry_after >= SECOND);
}

// Guards against a wait estimate that is not corrected when targets slow down.
#[test]
fn a_waiting_request_is_refused_when_its_estimate_passes_the_deadline() {
    let mut bench = Bench::new(&[target("t1", "z1", 1)]);
    bench.submit(online(0));
    let deadline = bench.now + SECOND * 10;
    for id in 1..=3 {
        bench.submit(Request { deadline, ..online(id) });
    }
    bench.advance(SECOND * 6);
    bench.complete(0);
    let actions = bench.advance(Duration::from_millis(50));
    assert_eq!(refusals(&actions), [(3, Reason::WaitTooLong)]);
}

// Guards against online requests that wait for batch requests, and against a preemption that counts as a failed attempt.
#[test]
fn batch_yields_to_an_online_burst_and_runs_again_later() {
    let mut bench = Bench::new(&[target("t1", "z1", 3)]);
    assert_eq!(ids(&bench.submit(batch(1))), [1]);
    bench.advance(SECOND);
    assert_eq!(ids(&bench.submit(batch(2))), [2]);
    assert_eq!(ids(&bench.submit(batch(3))), [0u64; 0], "one slot is left free");
    assert_eq!(ids(&bench.submit(online(10))), [10]);
    assert_eq!(stopped(&bench.submit(online(11))), [2], "the newest batch request stops");
    assert_eq!(ids(&bench.event(Event::Yielded { id: 2 })), [11]);
    bench.complete(10);
    let actions = bench.complete(11);
    let again = actions.iter().find(|it| matches!(it, Action::Dispatch { id: 2, .. }));
    assert!(matches!(again, Some(Action::Dispatch { attempt: 1, .. })), "{actions:?}");
}

// Guards against an account that is charged for the work that a preemption discarded.
#[test]
fn a_yield_does_not_cost_the_account_its_turn() {
    let mut bench = Bench::new(&[target("t1", "z1", 2)]);
    assert_eq!(ids(&bench.submit(for_account("a", batch(1)))), [1]);
    bench.submit(for_account("b", batch(2)));
    bench.submit(online(10));
    assert_eq!(stopped(&bench.submit(online(11))), [1]);
    assert_eq!(ids(&bench.event(Event::Yielded { id: 1 })), [11]);
    bench.complete(10);
    assert_eq!(ids(&bench.complete(11)), [1]);
}

// Guards against online requests that wait for batch requests of peers.
#[test]
fn online_goes_ahead_of_the_batch_work_of_peers_which_stop_it() {
    let mut bench = Bench::new(&[target("t1", "z1", 4)]);
    bench.peer("t1", 0, 4, 0);
    assert_eq!(ids(&bench.submit(online(1))), [1]);

    let mut peer = Bench::new(&[target("t1", "z1", 4)]);
    for id in 1..=3 {
        peer.submit(batch(id));
        peer.advance(SECOND);
    }
    assert_eq!(stopped(&peer.peer("t1", 1, 0, 0)), [0u64; 0]);
    assert_eq!(stopped(&peer.peer("t1", 3, 0, 0)), [3, 2]);
}

// Guards against instances that together exceed a target's limit because they ignore each other's requests.
#[test]
fn instances_share_the_limit_of_a_target() {
    let mut bench = Bench::new(&[target("t1", "z1", 4)]);
    bench.peer("t1", 3, 0, 0);
    assert_eq!(ids(&bench.submit(online(1))), [1]);
    assert_eq!(ids(&bench.submit(online(2))), [0u64; 0]);
    bench.advance(Duration::from_millis(1_100));
    assert_eq!(
        bench.dispatcher.snapshot(bench.now)[0].online_queued,
        0,
        "a silent peer no longer counts"
    );
}

// Guards against peers that refill a target with batch requests before they learn that its last free slot is taken, and
// against one early heartbeat per request of a burst.
#[test]
fn taking_the_reserved_slot_beside_batch_of_peers_asks_for_one_early_heartbeat() {
    let mut bench = Bench::new(&[target("t1", "z1", 4)]);
    bench.advance(SECOND);
    bench.peer("t1", 0, 2, 0);
    let shares = |actions: &[Action]| actions.iter().filter(|it| **it == Action::ShareLoad).count();
    assert_eq!(shares(&bench.submit(online(1))), 0, "the reserved slot is still free");
    assert_eq!(shares(&bench.submit(online(2))), 1);
    assert_eq!(shares(&bench.submit(online(3))), 0);
    assert_eq!(shares(&bench.advance(Duration::from_millis(100))), 1);
}

// Guards against an instance that refills every slot it frees while requests wait at a peer with fewer slots.
#[test]
fn an_instance_keeps_to_its_share_while_requests_wait_at_a_peer() {
    let mut bench = Bench::new(&[target("t1", "z1", 4)]);
    for id in 1..=4 {
        bench.submit(online(id));
    }
    let heartbeat = |bench: &mut Bench, waiting| {
        bench.event(Event::PeerHeartbeat {
            peer: "peer".into(),
            failure_domain: "z1".into(),
            loads: Vec::new(),
            waiting,
            batch_waiting: Vec::new(),
        })
    };
    heartbeat(&mut bench, vec![service()]);
    for id in 5..=8 {
        bench.submit(online(id));
    }
    assert_eq!(ids(&bench.complete(1)), [0u64; 0], "three of four slots are above half");
    assert_eq!(ids(&bench.complete(2)), [0u64; 0]);
    assert_eq!(ids(&bench.complete(3)), [5]);
    assert_eq!(ids(&heartbeat(&mut bench, Vec::new())), [6, 7]);
}

// Guards against requests that continue after their key was withdrawn.
#[test]
fn a_withdrawn_key_ends_its_requests() {
    let mut bench = Bench::new(&[target("t1", "z1", 1)]);
    bench.submit(online(1));
    bench.submit(online(2));
    bench.submit(Request { key: Some("key-2".into()), ..online(3) });
    let actions =
        bench.event(Event::KeyWithdrawn { account: account("a"), key: Some("key-1".into()) });
    let mut refused = refusals(&actions);
    refused.sort_unstable();
    assert_eq!(refused, [(1, Reason::KeyWithdrawn), (2, Reason::KeyWithdrawn)]);
    assert!(actions.contains(&Action::Cancel { id: 1 }));
    assert_eq!(dispatches(&actions), [(3, "t1".into())]);
}

// Guards against an instance that refills each batch slot that it frees, so that a peer with batch requests never gets one.
#[test]
fn an_instance_leaves_batch_slots_to_a_peer_with_waiting_batch() {
    let mut bench = Bench::new(&[target("t1", "z1", 9)]);
    let mut running: Vec<u64> = Vec::new();
    for id in 0..20 {
        running.extend(dispatches(&bench.submit(batch(id))).iter().map(|it| it.0));
        running.extend(dispatches(&bench.advance(SECOND)).iter().map(|it| it.0));
    }
    assert_eq!(running.len(), 8, "all slots but the reserve");
    bench.event(Event::PeerHeartbeat {
        peer: "peer".into(),
        failure_domain: "z1".into(),
        loads: Vec::new(),
        waiting: Vec::new(),
        batch_waiting: vec![service()],
    });
    let mut started = 0;
    for id in running {
        started += dispatches(&bench.event(Event::Completed { id, tokens: None })).len();
    }
    assert_eq!(started, 4, "half of the eight slots stay free for the peer");
}

// Guards against online requests that find every slot of a target taken by batch requests that could have waited. Happens
// in a burst of online requests through many instances, which learn late of each other's requests.
#[test]
fn batch_leaves_the_large_reserve_free_until_its_time_ends() {
    let mut bench = Bench::new(&[target("t1", "z1", 8)]);
    let large_reserve_until = bench.now + 2 * SECOND;
    let mut placed = 0;
    for id in 0..8 {
        placed += ids(&bench.submit(Request { large_reserve_until, ..batch(id) })).len();
    }
    placed += ids(&bench.advance(SECOND)).len();
    assert_eq!(placed, 5, "three of eight slots stay free");
    assert_eq!(ids(&bench.submit(online(100))).len(), 1, "online requests use them");
    assert_eq!(
        ids(&bench.submit(Request { large_reserve_until: bench.now, ..batch(101) })).len(),
        0
    );
    placed += ids(&bench.advance(2 * SECOND)).len();
    assert_eq!(placed, 6, "one slot stays free after the time of the large reserve");
}

// Guards against batch requests that fill some targets and leave others without any. They hold their slots for seconds, so
// each burst of online requests would find full targets. The load is batch for half of the slots of many targets, beside
// changing online requests.
#[test]
fn batch_is_spread_evenly_over_targets() {
    let names: Vec<String> = (0..12).map(|it| format!("t{it:02}")).collect();
    let targets: Vec<_> = names.iter().map(|it| target(it, "z1", 8)).collect();
    let mut bench = Bench::new(&targets);
    let mut by_target: BTreeMap<Name, u32> = BTreeMap::new();
    for id in 0..48 {
        // An online request in flight at one target after the other makes the total load a poor measure of the batch load.
        bench.submit(online(1_000 + id));
        let mut started = dispatches(&bench.submit(batch(id)));
        started.extend(dispatches(&bench.advance(SECOND)));
        for (_, target) in started.into_iter().filter(|it| it.0 < 1_000) {
            *by_target.entry(target).or_default() += 1;
        }
        bench.complete(1_000 + id);
    }
    assert_eq!(by_target.len(), 12);
    assert!(by_target.values().all(|it| *it == 4), "{by_target:?}");
}

// Guards against a dispatcher that gets no ticks while a request waits or a target is to be probed.
#[test]
fn a_dispatcher_is_quiescent_only_while_time_changes_nothing() {
    let mut bench = Bench::new(&[target("t1", "z1", 1)]);
    assert!(bench.dispatcher.is_quiescent());
    bench.submit(online(1));
    assert!(bench.dispatcher.is_quiescent(), "a request in flight ends by an event");
    bench.submit(online(2));
    assert!(!bench.dispatcher.is_quiescent(), "a request waits");
    bench.complete(1);
    bench.event(Event::FailedBeforeSend { id: 2 });
    assert!(!bench.dispatcher.is_quiescent(), "the target is being probed");
    bench.probed("t1", true);
    bench.advance(SECOND);
    bench.complete(2);
    assert!(bench.dispatcher.is_quiescent());
}

// Guards against an overload in which each request is served only once it is too late for it, though many could be served in time.
#[test]
fn in_an_overload_requests_that_can_meet_their_objective_go_first() {
    const SLOT_TIME: Duration = Duration::from_millis(400);
    const OBJECTIVE: Duration = Duration::from_millis(150);
    let mut bench = Bench::new(&[target("t1", "z1", 4)]);
    let (mut running, mut in_time, mut late) = (Vec::new(), 0, 0);
    // 20 requests a second, of which the target can serve 10.
    for id in 0..200 {
        let due = bench.now + OBJECTIVE;
        let deadline = bench.now + 5 * SECOND;
        let mut actions = bench.submit(Request { due, deadline, ..online(id) });
        actions.extend(bench.advance(Duration::from_millis(50)));
        let ended: Vec<_> =
            running.extract_if(.., |it: &mut (Timestamp, u64)| it.0 <= bench.now).collect();
        for (_, ended) in ended {
            actions.extend(bench.complete(ended));
        }
        for started in ids(&actions) {
            let submitted = Timestamp::from_millis(1 + started * 50);
            match bench.now.since(submitted) <= OBJECTIVE + Duration::from_millis(50) {
                true => in_time += 1,
                false => late += 1,
            }
            running.push((bench.now + SLOT_TIME, started));
        }
    }
    assert!(in_time >= 80, "{in_time} in time, {late} late");
}
