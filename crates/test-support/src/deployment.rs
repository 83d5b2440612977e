//! A complete deployment on loopback, with the platform stand-in, the targets and the daemons as separate processes.

use std::{
    collections::BTreeMap,
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::atomic::{AtomicU8, Ordering},
    time::{Duration, Instant},
};

use async_std::task;
use config_store::StoredHead;
use fleet::{
    SectionId,
    revision::{Edit, Revision},
};
use kv_store::{Outcome, budget::BudgetConfig};
use platform::{PlatformStore, PlatformStoreConfig};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use stdx::Name;
use tempfile::TempDir;

use crate::{
    http::{Call, Reply},
    link::Relay,
    processes::{Process, binary, stand_in},
    wait::wait_until,
};

/// The longest time that a process of a deployment may take to become ready, or a status to reach the expected value.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

const PLATFORM_PORT: u16 = 2_379;
const CALLER_PORT: u16 = 8_000;
const ADMIN_PORT: u16 = 8_100;
const PEER_PORT: u16 = 8_200;
const ENGINE_PORT: u16 = 9_000;
const PLAIN_PORT: u16 = 9_100;

/// The processes of a deployment and their settings.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The failure domain of each daemon.
    pub daemons: Vec<&'static str>,
    /// The failure domain of each model engine.
    pub engines: Vec<&'static str>,
    /// The failure domain of each plain service.
    pub plain: Vec<&'static str>,
    /// Arguments of every model engine.
    pub engine_args: Vec<String>,
    /// Arguments of every plain service.
    pub plain_args: Vec<String>,
    /// The concurrency limit of every model engine.
    pub concurrency: u32,
    /// Top-level members that replace those of every daemon's settings.
    pub settings: Value,
    /// The daemon that reaches the platform through a relay, so that a test can disconnect it alone.
    pub behind_platform_relay: Option<usize>,
    /// The daemon that other daemons reach through a relay.
    pub behind_peer_relay: Option<usize>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            daemons: vec!["a", "a", "b"],
            engines: vec!["a", "b"],
            plain: vec!["a"],
            engine_args: Vec::new(),
            plain_args: Vec::new(),
            concurrency: 8,
            settings: json!({}),
            behind_platform_relay: None,
            behind_peer_relay: None,
        }
    }
}

/// A running deployment; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The folder of the settings and logs.
    pub folder: TempDir,
    /// The platform stand-in.
    pub platform: Process,
    /// The daemons.
    pub daemons: Vec<Process>,
    /// The model engines.
    pub engines: Vec<Process>,
    /// The plain services.
    pub plain: Vec<Process>,
    /// The relay to the platform stand-in for the daemon in [`Plan::behind_platform_relay`].
    pub platform_relay: Option<Relay>,
    /// The relay through which other daemons reach the daemon in [`Plan::behind_peer_relay`].
    pub peer_relay: Option<Relay>,
    ip: IpAddr,
    plan: Plan,
}

impl Deployment {
    /// Starts every process, writes a first configuration and waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or is not ready in time.
    pub async fn start(plan: Plan) -> io::Result<Self> {
        let folder = TempDir::new()?;
        let ip = next_ip();
        let log = folder.path().join("platform.log");
        let args = to_strings(["--listen", &SocketAddr::new(ip, PLATFORM_PORT).to_string()]);
        let platform = Process::start("platform", &stand_in("platform-stand-in")?, &args, &log)?;
        let mut deployment = Self {
            folder,
            platform,
            daemons: Vec::new(),
            engines: Vec::new(),
            plain: Vec::new(),
            platform_relay: None,
            peer_relay: None,
            ip,
            plan,
        };
        if deployment.plan.behind_platform_relay.is_some() {
            deployment.platform_relay = Some(Relay::start(deployment.platform_address()).await?);
        }
        if let Some(i) = deployment.plan.behind_peer_relay {
            deployment.peer_relay = Some(Relay::start(deployment.peer_address(i)).await?);
        }
        for i in 0..deployment.plan.engines.len() {
            let engine = deployment.start_engine(i)?;
            deployment.engines.push(engine);
        }
        for i in 0..deployment.plan.plain.len() {
            let plain = deployment.start_plain(i)?;
            deployment.plain.push(plain);
        }
        deployment.wait_for(deployment.platform_address(), Call::get("/faults")).await?;
        deployment.apply(&deployment.sections()).await?;
        for i in 0..deployment.plan.daemons.len() {
            let daemon = deployment.start_daemon(i)?;
            deployment.daemons.push(daemon);
        }
        for i in 0..deployment.daemons.len() {
            deployment.wait_ready(i).await?;
        }
        Ok(deployment)
    }

