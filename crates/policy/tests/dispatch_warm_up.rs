//! Tests of batch placement by instances that have just started.

mod dispatch_support;

use std::{collections::BTreeMap, time::Duration};

use dispatch_support::{SECOND, batch, dispatches, ids, online, service, target};
use policy::dispatch::{Dispatcher, Event, Request, Settings, TargetInfo};
use stdx::{Name, Timestamp, rng};

const WARM_UP: Duration = Duration::from_millis(1_500);
const DOMAINS: [&str; 4] = ["z1", "z2", "z3", "z4"];
const CONCURRENCY: u32 = 8;

fn targets() -> Vec<TargetInfo> {
    let in_domain = |domain: &'static str| {
        (0..3).map(move |n| TargetInfo {
            registered: true,
            ..target(&format!("{domain}-t{n}"), domain, CONCURRENCY)
        })
    };
    DOMAINS.into_iter().flat_map(in_domain).collect()
}

fn started_dispatcher(domain: &str) -> Dispatcher {
    let settings = Settings {
        warm_up_until: Timestamp::ZERO + WARM_UP,
        check_invariants: true,
        ..Settings::new(format!("worker-{domain}").into(), domain.into())
    };
    let mut dispatcher = Dispatcher::new(settings, rng::seeded(1));
    let event = Event::TargetsChanged { service: service(), targets: targets() };
    dispatcher.on_event(Timestamp::ZERO, event);
    dispatcher
}

fn items(first_id: u64) -> impl Iterator<Item = Request> {
    (first_id..first_id + 40).map(batch)
}

// Guards against callers whose requests wait for seconds after all instances have lost power: each instance found every target
// empty, as it did not know the others yet, and together they placed twelve items on targets with eight slots.
#[test]
fn instances_that_start_together_leave_slots_for_the_requests_that_come_back() {
    let mut placed: BTreeMap<Name, u32> = BTreeMap::new();
    for domain in DOMAINS {
        let mut dispatcher = started_dispatcher(domain);
        for item in items(0) {
            for (_, target) in dispatches(&dispatcher.submit(Timestamp::from_millis(50), item)) {
                *placed.entry(target).or_default() += 1;
            }
        }
    }
    assert_eq!(placed.len(), 12, "every target is in use");
    assert!(placed.values().all(|it| *it <= CONCURRENCY - 3), "{placed:?}");
}

// Guards against slots that stay unused after the start.
#[test]
fn after_the_warm_up_items_use_the_idle_slots_of_all_failure_domains() {
    let mut dispatcher = started_dispatcher("z1");
    let mut placed = Vec::new();
    for item in (0..60).map(batch) {
        placed.extend(dispatches(&dispatcher.submit(Timestamp::from_millis(50), item)));
    }
    assert_eq!(placed.len(), 15);
    let mut now = Timestamp::from_millis(50);
    while now < Timestamp::ZERO + WARM_UP + SECOND {
        now += Duration::from_millis(50);
        placed.extend(dispatches(&dispatcher.tick(now)));
    }
    let local = placed.iter().filter(|(_, it)| it.starts_with("z1")).count();
    assert!(local > 15 && placed.len() - local > 15, "{local} of {}", placed.len());
}

// Guards against online requests that are held back by the warm-up.
#[test]
fn online_requests_are_not_affected() {
    let mut dispatcher = started_dispatcher("z1");
    for id in 0..24 {
        assert_eq!(ids(&dispatcher.submit(Timestamp::from_millis(50), online(id))), [id]);
    }
}
