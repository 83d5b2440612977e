//! The settings of a load, read from JSON with comments.

use std::{env, net::SocketAddr};

use http_types::Method;
use stdx::{
    Name,
    jsonc::{Source, Step},
    wire_type,
};

use crate::error::{Failure, Result};

/// The maximum duration of a phase, which limits the memory of the schedule.
const MAX_DURATION_S: f64 = 3_600.0;
/// The maximum number of requests of a phase; a schedule of this size takes about 200 MB.
const MAX_ARRIVALS: f64 = 5e6;
/// The maximum rate of a stream of arrivals, including surges, in requests per second.
const MAX_PER_S: f64 = 100_000.0;

wire_type! {
    /// The settings of a load.
    pub struct Load {
        /// The name of the load in its results.
        pub name: Name,
        /// The addresses of the daemons; requests are distributed round-robin.
        pub callers: Vec<SocketAddr>,
        /// The duration of each phase, in seconds. With batch jobs there are two phases, one without and one with them.
        pub duration_s: f64,
        /// The initial part of each phase that is not measured, in seconds.
        #[serde(default)]
        pub warm_up_s: f64,
        /// The seed of the arrivals; the same seed gives the same arrivals.
        #[serde(default)]
        pub seed: u64,
        /// The maximum number of requests in flight. A request that is due when it is reached is counted as not sent.
        #[serde(default = "default_max_in_flight")]
        pub max_in_flight: usize,
        /// The longest time to the first byte of a request that counts as served, in milliseconds.
        #[serde(default = "default_first_byte_ms")]
        pub first_byte_ms: u64,
        /// The timeout of a request, in milliseconds.
        #[serde(default = "default_timeout_ms")]
        pub timeout_ms: u64,
        /// The accounts.
        pub accounts: Vec<Account>,
    }
}

wire_type! {
    /// A client account and its load.
    pub struct Account {
        /// The name of the account as `origin/name`.
        pub account: Name,
        /// The name of the environment variable that holds the account's key.
        #[serde(default)]
        pub key_env: Option<Name>,
        /// The key itself, for keys that are not secret, such as those of the examples.
        #[serde(default)]
        pub key: Option<Name>,
        /// The account's rate in requests per second; a request within rate and burst must not be refused.
        pub rate_per_s: f64,
        /// The account's burst in requests.
        pub burst: f64,
        /// The streams of arrivals.
        #[serde(default)]
        pub arrivals: Vec<Arrivals>,
        /// A batch job of the account.
        #[serde(default)]
        pub batch: Option<BatchJob>,
    }
}

wire_type! {
    /// A stream of arrivals of one kind of request.
    pub struct Arrivals {
        /// The mean number of requests per second; gaps are exponentially distributed.
        pub per_s: f64,
        /// A periodic interval with a higher rate.
        #[serde(default)]
        pub surge: Option<Surge>,
        /// The HTTP method.
        pub method: Method,
        /// The path and query. `{n}` stands for the number of the request.
        pub path: Name,
        /// The JSON body. `{n}` in a string stands for the number of the request.
        #[serde(default)]
        pub body: Option<serde_json::Value>,
    }
}

wire_type! {
    /// A periodic interval with a higher rate.
    pub struct Surge {
        /// The time from the start of one surge to the next, in seconds.
        pub every_s: f64,
        /// The length of a surge, in seconds.
        pub length_s: f64,
        /// The factor by which the mean rate is multiplied.
        pub factor: f64,
    }
}

wire_type! {
    /// A batch job, submitted at the start of the second phase and cancelled at its end.
    pub struct BatchJob {
        /// The number of items.
        pub items: u32,
        /// The path to which every item is sent.
        pub endpoint: Name,
        /// The body of an item. `{n}` in a string stands for the number of the item.
        pub body: serde_json::Value,
        /// The time within which the job is due, such as `4h`.
        #[serde(default)]
        pub completion_window: Option<Name>,
    }
}

impl Load {
    /// Parses and checks the settings of a load.
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
            return invalid(
                &[key("callers")],
                "expected at least one daemon address, here or with --to",
            );
        }
        if !(self.duration_s > 0.0 && self.duration_s <= MAX_DURATION_S) {
            return invalid(&[key("duration_s")], "must be greater than 0 and at most 3600");
        }
        if !(self.warm_up_s >= 0.0 && self.warm_up_s < self.duration_s) {
            return invalid(&[key("warm_up_s")], "must be at least 0 and less than duration_s");
        }
        if self.timeout_ms == 0 || self.first_byte_ms == 0 {
            return invalid(&[], "first_byte_ms and timeout_ms must be at least 1");
        }
        let peaks = self.accounts.iter().flat_map(|it| &it.arrivals).map(Arrivals::peak);
        if peaks.sum::<f64>() * self.duration_s > MAX_ARRIVALS {
            return invalid(
                &[key("accounts")],
                "the arrivals of all accounts must be at most 5000000 requests per phase at their peak rates",
            );
        }
        for (i, account) in self.accounts.iter().enumerate() {
            let at = |name: &str| [key("accounts"), Step::Index(i), key(name)];
            if account.key_env.is_some() == account.key.is_some() {
                return invalid(&at("account"), "expected exactly one of key_env and key");
            }
            if !(account.rate_per_s > 0.0 && account.burst >= 1.0) {
                return invalid(
                    &at("rate_per_s"),
                    "rate_per_s must be greater than 0 and burst at least 1",
                );
            }
            for arrivals in &account.arrivals {
                if !arrivals.is_valid() {
                    return invalid(
                        &at("arrivals"),
                        "per_s must be greater than 0 and at most 100000 (including surges), path must start with \
                         a slash, and a surge must have a length_s greater than 0 and less than every_s, \
                         and a factor of at least 1",
                    );
                }
            }
        }
        Ok(())
    }
}

impl Account {
    /// Returns the account's key, from the settings or the environment.
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
            Failure::Usage(format!(
                "environment variable {variable} is not set or not UTF-8; expected the key of account {}",
                self.account
            ))
        })
    }
}

impl Arrivals {
    /// Returns the mean number of requests per second at a time since the start of the phase.
    pub fn rate_at(&self, seconds: f64) -> f64 {
        match &self.surge {
            Some(it) if seconds % it.every_s < it.length_s => self.per_s * it.factor,
            _ => self.per_s,
        }
    }

    /// Returns the mean number of requests per second during surges, which is the highest.
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