    /// Starts model engine `i`, also after an earlier process has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn start_engine(&self, i: usize) -> io::Result<Process> {
        let mut args =
            to_strings(["--listen", &self.engine_address(i).to_string(), "--model", "assistant"]);
        args.extend(self.plan.engine_args.iter().cloned());
        let name = format!("engine-{i}");
        Process::start(&name, &stand_in("engine-stand-in")?, &args, &self.log(&name))
    }

    /// Starts plain service `i`, also after an earlier process has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn start_plain(&self, i: usize) -> io::Result<Process> {
        let mut args = to_strings(["--listen", &self.plain_address(i).to_string()]);
        args.extend(self.plan.plain_args.iter().cloned());
        let name = format!("plain-{i}");
        Process::start(&name, &stand_in("plain-stand-in")?, &args, &self.log(&name))
    }

    /// Starts daemon `i`, also after an earlier process has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn start_daemon(&self, i: usize) -> io::Result<Process> {
        let name = format!("daemon-{i}");
        let file = self.folder.path().join(format!("{name}.jsonc"));
        fs::write(&file, self.settings(i).to_string())?;
        let args = to_strings(["--settings", &file.display().to_string()]);
        Process::start(&name, &binary("borageshed")?, &args, &self.log(&name))
    }

    /// Waits until daemon `i` is ready.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than 20 seconds.
    pub async fn wait_ready(&self, i: usize) -> io::Result<()> {
        self.wait_for(self.admin_address(i), Call::get("/readyz")).await
    }

    /// Waits until the status of daemon `i` satisfies a condition, and returns it.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than 20 seconds.
    pub async fn wait_status(
        &self,
        i: usize,
        condition: impl Fn(&Value) -> bool,
    ) -> io::Result<Value> {
        let start = Instant::now();
        let mut last = Value::Null;
        while start.elapsed() < START_TIMEOUT {
            if let Ok(reply) = Call::get("/status").send(self.admin_address(i)).await {
                last = reply.json();
                if condition(&last) {
                    return Ok(last);
                }
            }
            task::sleep(POLL_INTERVAL).await;
        }
        Err(timeout_error(&format!(
            "timed out waiting for a status of daemon {i}; the last one is {last}; see {}",
            self.log(&format!("daemon-{i}")).display()
        )))
    }

    /// Writes a first configuration, or replaces sections of the current one, and returns the new revision.
    ///
    /// # Errors
    ///
    /// Fails if the configuration is not valid or the platform stand-in does not accept it.
    pub async fn apply(&self, sections: &[(SectionId, Name)]) -> io::Result<u64> {
        let (stored, revision) = self.prepare(sections).await?;
        match self.write(&stored, &revision).await? {
            Outcome::Won(_) => Ok(revision.head.revision),
            outcome => {
                Err(io::Error::other(format!("the configuration was not accepted: {outcome:?}")))
            }
        }
    }

    /// Writes two edits of the same base revision concurrently and returns which were accepted.
    ///
    /// # Errors
    ///
    /// Fails if the configuration is not valid or the platform stand-in does not accept it.
    pub async fn apply_concurrently(
        &self,
        left: &[(SectionId, Name)],
        right: &[(SectionId, Name)],
    ) -> io::Result<[bool; 2]> {
        let (stored, left) = self.prepare(left).await?;
        let (_, right) = self.prepare(right).await?;
        let (left, right) =
            futures::future::join(self.write(&stored, &left), self.write(&stored, &right)).await;
        Ok([left?, right?].map(|it| matches!(it, Outcome::Won(_))))
    }

    async fn write(&self, stored: &StoredHead, revision: &Revision) -> io::Result<Outcome> {
        config_store::write(&self.store(), &revision.chunks, &revision.head, stored)
            .await
            .map_err(io::Error::other)
    }

    async fn prepare(&self, sections: &[(SectionId, Name)]) -> io::Result<(StoredHead, Revision)> {
        let store = self.store();
        let stored = config_store::read_head(&store).await.map_err(io::Error::other)?;
        if stored.head.revision == 0 {
            let revision = Revision::first(sections).map_err(io::Error::other)?;
            return Ok((stored, revision));
        }
        let chunks = config_store::read_chunks(&store, &stored.head, &BTreeMap::new())
            .await
            .map_err(io::Error::other)?;
        let mut revision = Revision::read(stored.head.clone(), chunks).map_err(io::Error::other)?;
        for (section, text) in sections {
            let base = revision.head.sections.get(section).map_or(0, |it| it.changed_in);
            let edit = Edit { section: section.clone(), base, text: Some(text.clone()) };
            revision = revision.edit(&edit).map_err(io::Error::other)?;
        }
        Ok((stored, revision))
    }

    /// Returns a client of the platform stand-in for operations that a test performs as an operator.
    ///
    /// Its budget is large, and its timeout is longer than that of daemons, since a late answer to the test itself is
    /// not a failure of the daemons.
    pub fn store(&self) -> PlatformStore {
        const TIMEOUT: Duration = Duration::from_secs(10);
        let budget =
            BudgetConfig { reads_per_second: 1e4, writes_per_second: 1e4, burst_seconds: 1.0 };
        PlatformStore::new(PlatformStoreConfig {
            timeout: TIMEOUT,
            budget,
            ..PlatformStoreConfig::new(self.platform_address())
        })
    }

    /// Sets the faults of the platform stand-in.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub async fn platform_faults(&self, faults: Value) -> io::Result<Reply> {
        Call::put("/faults", faults.to_string())
            .send(self.platform_address())
            .await
            .map_err(io::Error::other)
    }

    /// Sets the top-level members that replace those of the settings of daemons started from now on.
    pub fn change_settings(&mut self, settings: Value) {
        self.plan.settings = settings;
    }

    /// Returns the sections of the first configuration.
    pub fn sections(&self) -> Vec<(SectionId, Name)> {
        let origin = Name::new("main");
        let section = |id, value: Value| (id, Name::from(value.to_string()));
        vec![
            section(
                SectionId::Fleet,
                json!({
                    "origins": ["main", "other"],
                    "failure_domains": { "a": { "region": "r" }, "b": { "region": "r" }, "c": { "region": "r" } },
                }),
            ),
            section(
                SectionId::Accounts(origin.clone()),
                json!({
                    "alpha": account("alpha-key", 500.0, 500.0),
                    "beta": account("beta-key", 500.0, 500.0),
                    "small": account("small-key", 5.0, 5.0),
                }),
            ),
            section(
                SectionId::Models(origin.clone()),
                json!({ "assistant": { "versions": ["1"] } }),
            ),
            section(
                SectionId::Models(Name::new("other")),
                json!({ "assistant": { "versions": ["1"] } }),
            ),
            section(SectionId::Services(origin.clone()), self.services()),
            section(
                SectionId::Batch(origin),
                json!({ "max_items_per_job": 10_000, "max_open_jobs_per_account": 50, "default_window_s": 600 }),
            ),
        ]
    }

    /// Writes the services section with at most one target marked as leaving.
    ///
    /// # Errors
    ///
    /// Fails if the configuration is not accepted.
    pub async fn set_leaving(&self, leaving: Option<(&str, String)>) -> io::Result<u64> {
        let mut services = self.services();
        if let Some((service, target)) = leaving {
            services[service]["targets"][target]["leaving"] = json!(true);
        }
        let section = SectionId::Services(Name::new("main"));
        self.apply(&[(section, Name::from(services.to_string()))]).await
    }

    /// Returns the services section.
    pub fn services(&self) -> Value {
        let target = |address: SocketAddr, domain: &str, concurrency: u32| json!({ "address": address, "failure_domain": domain, "concurrency": concurrency });
        let engines = self.plan.engines.iter().enumerate();
        let engines: serde_json::Map<String, Value> = engines
            .map(|(i, domain)| {
                (
                    format!("engine-{i}"),
                    target(self.engine_address(i), domain, self.plan.concurrency),
                )
            })
            .collect();
        let plain = self.plan.plain.iter().enumerate();
        let plain: serde_json::Map<String, Value> = plain
            .map(|(i, domain)| (format!("plain-{i}"), target(self.plain_address(i), domain, 16)))
            .collect();
        json!({
            "chat": { "serves": { "model": "assistant" }, "targets": engines },
            "orders": {
                "serves": { "routes": [
                    { "path": "/orders", "methods": ["POST"], "idempotent": false },
                    { "path": "/orders", "methods": ["GET"], "idempotent": true },
                    { "path": "/hours", "methods": ["GET"], "idempotent": true, "open": true },
                ] },
                "timeout_ms": 5_000,
                "targets": plain,
            },
        })
    }

    /// Returns the address of daemon `i` for callers.
    pub fn caller_address(&self, i: usize) -> SocketAddr {
        self.address(CALLER_PORT, i)
    }

    /// Returns the admin address of daemon `i`.
    pub fn admin_address(&self, i: usize) -> SocketAddr {
        self.address(ADMIN_PORT, i)
    }

    /// Returns the address of daemon `i` for other daemons, without the relay.
    pub fn peer_address(&self, i: usize) -> SocketAddr {
        self.address(PEER_PORT, i)
    }

    /// Returns the address of model engine `i`.
    pub fn engine_address(&self, i: usize) -> SocketAddr {
        self.address(ENGINE_PORT, i)
    }

    /// Returns the address of plain service `i`.
    pub fn plain_address(&self, i: usize) -> SocketAddr {
        self.address(PLAIN_PORT, i)
    }

    /// Returns the address of the platform stand-in.
    pub fn platform_address(&self) -> SocketAddr {
        self.address(PLATFORM_PORT, 0)
    }

    /// Returns the log file of a process.
    pub fn log(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.log"))
    }

    fn settings(&self, i: usize) -> Value {
        let mut settings = json!({
            "instance": format!("daemon-{i}"),
            "failure_domain": self.plan.daemons[i],
            "listen": self.caller_address(i),
            "admin_listen": self.admin_address(i),
            "peer_listen": self.peer_address(i),
            "platform": { "address": self.platform_address(), "call_timeout_ms": 1_000 },
            "log_level": "debug",
        });
        if let (true, Some(relay)) =
            (self.plan.behind_platform_relay == Some(i), &self.platform_relay)
        {
            settings["platform"]["address"] = json!(relay.address());
        }
        if let (true, Some(relay)) = (self.plan.behind_peer_relay == Some(i), &self.peer_relay) {
            settings["peer_advertise"] = json!(relay.address());
        }
        if let Some(changes) = self.plan.settings.as_object() {
            for (name, value) in changes {
                settings[name] = value.clone();
            }
        }
        settings
    }

    async fn wait_for(&self, address: SocketAddr, call: Call) -> io::Result<()> {
        let is_ready = async || call.send(address).await.is_ok_and(|it| it.status < 300);
        let what = format!("{address} is ready; logs are in {}", self.folder.path().display());
        wait_until(&what, START_TIMEOUT, POLL_INTERVAL, is_ready).await
    }

    fn address(&self, port: u16, i: usize) -> SocketAddr {
        SocketAddr::new(self.ip, port + i as u16)
    }
}

impl Drop for Deployment {
    /// Keeps the settings and logs of a test that fails.
    #[expect(
        clippy::print_stderr,
        reason = "the path must appear in the output of the failed test"
    )]
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            eprintln!("settings and logs are kept in {}", self.folder.path().display());
        }
    }
}

/// Returns an account with one key, as a member of an accounts section.
pub fn account(key: &str, rate: f64, burst: f64) -> Value {
    let sha256 = hex::encode(Sha256::digest(key));
    json!({ "rate_per_s": rate, "burst": burst, "keys": [{ "id": "main", "sha256": sha256 }] })
}

/// Returns a separate loopback address for each deployment, so that the fixed ports do not collide.
fn next_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    // 127.0.x.x is left to all other programs.
    IpAddr::V4(Ipv4Addr::new(127, 1 + number % 250, high, low.max(1)))
}

fn to_strings<const N: usize>(texts: [&str; N]) -> Vec<String> {
    texts.map(str::to_owned).to_vec()
}

fn timeout_error(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, message.to_owned())
}
