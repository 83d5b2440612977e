//! What the end of an attempt does to a request.

use stdx::{Name, Timestamp};

use super::{
    budget::RetryLimit,
    dispatcher::{Dispatcher, clamp_retry_after},
    event::{FailureCause, NotRunCause},
    fair::Entry,
    health::{HealthEvent, HealthState},
    poison::{Conclusion, RunEnd},
    request::{Class, Reason},
    service::Phase,
};

/// An attempt that has ended.
pub(super) struct Released {
    pub service: usize,
    pub target: Name,
    pub since: Timestamp,
    pub conclusion: Conclusion,
}

impl Dispatcher {
    pub(super) fn on_first_byte(&mut self, now: Timestamp, id: u64) {
        let Some(held) = self.in_flight_mut(id) else { return };
        held.sent = true;
        // The bytes of a batch item's answer are delivered to nobody before it is complete.
        held.answered |= held.class() == Class::Online;
        let service = held.service;
        let Phase::InFlight { target, since, .. } = &held.phase else { return };
        let (target, since) = (target.clone(), *since);
        self.on_sign_of_life(now, service, &target, since);
        let was_up = self.services[service].targets[&target].health.state() == HealthState::Up;
        self.apply_health_event(now, service, &target, HealthEvent::Success);
        if !was_up {
            self.schedule(now, service);
        }
    }

    pub(super) fn on_completed(&mut self, now: Timestamp, id: u64, tokens: Option<u64>) {
        let Some(released) = self.release(now, id, RunEnd::Completed) else { return };
        let held = self.requests.swap_remove(&id).expect("a released request is held");
        let service = &mut self.services[released.service];
        service.record_slot_time(now.since(released.since), held.request.cost);
        if let Some(tokens) = tokens {
            let correction = tokens as i64 - held.charged as i64;
            service.class_state_mut(held.class()).queue.charge(&held.request.account, correction);
        }
        self.apply_health_event(now, released.service, &released.target, HealthEvent::Success);
        self.on_sign_of_life(now, released.service, &released.target, released.since);
        self.schedule(now, released.service);
    }

    pub(super) fn on_failed_before_send(&mut self, now: Timestamp, id: u64) {
        let Some(released) = self.release(now, id, RunEnd::Neutral) else { return };
        self.apply_health_event(now, released.service, &released.target, HealthEvent::Failure);
        self.retry(now, id, &released, true);
    }

    pub(super) fn on_failed_after_send(&mut self, now: Timestamp, id: u64, cause: FailureCause) {
        let Some(held) = self.in_flight_mut(id) else { return };
        held.sent = true;
        let Phase::InFlight { target, .. } = &held.phase else { return };
        let (service, target) = (held.service, target.clone());
        let target = &self.services[service].targets[&target];
        let leaves = !target.listed || target.health.state() == HealthState::Leaving;
        let (end, event) = match cause {
            FailureCause::ConnectionLost if leaves => {
                (RunEnd::LeavingTargetDied, Some(HealthEvent::Death))
            }
            FailureCause::ConnectionLost => (RunEnd::TargetDied, Some(HealthEvent::Death)),
            FailureCause::BadAnswer | FailureCause::Drained => {
                (RunEnd::Neutral, Some(HealthEvent::Failure))
            }
            // A target that accepts connections has not died, and most of its answers may arrive.
            FailureCause::AnswerLost => (RunEnd::Neutral, None),
        };
        let Some(released) = self.release(now, id, end) else { return };
        if let Some(event) = event {
            self.apply_health_event(now, released.service, &released.target, event);
        }
        // A drain ends each request at most once, so that its retries cannot multiply.
        self.retry(now, id, &released, cause != FailureCause::Drained && !leaves);
    }

    /// Places a request again that its target refused; that is no attempt, because nothing ran.
    pub(super) fn on_not_run(&mut self, now: Timestamp, id: u64, cause: NotRunCause) {
        let Some(released) = self.release(now, id, RunEnd::Neutral) else { return };
        match cause {
            NotRunCause::Full => {
                let limit = self.settings.full_backoff;
                if let Some(on) = self.services[released.service].targets.get_mut(&released.target)
                {
                    on.record_full(now + limit);
                }
            }
            NotRunCause::Replaced => {
                self.apply_health_event(
                    now,
                    released.service,
                    &released.target,
                    HealthEvent::Death,
                );
            }
        }
        self.refund(id);
        let held = self.requests.get_mut(&id).expect("a released request is held");
        held.avoid = Some(released.target.clone());
        held.refusals += 1;
        if held.refusals > self.settings.max_refusals || now >= held.request.deadline {
            let wait = self.services[released.service].wait_model(&self.settings, now).behind(0);
            self.give_up(id, Reason::QueueFull, clamp_retry_after(wait));
        } else {
            self.wait_again(id);
        }
        self.schedule(now, released.service);
    }

