//! The results of a load run.

use std::{fmt::Write as _, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use stdx::Name;

use super::{
    run::Outcome,
    schedule::{Arrival, TokenBucket},
    settings::{Account, Load},
};

/// The percentiles of the time to the first byte that the results contain.
const PERCENTILES: [f64; 8] = [25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0];
/// The percentile at which the effect of batch work on online latency is measured.
const TAIL_PERCENTILE: f64 = 99.0;
/// Histograms hold times from 1 µs up to 10 minutes.
const MAX_MICROS: u64 = 600_000_000;

/// The results of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// The name of the load.
    pub name: Name,
    /// The seed of the arrivals.
    pub seed: u64,
    /// The measures over all phases.
    pub measures: Measures,
    /// The phases.
    pub phases: Vec<Phase>,
}

/// The measures of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Measures {
    /// Completed batch items per second; absent without batch jobs.
    pub batch_items_per_s: Option<f64>,
    /// The increase of the 99th percentile of the time to the first byte with batch work, in milliseconds; absent
    /// without batch jobs.
    pub online_p99_harm_ms: Option<f64>,
    /// The account with the lowest share of served requests.
    pub worst_served: Option<ServedShare>,
    /// Requests that were refused although they were within the account's rate.
    pub refused_within_rate: u64,
}

/// The share of an account's requests that were served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServedShare {
    /// The account.
    pub account: Name,
    /// The number of requests that got their first byte in time, divided by the number of requests within the account's
    /// rate; at most 1.
    pub share: f64,
}

/// The figures of a phase.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// The name, such as `online alone`.
    pub name: String,
    /// The duration, in seconds.
    pub seconds: f64,
    /// Completed batch items per second; absent without batch jobs.
    pub batch_items_per_s: Option<f64>,
    /// The time to the first byte of answers without error: pairs of percentile and milliseconds.
    pub first_byte_ms: Vec<(f64, f64)>,
    /// The figures of each account.
    pub accounts: Vec<AccountFigures>,
}

/// The request counts of an account in a phase, without the warm-up.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountFigures {
    /// The account.
    pub account: String,
    /// Requests that were due, including those not sent.
    pub due: u64,
    /// The requests that an ideal limiter of the account's rate and burst would have admitted.
    pub within_rate: u64,
    /// Requests that got their first byte in time.
    pub served: u64,
    /// Requests that were answered without error.
    pub answered: u64,
    /// Requests that the daemon refused without running them.
    pub refused: u64,
    /// Refused requests for which a token was left, if every admitted request and every earlier refusal of this kind
    /// took one.
    pub refused_within_rate: u64,
    /// Requests that failed in another way or got no answer.
    pub failed: u64,
    /// Requests that were not sent because too many were in flight.
    pub not_sent: u64,
}

/// Collects the figures of a phase.
#[derive(Debug)]
pub struct Recorder {
    first_byte_limit: Duration,
    /// The outcome of each arrival; `None` if it was not sent.
    outcomes: Vec<Option<Outcome>>,
    accounts: Vec<AccountFigures>,
    first_byte: Histogram<u64>,
}

impl Recorder {
    /// Creates an empty recorder for the accounts and arrivals of a load.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are valid.
    pub fn new(load: &Load, arrivals: usize) -> Self {
        let account = |it: &Account| AccountFigures {
            account: it.account.to_string(),
            ..AccountFigures::default()
        };
        Self {
            first_byte_limit: Duration::from_millis(load.first_byte_ms),
            outcomes: vec![None; arrivals],
            accounts: load.accounts.iter().map(account).collect(),
            first_byte: Histogram::new_with_max(MAX_MICROS, 3).expect("valid bounds"),
        }
    }

    /// Records the outcome of arrival `n`.
    pub fn record(
        &mut self,
        n: usize,
        arrival: &Arrival,
        outcome: Outcome,
        first_byte: Option<Duration>,
    ) {
        self.outcomes[n] = Some(outcome);
        let (Outcome::Answered, Some(first_byte), true) =
            (outcome, first_byte, arrival.is_measured)
        else {
            return;
        };
        self.accounts[arrival.account].served += u64::from(first_byte <= self.first_byte_limit);
        let micros = u64::try_from(first_byte.as_micros()).unwrap_or(MAX_MICROS);
        self.first_byte.saturating_record(micros);
    }

    /// Returns the figures of the phase. To be called when no request is in flight.
    pub fn phase(&self, load: &Load, arrivals: &[Arrival], name: &str, seconds: f64) -> Phase {
        let ms = |percentile: f64| self.first_byte.value_at_percentile(percentile) as f64 / 1e3;
        let first_byte_ms = match self.first_byte.is_empty() {
            true => Vec::new(),
            false => PERCENTILES.iter().map(|it| (*it, ms(*it))).collect(),
        };
        let accounts = self.count_outcomes(load, arrivals);
        Phase { name: name.to_owned(), seconds, batch_items_per_s: None, first_byte_ms, accounts }
    }

