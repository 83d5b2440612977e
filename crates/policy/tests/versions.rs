//! Tests of what is known about the versions that began callers' streams.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fleet::{Kind, QualifiedName};
use policy::versions::{
    RecordedOrigin, StoredHistory, StreamId, StreamOrigins, VersionHistory, holders,
};
use stdx::{Name, Timestamp};

/// The longest time that a caller's request lasts, over all attempts.
const MAX_AGE: Duration = Duration::from_secs(7);

fn service() -> QualifiedName {
    QualifiedName::new("accra", Kind::Service, "chat")
}

fn serving(versions: &[&str]) -> BTreeMap<QualifiedName, BTreeSet<Name>> {
    [(service(), versions.iter().map(Name::new).collect())].into()
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn only(history: &VersionHistory, seconds: u64) -> Option<&str> {
    history.only_version(&service(), at(seconds), MAX_AGE).map(|it| it.as_str())
}

// Guards against a guess while the streams of two versions may be taken up: both serve, one has just left, or the past is unknown.
#[test]
fn a_version_is_the_only_one_once_no_stream_of_another_can_remain() {
    let mut history = VersionHistory::default();
    assert_eq!(only(&history, 1), None, "nothing is known");
    history.observe(at(1), &serving(&["v1"]));
    assert_eq!(only(&history, 7), None, "another version may have left before the start");
    assert_eq!(only(&history, 8), Some("v1"));
    assert_eq!(history.observe(at(60), &serving(&["v1", "v2"])), [service()]);
    assert_eq!(only(&history, 60), None, "two serve");
    assert_eq!(history.observe(at(90), &serving(&["v2"])), []);
    assert_eq!(only(&history, 96), None, "one has just left");
    assert_eq!(only(&history, 97), Some("v2"));
    history.observe(at(100), &BTreeMap::new());
    history.observe(at(101), &serving(&["v3"]));
    assert_eq!(only(&history, 101), None, "all targets were replaced at once");
}

// Guards against an instance that starts when the old version has just left and takes the new one for the only one.
#[test]
fn a_stored_history_tells_an_instance_that_starts_what_has_left() {
    let mut earlier = VersionHistory::default();
    earlier.observe(at(1), &serving(&["v1"]));
    earlier.observe(at(60), &serving(&["v2"]));
    let stored = earlier.to_stored(at(62), 1_000_000);
    let text = serde_json::to_string(&stored).expect("plain JSON");
    let stored: StoredHistory = serde_json::from_str(&text).expect("it was just written");
    let restarted = |unix_ms: u64, versions: &[&str]| {
        let mut history = VersionHistory::default();
        history.observe(at(1), &serving(versions));
        history.merge(at(1), unix_ms, &stored);
        only(&history, 1).map(str::to_owned)
    };
    assert_eq!(restarted(1_003_000, &["v2"]), None, "v1 left 5 s ago");
    assert_eq!(restarted(1_006_000, &["v2"]), Some("v2".to_owned()), "v1 left 8 s ago");
    assert_eq!(restarted(1_060_000, &["v3"]), None, "v2 has left since the history was stored");
    assert_eq!(restarted(1_060_000, &["v2", "v3"]), None);
}

// Guards against a guess from a history that an instance has not followed all the time, also if a stored history fills its beginning.
#[test]
fn a_version_is_not_the_only_one_while_another_may_have_come_and_gone_unseen() {
    let mut history = VersionHistory::default();
    history.observe(at(1), &serving(&["v1"]));
    assert_eq!(only(&history, 60), Some("v1"));
    history.record_gap(at(60));
    assert_eq!(only(&history, 66), None, "another version may have served during the gap");
    history.merge(at(66), 1_000_000, &StoredHistory::default());
    assert_eq!(only(&history, 66), None, "the stored history may lack what was missed");
    assert_eq!(only(&history, 67), Some("v1"));
}

// Guards against memory that grows with the attempt ids that callers make up, and against a take-up that changes the origin.
#[test]
fn the_first_record_of_a_stream_counts_and_old_ones_are_forgotten() {
    let mut origins = StreamOrigins::default();
    let stream = |n: u64| StreamId::of(&service(), &format!("r-{n}"));
    let of = |version: &str| RecordedOrigin { version: version.into(), target: None };
    origins.record(at(1), stream(0), service(), of("v1"));
    origins.record(at(2), stream(0), service(), of("v2"));
    assert_eq!(origins.origin(stream(0)), Some(&of("v1")));
    for n in 1..=70_000 {
        origins.record(at(3), stream(n), service(), of("v2"));
    }
    assert_eq!(origins.origin(stream(0)), None);
    assert_eq!(origins.recent(&service(), at(3), MAX_AGE).count(), 65_536);
    origins.record(at(200), stream(0), service(), of("v3"));
    assert_eq!(origins.recent(&service(), at(200), Duration::MAX).count(), 1);
}

// Guards against instances that keep and look for an origin at different daemons.
#[test]
fn holders_stay_the_same_when_other_daemons_come_and_go() {
    let names =
        |n: usize| -> BTreeSet<Name> { (0..n).map(|it| Name::new(format!("d{it}"))).collect() };
    let stream = StreamId::of(&service(), "r-1");
    let of_nine = holders(&names(9), stream);
    assert_eq!(of_nine.len(), 2);
    let without_another: BTreeSet<Name> = names(9)
        .into_iter()
        .enumerate()
        .filter(|(at, it)| *at != 4 || of_nine.contains(it))
        .map(|(_, it)| it)
        .collect();
    assert_eq!(holders(&without_another, stream), of_nine);
    assert_eq!(holders(&names(1), stream).len(), 1);
    assert_eq!(holders(&BTreeSet::new(), stream).len(), 0);
}
