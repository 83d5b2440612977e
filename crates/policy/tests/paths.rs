//! By which path requests go to targets, over losses, checks and returns of links.

use std::{net::SocketAddr, time::Duration};

use policy::paths::{Candidate, HelperTable, LinkFault, LinkTable, Path};
use rand::Rng as _;
use stdx::{Name, Rng, Timestamp, rng};

const FIRST: u8 = 1;
const OTHER: u8 = 2;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 80))
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rng() -> Rng {
    rng::seeded(1)
}

// Guards against requests that go on trying a link that is lost, and against detours for links that are sound.
#[test]
fn the_path_follows_what_is_known_of_the_link() {
    let mut rng = rng();
    let mut links = LinkTable::default();
    let path = |links: &LinkTable, now, host, heard: Option<u64>| {
        links.path(at(now), address(host), heard.map(ms))
    };
    assert_eq!(path(&links, 1_000, FIRST, None), Path::Direct, "nothing is known");
    assert!(links.on_lost(at(1_000), address(FIRST), LinkFault::Hangs, &mut rng));
    assert_eq!(path(&links, 1_010, FIRST, Some(300)), Path::Peer);
    assert_eq!(path(&links, 1_100, FIRST, Some(50)), Path::OpenConnectionOrPeer, "bytes arrive");
    assert!(!links.on_lost(at(1_020), address(FIRST), LinkFault::Refused, &mut rng));
    assert_eq!(path(&links, 1_030, FIRST, Some(300)), Path::OpenConnectionOrPeer);
    // The link to another target is doubtful unless something has arrived just before.
    assert_eq!(path(&links, 1_100, OTHER, None), Path::Peer);
    assert_eq!(path(&links, 1_100, OTHER, Some(100 + 199)), Path::Direct);
    assert_eq!(path(&links, 1_100, OTHER, Some(100 + 200)), Path::Peer);
    assert!(links.begin_doubt_check(at(1_150), address(OTHER)));
    assert!(!links.begin_doubt_check(at(1_160), address(OTHER)), "a check is under way");
    assert_eq!(path(&links, 1_170, OTHER, None), Path::Peer, "its result is not known yet");
    links.on_connected(at(1_180), address(OTHER));
    assert_eq!(path(&links, 1_200, OTHER, None), Path::Direct, "it has been checked");
    assert_eq!(links.on_connected(at(1_500), address(FIRST)), Some(ms(500)));
    assert_eq!(path(&links, 1_510, FIRST, None), Path::Direct);
    assert_eq!(links.lost_count(), 0);
}

// Guards against checks of thousands of sound links because a few are lost.
#[test]
fn a_loss_casts_doubt_on_a_few_links_for_a_moment() {
    let mut rng = rng();
    let mut links = LinkTable::default();
    links.on_lost(at(1_000), address(FIRST), LinkFault::Hangs, &mut rng);
    let checked = (2..=200).filter(|it| links.begin_doubt_check(at(1_050), address(*it)));
    assert_eq!(checked.count(), 8);
    assert_eq!(links.path(at(1_999), address(201), None), Path::Peer);
    assert_eq!(links.path(at(2_000), address(201), None), Path::Direct, "no other link was lost");
    links.on_lost(at(2_100), address(OTHER), LinkFault::Hangs, &mut rng);
    assert!(links.begin_doubt_check(at(2_150), address(202)), "another one was lost");
}

// Guards against as many checks each second as there are lost links, and against a slow return of many links.
#[test]
fn lost_links_are_checked_one_by_one_until_one_works_again() {
    let mut rng = rng();
    let mut links = LinkTable::default();
    for host in 0..100 {
        links.on_lost(at(1_000), address(host), LinkFault::Hangs, &mut rng);
    }
    let mut checked = std::collections::BTreeSet::new();
    for round in 0..100 {
        let due = links.take_due_checks(at(1_500 + round * 50), &mut rng);
        assert_eq!(due.len(), 1);
        checked.extend(due);
    }
    assert_eq!(checked.len(), 100, "each had its turn");
    let due = links.take_due_checks(at(6_500), &mut rng);
    links.on_connected(at(6_510), due[0]);
    let mut rounds = 0;
    while links.lost_count() > 0 {
        rounds += 1;
        for address in links.take_due_checks(at(6_510 + rounds * 50), &mut rng) {
            links.on_connected(at(6_510 + rounds * 50), address);
        }
    }
    assert_eq!(rounds, 13, "eight at a time");
}

// Guards against a target that fails for all instances and is asked for at others again and again.
#[test]
fn what_no_daemon_reaches_is_not_asked_for_again_at_once() {
    let mut links = LinkTable::default();
    assert!(links.may_ask(at(1_000), address(FIRST)));
    links.on_unreached(at(1_000), address(FIRST));
    assert!(!links.may_ask(at(1_499), address(FIRST)));
    assert!(links.may_ask(at(1_500), address(FIRST)));
    assert_eq!(links.path(at(1_100), address(FIRST), None), Path::Direct);
    links.on_lost(at(1_900), address(FIRST), LinkFault::Hangs, &mut rng());
    links.on_unreached(at(2_000), address(FIRST));
    assert_eq!(links.lost_count(), 0, "a target that fails for all is no lost link");
    assert_eq!(links.on_connected(at(2_100), address(FIRST)), None);
    assert!(links.may_ask(at(2_100), address(FIRST)), "it is reached directly");
}

