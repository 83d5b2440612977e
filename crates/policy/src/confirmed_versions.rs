//! Which version each target had in the lists of targets that are known to have been current.
//!
//! A process that answers on a connection had started when the connection was opened, so the first current list after that names its
//! version. The last list does not: the target may have started again since, or have left.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use fleet::QualifiedName;
use stdx::Name;

/// How long the versions of a target are remembered; longer than any stream lasts.
const RETENTION: Duration = Duration::from_secs(120);

/// The versions of targets in the current lists of the last two minutes.
#[derive(Debug, Default)]
pub struct ConfirmedVersions {
    targets: HashMap<(QualifiedName, Name), VecDeque<Period>>,
    /// When the last list was current.
    last: Option<Instant>,
}

/// A time in which all current lists named a target with one version.
#[derive(Debug)]
struct Period {
    version: Name,
    first: Instant,
    last: Instant,
    /// When the last list before `first` was current, if it did not name the target.
    absent_at: Option<Instant>,
}

impl ConfirmedVersions {
    /// Records the targets of a list that was current at `at`, with their versions. Lists that are older than the last one are ignored.
    pub fn observe<'a>(
        &mut self,
        at: Instant,
        listed: impl Iterator<Item = (&'a QualifiedName, &'a Name, &'a Name)>,
    ) {
        let previous = self.last;
        if previous.is_some_and(|it| at <= it) {
            return;
        }
        for (service, target, version) in listed {
            let periods = self.targets.entry((service.clone(), target.clone())).or_default();
            let was_listed = periods.back().is_some_and(|it| Some(it.last) == previous);
            match periods.back_mut() {
                Some(period) if was_listed && period.version == *version => period.last = at,
                _ => {
                    let absent_at = previous.filter(|_| !was_listed);
                    let version = version.clone();
                    periods.push_back(Period { version, first: at, last: at, absent_at });
                }
            }
        }
        self.last = Some(at);
        self.targets.retain(|_, periods| {
            while periods.front().is_some_and(|it| at.duration_since(it.last) > RETENTION) {
                periods.pop_front();
            }
            !periods.is_empty()
        });
    }

    /// Returns the version of a target in the first current list at `since` or later; `None` if there is no such list yet or it did not
    /// name the target.
    pub fn version_after(
        &self,
        service: &QualifiedName,
        target: &Name,
        since: Instant,
    ) -> Option<&Name> {
        let period = self.periods(service, target).find(|it| it.last >= since)?;
        let is_first = period.first <= since || period.absent_at.is_none_or(|it| it < since);
        is_first.then_some(&period.version)
    }

    /// Returns whether a list has named a target with another version.
    pub fn has_had_other_version(
        &self,
        service: &QualifiedName,
        target: &Name,
        version: &Name,
    ) -> bool {
        self.periods(service, target).any(|it| it.version != *version)
    }

    fn periods(&self, service: &QualifiedName, target: &Name) -> impl Iterator<Item = &Period> {
        self.targets.get(&(service.clone(), target.clone())).into_iter().flatten()
    }
}
