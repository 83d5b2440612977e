//! The settings of a load: JSON with comments.

use std::{env, net::SocketAddr};

use http_types::Method;
use stdx::{
    Name,
    jsonc::{Source, Step},
    wire_type,
};

use crate::error::{Failure, Result};

/// The longest phase, which bounds the memory of the schedule.
const MAX_DURATION_S: f64 = 3_600.0;
/// The most requests of a phase, of which the schedule takes some 200 MB.
const MAX_ARRIVALS: f64 = 5e6;
/// The most requests per second of a stream of arrivals.
const MAX_PER_S: f64 = 100_000.0;

wire_type! {
    /// A load.
    pub struct Load {
        /// The name under which results are shown.
        pub name: Name,
        /// The daemons; requests go to them in turn.
        pub callers: Vec<SocketAddr>,
        /// The length of each phase, in seconds. With batch jobs there is one phase without and one with them.
        pub duration_s: f64,
        /// The start of each phase that is not measured, in seconds.
        #[serde(default)]
        pub warm_up_s: f64,
        /// The seed of the arrivals; the same seed gives the same arrivals.
        #[serde(default)]
        pub seed: u64,
        /// The most requests in flight. A request that is due beyond it is counted as not sent.
        #[serde(default = "default_max_in_flight")]
        pub max_in_flight: usize,
        /// The longest time to the first byte of a request that counts as served, in milliseconds.
        #[serde(default = "default_first_byte_ms")]
        pub first_byte_ms: u64,
        /// The longest that a request may take, in milliseconds.
        #[serde(default = "default_timeout_ms")]
        pub timeout_ms: u64,
        /// The accounts.
        pub accounts: Vec<Account>,
    }
}

wire_type! {
    /// The load of a client account.
    pub struct Account {
        /// The account as `origin/name`.
        pub account: Name,
        /// The name of the environment variable that holds the account's key.
        #[serde(default)]
        pub key_env: Option<Name>,
        /// The key itself, for example keys that are no secret.
        #[serde(default)]
        pub key: Option<Name>,
        /// The account's rate in requests per second; a request within rate and burst must not be refused.
        pub rate_per_s: f64,
        /// The account's burst in requests.
        pub burst: f64,
        /// The streams of arrivals.
        #[serde(default)]
        pub arrivals: Vec<Arrivals>,
        /// A batch job.
        #[serde(default)]
        pub batch: Option<BatchJob>,
    }
}

wire_type! {
    /// A stream of arrivals of one kind of request.
    pub struct Arrivals {
        /// The mean number of requests per second; gaps are exponentially distributed.
        pub per_s: f64,
        /// A time during which more requests come, again and again.
        #[serde(default)]
        pub surge: Option<Surge>,
        /// The method.
        pub method: Method,
        /// The path and query. `{n}` stands for the number of the request.
        pub path: Name,
        /// The body. `{n}` in a text stands for the number of the request.
        #[serde(default)]
        pub body: Option<serde_json::Value>,
    }
}

wire_type! {
    /// A time during which more requests come, again and again.
    pub struct Surge {
        /// The time from the start of one surge to the next, in seconds.
        pub every_s: f64,
        /// The length of a surge, in seconds.
        pub length_s: f64,
        /// The factor by which the mean rises.
        pub factor: f64,
    }
}

wire_type! {
    /// A batch job, submitted at the start of the phase with batch and cancelled at its end.
    pub struct BatchJob {
        /// The number of items.
        pub items: u32,
        /// The path of every item.
        pub endpoint: Name,
        /// The body of an item. `{n}` in a text stands for the number of the item.
        pub body: serde_json::Value,
        /// The time in which the job is due, such as `4h`.
        #[serde(default)]
        pub completion_window: Option<Name>,
    }
}

