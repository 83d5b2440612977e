//! Tests of links and messages in fleets of different sizes, without and with lost instances.

use std::time::Duration;

use network::{Fleet, members};
use overlay::topology::RELAYS_PER_DOMAIN;
use rand::{Rng as _, seq::IteratorRandom as _};
use stdx::{Name, rng};

mod network;

const SECOND: Duration = Duration::from_secs(1);

fn settled(domains: usize, entries: usize) -> Fleet {
    let mut fleet = Fleet::new(members(domains, entries));
    fleet.advance(2 * SECOND);
    fleet
}

/// Guards against a number of links per instance that grows with the fleet.
#[test]
fn most_instances_of_a_large_fleet_keep_two_links() {
    let fleet = settled(5, 50);
    let mut links: Vec<usize> = fleet.running().map(|it| fleet.links_of(it)).collect();
    links.sort_unstable();
    assert_eq!(links[links.len() / 2], RELAYS_PER_DOMAIN);
    // A relay links with the other instances of its failure domain, the relays of all domains and the instances that run items.
    assert_eq!(*links.last().expect("instances"), 49 + 9 + 4);
    let total: usize = links.iter().sum::<usize>() / 2;
    assert!(total < 3 * 255, "{total} links");
}

/// Guards against relays in a small fleet, which add latency without benefit.
#[test]
fn the_instances_of_a_small_fleet_all_link_with_each_other() {
    let fleet = settled(3, 4);
    assert!(fleet.running().all(|it| fleet.links_of(it) == 14));
    assert!(fleet.flood("front-0-1").values().all(|it| *it == 1));
}

/// Guards against broadcasts that miss instances or reach them more than once.
#[test]
fn a_message_to_all_reaches_each_instance_once() {
    let fleet = settled(5, 50);
    for from in ["front-0-40", "front-0-1", "store-3-1", "front-4-2"] {
        let counts = fleet.flood(from);
        assert_eq!(counts.len(), 254);
        assert!(counts.values().all(|it| *it == 1), "{from}: {counts:?}");
    }
}

/// Guards against an instance that is unreachable because no route leads to it.
#[test]
fn a_message_to_one_instance_reaches_it_from_everywhere() {
    let fleet = settled(5, 50);
    for (from, to) in [
        ("front-0-40", "front-0-41"),
        ("front-0-40", "front-3-17"),
        ("front-0-40", "store-2-1"),
        ("store-2-1", "front-0-40"),
        ("front-1-1", "front-4-50"),
        ("front-1-9", "front-1-1"),
    ] {
        assert_eq!(fleet.send(from, to), [Name::from(to)], "{from}");
    }
}

/// Guards against a failure domain that receives no messages from the others after the loss of both its relays.
#[test]
fn others_take_the_place_of_relays_that_are_lost() {
    let mut fleet = settled(5, 50);
    fleet.lost.extend([Name::from("front-0-1"), Name::from("front-0-2")]);
    fleet.advance(3 * SECOND);
    for from in ["front-0-40", "front-3-40", "store-0-1"] {
        assert!(fleet.flood(from).values().all(|it| *it == 1), "{from}");
    }
    assert_eq!(fleet.send("front-0-40", "front-3-17"), [Name::from("front-3-17")]);
    fleet.lost.clear();
    fleet.advance(3 * SECOND);
    assert!(fleet.flood("front-0-40").values().all(|it| *it == 1));
    assert_eq!(fleet.links_of("front-0-40"), RELAYS_PER_DOMAIN);
}

/// Guards against a partitioned failure domain whose own instances can no longer reach each other.
#[test]
fn a_failure_domain_that_is_cut_off_goes_on_by_itself() {
    let mut fleet = settled(5, 50);
    fleet.cut.insert(Name::from("zone-2"));
    fleet.advance(2 * SECOND);
    let counts = fleet.flood("front-2-30");
    for (name, count) in &counts {
        assert_eq!(*count, usize::from(*fleet.domain(name) == *"zone-2"), "{name}");
    }
}

/// Guards against an overlay that stays divided, or duplicates messages, after instances joined, left, froze and were cut off
/// in any order, including with outdated member lists.
#[test]
fn an_overlay_recovers_after_any_series_of_losses() {
    bolero::check!().with_type::<u64>().with_iterations(20).for_each(|seed| {
        let mut rng = rng::seeded(*seed);
        let all = members(rng.random_range(2..6), rng.random_range(6..20));
        let mut fleet = Fleet::new(all.clone());
        for _ in 0..rng.random_range(1..8) {
            match rng.random_range(0..4) {
                0 => {
                    let name = all.iter().choose(&mut rng).expect("members").name.clone();
                    fleet.lost.insert(name);
                }
                1 => fleet.lost.clear(),
                2 => {
                    fleet.cut.insert(Name::new(format!("zone-{}", rng.random_range(0..5))));
                }
                _ => {
                    let mut changed = all.clone();
                    changed.iter_mut().for_each(|it| it.registered = rng.random_bool(0.9));
                    fleet.set_members(changed);
                }
            }
            fleet.advance(Duration::from_millis(rng.random_range(100..3_000)));
        }
        fleet.cut.clear();
        fleet.advance(10 * SECOND);
        let from = fleet.running().choose(&mut rng).expect("an instance is running").clone();
        let counts = fleet.flood(&from);
        assert!(counts.values().all(|it| *it == 1), "seed {seed}, from {from}: {counts:?}");
        let to = fleet.running().filter(|it| **it != from).choose(&mut rng).expect("two").clone();
        assert_eq!(fleet.send(&from, &to), [to], "seed {seed}, from {from}");
    });
}
