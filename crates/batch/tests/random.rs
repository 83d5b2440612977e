//! Randomised simulations of several instances over a fake store with faults.

mod common;

use std::time::Duration;

use batch::{Cancellation, ItemOutcome, ItemRun, JobState, SubmissionAnswer, Value};
use common::{Simulation, done, run, spec, store::Fault};
use rand::{Rng as _, seq::IndexedRandom as _};
use stdx::{Name, Rng};

struct FaultProbabilities {
    call_fault: f64,
    outage: f64,
    crash: f64,
    pause: f64,
    cancel: f64,
}

/// Guards against items that complete twice or never, whatever faults coincide. The seed determines the whole run.
#[test]
fn every_item_ends_once_under_faults() {
    bolero::check!().with_type::<u64>().with_iterations(150).for_each(|seed| run_seed(*seed));
}

fn run_seed(seed: u64) {
    let mut rng = stdx::rng::seeded(seed);
    let probabilities = FaultProbabilities {
        call_fault: rng.random_range(0.0..0.4),
        outage: rng.random_range(0.0..0.03),
        crash: rng.random_range(0.0..0.02),
        pause: rng.random_range(0.0..0.02),
        cancel: rng.random_range(0.0..0.004),
    };
    let mut sim = Simulation::new();
    let instances = rng.random_range(2..=5);
    let capacity = rng.random_range(1..=3);
    let mut manifests = Vec::new();
    for i in 0..rng.random_range(1..=3) {
        let items = rng.random_range(1..=700);
        let window_s = *[30, 86_400, 86_400].choose(&mut rng).expect("not empty");
        let account = format!("kigali/a{i}");
        manifests.push(sim.accept(&account, items, window_s, rng.random_bool(0.6)));
    }
    (0..instances).for_each(|i| sim.start(i, capacity));
    let mut is_down = false;
    for _ in 0..400 {
        if rng.random_bool(if is_down { 0.03 } else { probabilities.outage }) {
            is_down = !is_down;
        }
        sim.update_leases();
        for i in 0..instances {
            inject_instance_fault(&mut sim, &mut rng, &probabilities, i, capacity);
            let mut faults = stdx::rng::seeded(rng.random());
            let mut outcomes = stdx::rng::seeded(rng.random());
            sim.drive(
                i,
                &mut |_| pick_call_fault(&mut faults, &probabilities, is_down),
                &mut |run| pick_outcome(&mut outcomes, run),
            );
        }
        if rng.random_bool(0.1) {
            sim.store.deliver_delayed();
        }
        let manifest = manifests.choose(&mut rng).expect("not empty");
        if !is_down && rng.random_bool(probabilities.cancel) {
            let spec = &manifest.spec;
            let mut cancellation = Cancellation::new(spec.account.clone(), manifest.job.clone());
            run!(cancellation, sim);
        }
        if !is_down && rng.random_bool(0.02) {
            let spec =
                spec(&manifest.spec.account, manifest.spec.file.clone(), manifest.spec.window_s);
            let again = sim.submit(spec, None, manifest.idempotent);
            let SubmissionAnswer::Accepted(again) = again else {
                panic!("the resend was not accepted: {again:?}")
            };
            assert_eq!((&again.job, again.created_ms), (&manifest.job, manifest.created_ms));
        }
        sim.advance(100);
    }
    // No more faults are injected. Lapsed leases and the planners' polls recover whatever was lost.
    for i in 0..instances {
        if sim.instances[i].is_none() || sim.leases[i] <= sim.time {
            sim.start(i, capacity);
        }
    }
    for manifest in &manifests {
        let ended = sim.finish(manifest);
        assert_eq!(ended.state, JobState::Ended);
        let counts = sim.check_results(manifest);
        assert_eq!(counts.total, manifest.items);
        assert!(ended.cancelled || counts.cancelled == 0, "items of a running job were cancelled");
    }
}

fn inject_instance_fault(
    sim: &mut Simulation,
    rng: &mut Rng,
    probabilities: &FaultProbabilities,
    i: usize,
    capacity: usize,
) {
    let time = sim.time;
    if sim.instances[i].is_none() {
        if rng.random_bool(0.03) {
            sim.start(i, capacity);
        }
        return;
    }
    let has_lapsed = sim.leases[i] <= time && sim.instance(i).paused_until <= time;
    if has_lapsed && rng.random_bool(0.1) {
        // The instance detects late that its lease has lapsed, and starts a new incarnation.
        sim.start(i, capacity);
    } else if rng.random_bool(probabilities.crash) {
        sim.instances[i] = None;
    } else if rng.random_bool(probabilities.pause) {
        sim.instance(i).paused_until = time + Duration::from_millis(rng.random_range(500..12_000));
    } else if rng.random_bool(0.005) {
        let now = sim.now();
        sim.instance(i).runners.iter_mut().for_each(|it| it.release(now));
    }
}

fn pick_call_fault(rng: &mut Rng, probabilities: &FaultProbabilities, is_down: bool) -> Fault {
    if is_down {
        return Fault::Unavailable;
    }
    if !rng.random_bool(probabilities.call_fault) {
        return Fault::None;
    }
    *Fault::ALL.choose(rng).expect("not empty")
}

fn pick_outcome(rng: &mut Rng, run: &ItemRun) -> (u64, ItemOutcome) {
    let reason = Name::new("random");
    let outcome = match rng.random_range(0..20) {
        0 => ItemOutcome::AttemptFailed { reason },
        1 => ItemOutcome::Lost { reason },
        2 => ItemOutcome::NotRun,
        3 => ItemOutcome::Yielded,
        4 => ItemOutcome::Rejected { status: 400, body: Value::from("no JSON") },
        _ => done(run),
    };
    (rng.random_range(0..3_000), outcome)
}
