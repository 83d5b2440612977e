//! The deployment of the soak test: two entry daemons and two that run items, with a relay between each daemon and the store
//! and in front of each target.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use serde_json::json;
use tempfile::TempDir;
use test_support::{
    link::Relay,
    operator,
    platform::Platform,
    processes::{Process, binary},
    target::{Behaviour, Identity, ReceivedRequest, Target},
    wait::wait_until,
};

use super::{order::Runs, releases};

pub const KEY: &str = "key-one";
/// The number of events in each answer.
pub const EVENTS: u64 = 12;
/// The behaviour of a target without a fault.
pub const HEALTHY_BEHAVIOUR: Behaviour =
    Behaviour::Stream { events: EVENTS, pause: Duration::from_millis(20) };

const ENTRIES: u16 = 2;
const DAEMONS: u16 = 4;
const TARGETS: usize = 5;
const CALLERS_PORT: u16 = 8_000;
const ADMIN_PORT: u16 = 8_100;
const PEER_PORT: u16 = 8_200;
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A daemon that can be stopped and restarted.
pub struct Daemon {
    pub process: Process,
    /// The relay between the daemon and the store.
    pub store_relay: Relay,
    /// The relays between the daemon and the targets.
    pub target_relays: Vec<Relay>,
    args: [String; 2],
    log: PathBuf,
}

/// A target, whose id and version change when it is replaced at its address.
pub struct SoakTarget {
    pub server: Target,
    /// The relay in front of the target.
    pub relay: Relay,
    pub version: String,
    id: String,
    /// The number of starts at this address.
    starts: u64,
}

pub struct Fixture {
    pub platform: Platform,
    pub daemons: Vec<Daemon>,
    pub targets: Vec<SoakTarget>,
    folder: TempDir,
    ip: Ipv4Addr,
}

impl Daemon {
    pub fn restart(&mut self) -> io::Result<()> {
        let name = self.process.name().to_owned();
        self.process = Process::start(&name, &binary("borageshed")?, &self.args, &self.log)?;
        Ok(())
    }
}

impl SoakTarget {
    /// Closes the connections to the target and refuses new ones until it is started.
    pub fn end_process(&self) {
        self.relay.refuse(true);
        self.relay.cut();
    }

    fn state(&self) -> operator::TargetState<'_> {
        operator::TargetState { version: &self.version, born_ms: self.starts, is_leaving: false }
    }
}

