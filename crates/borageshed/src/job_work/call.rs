//! Builds the request that runs an item.

use std::{sync::Arc, time::Duration};

use http_types::{Method, headers::HeaderValue};
use jobs::JobRun;
use policy::dispatch::Class;
use stdx::Name;

use crate::{
    online::{Call, Message, Resumption, UNLIMITED_ATTEMPTS},
    shared::Shared,
};

/// The longest time that a target may take for one run of an item.
const MAX_ITEM_TIMEOUT: Duration = Duration::from_secs(120);

/// Returns the request that runs an item. It times out when its job is given up, after 1 s at the earliest
/// and [`MAX_ITEM_TIMEOUT`] at the latest.
pub fn item_call(cx: &Shared, run: &JobRun, item: &jobs::Item) -> Call {
    let record = run.record();
    let remaining = run.times().give_up_at.since(cx.clock.now());
    let timeout = remaining.clamp(Duration::from_secs(1), MAX_ITEM_TIMEOUT);
    let header = |(name, value): (&Name, &Name)| {
        let value = HeaderValue::from_bytes(value.as_bytes().to_vec()).ok()?;
        Some((name.to_ascii_lowercase(), value))
    };
    let mut headers: Vec<_> = item.headers.iter().filter_map(header).collect();
    if let Ok(host) = HeaderValue::from_bytes(record.host.as_bytes().to_vec()) {
        headers.push(("host".to_owned(), host));
    }
    let account = record.account();
    Call {
        request_id: item.id.to_string(),
        service: record.service(),
        account_id: Some(policy::rate::AccountId::of(&account)),
        account,
        key: None,
        weight: 1,
        class: Class::Batch,
        cost: item.tokens,
        idempotent: true,
        timeout,
        objective: None,
        deadline: Some(cx.clock.now() + timeout),
        max_attempts: UNLIMITED_ATTEMPTS,
        resumption: Resumption::AnyTarget { after: None },
        version: None,
        first_attempt: None,
        prefix: None,
        shared_parts: Vec::new(),
        harmless: true,
        message: Arc::new(Message {
            method: Method::Post,
            path: item.path.to_string(),
            headers,
            body: item.body.0.clone(),
            memory: None,
        }),
    }
}
