//! Tests which version a target is known to have had when a connection to it was opened.

use std::time::{Duration, Instant};

use fleet::{Kind, QualifiedName};
use policy::confirmed_versions::ConfirmedVersions;
use stdx::Name;

struct Lists {
    start: Instant,
    versions: ConfirmedVersions,
}

impl Lists {
    /// Observes lists that were current at these seconds and named the target with these versions, or not at all.
    fn new(lists: &[(u64, Option<&str>)]) -> Self {
        let mut lists_seen = Self { start: Instant::now(), versions: ConfirmedVersions::default() };
        let (service, target) = (service(), Name::new("t"));
        for (seconds, version) in lists {
            let version = version.map(Name::new);
            let listed = version.iter().map(|it| (&service, &target, it));
            let at = lists_seen.at(*seconds);
            lists_seen.versions.observe(at, listed);
        }
        lists_seen
    }

    fn at(&self, seconds: u64) -> Instant {
        self.start + Duration::from_secs(seconds)
    }

    fn version_after(&self, seconds: u64) -> Option<&str> {
        let since = self.at(seconds);
        self.versions.version_after(&service(), &"t".into(), since).map(|it| it.as_str())
    }
}

fn service() -> QualifiedName {
    QualifiedName::new("accra", Kind::Service, "chat")
}

// Guards against the version of a later process, or of none, for a connection to an earlier one.
#[test]
fn the_first_list_after_a_connection_tells_the_version_of_its_target() {
    let lists = Lists::new(&[(1, Some("v1")), (3, Some("v1")), (5, Some("v2")), (7, None)]);
    assert_eq!(lists.version_after(0), Some("v1"));
    assert_eq!(lists.version_after(2), Some("v1"), "it started again later");
    assert_eq!(lists.version_after(4), Some("v2"), "also once the target has left");
    assert_eq!(lists.version_after(6), None, "the next list does not name it");
    assert_eq!(lists.version_after(8), None, "there is no newer list");
    let returned = Lists::new(&[(1, Some("v1")), (3, None), (5, Some("v1"))]);
    assert_eq!(returned.version_after(2), None, "the next list does not name it");
    assert_eq!(returned.version_after(4), Some("v1"));
}

// Guards against a record of an instance that was out of step, whose target has left meanwhile.
#[test]
fn another_version_of_a_target_is_remembered_after_it_has_left() {
    let lists = Lists::new(&[(1, Some("v2")), (3, None)]);
    let has_had_other = |version: &str| {
        lists.versions.has_had_other_version(&service(), &"t".into(), &version.into())
    };
    assert_eq!((has_had_other("v1"), has_had_other("v2")), (true, false));
    let later = Lists::new(&[(1, Some("v2")), (3, None), (130, None)]);
    assert!(!later.versions.has_had_other_version(&service(), &"t".into(), &"v1".into()));
}
