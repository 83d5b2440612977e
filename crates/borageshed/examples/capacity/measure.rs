//! Reads processor time, memory and counts of daemons and of the platform stand-in.

use std::{
    collections::BTreeMap,
    fs,
    path::Path,
    time::{Duration, Instant},
};

use anyhow::{Context as _, Result};
use async_std::task;
use test_support::{deployment::Deployment, http::Call, processes::Process};

const NANOS_PER_S: f64 = 1e9;
/// The unit of times in `/proc/<pid>/stat`; Linux fixes it at 100 ticks per second in its user-space interface.
const TICKS_PER_S: f64 = 100.0;

/// The processor time that a daemon has used, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Cpu {
    /// The control thread, with the resolution of the scheduler.
    pub control: f64,
    /// All threads, in ticks of the system clock.
    pub all: f64,
}

/// What the daemons used during an interval.
#[derive(Debug, Clone)]
pub struct Usage {
    /// The length of the interval in seconds.
    pub seconds: f64,
    /// The processor time of each daemon, in seconds.
    pub cpu: Vec<Cpu>,
    /// Increases of the daemons' counters, summed over all daemons, by name and labels.
    pub metrics: BTreeMap<String, f64>,
    /// Calls to the platform stand-in by path.
    pub calls: BTreeMap<String, f64>,
    /// Bytes of bodies that the platform stand-in counted, by path.
    pub bytes: BTreeMap<String, f64>,
}

impl Usage {
    /// Returns the mean over all daemons of the control thread's share of a core, in percent.
    pub fn control_percent(&self) -> f64 {
        100.0 * self.control_seconds() / self.seconds / self.cpu.len() as f64
    }

    /// Returns the mean over all daemons of the whole process's share of a core, in percent.
    pub fn process_percent(&self) -> f64 {
        100.0 * self.process_seconds() / self.seconds / self.cpu.len() as f64
    }

    /// Returns the processor time of all control threads, in seconds.
    pub fn control_seconds(&self) -> f64 {
        self.cpu.iter().map(|it| it.control).sum()
    }

    /// Returns the processor time of all daemons, in seconds.
    pub fn process_seconds(&self) -> f64 {
        self.cpu.iter().map(|it| it.all).sum()
    }

    /// Returns the traffic of the peer links: `sent` or `received`, in `bytes` or `messages`.
    pub fn peer_traffic(&self, direction: &str, unit: &str) -> f64 {
        let is_wanted = |name: &str| {
            name.contains("peer_traffic_total") && name.contains(direction) && name.contains(unit)
        };
        self.metrics.iter().filter(|(name, _)| is_wanted(name)).map(|(_, count)| count).sum()
    }

    /// Returns the number of all calls to the key-value service.
    pub fn all_calls(&self) -> f64 {
        self.calls.values().sum()
    }

    /// Returns the bytes of all calls to the key-value service.
    pub fn all_bytes(&self) -> f64 {
        self.bytes.values().sum()
    }

    /// Returns the number of calls of one kind to the key-value service, as the daemons counted them.
    pub fn calls_of_kind(&self, kind: &str) -> f64 {
        let name = format!("borageshed_platform_calls_total{{kind=\"{kind}\"}}");
        self.metrics.get(&name).copied().unwrap_or(0.0)
    }

    /// Returns the calls per daemon and second by kind, as the daemons counted them.
    pub fn call_rates_by_kind(&self) -> String {
        let of = |name: &str| Some(name.split_once("platform_calls_total{kind=\"")?.1.to_owned());
        let scale = self.seconds * self.cpu.len() as f64;
        let kinds =
            self.metrics.iter().filter(|(_, count)| **count > 0.0).filter_map(|(name, count)| {
                Some(format!("{} {:.2}", of(name)?.trim_end_matches("\"}"), count / scale))
            });
        kinds.collect::<Vec<_>>().join(", ")
    }
}

/// All counts at one moment.
#[derive(Debug)]
pub struct Snapshot {
    at: Instant,
    cpu: Vec<Cpu>,
    metrics: BTreeMap<String, f64>,
    calls: BTreeMap<String, f64>,
    bytes: BTreeMap<String, f64>,
}

impl Snapshot {
    /// Reads all counts.
    pub async fn take(deployment: &Deployment) -> Result<Self> {
        let mut metrics = BTreeMap::new();
        for i in 0..deployment.daemons.len() {
            let text = Call::get("/metrics").send(deployment.admin_address(i)).await?.text();
            for (name, count) in text.lines().filter_map(parse_counter) {
                *metrics.entry(name).or_default() += count;
            }
        }
        let mut counts = Vec::new();
        for path in ["/calls", "/bytes"] {
            let reply = Call::get(path).send(deployment.platform_address()).await?;
            counts.push(serde_json::from_slice(&reply.body)?);
        }
        let bytes = counts.pop().context("no bytes")?;
        let calls = counts.pop().context("no calls")?;
        // Reading the counts takes processor time of the daemons, so their processor time is read last.
        let cpu = deployment.daemons.iter().map(cpu_time).collect::<Result<_>>()?;
        Ok(Self { at: Instant::now(), cpu, metrics, calls, bytes })
    }

