//! A TCP relay that can close, delay or silence connections.

use std::{
    io,
    net::{Shutdown, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use futures::{
    AsyncReadExt, AsyncWriteExt,
    future::{AbortHandle, abortable},
};

const BUFFER_SIZE: usize = 16 << 10;

#[derive(Debug, Default)]
struct State {
    refuse: bool,
    silence_new: bool,
    delay: Duration,
    connections: Vec<Connection>,
}

#[derive(Debug, Clone)]
struct Connection {
    caller: TcpStream,
    target: TcpStream,
    silent: Arc<AtomicBool>,
}

impl Connection {
    fn close(&self) {
        // An error means that the socket is closed already.
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    accepted: AtomicU64,
    bytes: AtomicU64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A TCP relay from its own address to a target; dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept: AbortHandle,
}

impl Relay {
    /// Starts a relay on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let (run, accept) = abortable(accept_all(listener, target, Arc::clone(&shared)));
        task::spawn(run);
        Ok(Self { address, shared, accept })
    }

    /// Returns the address on which the relay accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections; connections opened later work.
    pub fn cut(&self) {
        for connection in self.shared.lock().connections.drain(..) {
            connection.close();
        }
    }

    /// While on, closes new connections immediately; together with [`Self::cut`] this separates the two sides.
    pub fn refuse(&self, on: bool) {
        self.shared.lock().refuse = on;
    }

    /// Delays the data of each read by this long, in both directions.
    pub fn delay(&self, delay: Duration) {
        self.shared.lock().delay = delay;
    }

    /// Stops forwarding data on all current connections and keeps them open; connections opened later work.
    pub fn silence(&self) {
        for connection in &self.shared.lock().connections {
            connection.silent.store(true, Ordering::Relaxed);
        }
    }

    /// While on, forwards no data on new connections; they stay silent after it is turned off.
    pub fn silence_new(&self, on: bool) {
        self.shared.lock().silence_new = on;
    }

    /// Returns the number of connections that were accepted and connected to the target.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that were forwarded in both directions together.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accept.abort();
        self.refuse(true);
        self.cut();
    }
}

async fn accept_all(listener: TcpListener, target: SocketAddr, shared: Arc<Shared>) {
    loop {
        let Ok((caller, _)) = listener.accept().await else {
            // Usually the process is out of file descriptors; the delay lets open connections end.
            task::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if shared.lock().refuse {
            let _ = caller.shutdown(Shutdown::Both);
            continue;
        }
        task::spawn(relay_connection(caller, target, Arc::clone(&shared)));
    }
}

async fn relay_connection(caller: TcpStream, target: SocketAddr, shared: Arc<Shared>) {
    let Ok(target) = TcpStream::connect(target).await else {
        let _ = caller.shutdown(Shutdown::Both);
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let connection = {
        let mut state = shared.lock();
        let silent = Arc::new(AtomicBool::new(state.silence_new));
        let connection = Connection { caller, target, silent };
        if state.refuse {
            return connection.close();
        }
        state.connections.push(connection.clone());
        connection
    };
    shared.accepted.fetch_add(1, Ordering::Relaxed);
    let forward = copy_data(&connection.caller, &connection.target, &connection.silent, &shared);
    let backward = copy_data(&connection.target, &connection.caller, &connection.silent, &shared);
    futures::future::join(forward, backward).await;
    // Long tests open more connections than a process may have open files.
    let is_other = |it: &Connection| !Arc::ptr_eq(&it.silent, &connection.silent);
    shared.lock().connections.retain(is_other);
}

async fn copy_data(mut from: &TcpStream, mut to: &TcpStream, silent: &AtomicBool, shared: &Shared) {
    let mut buf = vec![0; BUFFER_SIZE];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        let delay = shared.lock().delay;
        if !delay.is_zero() {
            task::sleep(delay).await;
        }
        // A silent connection still reads and discards data: on a network path that drops packets, the sender's
        // writes also succeed for a while, until its buffers are full.
        if silent.load(Ordering::Relaxed) {
            continue;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            break;
        }
        shared.bytes.fetch_add(n as u64, Ordering::Relaxed);
    }
    // On a silent connection, one side does not learn that the other has closed it.
    if !silent.load(Ordering::Relaxed) {
        let _ = to.shutdown(Shutdown::Write);
    }
}
