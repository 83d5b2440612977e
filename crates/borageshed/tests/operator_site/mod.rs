//! Starts an entry daemon and a daemon that runs items as separate processes, against stand-ins of the store and the targets.
#![allow(dead_code, reason = "each test program uses a part")]

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use serde_json::{Value, json};
use tempfile::TempDir;
use test_support::{
    http::{Call, Reply},
    link::Relay as Link,
    operator::{self, HOST, JOBS},
    platform::Platform,
    processes::{Process, binary},
    target::{Behaviour, Target},
    wait,
};

pub const KEY: &str = "key-one";
pub const LIMIT: Duration = Duration::from_secs(15);
pub const POLL: Duration = Duration::from_millis(20);
/// The port for administrators of an entry daemon lies this far above its port for callers.
const ADMIN_OFFSET: u16 = 100;

/// An entry daemon, which accepts callers, and a worker daemon, which runs items, with their own store.
pub struct Site {
    pub folder: TempDir,
    pub platform: Platform,
    /// The paths from the two daemons to the store.
    pub entry_link: Link,
    pub worker_link: Link,
    pub entry: Process,
    pub worker: Process,
    ip: Ipv4Addr,
    /// Members that are added to the settings of each daemon.
    more_settings: Value,
}

impl Site {
    pub async fn start(targets: &[(&str, &Target)]) -> io::Result<Self> {
        Self::start_with(json!({}), |platform| {
            for (id, target) in targets {
                operator::register(platform, id, target.address());
            }
        })
        .await
    }

    /// Starts a site whose daemons have more settings, after what `prepare` writes to the store.
    pub async fn start_with(
        more_settings: Value,
        prepare: impl FnOnce(&Platform),
    ) -> io::Result<Self> {
        static NEXT: AtomicU8 = AtomicU8::new(0);
        let [.., high, low] = std::process::id().to_be_bytes();
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 200 + number % 50, high, low.max(1));
        let folder = TempDir::new()?;
        let platform = Platform::start(([127, 0, 0, 1], 0).into()).await?;
        operator::configure(&platform, 2, &[KEY, "key-two"]);
        prepare(&platform);
        operator::register_malformed(&platform, "garbage");
        let entry_link = Link::start(platform.address()).await?;
        let worker_link = Link::start(platform.address()).await?;
        let entry = with(entry_settings(entry_link.address(), ip, "entry", 8_000), &more_settings);
        let entry = start(&folder, "entry", &entry)?;
        let worker = with(settings(worker_link.address(), ip, "worker", 8_200), &more_settings);
        let worker = start(&folder, "worker", &worker)?;
        let site =
            Self { folder, platform, entry_link, worker_link, entry, worker, ip, more_settings };
        site.wait_until_ready(8_000).await?;
        Ok(site)
    }

    /// Starts another entry daemon, which accepts callers at this port, and waits until it is ready.
    pub async fn start_entry(&self, name: &str, port: u16) -> io::Result<(Process, SocketAddr)> {
        let settings = entry_settings(self.platform.address(), self.ip, name, port);
        let entry = start(&self.folder, name, &with(settings, &self.more_settings))?;
        self.wait_until_ready(port).await?;
        Ok((entry, SocketAddr::from((self.ip, port))))
    }

    /// Starts another entry daemon as [`Site::start_entry`] does, with these limits.
    pub async fn start_entry_with(
        &self,
        (name, port): (&str, u16),
        limits: Value,
    ) -> io::Result<(Process, SocketAddr)> {
        let mut settings = entry_settings(self.platform.address(), self.ip, name, port);
        settings["limits"] = limits;
        let entry = start(&self.folder, name, &settings)?;
        self.wait_until_ready(port).await?;
        Ok((entry, SocketAddr::from((self.ip, port))))
    }

    /// Starts another entry daemon as [`Site::start_entry`] does, which uses this store and these further settings.
    pub async fn start_entry_at(
        &self,
        (name, port): (&str, u16),
        store: SocketAddr,
        more: &Value,
    ) -> io::Result<(Process, SocketAddr)> {
        let settings = entry_settings(store, self.ip, name, port);
        let settings = with(with(settings, &self.more_settings), more);
        let entry = start(&self.folder, name, &settings)?;
        self.wait_until_ready(port).await?;
        Ok((entry, SocketAddr::from((self.ip, port))))
    }

    /// Returns where other daemons reach an entry daemon that accepts callers at this port.
    pub fn peer_address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port + ADMIN_OFFSET + 1))
    }

    pub async fn wait_until_ready(&self, port: u16) -> io::Result<()> {
        let ready = Call::get("/readyz");
        let admin = SocketAddr::from((self.ip, port + ADMIN_OFFSET));
        wait_until("the entry daemon is ready", async || {
            ready.send(admin).await.is_ok_and(|it| it.status == 200)
        })
        .await
    }

    /// Starts another worker daemon.
    pub fn start_worker(&self, name: &str, port: u16) -> io::Result<Process> {
        start(&self.folder, name, &settings(self.platform.address(), self.ip, name, port))
    }

    /// Starts another worker daemon, which uses this store and these further settings.
    pub fn start_worker_at(
        &self,
        (name, port): (&str, u16),
        store: SocketAddr,
        more: &Value,
    ) -> io::Result<Process> {
        start(&self.folder, name, &with(settings(store, self.ip, name, port), more))
    }

    /// Crashes the entry daemon, starts it again and waits until it is ready.
    pub async fn restart_entry(&mut self) -> io::Result<()> {
        self.entry.crash();
        self.entry = start_process(&self.folder, "entry", "entry-2.log")?;
        self.wait_until_ready(8_000).await
    }

    /// Starts the worker daemon again after a crash.
    pub fn restart_worker(&self) -> io::Result<Process> {
        start_process(&self.folder, "worker", "worker-2.log")
    }

    /// Returns the address for administrators of an entry daemon that accepts callers at this port.
    pub fn admin(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port + ADMIN_OFFSET))
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8_000))
    }

    pub async fn send(&self, call: Call) -> Reply {
        call.header("host", HOST).send(self.callers()).await.expect("an answer")
    }

    /// Waits until a job has `items` results.
    pub async fn wait_for_results(&self, job: &str, items: usize) -> io::Result<()> {
        let has_all = async || {
            let path = operator::results_path(job, 0);
            self.send(Call::get(path).key(KEY)).await.json()["next"] == items
        };
        wait_until(&format!("{job} is finished"), has_all).await
    }

    pub fn stored_results(&self, job: &str) -> usize {
        let prefix = format!("work/job/{job}/progress/results/");
        self.platform.with_kv(|kv| kv.range(&prefix, None).items.len())
    }
}

