//! Tests of targets that announce in their answers that they shut down.

use dispatch_support::{Bench, SECOND, ids, online, refusals, service, target};
use policy::dispatch::{Event, TargetInfo};

mod dispatch_support;

fn listed(name: &str, incarnation: u64) -> TargetInfo {
    TargetInfo { registered: true, incarnation, ..target(name, "z1", 4) }
}

fn announce_leaving(bench: &mut Bench, name: &str) {
    bench.event(Event::TargetLeaving { service: service(), target: name.into() });
}

/// Guards against new work for a target that has announced its shutdown, while the target list still names it.
#[test]
fn a_target_that_says_that_it_leaves_gets_no_new_work_though_the_list_names_it() {
    let mut bench = Bench::new(&[listed("t1", 1)]);
    assert_eq!(ids(&bench.submit(online(1))), [1]);
    announce_leaving(&mut bench, "t1");
    bench.set_targets(&[listed("t1", 1)]);
    let refused = bench.submit(online(2));
    assert_eq!((ids(&refused), refusals(&refused).len()), (vec![], 1));
    bench.set_targets(&[]);
    bench.set_targets(&[listed("t1", 1)]);
    bench.advance(SECOND);
    assert_eq!(ids(&bench.submit(online(3))), [0_u64; 0]);
}

/// Guards against a target that is never used again after it has restarted under the same name.
#[test]
fn a_target_that_restarts_under_its_name_takes_work() {
    let mut bench = Bench::new(&[listed("t1", 1)]);
    announce_leaving(&mut bench, "t1");
    bench.set_targets(&[listed("t1", 2)]);
    assert_eq!(ids(&bench.submit(online(1))), [1]);
}

/// Guards against requests that wait for a target which takes no more of them, while another target could take them.
#[test]
fn work_goes_to_other_targets_at_once() {
    let mut bench = Bench::new(&[listed("t1", 1), listed("t2", 1)]);
    announce_leaving(&mut bench, "t1");
    for id in 1..=4 {
        let placed = bench.submit(online(id));
        assert_eq!(dispatch_support::dispatches(&placed), [(id, "t2".into())]);
    }
}
