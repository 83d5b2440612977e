//! The deployment that cells share, and the injection of each fault.

use std::{io, net::SocketAddr, time::Duration};

use async_std::task;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use fleet::SectionId;
use serde_json::{Map, Value, json};
use stdx::Name;
use test_support::{
    deployment::{Deployment, Plan, account},
    http::{Call, Reply},
    link::Relay,
    processes::Process,
    wait,
};

use crate::table::Fault;

/// The key that the callers of all cells use.
pub const KEY: &str = "alpha-key";
/// The daemon that the caller uses. It is alone in its failure domain, and faults of daemons and links affect it.
pub const CALLER_DAEMON: usize = 2;
/// The daemon, in another failure domain, through which requests are sent again.
pub const RESEND_DAEMON: usize = 0;
pub const DAEMONS: usize = 3;
/// A request whose prompt contains this text crashes each engine that runs it.
pub const POISON_PROMPT: &str = "CRASH-THE-ENGINE";

/// How long a daemon is paused: shorter than the 2 s after which a quiet target is probed, longer than the 1 s after which a peer link is closed.
const PAUSE_TIME: Duration = Duration::from_millis(1_300);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The kind of targets that run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Targets {
    Engines,
    Plain,
}

/// A deployment in which faults can be injected, with relays in front of one daemon.
pub struct Fixture {
    pub deployment: Deployment,
    /// The daemon that faults of daemons affect.
    pub faulted_daemon: usize,
    /// The relay between the caller and the daemon.
    pub caller: Relay,
    killed: Option<(Targets, usize)>,
    /// The executions that killed processes had counted.
    lost_runs: u64,
    accounts: Map<String, Value>,
    last_name: u32,
}

impl Fixture {
    pub async fn start() -> io::Result<Self> {
        let plan = Plan {
            engines: vec!["a", "b", "a"],
            plain: vec!["a", "b"],
            // An engine that exits would have to be restarted and would lose its counts.
            engine_args: vec!["--crash".to_owned(), "reset".to_owned()],
            behind_platform_relay: Some(CALLER_DAEMON),
            // Daemons connect to those with a higher id, so all links of the last daemon go through the relay.
            behind_peer_relay: Some(CALLER_DAEMON),
            // A request on a silent connection waits this long for the first byte; a short limit keeps the matrix fast.
            settings: json!({ "batch": { "poll_ms": 200 }, "limits": { "first_byte_ms": 3_000 } }),
            ..Plan::default()
        };
        let deployment = Deployment::start(plan).await?;
        let caller = Relay::start(deployment.caller_address(CALLER_DAEMON)).await?;
        let mut accounts = Map::new();
        accounts.insert("alpha".to_owned(), account(KEY, 500.0, 500.0));
        let fixture = Self {
            deployment,
            faulted_daemon: CALLER_DAEMON,
            caller,
            killed: None,
            lost_runs: 0,
            accounts,
            last_name: 0,
        };
        fixture.wait_operational().await?;
        Ok(fixture)
    }

    /// Returns a name that no other cell of this deployment uses.
    pub fn unique_name(&mut self) -> String {
        self.last_name += 1;
        format!("cell-{}", self.last_name)
    }

    pub async fn inject(&mut self, fault: Fault, targets: Targets) -> io::Result<()> {
        match fault {
            Fault::TargetDies => {
                let i = self.busy_target(targets).await.unwrap_or(1);
                self.lost_runs += self.target_run_count(targets, i).await;
                self.target(targets, i).crash();
                self.killed = Some((targets, i));
                // Gives the daemon time to detect that its idle connections are closed.
                task::sleep(Duration::from_millis(50)).await;
            }
            Fault::TargetDrains => {
                let i = self.busy_target(targets).await.unwrap_or(1);
                let leaving = match targets {
                    Targets::Engines => ("chat", format!("engine-{i}")),
                    Targets::Plain => ("orders", format!("plain-{i}")),
                };
                self.deployment.set_leaving(Some(leaving)).await?;
            }
            Fault::DaemonKilled => self.deployment.daemons[self.faulted_daemon].crash(),
            Fault::DaemonPaused => self.pause(false).await?,
            Fault::LeaseLapsed => self.pause(true).await?,
            Fault::KeyWithdrawn => {
                let other = account("another-key", 500.0, 500.0);
                self.set_account("alpha", other).await?;
            }
            Fault::OperatorsRace => {
                let (left, right) = (self.unique_name(), self.unique_name());
                self.race_edits(&left, &right).await?;
            }
            Fault::ServiceDown => self.set_service_faults(json!({ "outage": true })).await?,
            Fault::ServiceSlow => self.set_service_faults(json!({ "delay_ms": 150 })).await?,
            Fault::AnswerLost => self.set_service_faults(json!({ "lose_answers": 2 })).await?,
            Fault::PoisonResent => {
                for i in [CALLER_DAEMON, RESEND_DAEMON] {
                    let call = completion(POISON_PROMPT, 4, false);
                    // The answer is checked in the cell whose request is the poison request.
                    let _ = call.send(self.deployment.caller_address(i)).await;
                }
            }
            Fault::CallerSilent => {
                self.caller.silence();
                self.caller.silence_new(true);
            }
            Fault::TargetSilent => self.silence_targets(targets, true).await?,
            Fault::PeerSilent => self.peer_relay().silence(),
            Fault::CutFromPeers => cut(self.peer_relay()),
            Fault::CutFromService => cut(self.platform_relay()),
            Fault::CutFromBoth => {
                cut(self.peer_relay());
                cut(self.platform_relay());
            }
            // The function of the step sends the request again.
            Fault::ResentElsewhere => {}
        }
        Ok(())
    }