    pub(super) fn on_yielded(&mut self, now: Timestamp, id: u64) {
        let Some(held) = self.in_flight_mut(id) else { return };
        if !held.is_stoppable() {
            return;
        }
        let service = held.service;
        self.release(now, id, RunEnd::Neutral);
        self.refund(id);
        self.wait_again(id);
        self.schedule(now, service);
    }

    pub(super) fn on_caller_gone(&mut self, now: Timestamp, id: u64) {
        let Some(held) = self.requests.get(&id) else { return };
        let service = held.service;
        self.release(now, id, RunEnd::Neutral);
        self.remove_waiting(id);
        self.schedule(now, service);
    }

    /// Frees the slot of a request in flight; the request stays held, as queued but in no queue.
    pub(super) fn release(&mut self, now: Timestamp, id: u64, end: RunEnd) -> Option<Released> {
        let held = self.requests.get_mut(&id)?;
        let Phase::InFlight { target, since, stopping, as_suspect } = held.phase.clone() else {
            return None;
        };
        held.phase = Phase::Queued;
        let service = &mut self.services[held.service];
        let on = &mut service.targets[&target];
        *on.own.class_mut(held.class()) -= 1;
        on.own.suspects -= u32::from(as_suspect);
        if held.is_stoppable() {
            match stopping {
                true => on.stopping -= 1,
                false => on.stoppable.retain(|it| *it != id),
            }
        } else if held.class() == Class::Batch {
            on.non_idempotent_batch -= 1;
        }
        let gone = !on.listed && on.own.total() == 0;
        if gone {
            service.targets.shift_remove(&target);
        }
        let (service, fingerprint) = (held.service, held.request.fingerprint);
        let was_announced = !as_suspect && self.poison.is_suspect(&fingerprint);
        let conclusion = self.poison.finish(&self.settings, now, &fingerprint, &target, end);
        if conclusion == Conclusion::Died {
            self.share_death(now, service, &target, fingerprint, since);
        }
        // The death goes ahead of the end of the claim, so that no peer claims without knowing it.
        self.end_claim(&fingerprint, id);
        if was_announced {
            self.end_announced_run(service, &target, fingerprint);
        }
        Some(Released { service, target, since, conclusion })
    }

    /// Puts a released request back to wait, ahead of its account's others.
    fn wait_again(&mut self, id: u64) {
        let held = self.requests.get_mut(&id).expect("a released request is held");
        let service = &mut self.services[held.service];
        if self.poison.is_suspect(&held.request.fingerprint) {
            held.phase = Phase::Suspect;
            service.suspects.push(id);
            return;
        }
        let request = &held.request;
        let entry = Entry { id, cost: request.cost.max(1), bytes: request.bytes };
        service.class_state_mut(request.class).queue.push_front(
            &request.account,
            request.weight,
            entry,
        );
    }

    fn refund(&mut self, id: u64) {
        let held = self.requests.get_mut(&id).expect("a released request is held");
        let queue = &mut self.services[held.service].class_state_mut(held.request.class).queue;
        queue.charge(&held.request.account, -(held.charged as i64));
        held.charged = 0;
    }

    /// Retries a released request or gives its final answer.
    fn retry(&mut self, now: Timestamp, id: u64, released: &Released, from_budget: bool) {
        let wait = self.services[released.service].wait_model(&self.settings, now).behind(0);
        let retry_after = clamp_retry_after(wait);
        self.refund(id);
        let held = self.requests.get_mut(&id).expect("a released request is held");
        held.avoid = Some(released.target.clone());
        let fingerprint = held.request.fingerprint;
        if self.conclude_suspicions(now).contains(&fingerprint) {
            // Every request with the fingerprint has its answer.
            self.schedule(now, released.service);
            return;
        }
        let held = self.requests.get_mut(&id).expect("a released request is held");
        if (held.sent && !held.request.idempotent)
            || (held.answered && !held.request.resumable)
            || held.attempt >= held.request.max_attempts
            || released.conclusion == Conclusion::Exhausted
        {
            self.give_up(id, Reason::TargetFailed, retry_after);
        } else if now >= held.request.deadline
            || wait.is_none_or(|it| now + it >= held.request.deadline)
        {
            self.give_up(id, Reason::WaitTooLong, retry_after);
        } else {
            let limit = RetryLimit {
                ratio: self.settings.retry_ratio,
                floor: self.settings.retry_floor,
                window: self.settings.retry_window,
            };
            let lane = self.services[released.service].class_state_mut(held.request.class);
            // Suspects run one at a time on each target, which bounds their retries more tightly than the budget does.
            let from_budget = from_budget && !self.poison.is_suspect(&fingerprint);
            if from_budget && !lane.budget.try_retry(limit, now) {
                self.give_up(id, Reason::RetryBudget, retry_after);
            } else {
                held.attempt += 1;
                self.wait_again(id);
            }
        }
        self.schedule(now, released.service);
    }
}
