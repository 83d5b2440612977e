//! The chart, its file format and its validation.

use std::collections::HashMap;

use stdx::{
    Name,
    jsonc::{LocatedError, Source, Step as PathStep},
    wire_type,
};

use crate::error::{ChartError, Result};

/// A closed set of states, events or actions.
pub trait ChartEnum: Copy + Eq + std::hash::Hash + 'static {
    /// Returns every member of the set.
    fn all() -> &'static [Self];

    /// Returns the name that chart files use.
    fn name(self) -> &'static str;
}

/// A validated state chart whose states, events and actions belong to closed sets.
#[derive(Debug, Clone)]
pub struct Chart<S, E, A> {
    initial: S,
    transitions: HashMap<(S, E), (S, Vec<A>)>,
}

/// The outcome of one event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step<'a, S, A> {
    /// The state after the event.
    pub next: S,
    /// The actions to perform, in order.
    pub actions: &'a [A],
}

wire_type! {
    /// A chart file: the initial state and the transitions.
    struct ChartFile {
        initial: Name,
        transitions: Vec<TransitionEntry>,
    }
}

wire_type! {
    /// Transitions from each state of `from` on each event of `on`; without `to`, the state stays the same.
    struct TransitionEntry {
        from: Vec<Name>,
        on: Vec<Name>,
        #[serde(default)]
        to: Option<Name>,
        #[serde(default, rename = "do")]
        actions: Vec<Name>,
    }
}

impl<S: ChartEnum, E: ChartEnum, A: ChartEnum> Chart<S, E, A> {
    /// Parses and validates a chart.
    ///
    /// # Errors
    ///
    /// Returns the first error with its position: invalid JSON, a state, event or action outside its closed set, two
    /// transitions from one state on one event, or a state that cannot be reached.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let source = Source::new(name, text);
        let file: ChartFile = source.read().map_err(ChartError::Syntax)?;
        let initial = find(&source, &[key("initial")], &file.initial, "state")
            .map_err(ChartError::UnknownState)?;
        let mut chart = Self { initial, transitions: HashMap::new() };
        for (i, entry) in file.transitions.iter().enumerate() {
            chart.add(&source, i, entry)?;
        }
        chart.check_reachable(&source)?;
        Ok(chart)
    }

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the outcome of `event` in `state`; an event without a transition changes nothing.
    pub fn step(&self, state: S, event: E) -> Step<'_, S, A> {
        match self.transitions.get(&(state, event)) {
            Some((next, actions)) => Step { next: *next, actions },
            None => Step { next: state, actions: &[] },
        }
    }

    fn add(&mut self, source: &Source, index: usize, entry: &TransitionEntry) -> Result<()> {
        let at = |field: &str| vec![key("transitions"), PathStep::Index(index), key(field)];
        let at_element = |field: &str, i: usize| {
            let mut path = at(field);
            path.push(PathStep::Index(i));
            path
        };
        let to = match &entry.to {
            Some(to) => {
                Some(find::<S>(source, &at("to"), to, "state").map_err(ChartError::UnknownState)?)
            }
            None => None,
        };
        let mut actions = Vec::with_capacity(entry.actions.len());
        for (i, action) in entry.actions.iter().enumerate() {
            let found = find::<A>(source, &at_element("do", i), action, "action");
            actions.push(found.map_err(ChartError::UnknownAction)?);
        }
        for (i, from) in entry.from.iter().enumerate() {
            let from = find::<S>(source, &at_element("from", i), from, "state")
                .map_err(ChartError::UnknownState)?;
            for (j, event) in entry.on.iter().enumerate() {
                let path = at_element("on", j);
                let on =
                    find::<E>(source, &path, event, "event").map_err(ChartError::UnknownEvent)?;
                let transition = (to.unwrap_or(from), actions.clone());
                if self.transitions.insert((from, on), transition).is_some() {
                    let message =
                        format!("ambiguous: another transition leaves {:?} on it", from.name());
                    return Err(ChartError::Ambiguous(source.error_at(&path, &message)));
                }
            }
        }
        Ok(())
    }

    fn check_reachable(&self, source: &Source) -> Result<()> {
        let mut reached = vec![self.initial];
        let mut next = 0;
        while let Some(&state) = reached.get(next) {
            next += 1;
            for &event in E::all() {
                let to = self.step(state, event).next;
                if !reached.contains(&to) {
                    reached.push(to);
                }
            }
        }
        match S::all().iter().find(|it| !reached.contains(it)) {
            Some(state) => {
                let message = format!("state {:?} is unreachable", state.name());
                Err(ChartError::Unreachable(source.error_at(&[key("transitions")], &message)))
            }
            None => Ok(()),
        }
    }
}

fn find<T: ChartEnum>(
    source: &Source,
    path: &[PathStep],
    text: &str,
    what: &str,
) -> std::result::Result<T, LocatedError> {
    T::all().iter().copied().find(|it| it.name() == text).ok_or_else(|| {
        let allowed: Vec<_> = T::all().iter().map(|it| it.name()).collect();
        source.error_at(path, &format!("unknown {what}, expected one of {}", allowed.join(", ")))
    })
}

fn key(name: &str) -> PathStep {
    PathStep::Key(Name::new(name))
}