    /// Undoes the faults and waits until the deployment is operational again.
    pub async fn recover(&mut self, faults: &[Fault], targets: Targets) -> io::Result<()> {
        self.set_service_faults(json!({ "outage": false, "delay_ms": 0, "lose_answers": 0 }))
            .await?;
        self.platform_relay().refuse(false);
        self.peer_relay().refuse(false);
        self.caller.silence_new(false);
        if let Some((targets, i)) = self.killed.take() {
            let process = match targets {
                Targets::Engines => self.deployment.start_engine(i)?,
                Targets::Plain => self.deployment.start_plain(i)?,
            };
            *self.target(targets, i) = process;
            let call = Call::get("/executions");
            let address = self.target_address(targets, i);
            wait_until("the target answers", async || call.send(address).await.is_ok()).await?;
        }
        for fault in faults {
            match fault {
                Fault::TargetDrains => drop(self.deployment.set_leaving(None).await?),
                Fault::DaemonKilled => {
                    self.deployment.daemons[self.faulted_daemon] =
                        self.deployment.start_daemon(self.faulted_daemon)?;
                    self.deployment.wait_ready(self.faulted_daemon).await?;
                }
                Fault::KeyWithdrawn => {
                    self.set_account("alpha", account(KEY, 500.0, 500.0)).await?;
                }
                Fault::TargetSilent => self.silence_targets(targets, false).await?,
                _ => {}
            }
        }
        self.wait_operational().await
    }

    /// Waits until every daemon is linked to its peers and accepts the caller's key.
    pub async fn wait_operational(&self) -> io::Result<()> {
        for i in 0..DAEMONS {
            let is_linked = |it: &Value| it["peers"].as_array().map_or(0, Vec::len) == DAEMONS - 1;
            self.deployment.wait_status(i, is_linked).await?;
            wait_until("the key is known", async || self.accepts_key(i, KEY).await).await?;
        }
        Ok(())
    }

    /// Returns whether a daemon accepts a key.
    pub async fn accepts_key(&self, i: usize, key: &str) -> bool {
        let call = Call::get("/v1/models").key(key);
        let reply = call.send(self.deployment.caller_address(i));
        let reply = async_std::future::timeout(Duration::from_secs(2), reply).await;
        matches!(reply, Ok(Ok(reply)) if reply.status == 200)
    }

    /// Adds or replaces an account.
    pub async fn set_account(&mut self, name: &str, account: Value) -> io::Result<()> {
        let mut accounts = self.accounts.clone();
        accounts.insert(name.to_owned(), account);
        self.deployment.apply(&section(&accounts)).await?;
        self.accounts = accounts;
        Ok(())
    }

    /// Applies two concurrent edits of the same base, each of which adds an account, and returns the name of the accepted one.
    pub async fn race_edits(&mut self, left: &str, right: &str) -> io::Result<String> {
        let with = |name: &str| {
            let mut accounts = self.accounts.clone();
            accounts.insert(name.to_owned(), account(&format!("{name}-key"), 500.0, 500.0));
            accounts
        };
        let (with_left, with_right) = (with(left), with(right));
        let accepted =
            self.deployment.apply_concurrently(&section(&with_left), &section(&with_right)).await?;
        let (name, accounts) = match accepted {
            [true, false] => (left, with_left),
            [false, true] => (right, with_right),
            both => {
                return Err(io::Error::other(format!(
                    "not exactly one of two racing edits was accepted: {both:?}"
                )));
            }
        };
        self.accounts = accounts;
        Ok(name.to_owned())
    }

    /// Returns how many requests the targets have run, including targets that were killed since.
    pub async fn run_count(&self, targets: Targets) -> u64 {
        let mut count = self.lost_runs;
        for i in 0..self.processes(targets).len() {
            if self.killed != Some((targets, i)) {
                count += self.target_run_count(targets, i).await;
            }
        }
        count
    }

    /// Waits until a target runs the caller's request.
    pub async fn wait_busy_target(&self, targets: Targets) -> io::Result<()> {
        wait_until("a target runs the request", async || self.busy_target(targets).await.is_some())
            .await
    }

    pub async fn status(&self, i: usize) -> Value {
        let reply = Call::get("/status").send(self.deployment.admin_address(i)).await;
        reply.map(|it| it.json()).unwrap_or_default()
    }

    pub async fn plain_faults(&self, faults: &Value) -> io::Result<()> {
        for i in 0..self.deployment.plain.len() {
            if self.killed != Some((Targets::Plain, i)) {
                put_faults(self.deployment.plain_address(i), faults).await?;
            }
        }
        Ok(())
    }

