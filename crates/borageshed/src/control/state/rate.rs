//! The rate limiter with the slots of this instance, which the instances that admit callers divide among them.

use std::collections::BTreeMap;

use fleet::Document;
use policy::{
    dispatch,
    rate::{Holdings, LENDER_HOLD, RateLimiter},
    slots::{self, DEFAULT_SLOT_VALIDITY, SlotManager},
};
use slog::debug;
use stdx::{Name, Timestamp, rng};

use super::State;
use crate::control::{AdmittingInstance, Effect};

pub(super) struct RateState {
    /// The time from which requests are admitted: by then, loans of an earlier process of this instance have expired.
    pub admits_from: Timestamp,
    pub limiter: RateLimiter,
    pub slots: SlotManager,
    pub holdings: Holdings,
}

impl RateState {
    /// Returns whether requests can be admitted: with this instance's slots, or with loans from peers that hold slots.
    pub fn is_admitting(&self, now: Timestamp) -> bool {
        now >= self.admits_from && !(self.holdings.own.is_empty() && self.holdings.peers.is_empty())
    }
}

impl State {
    pub(super) fn new_rate_state(&self, now: Timestamp, document: &Document) -> RateState {
        let slots = SlotManager::new(
            self.cfg.instance.clone(),
            self.cfg.incarnation,
            document.fleet.rate_slots,
            DEFAULT_SLOT_VALIDITY,
            rng::seeded(self.cfg.seed ^ 1),
        );
        let limiter = RateLimiter::new(now, document, rng::seeded(self.cfg.seed ^ 2))
            .with_head_start(self.cfg.head_start)
            .with_loan_bytes_per_s(self.cfg.loan_bytes_per_s);
        RateState { admits_from: now + LENDER_HOLD, limiter, slots, holdings: Holdings::default() }
    }

    /// Returns the instances that admit requests of callers, including this one if it does.
    fn admitting_instances(&self) -> BTreeMap<Name, AdmittingInstance> {
        let mut admitting = self.admitting.clone();
        if self.cfg.admits_callers {
            let (failure_domain, capacity) = (self.cfg.failure_domain.clone(), self.cfg.capacity);
            admitting
                .insert(self.cfg.instance.clone(), AdmittingInstance { failure_domain, capacity });
        }
        admitting
    }

    /// Returns whether the list of registered daemons is current and contains this one.
    fn is_listed_currently(&self) -> bool {
        let own = &self.cfg.instance;
        self.members_are_current && (self.admitting.contains_key(own) || self.runners.contains(own))
    }

    pub(super) fn report_instances(&mut self, now: Timestamp) {
        let admitting = self.admitting_instances().into_iter();
        let instances = dispatch::Instances {
            admitting: admitting.map(|(name, it)| (name, it.failure_domain)).collect(),
            leaving: self.peers_leaving.clone(),
            runners: self.runners.clone(),
            is_current: self.is_listed_currently(),
        };
        self.on_dispatch_event(now, dispatch::Event::Instances(instances));
    }

    pub(super) fn tick_slots(&mut self, now: Timestamp) {
        if !self.cfg.admits_callers {
            return;
        }
        let mut admitting = self.admitting_instances();
        // A peer that shuts down releases its slots at once, before the list of registered daemons shows it.
        admitting.retain(|it, _| !self.peers_leaving.contains(it));
        let Some(rate) = &mut self.rate else { return };
        let candidates = admitting.iter().map(|(name, it)| slots::Candidate {
            name,
            failure_domain: &it.failure_domain,
            capacity: it.capacity,
        });
        for action in rate.slots.tick(now, &slots::holders(candidates)) {
            self.send_effect(Effect::Slot(action));
        }
    }

    pub(super) fn update_holdings(&mut self, now: Timestamp) {
        let Some(rate) = &mut self.rate else { return };
        let holdings = rate.slots.holdings(now, &self.peers_up);
        if holdings != rate.holdings {
            debug!(self.log, "rate slots changed"; "held" => holdings.own.len());
            rate.limiter.set_holdings(now, &holdings);
            rate.holdings = holdings;
        }
    }
}