    /// Counts the outcomes per account, in the order in which the requests were due.
    ///
    /// A limiter that is distributed over instances may refuse one request and admit the next where an ideal limiter
    /// does the reverse. A refusal within the rate therefore takes a token like an admission, so that such a pair
    /// counts at most once.
    fn count_outcomes(&self, load: &Load, arrivals: &[Arrival]) -> Vec<AccountFigures> {
        let mut accounts = self.accounts.clone();
        let buckets = || load.accounts.iter().map(TokenBucket::new).collect::<Vec<_>>();
        let (mut ideal, mut actual) = (buckets(), buckets());
        for (arrival, outcome) in arrivals.iter().zip(&self.outcomes) {
            let is_within_rate = ideal[arrival.account].try_take(arrival.at);
            let bucket = &mut actual[arrival.account];
            let is_refused_within_rate = match outcome {
                Some(Outcome::Refused) => bucket.try_take(arrival.at),
                Some(Outcome::Answered | Outcome::Failed) => {
                    bucket.charge(arrival.at);
                    false
                }
                None => false,
            };
            if !arrival.is_measured {
                continue;
            }
            let figures = &mut accounts[arrival.account];
            figures.due += 1;
            figures.within_rate += u64::from(is_within_rate);
            figures.refused_within_rate += u64::from(is_refused_within_rate);
            match outcome {
                Some(Outcome::Answered) => figures.answered += 1,
                Some(Outcome::Refused) => figures.refused += 1,
                Some(Outcome::Failed) => figures.failed += 1,
                None => figures.not_sent += 1,
            }
        }
        accounts
    }
}

impl Results {
    /// Computes the measures from the phases.
    pub fn new(load: &Load, phases: Vec<Phase>) -> Self {
        let tail = |phase: &Phase| {
            phase
                .first_byte_ms
                .iter()
                .find(|(percentile, _)| *percentile == TAIL_PERCENTILE)
                .map(|(_, ms)| *ms)
        };
        let p99_increase = match phases.as_slice() {
            [alone, with_batch] => {
                tail(with_batch).zip(tail(alone)).map(|(with, alone)| with - alone)
            }
            _ => None,
        };
        let measures = Measures {
            batch_items_per_s: phases.iter().find_map(|it| it.batch_items_per_s),
            online_p99_harm_ms: p99_increase,
            worst_served: worst_served(&phases),
            refused_within_rate: phases
                .iter()
                .flat_map(|it| &it.accounts)
                .map(|it| it.refused_within_rate)
                .sum(),
        };
        Self { name: load.name.clone(), seed: load.seed, measures, phases }
    }

    /// Formats the results as text for the terminal.
    pub fn text(&self) -> String {
        let mut text = format!("load {}, seed {}\n", self.name, self.seed);
        for (name, value) in self.measures.rows() {
            let _ = writeln!(text, "{name:<44} {value}");
        }
        for phase in &self.phases {
            let _ = writeln!(text, "\n{} ({:.1} s)", phase.name, phase.seconds);
            let percentiles = phase
                .first_byte_ms
                .iter()
                .map(|(percentile, ms)| format!("p{percentile} {ms:.1} ms"));
            let _ = writeln!(text, "first byte: {}", percentiles.collect::<Vec<_>>().join(", "));
            let _ = writeln!(
                text,
                "{:<28} {:>8} {:>11} {:>8} {:>9} {:>8} {:>14} {:>7} {:>9}",
                "account",
                "due",
                "within rate",
                "served",
                "answered",
                "refused",
                "refused within",
                "failed",
                "not sent"
            );
            for it in &phase.accounts {
                let _ = writeln!(
                    text,
                    "{:<28} {:>8} {:>11} {:>8} {:>9} {:>8} {:>14} {:>7} {:>9}",
                    it.account,
                    it.due,
                    it.within_rate,
                    it.served,
                    it.answered,
                    it.refused,
                    it.refused_within_rate,
                    it.failed,
                    it.not_sent
                );
            }
        }
        text
    }
}

impl Measures {
    /// Returns the label and the formatted value of each measure.
    pub fn rows(&self) -> [(&'static str, String); 4] {
        let number = |it: Option<f64>, unit: &str| {
            it.map_or("not measured".to_owned(), |it| format!("{it:.1} {unit}"))
        };
        let worst = self.worst_served.as_ref();
        [
            ("batch throughput", number(self.batch_items_per_s, "items/s")),
            ("harm of batch to online first byte at p99", number(self.online_p99_harm_ms, "ms")),
            (
                "service of the worst-served account",
                worst.map_or("not measured".to_owned(), |it| {
                    format!("{:.1}% ({})", it.share * 100.0, it.account)
                }),
            ),
            ("requests refused within rate", self.refused_within_rate.to_string()),
        ]
    }
}

/// Returns the account with the lowest share of served requests over all phases, leaving out accounts without requests
/// within their rate, since those show nothing about the daemons.
fn worst_served(phases: &[Phase]) -> Option<ServedShare> {
    let accounts = phases.first()?.accounts.iter().enumerate();
    let served = accounts.filter_map(|(i, account)| {
        let sum =
            |f: fn(&AccountFigures) -> u64| phases.iter().map(|it| f(&it.accounts[i])).sum::<u64>();
        let within_rate = sum(|it| it.within_rate);
        let share = (within_rate > 0).then(|| sum(|it| it.served) as f64 / within_rate as f64)?;
        // The daemons may admit a few more requests than the ideal limiter, so the quotient may exceed 1.
        let share = share.min(1.0);
        Some(ServedShare { account: Name::new(&account.account), share })
    });
    served.min_by(|a, b| a.share.total_cmp(&b.share))
}
