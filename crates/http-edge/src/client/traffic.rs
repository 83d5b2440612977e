//! When bytes last arrived from each address, and which addresses owe an answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Beyond this many addresses, those without connections are forgotten before another one is added.
const MAX_IDLE_ADDRESSES: usize = 1_024;

/// What has passed between the client and one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// The address.
    pub addr: SocketAddr,
    /// When bytes last arrived from the address, or a connection to it opened.
    pub received_at: Instant,
    /// Since when the address owes an answer, or the rest of one; `None` if no exchange is in progress.
    pub owes_since: Option<Instant>,
}

impl Traffic {
    /// Returns how long an address that owes an answer has been silent.
    pub fn silent_for(&self, now: Instant) -> Option<Duration> {
        let since = self.owes_since?.max(self.received_at);
        Some(now.saturating_duration_since(since))
    }
}

/// The traffic of all addresses to which there are or were connections.
#[derive(Debug)]
pub(crate) struct TrafficTable {
    /// Times are stored in microseconds since then.
    epoch: Instant,
    addresses: Mutex<HashMap<SocketAddr, Arc<AddressTraffic>>>,
}

/// The traffic of one address, which its connections share.
#[derive(Debug)]
pub(crate) struct AddressTraffic {
    epoch: Instant,
    received_at: AtomicU64,
    exchanges: AtomicUsize,
    owes_since: AtomicU64,
}

/// An exchange in progress; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct OwedAnswer(Arc<AddressTraffic>);

impl TrafficTable {
    pub(crate) fn new() -> Self {
        Self { epoch: Instant::now(), addresses: Mutex::default() }
    }

    /// Returns the traffic of an address to which a connection has just been opened.
    pub(crate) fn on_connected(&self, addr: SocketAddr) -> Arc<AddressTraffic> {
        let mut addresses = self.lock();
        if addresses.len() >= MAX_IDLE_ADDRESSES {
            addresses.retain(|_, it| Arc::strong_count(it) > 1);
        }
        let traffic = addresses.entry(addr).or_insert_with(|| {
            Arc::new(AddressTraffic {
                epoch: self.epoch,
                received_at: AtomicU64::new(0),
                exchanges: AtomicUsize::new(0),
                owes_since: AtomicU64::new(0),
            })
        });
        traffic.on_received();
        Arc::clone(traffic)
    }

    pub(crate) fn get(&self, addr: SocketAddr) -> Option<Traffic> {
        self.lock().get(&addr).map(|it| it.snapshot(addr))
    }

    pub(crate) fn all(&self) -> Vec<Traffic> {
        self.lock().iter().map(|(addr, it)| it.snapshot(*addr)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<AddressTraffic>>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AddressTraffic {
    /// Records that bytes have arrived.
    pub(crate) fn on_received(&self) {
        self.received_at.store(self.now(), Ordering::Relaxed);
    }

    /// Records that an exchange begins.
    pub(crate) fn begin_exchange(self: &Arc<Self>) -> OwedAnswer {
        if self.exchanges.fetch_add(1, Ordering::AcqRel) == 0 {
            self.owes_since.store(self.now(), Ordering::Release);
        }
        OwedAnswer(Arc::clone(self))
    }

    fn snapshot(&self, addr: SocketAddr) -> Traffic {
        let at = |it: &AtomicU64| self.epoch + Duration::from_micros(it.load(Ordering::Acquire));
        let owes = self.exchanges.load(Ordering::Acquire) > 0;
        let owes_since = owes.then(|| at(&self.owes_since));
        Traffic { addr, received_at: at(&self.received_at), owes_since }
    }

    fn now(&self) -> u64 {
        self.epoch.elapsed().as_micros() as u64
    }
}

impl Drop for OwedAnswer {
    fn drop(&mut self) {
        self.0.exchanges.fetch_sub(1, Ordering::AcqRel);
    }
}