impl Fixture {
    pub async fn start() -> io::Result<Self> {
        static NEXT: AtomicU8 = AtomicU8::new(0);
        let [.., high, low] = std::process::id().to_be_bytes();
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 100 + number % 100, high, low.max(1));
        let platform = Platform::start(([127, 0, 0, 1], 0).into()).await?;
        operator::configure(&platform, 2, &[KEY]);
        let mut targets = Vec::new();
        for n in 0..TARGETS {
            let server = Target::start(HEALTHY_BEHAVIOUR).await?;
            let relay = Relay::start(server.address()).await?;
            let (id, version) = (format!("t-{n}"), String::new());
            targets.push(SoakTarget { server, relay, version, id, starts: 0 });
        }
        let mut fixture =
            Self { platform, daemons: Vec::new(), targets, folder: TempDir::new()?, ip };
        for n in 0..TARGETS {
            fixture.start_target(n, releases::version_name(1), true);
        }
        for n in 0..DAEMONS {
            let daemon = fixture.start_daemon(n).await?;
            fixture.daemons.push(daemon);
        }
        let is_served = async || {
            for entry in fixture.entries() {
                if !super::Callers::is_served(entry).await {
                    return false;
                }
            }
            true
        };
        wait_until("every entry daemon serves requests", START_TIMEOUT, POLL_INTERVAL, is_served)
            .await?;
        Ok(fixture)
    }

    async fn start_daemon(&mut self, n: u16) -> io::Result<Daemon> {
        let is_entry = n < ENTRIES;
        let name = format!("{}-{n}", if is_entry { "entry" } else { "worker" });
        let (mut target_relays, mut view) = (Vec::new(), Vec::new());
        for target in &self.targets {
            let relay = Relay::start(target.relay.address()).await?;
            view.push((target.relay.address(), relay.address()));
            target_relays.push(relay);
        }
        let store = self.platform.listen_with_view(view).await?;
        let store_relay = Relay::start(store).await?;
        let mut settings = json!({
            "instance": name, "failure_domain": "a", "source": "operator", "cut_withdrawn": false,
            "admin_listen": SocketAddr::from((self.ip, ADMIN_PORT + n)),
            "peer_listen": SocketAddr::from((self.ip, PEER_PORT + n)),
            "platform": { "address": store_relay.address(), "writes_per_s": 100, "reads_per_s": 200 },
            "rate_allowance": {
                "share": 0.05, "burst": 10, "head_start_ms": 1_000, "loan_bytes_per_s": 60_000,
            },
            "limits": { "drain_lead_ms": 500, "drain_ms": 5_300 },
            "log_level": "debug", "calls_through_peers": true,
        });
        if is_entry {
            settings["listen"] = json!(SocketAddr::from((self.ip, CALLERS_PORT + n)));
            settings["batch"] = json!({ "enabled": false });
        }
        let file = self.folder.path().join(format!("{name}.jsonc"));
        fs::write(&file, settings.to_string())?;
        let args = ["--settings".to_owned(), file.display().to_string()];
        let log = self.folder.path().join(format!("{name}.log"));
        let process = Process::start(&name, &binary("borageshed")?, &args, &log)?;
        Ok(Daemon { process, store_relay, target_relays, args, log })
    }

    pub fn entries(&self) -> Vec<SocketAddr> {
        (0..ENTRIES).map(|n| SocketAddr::from((self.ip, CALLERS_PORT + n))).collect()
    }

    pub fn admin_address(&self, entry: SocketAddr) -> SocketAddr {
        SocketAddr::from((self.ip, entry.port() - CALLERS_PORT + ADMIN_PORT))
    }

    /// Starts a target in place of the one that has run at its address.
    pub fn start_target(&mut self, n: usize, version: String, keeps_id: bool) {
        let target = &mut self.targets[n];
        target.end_process();
        target.starts += 1;
        target.version = version;
        if !keeps_id {
            operator::unregister(&self.platform, &target.id);
            target.id = format!("t-{n}-{}", target.starts);
        }
        let (id, version) = (target.id.clone(), target.version.clone());
        target.server.set_identity(Identity { id, version });
        target.relay.refuse(false);
        operator::register_state(
            &self.platform,
            &target.id,
            target.relay.address(),
            target.state(),
        );
    }

    /// Reports that a target is shutting down; it goes on serving.
    pub fn announce_leaving(&self, n: usize) {
        let target = &self.targets[n];
        let state = operator::TargetState { is_leaving: true, ..target.state() };
        operator::register_state(&self.platform, &target.id, target.relay.address(), state);
    }

    /// Removes the entry of a target.
    pub fn remove_entry(&self, n: usize) {
        operator::unregister(&self.platform, &self.targets[n].id);
    }

    /// Returns the requests that reached the targets.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.targets.iter().flat_map(|it| it.server.requests()).collect()
    }

    /// Returns the requests that reached the targets, by the name of the run.
    pub fn runs(&self) -> Runs {
        let named = |it: &SoakTarget| -> Runs {
            let requests = it.server.requests().into_iter().enumerate();
            requests.map(|(n, request)| (it.server.run_name(n), request)).collect()
        };
        self.targets.iter().flat_map(named).collect()
    }

    /// Returns the logs of all daemons.
    pub fn logs(&self) -> io::Result<String> {
        self.daemons.iter().map(|it| fs::read_to_string(&it.log)).collect()
    }

    /// Stops the daemons and returns the folder of their logs, which is kept if `keep_logs` is set.
    pub fn stop(self, keep_logs: bool) -> PathBuf {
        drop(self.daemons);
        let mut folder = self.folder;
        folder.disable_cleanup(keep_logs);
        folder.path().to_owned()
    }
}
