//! Admits requests of callers: takes a token of their account, or lets them wait for one, and then queues them.

use std::time::Duration;

use fleet::QualifiedName;
use policy::{
    dispatch::{self, Execution, Reason, Refusal},
    rate::{AcquireOutcome, RateAction, WaiterId},
};
use stdx::{Name, Timestamp};

use super::{State, actions::send_to_task};
use crate::control::{Directive, Effect, RateRefusal, SubmittedRequest};

impl State {
    pub(super) fn submit(&mut self, now: Timestamp, submitted: SubmittedRequest) {
        let id = submitted.request.id;
        let Some(rate) = &mut self.rate else {
            let refusal = Refusal {
                reason: Reason::NoTarget,
                execution: Execution::NotRun,
                retry_after: Duration::from_secs(1),
            };
            send_to_task(&submitted.directives, Directive::Refuse(refusal));
            return;
        };
        let Some(account) = submitted.rate_account else {
            self.enqueue(now, submitted);
            return;
        };
        let (acquired, actions) = rate.limiter.acquire(now, account, WaiterId(id));
        match acquired {
            AcquireOutcome::Granted => self.enqueue(now, submitted),
            AcquireOutcome::Waiting => {
                self.waiting_for_token.insert(id, submitted);
            }
            AcquireOutcome::Refused { retry_after } => {
                self.refuse_over_rate(now, &submitted, retry_after);
            }
        }
        self.perform_rate_actions(now, actions);
    }

    pub(super) fn enqueue(&mut self, now: Timestamp, submitted: SubmittedRequest) {
        self.directive_senders.insert(submitted.request.id, submitted.directives);
        let actions = self.dispatcher.submit(now, submitted.request);
        self.perform_actions(actions);
    }

    pub(super) fn cancel_token_wait(&mut self, submitted: &SubmittedRequest) {
        if let (Some(rate), Some(account)) = (&mut self.rate, submitted.rate_account) {
            rate.limiter.cancel(account, WaiterId(submitted.request.id));
        }
    }

    pub(super) fn withdraw_key(&mut self, now: Timestamp, account: QualifiedName, key: Name) {
        let uses_key = |it: &SubmittedRequest| {
            it.request.account == account && it.request.key.as_ref() == Some(&key)
        };
        let ids: Vec<u64> = self
            .waiting_for_token
            .iter()
            .filter(|(_, it)| uses_key(it))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            let Some(submitted) = self.waiting_for_token.remove(&id) else { continue };
            self.cancel_token_wait(&submitted);
            let refusal = Refusal {
                reason: Reason::KeyWithdrawn,
                execution: Execution::NotRun,
                retry_after: Duration::from_secs(1),
            };
            send_to_task(&submitted.directives, Directive::Refuse(refusal));
        }
        let event = dispatch::Event::KeyWithdrawn { account, key: Some(key) };
        let actions = self.dispatcher.on_event(now, event);
        self.perform_actions(actions);
    }

    pub(super) fn perform_rate_actions(&mut self, now: Timestamp, actions: Vec<RateAction>) {
        for action in actions {
            match action {
                RateAction::Send { to, message } => {
                    self.send_effect(Effect::SendRate { to, message })
                }
                RateAction::Grant { waiter } => {
                    if let Some(submitted) = self.waiting_for_token.remove(&waiter.0) {
                        self.enqueue(now, submitted);
                    }
                }
                RateAction::Refuse { waiter, retry_after } => {
                    if let Some(submitted) = self.waiting_for_token.remove(&waiter.0) {
                        self.refuse_over_rate(now, &submitted, retry_after);
                    }
                }
            }
        }
    }

    fn refuse_over_rate(
        &self,
        now: Timestamp,
        submitted: &SubmittedRequest,
        retry_after: Duration,
    ) {
        let (Some(rate), Some(account)) = (&self.rate, submitted.rate_account) else { return };
        let inputs = rate.limiter.inputs(now, account);
        send_to_task(
            &submitted.directives,
            Directive::OverRate(RateRefusal { retry_after, inputs }),
        );
    }
}
