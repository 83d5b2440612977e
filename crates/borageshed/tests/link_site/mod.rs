//! Starts an entry daemon whose links to the targets can be cut while another entry daemon and a worker daemon go on reaching them.
#![allow(dead_code, reason = "each test program uses a part")]

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use async_std::future::timeout;
use kv_store::Store as _;
use platform::{PlatformStore, PlatformStoreConfig};
use serde_json::{Value, json};
use test_support::{
    http::{Call, Reply},
    link::Relay as Link,
    operator::{self, HOST},
    platform::Platform,
    processes::Process,
    target::{Behaviour, Target},
};

use crate::operator_site::{KEY, Site};

/// The port at which the daemon behind the links accepts callers.
const CUT_PORT: u16 = 8_400;
const MEMBERS: &str = "members/";

/// How the links of a daemon to all targets are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Open connections fall silent, and new ones hang.
    Silent,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    Refuse,
}

/// A daemon behind links that can be cut, and two that reach the targets directly.
pub struct LinkSite {
    /// The daemons that reach the targets, with their store.
    pub site: Site,
    /// The daemon behind the links.
    pub process: Process,
    /// Where it accepts callers.
    pub callers: SocketAddr,
    /// The links from it to the targets.
    pub links: Vec<Link>,
    pub targets: Vec<Target>,
    /// The store of the daemon behind the links, in which the targets have the addresses of the links.
    store: Platform,
}

impl LinkSite {
    pub async fn start(behaviours: &[Behaviour]) -> io::Result<Self> {
        Self::start_with(behaviours, json!({})).await
    }

    /// Starts a site with a target for each behaviour, whose daemons have more settings.
    pub async fn start_with(behaviours: &[Behaviour], more: Value) -> io::Result<Self> {
        let mut targets = Vec::new();
        for behaviour in behaviours {
            targets.push(Target::start(*behaviour).await?);
        }
        let store = Platform::start(([127, 0, 0, 1], 0).into()).await?;
        operator::configure(&store, 2, &[KEY, "key-two"]);
        let mut links = Vec::new();
        for (n, target) in targets.iter().enumerate() {
            let link = Link::start(target.address()).await?;
            operator::register(&store, &target_id(n), link.address());
            links.push(link);
        }
        let mut settings = json!({ "calls_through_peers": true });
        if let (Some(settings), Some(more)) = (settings.as_object_mut(), more.as_object()) {
            settings.extend(more.clone());
        }
        let site = Site::start_with(settings, |platform| {
            for (n, target) in targets.iter().enumerate() {
                operator::register(platform, &target_id(n), target.address());
            }
        })
        .await?;
        let (process, callers) =
            site.start_entry_at(("cut", CUT_PORT), store.address(), &json!({})).await?;
        // The daemons have two stores, and each gets the registrations of the other one.
        for name in ["entry", "worker"] {
            copy_registration(&site.platform, &store, name).await?;
        }
        copy_registration(&store, &site.platform, "cut").await?;
        let site = Self { site, process, callers, links, targets, store };
        site.wait_for_peers().await?;
        Ok(site)
    }

    /// Waits until the daemon behind the links is linked with the two others.
    async fn wait_for_peers(&self) -> io::Result<()> {
        let admin = self.site.admin(CUT_PORT);
        crate::operator_site::wait_until("the daemons are linked", async || {
            let Ok(reply) = Call::get("/metrics").send(admin).await else { return false };
            reply.text().lines().any(|it| it == "borageshed_peers 2")
        })
        .await
    }

    /// Returns the metrics of the daemon behind the links.
    pub async fn metrics(&self) -> String {
        let admin = self.site.admin(CUT_PORT);
        Call::get("/metrics").send(admin).await.expect("metrics").text()
    }

    /// Sends a request to the daemon behind the links.
    pub async fn send(&self, call: Call) -> Reply {
        call.header("host", HOST).send(self.callers).await.expect("an answer")
    }

