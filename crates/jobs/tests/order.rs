//! Tests of the order of items, mainly under more load than the targets can finish in time, and of the order of claims.

use std::time::Duration;

use jobs::{
    JobId, claim,
    order::{Candidate, RunTimeEstimator},
};
use stdx::{Name, Timestamp};

const RUN_MS: u64 = 5_000;
const DUE_MS: u64 = 18_000;
const TOKENS: u64 = 2_000;
const EVENTS: u64 = 260;
const SLOTS: usize = 10;
const STEP_MS: u64 = 100;

#[derive(Debug, Clone)]
struct SimulatedItem {
    arrived_ms: u64,
    ran_ms: u64,
    finished_ms: Option<u64>,
}

/// Simulates 50 % more items than the slots can run and returns the share that finishes in time.
fn share_in_time(order: impl Fn(&SimulatedItem, u64) -> (u64, u64)) -> f64 {
    let mut items: Vec<SimulatedItem> = Vec::new();
    for now in (0..120_000).step_by(STEP_MS as usize) {
        // Three items per second arrive; ten slots at five seconds per item finish two.
        if now < 60_000 && now % 333 < STEP_MS {
            items.push(SimulatedItem { arrived_ms: now, ran_ms: 0, finished_ms: None });
        }
        let mut open: Vec<usize> =
            (0..items.len()).filter(|it| items[*it].finished_ms.is_none()).collect();
        open.sort_by_key(|it| order(&items[*it], now));
        for &at in open.iter().take(SLOTS) {
            items[at].ran_ms += STEP_MS;
            if items[at].ran_ms >= RUN_MS {
                items[at].finished_ms = Some(now);
            }
        }
    }
    let good =
        items.iter().filter(|it| it.finished_ms.is_some_and(|at| at <= it.arrived_ms + DUE_MS));
    good.count() as f64 / items.len() as f64
}

// Guards against overload in which nearly every item is finished just after it is due.
#[test]
fn under_overload_more_items_are_in_time_than_in_the_order_of_due_times() {
    let mut estimator = RunTimeEstimator::default();
    for _ in 0..100 {
        estimator.record(TOKENS, EVENTS, Duration::from_millis(RUN_MS));
    }
    let by_due = share_in_time(|it, _| (0, it.arrived_ms));
    let by_rank = share_in_time(|it, now| {
        let candidate = Candidate {
            due_at: Timestamp::from_millis(it.arrived_ms + DUE_MS),
            tokens: TOKENS,
            events: EVENTS * it.ran_ms / RUN_MS,
        };
        let rank = estimator.rank(&candidate, Timestamp::from_millis(now));
        (class_order(&rank), it.arrived_ms)
    });
    // The slots can run two thirds of the items.
    assert!(by_rank > 0.55, "{by_rank:.2} in time");
    assert!(by_rank > by_due + 0.15, "{by_rank:.2} in time against {by_due:.2}");
}

/// Returns the position of the rank's class, taken from its debug output.
fn class_order(rank: &jobs::order::Rank) -> u64 {
    let text = format!("{rank:?}");
    u64::from(text.contains("InTime")) + 2 * u64::from(text.contains("Late"))
}

// Guards against an estimate that keeps its initial value.
#[test]
fn the_remaining_time_follows_finished_items_and_the_events_that_arrived() {
    let mut estimator = RunTimeEstimator::default();
    for _ in 0..100 {
        estimator.record(TOKENS, EVENTS, Duration::from_secs(8));
    }
    let remaining = |events| {
        estimator
            .remaining(&Candidate { due_at: Timestamp::ZERO, tokens: TOKENS, events })
            .as_secs_f64()
            .round()
    };
    assert_eq!((remaining(0), remaining(EVENTS / 2)), (8.0, 4.0));
    assert!(remaining(10 * EVENTS) < 1.0, "an item longer than others is about to end");
}

// Guards against several daemons that claim a job at once, and against a job that no daemon claims.
#[test]
fn one_daemon_takes_a_job_at_once_and_the_others_in_turn() {
    let daemons: Vec<Name> = ["a", "b", "c"].map(Name::new).to_vec();
    let mut first = [0; 3];
    for n in 0..300 {
        let id = JobId::parse(&format!("job-{n}")).expect("valid");
        let mut delays: Vec<Duration> =
            daemons.iter().map(|own| claim::delay(&id, own, &daemons)).collect();
        first[delays.iter().position(Duration::is_zero).expect("one is first")] += 1;
        delays.sort_unstable();
        delays.dedup();
        assert_eq!(delays.len(), 3, "each daemon has its own delay");
    }
    assert!(first.iter().all(|it| *it > 60), "jobs are spread: {first:?}");
    let id = JobId::parse("job").expect("valid");
    assert_eq!(claim::delay(&id, &daemons[0], []), Duration::ZERO, "a single daemon does not wait");
}

// Guards against items that leave slots to online requests until they are late, and against items that never leave any.
#[test]
fn items_have_slack_until_those_before_them_use_it() {
    const SLOTS: usize = 8;
    let mut estimator = RunTimeEstimator::default();
    for _ in 0..100 {
        estimator.record(TOKENS, EVENTS, Duration::from_secs(2));
    }
    let items = |count, due_ms| {
        vec![Candidate { due_at: Timestamp::from_millis(due_ms), tokens: TOKENS, events: 0 }; count]
    };
    let has_slack =
        |count, due_ms| estimator.has_slack(items(count, due_ms), SLOTS, Timestamp::ZERO);
    assert!(estimator.has_slack([], SLOTS, Timestamp::ZERO));
    // An item takes 3 s including interruptions, and twice that must fit before the deadline.
    assert!(has_slack(1, 7_000));
    assert!(!has_slack(1, 6_000));
    assert!(has_slack(16, 18_000));
    assert!(!has_slack(17, 18_000));
}
