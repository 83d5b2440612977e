//! A stand-in for a server. It answers 421 to a request that names another instance, echoes the id of the request, and signs what it
//! ran. What it answers otherwise is up to the case.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    http::{Head, Reader},
    names::name,
    note,
};

/// A request that a server ran.
#[derive(Debug, Clone)]
pub struct Ran {
    pub method: String,
    pub target: String,
    pub head: Head,
    /// The signature of the answer.
    pub stamp: String,
}

/// An answer of a server.
pub struct Reply {
    pub status: u16,
    pub content_type: &'static str,
    pub body: Arc<Vec<u8>>,
    pub pause: Option<Pause>,
}

/// A pause before an answer or in the middle of it.
pub struct Pause {
    /// The bytes of the body before the pause; with 0, the pause comes before the head.
    pub after: usize,
    pub time: Duration,
}

/// What a server answers to a request that it runs.
pub type Behaviour = Arc<dyn Fn(&Ran) -> Reply + Send + Sync>;

/// A running server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    health_path: String,
    ran: Arc<Mutex<Vec<Ran>>>,
    /// The ids of the requests whose answers were sent whole.
    sent: Arc<Mutex<Vec<String>>>,
}

impl Server {
    /// Starts a server on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn start(id: &str, health_path: &str, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let (id, health_path) = (id.to_owned(), health_path.to_owned());
        let server = Self { id, address, health_path, ran: Arc::default(), sent: Arc::default() };
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, behaviour) = (accepting.clone(), Arc::clone(&behaviour));
                std::thread::spawn(move || server.serve(stream, &behaviour));
            }
        });
        server
    }

    /// Returns the requests that this server ran.
    pub fn ran(&self) -> Vec<Ran> {
        self.ran.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns how many answers to a request were sent whole.
    pub fn sent_whole(&self, id: &str) -> usize {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.iter().filter(|it| *it == id).count()
    }

    fn serve(&self, stream: TcpStream, behaviour: &Behaviour) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            if reader.exactly(head.length().unwrap_or(0)).is_err() {
                return;
            }
            let id = head.get("x-request-id").unwrap_or_default().to_owned();
            let (head, Reply { body, pause, .. }) = self.answer(head, behaviour);
            let pause = pause.unwrap_or(Pause { after: body.len(), time: Duration::ZERO });
            let (before, after) = body.split_at(pause.after);
            if pause.after == 0 {
                std::thread::sleep(pause.time);
            }
            if out.write_all(&head).is_err() || out.write_all(before).is_err() {
                note!("server {}: the connection of {id} was closed", self.id);
                return;
            }
            if pause.after > 0 {
                std::thread::sleep(pause.time);
            }
            if out.write_all(after).is_err() {
                note!("server {}: the connection of {id} was closed", self.id);
                return;
            }
            self.sent.lock().unwrap_or_else(PoisonError::into_inner).push(id);
        }
    }

    fn answer(&self, head: Head, behaviour: &Behaviour) -> (Vec<u8>, Reply) {
        static STAMPS: AtomicU64 = AtomicU64::new(1);
        let mut line = head.line.split(' ');
        let method = line.next().unwrap_or_default().to_owned();
        let target = line.next().unwrap_or_default().to_owned();
        let id = head.get("x-request-id").unwrap_or_default().to_owned();
        if method == "GET" && target == self.health_path {
            let headers = format!("{}: {}\r\n", name("instance"), self.id);
            return with_head(&id, &headers, Reply::text(200, ""));
        }
        if head.get(name("expected")).is_some_and(|it| it != self.id) {
            note!("server {} got {id}, which names another instance: 421", self.id);
            return with_head(&id, "", Reply::text(421, ""));
        }
        let stamp = format!("{}.{}", self.id, STAMPS.fetch_add(1, Ordering::Relaxed));
        let ran = Ran { method, target, head, stamp };
        note!(
            "server {} runs {} {} id={id} tenant={:?} stamp={}",
            self.id,
            ran.method,
            ran.target.escape_debug(),
            ran.head.get(name("tenant")),
            ran.stamp
        );
        self.ran.lock().unwrap_or_else(PoisonError::into_inner).push(ran.clone());
        let reply = behaviour(&ran);
        let headers = format!("{}: {}\r\n", name("stamp"), ran.stamp);
        with_head(&id, &headers, reply)
    }
}

impl Reply {
    /// Returns an answer with a text.
    pub fn text(status: u16, text: &str) -> Self {
        let body = Arc::new(text.as_bytes().to_vec());
        Self { status, content_type: "text/plain", body, pause: None }
    }
}

/// Returns the head of an answer and the answer.
fn with_head(id: &str, more: &str, reply: Reply) -> (Vec<u8>, Reply) {
    let Reply { status, content_type, body, .. } = &reply;
    let len = body.len();
    let head = format!(
        "HTTP/1.1 {status} Status\r\nX-Request-Id: {id}\r\nContent-Type: {content_type}\r\n{more}Content-Length: {len}\r\n\r\n"
    );
    (head.into_bytes(), reply)
}

/// Returns a whole stream of events with ids from `from` to `last`, and its text as a result lists it.
pub fn events(from: u64, last: u64) -> Reply {
    let body: String = (from..=last).map(|n| format!("id: {n}\ndata: token {n}\n\n")).collect();
    Reply {
        status: 200,
        content_type: "text/event-stream",
        body: Arc::new(body.into_bytes()),
        pause: None,
    }
}
