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
use socket2::{Domain, Socket, Type};

use crate::wait::wait_until;

const BUFFER_SIZE: usize = 16 << 10;
/// How long a relay may take to listen again at its address.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

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
    target: SocketAddr,
    shared: Arc<Shared>,
    accept: Mutex<AbortHandle>,
    /// The listener that takes no connections while new ones hang, and the connections that fill its queue.
    hanging: Mutex<Option<(Socket, Vec<Socket>)>>,
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
        let accept = Mutex::new(spawn_accept(listener, target, &shared));
        Ok(Self { address, target, shared, accept, hanging: Mutex::default() })
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

    /// Stops listening, so that the system refuses new connections; open ones go on.
    pub fn stop_listening(&self) {
        lock(&self.accept).abort();
        *lock(&self.hanging) = None;
    }

    /// Listens again after [`Self::stop_listening`] or [`Self::hang_new`].
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn listen(&self) -> io::Result<()> {
        self.stop_listening();
        let socket = self.bind(1_024).await?;
        let listener = TcpListener::from(std::net::TcpListener::from(socket));
        *lock(&self.accept) = spawn_accept(listener, self.target, &self.shared);
        Ok(())
    }

    /// Lets new connections hang, as behind a network path that drops packets; open ones go on.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn hang_new(&self) -> io::Result<()> {
        self.stop_listening();
        // The system drops the packets of further connections while the queue of a listener is full.
        let listener = self.bind(0).await?;
        let mut queued = Vec::new();
        for _ in 0..3 {
            let socket = Socket::new(Domain::for_address(self.address), Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            // Fails because the connection is still in progress.
            let _ = socket.connect(&self.address.into());
            queued.push(socket);
        }
        *lock(&self.hanging) = Some((listener, queued));
        Ok(())
    }

    /// Binds the address of the relay, from which the former listener may not have gone yet.
    async fn bind(&self, backlog: i32) -> io::Result<Socket> {
        let bound = Mutex::new(None);
        let bind = || -> io::Result<Socket> {
            let socket = Socket::new(Domain::for_address(self.address), Type::STREAM, None)?;
            socket.set_reuse_address(true)?;
            socket.bind(&self.address.into())?;
            socket.listen(backlog)?;
            Ok(socket)
        };
        let is_bound = async || {
            *lock(&bound) = bind().ok();
            lock(&bound).is_some()
        };
        wait_until("the relay listens again", LISTEN_TIMEOUT, POLL_INTERVAL, is_bound).await?;
        let socket = lock(&bound).take();
        socket.ok_or_else(|| io::Error::other("the relay does not listen"))
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
        self.stop_listening();
        self.refuse(true);
        self.cut();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn spawn_accept(listener: TcpListener, target: SocketAddr, shared: &Arc<Shared>) -> AbortHandle {
    let (run, accept) = abortable(accept_all(listener, target, Arc::clone(shared)));
    task::spawn(run);
    accept
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