    async fn busy_target(&self, targets: Targets) -> Option<usize> {
        let status = self.status(CALLER_DAEMON).await;
        let prefix = match targets {
            Targets::Engines => "engine-",
            Targets::Plain => "plain-",
        };
        let services = status["services"].as_array()?.iter();
        let mut busy = services
            .filter_map(|it| it["targets"].as_array())
            .flatten()
            .filter(|it| it["online"].as_u64() > Some(0) || it["batch"].as_u64() > Some(0));
        busy.find_map(|it| it["target"].as_str()?.strip_prefix(prefix)?.parse().ok())
    }

    async fn pause(&self, with_lapse: bool) -> io::Result<()> {
        self.deployment.daemons[self.faulted_daemon].pause();
        let lapsed = if with_lapse { self.lapse_lease().await } else { Ok(()) };
        task::sleep(PAUSE_TIME).await;
        self.deployment.daemons[self.faulted_daemon].resume();
        lapsed
    }

    async fn lapse_lease(&self) -> io::Result<()> {
        let key = STANDARD.encode(format!("live/daemon-{}", self.faulted_daemon));
        let call = Call::post("/v3/kv/range", json!({ "key": key }).to_string());
        // The lease cannot be read while the service is down; the fault is then only the pause.
        let Ok(reply) = call.send(self.deployment.platform_address()).await else { return Ok(()) };
        let lease = reply.json()["kvs"][0]["lease"].as_str().and_then(|it| it.parse::<i64>().ok());
        // A daemon that was just cut off or lost its lease has no lease that could lapse.
        let Some(lease) = lease else { return Ok(()) };
        self.set_service_faults(json!({ "lapse_lease": lease })).await
    }

    async fn set_service_faults(&self, faults: Value) -> io::Result<()> {
        let reply = self.deployment.platform_faults(faults).await?;
        if reply.status == 200 { Ok(()) } else { Err(io::Error::other(reply.text())) }
    }

    async fn silence_targets(&self, targets: Targets, on: bool) -> io::Result<()> {
        for i in 0..self.processes(targets).len() {
            if self.killed != Some((targets, i)) {
                put_faults(self.target_address(targets, i), &json!({ "silent": on })).await?;
            }
        }
        Ok(())
    }

    async fn target_run_count(&self, targets: Targets, i: usize) -> u64 {
        // Probes of plain services have no key and are not in this count; probes of engines execute nothing.
        let path = match targets {
            Targets::Engines => "/executions",
            Targets::Plain => "/executions-by-key",
        };
        let reply = Call::get(path).send(self.target_address(targets, i)).await;
        let reply = reply.map(|it| it.json()).unwrap_or_default();
        reply.as_object().map_or(0, |it| it.values().filter_map(Value::as_u64).sum())
    }

    fn peer_relay(&self) -> &Relay {
        self.deployment.peer_relay.as_ref().expect("the plan asks for a relay")
    }

    fn platform_relay(&self) -> &Relay {
        self.deployment.platform_relay.as_ref().expect("the plan asks for a relay")
    }

    fn processes(&self, targets: Targets) -> &[Process] {
        match targets {
            Targets::Engines => &self.deployment.engines,
            Targets::Plain => &self.deployment.plain,
        }
    }

    fn target(&mut self, targets: Targets, i: usize) -> &mut Process {
        match targets {
            Targets::Engines => &mut self.deployment.engines[i],
            Targets::Plain => &mut self.deployment.plain[i],
        }
    }

    fn target_address(&self, targets: Targets, i: usize) -> SocketAddr {
        match targets {
            Targets::Engines => self.deployment.engine_address(i),
            Targets::Plain => self.deployment.plain_address(i),
        }
    }
}

pub fn completion(prompt: &str, max_tokens: usize, stream: bool) -> Call {
    let body = json!({ "model": "assistant", "prompt": prompt, "max_tokens": max_tokens, "stream": stream });
    Call::post("/v1/completions", body.to_string()).key(KEY)
}

pub fn execution(reply: &Reply) -> String {
    reply.json()["execution"].as_str().unwrap_or("none").to_owned()
}

/// Waits for a condition for at most [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, holds: impl AsyncFnMut() -> bool) -> io::Result<()> {
    wait::wait_until(what, WAIT_TIMEOUT, POLL_INTERVAL, holds).await
}

fn section(accounts: &Map<String, Value>) -> Vec<(SectionId, Name)> {
    let text = Value::from(accounts.clone()).to_string();
    vec![(SectionId::Accounts(Name::new("main")), Name::from(text))]
}

fn cut(relay: &Relay) {
    relay.refuse(true);
    relay.cut();
}

async fn put_faults(address: SocketAddr, faults: &Value) -> io::Result<()> {
    let call = Call::put("/faults", faults.to_string());
    let reply = call.send(address).await.map_err(io::Error::other)?;
    if reply.status == 200 { Ok(()) } else { Err(io::Error::other(reply.text())) }
}
