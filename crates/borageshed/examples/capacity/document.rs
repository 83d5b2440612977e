//! Sections of the configuration document in the sizes that are measured.

use std::{fmt::Write as _, net::SocketAddr};

use fleet::SectionId;
use serde_json::{Value, json};
use stdx::Name;
use test_support::deployment::account;

/// The key of the account that sends the load; its rate is far above any load here.
pub const LOAD_KEY: &str = "load-key";
const LOAD_RATE: f64 = 1e6;

/// Returns a section with `count` accounts, one per line, and the account that sends the load.
///
/// `rate` is the rate of the middle account; sections that differ only in it differ in one line.
pub fn accounts(count: usize, rate: f64) -> (SectionId, Name) {
    let mut text = format!("{{\n\"load\": {}", account(LOAD_KEY, LOAD_RATE, LOAD_RATE));
    for i in 0..count {
        let rate = if i == count / 2 { rate } else { 5.0 };
        let value = account(&format!("key-{i}"), rate, 20.0);
        // Writing to a string does not fail.
        let _ = write!(text, ",\n\"account-{i:05}\": {value}");
    }
    text.push_str("\n}\n");
    (SectionId::Accounts(origin()), Name::from(text))
}

/// Returns a section of services with one plain service, `orders`, whose targets are spread over failure domains a, b and c.
pub fn plain_services(targets: &[SocketAddr], concurrency: u32) -> (SectionId, Name) {
    let target = |(i, address): (usize, &SocketAddr)| {
        let domain = ["a", "b", "c"][i % 3];
        let value =
            json!({ "address": address, "failure_domain": domain, "concurrency": concurrency });
        (format!("server-{i:04}"), value)
    };
    let targets: serde_json::Map<String, Value> = targets.iter().enumerate().map(target).collect();
    let services = json!({
        "orders": {
            "serves": { "routes": [{ "path": "/orders", "methods": ["GET"], "idempotent": true }] },
            "targets": targets,
        },
    });
    (SectionId::Services(origin()), Name::from(services.to_string()))
}

/// Returns a section of batch limits that no series reaches.
pub fn batch_limits() -> (SectionId, Name) {
    let limits = json!({
        "max_items_per_job": 1_000_000, "max_open_jobs_per_account": 10_000, "default_window_s": 86_400,
    });
    (SectionId::Batch(origin()), Name::from(limits.to_string()))
}

fn origin() -> Name {
    Name::new("main")
}