// Guards against requests that change their path with each hole of a link that comes and goes.
#[test]
fn a_link_that_is_lost_again_soon_is_checked_later() {
    let mut rng = rng();
    let mut links = LinkTable::default();
    let mut now = 1_000;
    let mut holds = Vec::new();
    for _ in 0..6 {
        links.on_lost(at(now), address(FIRST), LinkFault::Hangs, &mut rng);
        let lost_at = now;
        while links.take_due_checks(at(now), &mut rng).is_empty() {
            now += 1;
        }
        holds.push(now - lost_at);
        links.on_connected(at(now), address(FIRST));
        now += 100;
    }
    for (hold, least) in holds.iter().zip([250, 1_000, 2_000, 4_000, 8_000, 8_000]) {
        assert!((least..=least * 12 / 10).contains(hold), "{holds:?}");
    }
    links.on_lost(at(now + 10_000), address(FIRST), LinkFault::Hangs, &mut rng);
    assert!(!links.take_due_checks(at(now + 10_300), &mut rng).is_empty(), "it was sound for long");
}

// Guards against a state that no order of losses, checks, returns and departures of targets leads back to a direct path, and against a sum that
// differs from the links.
#[test]
fn any_order_of_losses_and_returns_ends_with_direct_paths() {
    for seed in 0..200 {
        let mut rng = rng::seeded(seed);
        let mut links = LinkTable::default();
        let mut now = 1_000;
        for _ in 0..100 {
            now += rng.random_range(1..400);
            let address = address(rng.random_range(0..5));
            let fault = match rng.random_bool(0.5) {
                true => LinkFault::Hangs,
                false => LinkFault::Refused,
            };
            match rng.random_range(0..6) {
                0 | 1 => drop(links.on_lost(at(now), address, fault, &mut rng)),
                2 => drop(links.on_connected(at(now), address)),
                3 => drop(links.take_due_checks(at(now), &mut rng)),
                4 => links.on_unreached(at(now), address),
                _ => links.retain(|it| it != address),
            }
            let lost = (0..5).filter(|host| links.fault(self::address(*host)).is_some()).count();
            assert_eq!(links.lost_count(), lost, "seed {seed}");
        }
        let mut checks = 0;
        while links.lost_count() > 0 {
            now += 50;
            for address in links.take_due_checks(at(now), &mut rng) {
                links.on_connected(at(now), address);
                checks += 1;
            }
            assert!(now < 200_000, "seed {seed}: {checks} checks have not ended all losses");
        }
        for host in 0..5 {
            assert_eq!(links.path(at(now), address(host), None), Path::Direct, "seed {seed}");
        }
    }
}

fn candidate(name: &str, is_local: bool) -> Candidate {
    Candidate { name: Name::new(name), is_local, capacity: 250 }
}

fn choose_many(table: &HelperTable, candidates: &[Candidate], rng: &mut Rng) -> Vec<(String, u32)> {
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for _ in 0..1_000 {
        let chosen = table.choose(at(1_000), candidates, &[], rng).map(|it| it.to_string());
        *counts.entry(chosen.unwrap_or_default()).or_default() += 1;
    }
    counts.into_iter().collect()
}

// Guards against all requests of all instances going to the helper that reported the lowest load.
#[test]
fn helpers_of_equal_load_share_the_exchanges() {
    let mut rng = rng();
    let candidates = ["a", "b", "c", "d"].map(|it| candidate(it, true));
    let mut table = HelperTable::default();
    for (_, count) in choose_many(&table, &candidates, &mut rng) {
        assert!((100..500).contains(&count), "{count}");
    }
    table.on_opened(at(900), &Name::new("a"), 40);
    let counts = choose_many(&table, &candidates, &mut rng);
    assert!(counts.iter().all(|(name, _)| name != "a"), "{counts:?}");
    let others = counts.iter().map(|(_, count)| *count).min();
    assert!(others > Some(200), "{counts:?}");
}

// Guards against bytes between failure domains while there are helpers in the own one, and against overloading these.
#[test]
fn helpers_of_other_domains_are_used_when_the_local_ones_carry_more() {
    let mut rng = rng();
    let candidates = [candidate("local", true), candidate("remote", false)];
    let mut table = HelperTable::default();
    assert_eq!(choose_many(&table, &candidates, &mut rng), [("local".to_owned(), 1_000)]);
    table.on_opened(at(900), &Name::new("local"), 10);
    assert_eq!(choose_many(&table, &candidates, &mut rng), [("remote".to_owned(), 1_000)]);
    table.on_closed(&Name::new("local"));
    let later = at(900) + ms(1_000);
    assert_eq!(table.choose(later, &candidates, &[], &mut rng), Some(Name::new("local")), "old");
}

// Guards against a helper that cannot help and is asked with each request.
#[test]
fn helpers_that_declined_are_left_out_for_a_while() {
    let mut rng = rng();
    let candidates = [candidate("a", true)];
    let mut table = HelperTable::default();
    let a = Name::new("a");
    table.on_declined(at(1_000), &a, true);
    assert_eq!(table.choose(at(2_999), &candidates, &[], &mut rng), None);
    assert_eq!(table.choose(at(3_000), &candidates, &[], &mut rng), Some(a.clone()));
    table.on_declined(at(4_000), &a, false);
    assert_eq!(table.choose(at(4_200), &candidates, &[], &mut rng), Some(a.clone()));
    table.on_unanswered(at(5_000), &a);
    assert_eq!(table.choose(at(5_999), &candidates, &[], &mut rng), None);
    assert_eq!(table.choose(at(7_000), &candidates, std::slice::from_ref(&a), &mut rng), None);
}