    /// Returns what was used since this snapshot; processor time is read before the other counts.
    pub async fn usage(&self, deployment: &Deployment) -> Result<Usage> {
        let seconds = self.at.elapsed().as_secs_f64();
        let now: Vec<Cpu> = deployment.daemons.iter().map(cpu_time).collect::<Result<_>>()?;
        let cpu = now.iter().zip(&self.cpu).map(|(now, start)| Cpu {
            control: now.control - start.control,
            all: now.all - start.all,
        });
        let cpu = cpu.collect();
        let end = Self::take(deployment).await?;
        Ok(Usage {
            seconds,
            cpu,
            metrics: difference(&end.metrics, &self.metrics),
            calls: difference(&end.calls, &self.calls),
            bytes: difference(&end.bytes, &self.bytes),
        })
    }
}

/// Waits for `time` and returns what the daemons used during it.
pub async fn usage_during(deployment: &Deployment, time: Duration) -> Result<Usage> {
    let snapshot = Snapshot::take(deployment).await?;
    task::sleep(time).await;
    snapshot.usage(deployment).await
}

/// Returns the processor time of a process.
pub fn cpu_time(process: &Process) -> Result<Cpu> {
    let folder = Path::new("/proc").join(process.id().to_string());
    let mut control = 0.0;
    for entry in fs::read_dir(folder.join("task"))? {
        let path = entry?.path();
        // A thread may end between the two reads.
        let Ok(name) = fs::read_to_string(path.join("comm")) else { continue };
        if name.trim() == "control" {
            let text = fs::read_to_string(path.join("schedstat"))?;
            let nanos = text.split_whitespace().next().context("schedstat is empty")?;
            control += nanos.parse::<f64>()? / NANOS_PER_S;
        }
    }
    let text = fs::read_to_string(folder.join("stat"))?;
    // The name in parentheses may hold spaces; user and system time are fields 14 and 15, the 12th and 13th after it.
    let (_, rest) = text.rsplit_once(')').context("stat has no name")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks_at = |at: usize| fields.get(at).and_then(|it| it.parse::<f64>().ok());
    let all = ticks_at(11).zip(ticks_at(12)).context("stat is too short")?;
    Ok(Cpu { control, all: (all.0 + all.1) / TICKS_PER_S })
}

/// Returns the resident memory of a process, now and at its peak, in MiB.
pub fn memory(process: &Process) -> Result<(f64, f64)> {
    memory_of(&process.id().to_string())
}

/// Returns the resident memory of this program, now and at its peak, in MiB.
pub fn own_memory() -> Result<(f64, f64)> {
    memory_of("self")
}

/// Returns the resident memory of a process without pages of files, such as its program, in MiB.
pub fn anonymous_memory(process: &Process) -> Result<f64> {
    let [anonymous] = status_fields(&process.id().to_string(), ["RssAnon:"])?;
    Ok(anonymous)
}

fn memory_of(process: &str) -> Result<(f64, f64)> {
    let [now, peak] = status_fields(process, ["VmRSS:", "VmHWM:"])?;
    Ok((now, peak))
}

/// Returns fields of the status of a process, in MiB.
fn status_fields<const N: usize>(process: &str, names: [&str; N]) -> Result<[f64; N]> {
    const KIB_PER_MIB: f64 = 1_024.0;
    let text = fs::read_to_string(format!("/proc/{process}/status"))?;
    let mut fields = [0.0; N];
    for (field, name) in fields.iter_mut().zip(names) {
        let line = text.lines().find_map(|it| it.strip_prefix(name));
        let number = line.and_then(|it| it.split_whitespace().next()?.parse::<f64>().ok());
        *field = number.context("the process status has no memory")? / KIB_PER_MIB;
    }
    Ok(fields)
}

fn parse_counter(line: &str) -> Option<(String, f64)> {
    let (name, count) = line.rsplit_once(' ')?;
    if line.starts_with('#') || !name.contains("_total") {
        return None;
    }
    Some((name.to_owned(), count.parse().ok()?))
}

fn difference(end: &BTreeMap<String, f64>, start: &BTreeMap<String, f64>) -> BTreeMap<String, f64> {
    let change = |(name, count): (&String, &f64)| {
        (name.clone(), count - start.get(name).copied().unwrap_or(0.0))
    };
    end.iter().map(change).collect()
}
