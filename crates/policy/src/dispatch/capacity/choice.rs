//! The choice among candidates by the expected cost of one more request.

use super::learned::{Expected, Outlook};

/// The events for whose gaps a caller accepts a first event later by the same time.
const EVENTS: f64 = 2.0;
/// How much more a second of waiting counts than a second of slower service: what waits at a target delays those behind it,
/// too.
const WAIT_WEIGHT: f64 = 3.0;
/// A request makes those that come later wait if more come than usual, the more so the more slots are taken. Counts as this
/// share of its own time at the target with all slots taken.
const CROWDING_WEIGHT: f64 = 3.0;
/// Candidates within this factor of the lowest cost count as equal.
const EQUAL_COST: f64 = 1.02;

/// A target that may take the request.
#[derive(Debug, Clone, Copy)]
pub(in super::super) struct Candidate<T> {
    pub target: T,
    pub outlook: Outlook,
    /// The additional seconds that a request takes to this target.
    pub distance: f64,
}

/// What a request wants of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in super::super) enum Wish {
    /// An early first event and fast further ones.
    Online,
    /// That most room is left for the next burst of online requests.
    Batch,
}

impl Wish {
    /// Returns the cost of one more request, of which `expected` is expected.
    pub fn cost(self, expected: &Expected) -> f64 {
        let Expected { wait, first, gap, occupancy, service, .. } = expected;
        match self {
            Self::Online => {
                let crowding = CROWDING_WEIGHT * service * occupancy.powi(2);
                first + EVENTS * gap + (WAIT_WEIGHT - 1.0) * wait + crowding
            }
            Self::Batch => *occupancy,
        }
    }
}

/// Picks the candidate with the lowest cost; among several of almost the same cost, the one with the highest `score`.
///
/// Since the figures were current, other instances have sent requests, too. They choose by their own requests first, so these
/// are taken to be spread as the candidates can serve them.
pub(in super::super) fn pick<T: Copy>(
    candidates: &[Candidate<T>],
    wish: Wish,
    score: impl Fn(&Candidate<T>) -> u64,
) -> Option<Candidate<T>> {
    let begun: f64 = candidates.iter().map(|it| it.outlook.begun()).sum();
    let rate: f64 = candidates.iter().map(|it| it.outlook.rate()).sum();
    let cost = |it: &Candidate<T>| {
        let begun = begun * it.outlook.rate() / rate;
        wish.cost(&it.outlook.expect(begun)) + it.distance
    };
    let costs: Vec<f64> = candidates.iter().map(cost).collect();
    let lowest = costs.iter().copied().min_by(f64::total_cmp)?;
    let equal = candidates.iter().zip(&costs).filter(|it| *it.1 <= lowest * EQUAL_COST);
    equal.map(|it| *it.0).max_by_key(score)
}
