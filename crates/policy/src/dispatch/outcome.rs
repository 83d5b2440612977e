//! Handles the results of attempts: completion, retry or a final answer.

use std::time::Duration;

use stdx::{Name, Timestamp};

use super::{
    budget::RetryLimit,
    dispatcher::{Dispatcher, clamp_retry_after},
    event::{FailureCause, NotRunCause},
    fair::Entry,
    health::{HealthEvent, HealthState},
    poison::{AttemptEnd, AttemptResult},
    request::{Class, Reason},
    service::Phase,
};

/// An attempt that has ended.
pub(super) struct Released {
    pub service: usize,
    pub target: Name,
    pub since: Timestamp,
    pub result: AttemptResult,
}

impl Dispatcher {
    pub(super) fn on_first_byte(&mut self, now: Timestamp, id: u64) {
        let Some(held) = self.in_flight_mut(id) else { return };
        held.sent = true;
        // No byte of a batch item's answer is delivered before the answer is complete.
        held.answered |= held.class() == Class::Online;
        let service = held.service;
        let Phase::InFlight { target, since, .. } = &held.phase else { return };
        let (target, since) = (target.clone(), *since);
        let has_changed = self.learn_first_event(now, id);
        self.on_target_alive(now, service, &target, since);
        let was_up = self.services[service].targets[&target].health.state() == HealthState::Up;
        self.apply_health_event(now, service, &target, HealthEvent::Success);
        if !was_up || has_changed {
            self.schedule(now, service);
        }
    }

    pub(super) fn on_completed(&mut self, now: Timestamp, id: u64, tokens: Option<u64>) {
        self.on_output_begun(id);
        self.learn_whole_answer(now, id);
        let Some(released) = self.release(now, id, AttemptEnd::Completed) else { return };
        let held = self.requests.swap_remove(&id).expect("a released request is held");
        let service = &mut self.services[released.service];
        service.record_slot_time(now.since(released.since), held.request.cost);
        if let Some(tokens) = tokens {
            let correction = tokens as i64 - held.charged as i64;
            service.class_state_mut(held.class()).queue.charge(&held.request.account, correction);
        }
        self.apply_health_event(now, released.service, &released.target, HealthEvent::Success);
        self.on_target_alive(now, released.service, &released.target, released.since);
        self.schedule(now, released.service);
    }

    pub(super) fn on_failed_before_send(&mut self, now: Timestamp, id: u64) {
        let Some(released) = self.release(now, id, AttemptEnd::Neutral) else { return };
        let class = self.requests[&id].class();
        if let Some(target) = self.services[released.service].targets.get_mut(&released.target) {
            target.allowance.refund(class);
        }
        self.apply_health_event(now, released.service, &released.target, HealthEvent::Failure);
        self.retry(now, id, &released, true);
    }

    pub(super) fn on_failed_after_send(&mut self, now: Timestamp, id: u64, cause: FailureCause) {
        let Some(held) = self.in_flight_mut(id) else { return };
        held.sent = true;
        let Phase::InFlight { target, .. } = &held.phase else { return };
        let (service, target) = (held.service, target.clone());
        let target = &self.services[service].targets[&target];
        let is_leaving = !target.listed || target.health.state() == HealthState::Leaving;
        let (end, event) = match cause {
            FailureCause::ConnectionLost | FailureCause::Crashed if is_leaving => {
                (AttemptEnd::LeavingTargetDied, Some(HealthEvent::Death))
            }
            FailureCause::ConnectionLost | FailureCause::Crashed => {
                (AttemptEnd::TargetDied, Some(HealthEvent::Death))
            }
            FailureCause::BadAnswer | FailureCause::Drained => {
                (AttemptEnd::Neutral, Some(HealthEvent::Failure))
            }
            // The target accepts connections, so it has not died, and its other answers may still arrive.
            // Neither can a link that is lost show anything of its target.
            FailureCause::AnswerLost | FailureCause::LinkLost => (AttemptEnd::Neutral, None),
        };
        let suspect_parts = match cause {
            FailureCause::Crashed if !is_leaving => self.suspect_parts(id),
            _ => Vec::new(),
        };
        let Some(released) = self.release(now, id, end) else { return };
        if let Some(event) = event {
            self.apply_health_event(now, released.service, &released.target, event);
        }
        self.report_part_crash(now, &released.target, suspect_parts);
        if !self.requests.contains_key(&id) {
            // The verdict on a part has refused this request as well.
            self.schedule(now, released.service);
            return;
        }
        // Retries after a drain are not taken from the retry budget: a drain interrupts each request at most once, so they
        // cannot multiply. The budget protects targets, which get nothing on a lost link.
        let is_counted = !matches!(cause, FailureCause::Drained | FailureCause::LinkLost);
        self.retry(now, id, &released, is_counted && !is_leaving);
    }