    pub async fn cut(&self, cut: Cut) -> io::Result<()> {
        for link in &self.links {
            self.cut_link(link, cut).await?;
        }
        Ok(())
    }

    pub async fn cut_link(&self, link: &Link, cut: Cut) -> io::Result<()> {
        match cut {
            Cut::Silent => {
                link.hang_new().await?;
                link.silence();
            }
            Cut::Reset => {
                link.stop_listening();
                link.cut();
            }
            Cut::Refuse => link.stop_listening(),
        }
        Ok(())
    }

    /// Ends a cut; connections that fell silent stay silent.
    pub async fn heal(&self) -> io::Result<()> {
        for link in &self.links {
            link.listen().await?;
        }
        Ok(())
    }

    /// Waits until the daemon behind the links knows that each is lost.
    pub async fn wait_until_lost(&self) -> io::Result<()> {
        let links = self.links.len() as u64;
        crate::operator_site::wait_until("the links are known to be lost", async || {
            let id = format!("probe-{}", NEXT_PROBE.fetch_add(1, Ordering::Relaxed));
            // The result does not matter: requests make the daemon look at its links.
            let call = crate::operator_site::call(operator::LOOKUPS, &id).header("host", HOST);
            let _ = timeout(PROBE_TIMEOUT, Box::pin(call.send(self.callers))).await;
            self.metric("lost_links").await == links
        })
        .await
    }

    /// Returns a metric of the daemon behind the links.
    pub async fn metric(&self, name: &str) -> u64 {
        let metrics = self.metrics().await;
        let prefix = format!("borageshed_{name} ");
        let value = metrics.lines().find_map(|it| it.strip_prefix(&prefix)?.trim().parse().ok());
        value.unwrap_or_else(|| panic!("no metric {name}"))
    }

    /// Returns the daemon through which the daemon behind the links sent a request last, as its log says.
    pub fn helper_of(&self, id: &str) -> Option<String> {
        let log = self.log();
        let request = format!("request={id}");
        let is_line = |it: &&str| {
            it.contains("request sent through another daemon")
                && it.split_whitespace().any(|field| field == request)
        };
        let line = log.lines().rfind(is_line)?;
        line.split_whitespace().find_map(|it| it.strip_prefix("peer=").map(str::to_owned))
    }

    /// Starts a daemon that runs items behind the links.
    pub fn start_cut_worker(&self) -> io::Result<Process> {
        let more = json!({ "calls_through_peers": true });
        self.site.start_worker_at(("cut-worker", CUT_PORT + 300), self.store.address(), &more)
    }

    /// Returns how many targets received the request.
    pub fn runs(&self, id: &str) -> usize {
        let received = self.targets.iter().flat_map(Target::requests);
        received.filter(|it| it.header("x-request-id") == Some(id)).count()
    }

    /// Returns the text of the log of the daemon behind the links.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.site.folder.path().join("cut.log")).unwrap_or_default()
    }
}

/// How long a request that makes the daemon look at its links is awaited.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

static NEXT_PROBE: AtomicU64 = AtomicU64::new(0);

/// Returns the log of the daemon behind the links, for the message of a failed test.
pub fn log_of(site: &LinkSite) -> String {
    site.log()
}

pub fn target_id(n: usize) -> String {
    format!("t-{n}")
}

async fn copy_registration(from: &Platform, to: &Platform, name: &str) -> io::Result<()> {
    let key = format!("{MEMBERS}{name}");
    let [from, to] =
        [from, to].map(|it| PlatformStore::new(PlatformStoreConfig::new(it.address())));
    let entry = from.get(&key).await.map_err(io::Error::other)?;
    let entry = entry.ok_or_else(|| io::Error::other(format!("{name} is not registered")))?;
    to.create(&key, &entry.value).await.map_err(io::Error::other)?;
    Ok(())
}
