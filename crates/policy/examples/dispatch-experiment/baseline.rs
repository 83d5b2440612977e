//! The baseline: one first-in, first-out queue per instance for both classes and all accounts.

use std::collections::{BTreeMap, VecDeque};

use policy::dispatch::{Action, Event, FailureCause, Request};
use stdx::{Name, Timestamp};

/// How the baseline chooses a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Route {
    LeastInFlight,
    RoundRobin,
}

#[derive(Debug)]
pub struct Baseline {
    route: Route,
    /// Each target with this instance's requests in flight there.
    targets: Vec<(Name, u32)>,
    /// The most requests in flight on each target.
    limit: u32,
    next: usize,
    queue: VecDeque<Request>,
    in_flight: BTreeMap<u64, (usize, Request)>,
}

impl Baseline {
    /// Creates the queue of an instance that may have `limit` requests in flight on each target.
    pub fn new(route: Route, targets: impl Iterator<Item = Name>, limit: u32) -> Self {
        Self {
            route,
            targets: targets.map(|it| (it, 0)).collect(),
            limit,
            next: 0,
            queue: VecDeque::new(),
            in_flight: BTreeMap::new(),
        }
    }

    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.queue.push_back(request);
        self.schedule()
    }

    pub fn on_event(&mut self, _now: Timestamp, event: &Event) -> Vec<Action> {
        match event {
            Event::Completed { id, .. } => {
                self.release(*id);
            }
            Event::FailedAfterSend { id, cause: FailureCause::ConnectionLost } => {
                if let Some(request) = self.release(*id) {
                    self.queue.push_front(request);
                }
            }
            _ => {}
        }
        self.schedule()
    }

    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn release(&mut self, id: u64) -> Option<Request> {
        let (index, request) = self.in_flight.remove(&id)?;
        self.targets[index].1 -= 1;
        Some(request)
    }

    fn schedule(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.queue.is_empty() {
            let free = |it: &usize| self.targets[*it].1 < self.limit;
            let count = self.targets.len();
            let rotation = (0..count).map(|it| (self.next + it) % count);
            let chosen = match self.route {
                Route::LeastInFlight => rotation.filter(free).min_by_key(|it| self.targets[*it].1),
                Route::RoundRobin => rotation.clone().find(free),
            };
            let Some(index) = chosen else { break };
            self.next = (index + 1) % count;
            let request = self.queue.pop_front().expect("the queue is not empty");
            self.targets[index].1 += 1;
            let target = self.targets[index].0.clone();
            actions.push(Action::Dispatch {
                id: request.id,
                target,
                version: "".into(),
                attempt: 1,
            });
            self.in_flight.insert(request.id, (index, request));
        }
        actions
    }
}