    /// Requeues a request that its target refused without running it. This does not count as an attempt.
    pub(super) fn on_not_run(&mut self, now: Timestamp, id: u64, cause: NotRunCause) {
        let Some(released) = self.release(now, id, AttemptEnd::Neutral) else { return };
        match cause {
            NotRunCause::Full => {
                let limit = self.settings.full_backoff;
                if let Some(on) = self.services[released.service].targets.get_mut(&released.target)
                {
                    on.record_full(now + limit);
                }
            }
            NotRunCause::Evacuated => {
                let class = self.requests[&id].class();
                if let Some(on) = self.services[released.service].targets.get_mut(&released.target)
                {
                    on.allowance.refund(class);
                    // What the sender knows may be newer than what is known here.
                    on.record_full(now + self.settings.full_backoff);
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
        held.refusals += u32::from(cause != NotRunCause::Evacuated);
        if held.refusals > self.settings.max_refusals || now >= held.request.deadline {
            let wait = self.services[released.service].wait_model(&self.settings, now).behind(0);
            self.refuse_waiting(id, Reason::QueueFull, clamp_retry_after(wait));
        } else {
            self.requeue(id);
        }
        self.schedule(now, released.service);
    }

    pub(super) fn on_yielded(&mut self, now: Timestamp, id: u64) {
        let Some(held) = self.in_flight_mut(id) else { return };
        if !held.is_stoppable() {
            return;
        }
        let service = held.service;
        self.release(now, id, AttemptEnd::Neutral);
        self.refund(id);
        self.requeue(id);
        self.schedule(now, service);
    }

    pub(super) fn on_caller_gone(&mut self, now: Timestamp, id: u64) {
        let Some(held) = self.requests.get(&id) else { return };
        let service = held.service;
        self.release(now, id, AttemptEnd::Neutral);
        self.remove_waiting(id);
        self.schedule(now, service);
    }

    /// Ends the attempt of a request in flight and frees its slot.
    ///
    /// The request stays in `requests` with the phase [`Phase::Queued`], but is in no queue. The caller requeues or
    /// removes it.
    pub(super) fn release(&mut self, now: Timestamp, id: u64, end: AttemptEnd) -> Option<Released> {
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
        let is_gone = !on.listed && on.own.total() == 0;
        if is_gone {
            service.targets.remove(&target);
        }
        let (service, fingerprint) = (held.service, held.request.fingerprint);
        let was_announced = !as_suspect && self.poison.is_suspect(&fingerprint);
        let result = match held.request.harmless {
            true => AttemptResult::Retryable,
            false => self.poison.end_attempt(&self.settings, now, &fingerprint, &target, end),
        };
        if result == AttemptResult::NewDeath {
            self.report_target_death(now, service, &target, fingerprint, since);
        }
        // Peers are told of the death before the end of the claim, so that none claims the suspect without knowing of it.
        self.end_claim(&fingerprint, id);
        if was_announced {
            self.end_announced_run(service, &target, fingerprint);
        }
        Some(Released { service, target, since, result })
    }

    /// Puts a released request back into its queue, ahead of the other requests of its account, or into the list of
    /// suspects.
    fn requeue(&mut self, id: u64) {
        let held = self.requests.get_mut(&id).expect("a released request is held");
        let service = &mut self.services[held.service];
        if self.poison.is_suspect(&held.request.fingerprint) {
            held.phase = Phase::Suspect;
            service.suspects.push(id);
            return;
        }
        let request = &held.request;
        let entry = Entry { id, cost: request.cost.max(1), bytes: request.bytes, due: request.due };
        service.class_state_mut(request.class).queue.push_front(
            &request.account,
            request.weight,
            entry,
        );
    }

    /// Credits the account with what it was charged for the current attempt.
    fn refund(&mut self, id: u64) {
        let held = self.requests.get_mut(&id).expect("a released request is held");
        let queue = &mut self.services[held.service].class_state_mut(held.request.class).queue;
        queue.charge(&held.request.account, -(held.charged as i64));
        held.charged = 0;
    }

    /// Retries a released request or gives its final answer.
    fn retry(&mut self, now: Timestamp, id: u64, released: &Released, use_budget: bool) {
        let wait = self.services[released.service].wait_model(&self.settings, now).behind(0);
        let retry_after = clamp_retry_after(wait);
        self.refund(id);
        let held = self.requests.get_mut(&id).expect("a released request is held");
        held.avoid = Some(released.target.clone());
        let fingerprint = held.request.fingerprint;
        if self.decide_verdicts(now).contains(&fingerprint) {
            // The verdict refused every request with the fingerprint, including this one.
            self.schedule(now, released.service);
            return;
        }
        let held = self.requests.get_mut(&id).expect("a released request is held");
        if let Some(retry_after) = self.parts.admit(now, id, &held.request.shared_parts) {
            // The part was condemned while the answer was on its way.
            self.refuse_waiting(id, Reason::PoisonPart, retry_after);
            self.schedule(now, released.service);
            return;
        }
        if (held.sent && !held.request.idempotent)
            || (held.answered && !held.request.resumable)
            || held.attempt >= held.request.max_attempts
            || released.result == AttemptResult::Exhausted
        {
            self.refuse_waiting(id, Reason::TargetFailed, retry_after);
        } else if self.services[released.service].lacks_version(held) {
            self.refuse_waiting(id, Reason::NoTargetOfVersion, Duration::ZERO);
        } else if now >= held.request.deadline
            || wait.is_none_or(|it| now + it >= held.request.deadline)
        {
            self.refuse_waiting(id, Reason::WaitTooLong, retry_after);
        } else {
            let limit = RetryLimit {
                ratio: self.settings.retry_ratio,
                floor: self.settings.retry_floor,
                window: self.settings.retry_window,
            };
            let class_state = self.services[released.service].class_state_mut(held.request.class);
            // Suspects run one at a time on each target, which bounds their retries more strictly than the retry budget.
            let use_budget = use_budget && !self.poison.is_suspect(&fingerprint);
            if use_budget && !class_state.budget.try_retry(limit, now) {
                self.refuse_waiting(id, Reason::RetryBudget, retry_after);
            } else {
                held.attempt += 1;
                self.requeue(id);
            }
        }
        self.schedule(now, released.service);
    }
}
