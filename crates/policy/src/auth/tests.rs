use std::collections::BTreeMap;

use fleet::{
    Account, Document, FleetSection, HostRoutes, Kind, Objective, QualifiedName,
    model::{DEFAULT_RATE_SLOTS, Key},
};
use stdx::Name;

use super::{KeyHash, KeyTable};

/// Guards against a table that accepts a wrong key, a malformed hash or a key that two accounts share.
#[test]
fn only_unambiguous_listed_keys_authenticate() {
    let table = table(&[("red", &["r1", "shared"]), ("blue", &["b1", "shared"])]);
    assert_eq!(table.authenticate("r1").map(|it| it.name.to_string()), Some("one/red".into()));
    assert_eq!(table.authenticate("b1").map(|it| it.name.to_string()), Some("one/blue".into()));
    for refused in ["", "r2", "R1", "shared", "malformed"] {
        assert_eq!(table.authenticate(refused), None, "{refused}");
    }
}

/// Guards against connections that survive the withdrawal of their key or its move to another account.
#[test]
fn keys_that_are_gone_or_moved_are_withdrawn() {
    let before = table(&[("red", &["kept", "gone", "moved"]), ("blue", &["b1"])]);
    let after = table(&[("red", &["kept", "new"]), ("blue", &["moved"])]);
    let mut expected = ["gone", "moved", "b1"].map(KeyHash::of);
    expected.sort();
    let withdrawn = before.withdrawn_by(&after);
    assert_eq!(withdrawn.iter().map(|it| it.key).collect::<Vec<_>>(), expected);
    assert_eq!(before.withdrawn_by(&before), []);
}

fn table(accounts: &[(&str, &[&str])]) -> KeyTable {
    let key = |text: &&str| {
        let hash = KeyHash::of(text);
        Key { id: Name::new(text), sha256: hex::encode(hash.0).into() }
    };
    let account = |keys: &[&str]| {
        let malformed = Key { id: "malformed".into(), sha256: "12ab".into() };
        let keys = keys.iter().map(key).chain([malformed]).collect();
        Account { rate_per_s: 1.0, burst: 1.0, weight: 1, priority: None, keys }
    };
    KeyTable::new(&Document {
        fleet: FleetSection {
            origins: vec!["one".into()],
            failure_domains: BTreeMap::new(),
            rate_slots: DEFAULT_RATE_SLOTS,
            objective: Objective::default(),
        },
        accounts: accounts
            .iter()
            .map(|(name, keys)| (QualifiedName::new("one", Kind::Account, name), account(keys)))
            .collect(),
        models: BTreeMap::new(),
        services: BTreeMap::new(),
        batch: BTreeMap::new(),
        host_routes: HostRoutes::default(),
    })
}
