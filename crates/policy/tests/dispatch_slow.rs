//! Targets that run slower than the others for seconds and say nothing about it.

use std::{collections::BTreeMap, time::Duration};

use dispatch_support::{Bench, SECOND, dispatches, online, service, target};
use policy::dispatch::{Event, PeerLoad, TargetInfo};
use rand::Rng as _;
use stdx::{Name, rng};

mod dispatch_support;

const TARGETS: usize = 12;
const SLOTS: u32 = 8;
/// The time between two events of a sound target.
const GAP: Duration = Duration::from_millis(65);
const EVENTS: u32 = 11;
/// How much longer a slow one takes for everything.
const SLOWNESS: u32 = 5;
const REQUESTS_PER_S: f64 = 60.0;
const TICK: Duration = Duration::from_millis(20);

fn name(n: usize) -> Name {
    Name::new(format!("t{n:02}"))
}

fn targets() -> Vec<TargetInfo> {
    (0..TARGETS).map(|n| TargetInfo { registered: true, ..target(&name(n), "z1", SLOTS) }).collect()
}

fn measured(bench: &mut Bench, target: usize, gap: Duration) {
    bench.event(Event::EventGap { service: service(), target: name(target), gap });
}

/// A stream: its request, its target and when its next event comes.
struct Stream {
    id: u64,
    target: usize,
    next: Duration,
    left: u32,
}

/// Plays streams over targets of which some are slow between the 4th and the 12th second, and returns the share of requests from
/// the 5th to the 12th second that began on a slow one.
fn share_on_slow(slow: &[usize]) -> f64 {
    const STEP: Duration = Duration::from_millis(5);
    let (mut bench, mut rng) = (Bench::new(&targets()), rng::seeded(3));
    let mut streams: Vec<Stream> = Vec::new();
    let (mut id, mut counted, mut on_slow) = (0, 0, 0);
    let mut time = Duration::ZERO;
    while time < 12 * SECOND {
        time += STEP;
        let is_slow = |it: usize| slow.contains(&it) && time >= 4 * SECOND;
        let mut actions = bench.advance(STEP);
        if rng.random_bool(REQUESTS_PER_S * STEP.as_secs_f64()) {
            id += 1;
            actions.extend(bench.submit(online(id)));
        }
        let mut ended = Vec::new();
        let mut gaps: BTreeMap<usize, Duration> = BTreeMap::new();
        for stream in &mut streams {
            if stream.next <= time {
                let gap = if is_slow(stream.target) { GAP * SLOWNESS } else { GAP };
                stream.next += gap;
                stream.left -= 1;
                gaps.insert(stream.target, gap);
                if stream.left == 0 {
                    ended.push(stream.id);
                }
            }
        }
        // A measurement takes four events, so a quarter of them end one.
        for (target, gap) in gaps {
            if rng.random_bool(0.25) {
                measured(&mut bench, target, gap);
            }
        }
        streams.retain(|it| !ended.contains(&it.id));
        for id in ended {
            actions.extend(bench.complete(id));
        }
        for (id, target) in dispatches(&actions) {
            let target = (0..TARGETS).find(|it| name(*it) == target).expect("known");
            if time >= 5 * SECOND {
                counted += 1;
                on_slow += usize::from(is_slow(target));
            }
            streams.push(Stream { id, target, next: time + GAP, left: EVENTS });
        }
    }
    assert!(counted > 300, "{counted} requests");
    on_slow as f64 / counted as f64
}

/// Guards against callers whose answers come late because of a slow target, once it has been slow for a second.
#[test]
fn few_requests_begin_on_slow_targets_after_a_second() {
    // One target, and a sixth of them as on the users' days.
    for slow in [&[3][..], &[0, 7]] {
        let share = share_on_slow(slow);
        assert!(share < 0.02, "{:.1}% on {slow:?}", 100.0 * share);
    }
}

/// Guards against a service that takes no more work because most of its targets look slow.
#[test]
fn targets_are_never_all_left_out() {
    let mut bench = Bench::new(&targets());
    for n in 0..TARGETS {
        measured(&mut bench, n, if n == 0 { GAP } else { GAP * SLOWNESS });
    }
    bench.advance(TICK);
    let mut used = BTreeMap::new();
    for id in 1..=(TARGETS as u64 * u64::from(SLOTS)) {
        for (_, target) in dispatches(&bench.submit(online(id))) {
            *used.entry(target).or_insert(0) += 1;
        }
    }
    assert_eq!(used.len(), TARGETS);
}

/// Guards against requests that wait while a slow target has room.
#[test]
fn a_slow_target_is_used_when_the_others_are_full() {
    let mut bench = Bench::new(&targets());
    for n in 0..TARGETS {
        measured(&mut bench, n, if n == 5 { GAP * SLOWNESS } else { GAP });
    }
    bench.advance(TICK);
    let fast = (TARGETS as u64 - 1) * u64::from(SLOTS);
    let first: Vec<_> = (1..=fast).flat_map(|id| dispatches(&bench.submit(online(id)))).collect();
    assert!(first.iter().all(|(_, it)| *it != name(5)));
    assert_eq!(dispatches(&bench.submit(online(fast + 1))), [(fast + 1, name(5))]);
}

/// Guards against a target that is left out for good, and against an instance that is slow itself and takes its targets for
/// slow ones.
#[test]
fn a_target_is_as_fast_as_anybody_found_it_lately() {
    let mut bench = Bench::new(&targets());
    let slow = |bench: &mut Bench| {
        for n in 0..TARGETS {
            measured(bench, n, if n == 5 { GAP * SLOWNESS } else { GAP });
        }
        bench.advance(TICK);
    };
    let is_used = |bench: &mut Bench, from: u64| {
        let used: Vec<_> =
            (from..from + 24).flat_map(|id| dispatches(&bench.submit(online(id)))).collect();
        used.iter().any(|(_, it)| *it == name(5))
    };
    slow(&mut bench);
    assert!(!is_used(&mut bench, 1));
    let load = PeerLoad {
        service: service(),
        target: name(5),
        online: 1,
        batch: 0,
        suspects: 0,
        contending: 0,
        batch_contending: 0,
        event_gap_ms: GAP.as_millis() as u32,
    };
    bench.event(Event::PeerHeartbeat {
        peer: "peer".into(),
        failure_domain: "z1".into(),
        loads: vec![load],
        waiting: Vec::new(),
        batch_waiting: Vec::new(),
    });
    bench.advance(TICK);
    assert!(is_used(&mut bench, 100), "a peer found it fast");
    let mut bench = Bench::new(&targets());
    slow(&mut bench);
    assert!(!is_used(&mut bench, 200));
    bench.advance(3 * SECOND);
    assert!(is_used(&mut bench, 300), "it is tried after a while");
}