/// Adds members to settings.
fn with(mut settings: Value, more: &Value) -> Value {
    if let (Some(settings), Some(more)) = (settings.as_object_mut(), more.as_object()) {
        settings.extend(more.clone());
    }
    settings
}

/// Returns the settings of an entry daemon that accepts callers at this port.
fn entry_settings(store: SocketAddr, ip: Ipv4Addr, name: &str, port: u16) -> Value {
    let mut entry = settings(store, ip, name, port + ADMIN_OFFSET);
    entry["listen"] = json!(SocketAddr::from((ip, port)));
    entry["batch"] = json!({ "enabled": false });
    entry
}

fn settings(store: SocketAddr, ip: Ipv4Addr, name: &str, port: u16) -> Value {
    json!({
        "instance": name, "failure_domain": "a", "source": "operator", "cut_withdrawn": false,
        "admin_listen": SocketAddr::from((ip, port)),
        "peer_listen": SocketAddr::from((ip, port + 1)),
        "platform": { "address": store, "writes_per_s": 100, "reads_per_s": 200 },
        "log_level": "debug",
    })
}

fn start(folder: &TempDir, name: &str, settings: &Value) -> io::Result<Process> {
    let file = folder.path().join(format!("{name}.jsonc"));
    fs::write(file, settings.to_string())?;
    start_process(folder, name, &format!("{name}.log"))
}

fn start_process(folder: &TempDir, name: &str, log: &str) -> io::Result<Process> {
    let file = folder.path().join(format!("{name}.jsonc"));
    let args = ["--settings".to_owned(), file.display().to_string()];
    Process::start(name, &binary("borageshed")?, &args, &folder.path().join(log))
}

pub async fn wait_until(what: &str, is_so: impl AsyncFn() -> bool) -> io::Result<()> {
    wait::wait_until(what, LIMIT, POLL, is_so).await
}

pub fn call(prefix: &str, id: &str) -> Call {
    Call::post(format!("{prefix}x?y=1"), "body").key(KEY).header("x-request-id", id)
}

pub fn submission(id: &str, items: &[&str]) -> Call {
    Call::post(JOBS, operator::job_body(items)).key(KEY).header("x-request-id", id)
}

pub fn stream(events: u64, pause_ms: u64) -> Behaviour {
    Behaviour::Stream { events, pause: Duration::from_millis(pause_ms) }
}

/// How a daemon is cut off from the store.
#[derive(Debug, Clone, Copy)]
pub enum StoreCut {
    /// Connections are reset.
    Reset,
    /// Connections stay open and carry nothing.
    Silent,
}

/// Cuts a daemon off from the store.
pub fn cut_off(link: &Link, cut: StoreCut) {
    match cut {
        StoreCut::Reset => {
            link.refuse(true);
            link.cut();
        }
        StoreCut::Silent => {
            link.silence();
            link.silence_new(true);
        }
    }
}

/// Ends a cut: the connections that were open during it break, and new ones work.
pub fn end_cut(link: &Link) {
    link.cut();
    link.refuse(false);
    link.silence_new(false);
}