impl Load {
    /// Reads settings.
    ///
    /// # Errors
    ///
    /// Fails with file, line and column if a value is not valid.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let source = Source::new(file, text);
        let load: Self = source.read().map_err(Failure::from)?;
        load.check(&source)?;
        Ok(load)
    }

    /// Returns whether the load has a batch job.
    pub fn has_batch(&self) -> bool {
        self.accounts.iter().any(|it| it.batch.is_some())
    }

    fn check(&self, source: &Source) -> Result<()> {
        let invalid = |path: &[Step], message: &str| Err(source.error_at(path, message).into());
        if self.callers.is_empty() {
            return invalid(&[key("callers")], "there must be at least one address");
        }
        if !(self.duration_s > 0.0 && self.duration_s <= MAX_DURATION_S) {
            return invalid(&[key("duration_s")], "must be greater than 0 and at most 3600");
        }
        if !(self.warm_up_s >= 0.0 && self.warm_up_s < self.duration_s) {
            return invalid(&[key("warm_up_s")], "must be less than duration_s");
        }
        if self.timeout_ms == 0 || self.first_byte_ms == 0 {
            return invalid(&[], "first_byte_ms and timeout_ms must be at least 1");
        }
        let peaks = self.accounts.iter().flat_map(|it| &it.arrivals).map(Arrivals::peak);
        if peaks.sum::<f64>() * self.duration_s > MAX_ARRIVALS {
            return invalid(&[key("accounts")], "a phase must have at most 5000000 requests");
        }
        for (i, account) in self.accounts.iter().enumerate() {
            let at = |name: &str| [key("accounts"), Step::Index(i), key(name)];
            if account.key_env.is_some() == account.key.is_some() {
                return invalid(&at("account"), "give either key_env or key");
            }
            if !(account.rate_per_s > 0.0 && account.burst >= 1.0) {
                return invalid(
                    &at("rate_per_s"),
                    "rate_per_s must be positive and burst at least 1",
                );
            }
            for arrivals in &account.arrivals {
                if !arrivals.is_valid() {
                    return invalid(
                        &at("arrivals"),
                        "per_s must be positive and at most 100000, path must start with a slash, and a surge \
                         must be shorter than its interval and have a factor of at least 1",
                    );
                }
            }
        }
        Ok(())
    }
}

impl Account {
    /// Returns the key.
    ///
    /// # Errors
    ///
    /// Fails if the environment variable is not set.
    pub fn resolve_key(&self) -> Result<String> {
        if let Some(key) = &self.key {
            return Ok(key.to_string());
        }
        let variable = self.key_env.as_deref().unwrap_or_default();
        env::var(variable).map_err(|_| {
            Failure::Usage(format!("{variable} is not set to the key of {}", self.account))
        })
    }
}

impl Arrivals {
    /// Returns the mean number of requests per second at a time of the phase.
    pub fn rate_at(&self, seconds: f64) -> f64 {
        match &self.surge {
            Some(it) if seconds % it.every_s < it.length_s => self.per_s * it.factor,
            _ => self.per_s,
        }
    }

    /// Returns the highest mean number of requests per second.
    pub fn peak(&self) -> f64 {
        self.per_s * self.surge.as_ref().map_or(1.0, |it| it.factor)
    }

    fn is_valid(&self) -> bool {
        let surge_valid = self
            .surge
            .as_ref()
            .is_none_or(|it| it.length_s > 0.0 && it.every_s > it.length_s && it.factor >= 1.0);
        self.per_s > 0.0 && self.peak() <= MAX_PER_S && self.path.starts_with('/') && surge_valid
    }
}

fn key(name: &str) -> Step {
    Step::Key(Name::new(name))
}

fn default_max_in_flight() -> usize {
    const DEFAULT_MAX_IN_FLIGHT: usize = 1_000;
    DEFAULT_MAX_IN_FLIGHT
}

fn default_first_byte_ms() -> u64 {
    const DEFAULT_FIRST_BYTE_MS: u64 = 480;
    DEFAULT_FIRST_BYTE_MS
}

fn default_timeout_ms() -> u64 {
    const DEFAULT_TIMEOUT_MS: u64 = 30_000;
    DEFAULT_TIMEOUT_MS
}
