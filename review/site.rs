//! A small deployment on loopback: the stand-in for the platform, and daemons with the settings of the project's templates.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{http, names::name, note, server::Server};

/// The host of every route.
pub const HOST: &str = "shop.example";
/// The two client accounts and their keys.
pub const ACCOUNTS: [(&str, &str); 2] = [("acme", "key-of-acme"), ("globex", "key-of-globex")];

const STARTUP_LIMIT: Duration = Duration::from_secs(20);

/// The processes that were started, so that all of them are ended whatever happens.
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_processes() {
    for child in PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A daemon.
pub struct Daemon {
    pub name: String,
    /// Where callers connect; only on entry instances.
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub process: u32,
    pub log: PathBuf,
}

/// A deployment.
pub struct Site {
    root: PathBuf,
    folder: PathBuf,
    platform: SocketAddr,
    pub daemons: Vec<Daemon>,
}

impl Site {
    /// Starts the stand-in for the platform.
    ///
    /// # Panics
    ///
    /// Panics if it does not start.
    pub fn start(root: &Path, folder: &Path) -> Self {
        let mut child = Command::new(root.join("target/debug/examples/platform-stand-in"))
            .stdout(Stdio::piped())
            .spawn()
            .expect("the platform stand-in was built");
        let out = child.stdout.take().expect("its output is a pipe");
        PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).push(child);
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).expect("the platform stand-in prints its address");
        let address = line.trim().strip_prefix("listening=").and_then(|it| it.parse().ok());
        let platform = address.expect("the platform stand-in prints its address");
        Self { root: root.to_owned(), folder: folder.to_owned(), platform, daemons: Vec::new() }
    }

    /// Writes a value to the platform's store, as the operator and the servers do.
    ///
    /// # Panics
    ///
    /// Panics if the store does not accept it.
    pub fn put(&self, key: &str, value: &str) {
        put(self.platform, key, value);
    }

    /// Writes a configuration whose routes all lead to the service `engine`.
    pub fn configure(&self, version: u32, health_path: &str) {
        let route = |prefix: &str, kind: &str, more: &str| {
            format!(
                r#"{{"name":"{prefix}","host":"{HOST}","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":5000,"slo_ms":300,"priority":0,"service":"engine"{more}}}"#
            )
        };
        let routes = [
            route(
                "/streams/",
                "streaming",
                r#","attempts":2,"resumable":true,"gap_target_ms":400"#,
            ),
            route("/drafts/", "streaming", r#","attempts":1,"gap_target_ms":400"#),
            route("/orders/", "non_idempotent", r#","attempts":1"#),
            route("/reports/", "idempotent", r#","attempts":2"#).replace(":5000", ":15000"),
            route("/lookups/", "idempotent", r#","attempts":2"#),
            route(
                "/plans/",
                "batch",
                r#","attempts":3,"due_ms":18000,"max_wait_s":60.0,"max_count":1500000"#,
            ),
        ]
        .join(",");
        let tenants = ACCOUNTS
            .map(|(account, key)| {
                format!(r#"{{"name":"{account}","api_keys":["{key}"],"rate_per_s":43,"burst":43}}"#)
            })
            .join(",");
        let config = format!(
            r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"engine","health_path":"{health_path}"}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{tenants}]}}"#
        );
        self.put(name("config"), &config);
    }

    /// Registers a server, and writes its entry again at intervals as servers do.
    pub fn register(&self, server: &Server, zone: &str) {
        let (platform, id, address) = (self.platform, server.id.clone(), server.address);
        let (zone, key) = (zone.to_owned(), format!("{}{id}", name("servers")));
        let entry = move |seq: u64| {
            format!(
                r#"{{"service":"engine","address":"{address}","zone":"{zone}","version":"1","slots":8,"state":"ready","cold_left_ms":0,"seq":{seq},"born":1790000000000}}"#
            )
        };
        put(platform, &key, &entry(0));
        std::thread::spawn(move || {
            for seq in 1.. {
                std::thread::sleep(Duration::from_millis(1_200));
                put(platform, &key, &entry(seq));
            }
        });
    }

    /// Starts a daemon with the command of the deploy file and the settings of its role's template.
    ///
    /// # Panics
    ///
    /// Panics if it does not start.
    pub fn start_daemon(&mut self, role: &str, instance: &str, zone: &str) {
        let template = self.root.join(format!("platform/templates/{role}.jsonc"));
        let template = fs::read_to_string(template).expect("the template can be read");
        let [listen, admin, peer] = free_addresses();
        let quoted = |it: &dyn std::fmt::Display| format!("\"{it}\"");
        let ports = [peer.port(), admin.port()];
        let values = [
            ("node|json", quoted(&instance)),
            ("zone|json", quoted(&zone)),
            ("listen.front|json", quoted(&listen)),
            ("listen.ready|json", quoted(&admin)),
            ("ip", "127.0.0.1".to_owned()),
            ("port_range.0", ports[0].to_string()),
            ("port_range.1", ports[1].to_string()),
            ("limits.cpu_share", if role == "entry" { "0.25" } else { "0.5" }.to_owned()),
            ("bootstrap", "true".to_owned()),
            ("bounds.strict_revoke", "false".to_owned()),
            ("platform.address|json", quoted(&self.platform)),
        ];
        let settings = values.iter().fold(template, |text, (field, value)| {
            text.replace(&format!("{{{{{field}}}}}"), value)
        });
        assert!(
            !settings.contains("{{"),
            "the template has a field that this kit does not fill in"
        );
        let file = self.folder.join(format!("{instance}.jsonc"));
        fs::write(&file, settings).expect("the settings can be written");
        let log = self.folder.join(format!("{instance}.log"));
        let out = fs::File::create(&log).expect("the log can be created");
        let child = Command::new(self.root.join("target/release/borageshed"))
            .arg("--settings")
            .arg(&file)
            .current_dir(&self.root)
            .stdout(out.try_clone().expect("the log can be shared"))
            .stderr(out)
            .spawn()
            .expect("the daemon was built");
        let process = child.id();
        note!("started {instance} as process {process}");
        PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).push(child);
        self.daemons.push(Daemon { name: instance.to_owned(), listen, admin, process, log });
    }

    /// Starts two entry instances and two storage instances in two failure domains, and waits until they are ready.
    ///
    /// # Panics
    ///
    /// Panics if one does not become ready.
    pub fn start_daemons(&mut self) {
        for (role, instance, zone) in [
            ("entry", "front-a-1", "a"),
            ("entry", "front-b-1", "b"),
            ("storage", "store-a-1", "a"),
            ("storage", "store-b-1", "b"),
        ] {
            self.start_daemon(role, instance, zone);
        }
        let started = Instant::now();
        let get = http::request("GET /readyz", &[("Host", "admin")], b"");
        for daemon in self.daemons.iter().filter(|it| it.name.starts_with("front")) {
            while !http::exchange(daemon.admin, &get, Duration::from_secs(1))
                .is_ok_and(|it| it.status == 200)
            {
                if started.elapsed() > STARTUP_LIMIT {
                    let log = fs::read_to_string(&daemon.log).unwrap_or_default();
                    log.lines().for_each(|it| note!("log of {}: {it}", daemon.name));
                    panic!("{} is not ready", daemon.name);
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        // The links between the daemons and the claims of the storage instances need a moment more.
        std::thread::sleep(Duration::from_secs(2));
        note!("deployment ready");
    }

    /// Tells a daemon to stop, as the platform does.
    ///
    /// # Panics
    ///
    /// Panics if there is no such daemon.
    pub fn terminate(&self, name: &str) {
        let daemon =
            self.daemons.iter().find(|it| it.name == name).expect("the daemon was started");
        note!("SIGTERM for {name}");
        signal("-TERM", daemon.process);
    }

    /// Returns the address of an entry instance for callers.
    pub fn front(&self, n: usize) -> SocketAddr {
        let mut fronts = self.daemons.iter().filter(|it| it.name.starts_with("front"));
        fronts.nth(n).expect("there are two entry instances").listen
    }

    /// Notes in how many lines of the daemons' logs a text occurs.
    pub fn count_in_logs(&self, text: &str) {
        for daemon in &self.daemons {
            let log = fs::read_to_string(&daemon.log).unwrap_or_default();
            let count = log.lines().filter(|it| it.contains(text)).count();
            note!("{} wrote {text:?} in {count} lines of its log", daemon.name);
        }
    }

    /// Copies the lines of the daemons' logs that hold a text into the record.
    pub fn note_logs(&self, text: &str, most: usize) {
        for daemon in &self.daemons {
            let log = fs::read_to_string(&daemon.log).unwrap_or_default();
            for line in log.lines().filter(|it| it.contains(text)).take(most) {
                note!("log of {}: {line}", daemon.name);
            }
        }
    }
}

/// Sends a signal to a process that was started here.
///
/// # Panics
///
/// Panics if it cannot be sent.
pub fn signal(signal: &str, process: u32) {
    let sent = Command::new("kill").args([signal, &process.to_string()]).status();
    assert!(sent.is_ok_and(|it| it.success()), "the signal was sent");
}

fn put(platform: SocketAddr, key: &str, value: &str) {
    let value = base64(value.as_bytes());
    let body = format!(r#"{{"writes":[{{"key":"{key}","value":"{value}","lease":0}}]}}"#);
    let req = http::request(
        &format!("POST {}", name("txn")),
        &[("Host", "store"), ("Content-Type", "application/json")],
        body.as_bytes(),
    );
    // The process ends while servers still write their entries.
    if let Ok(answer) = http::exchange(platform, &req, Duration::from_secs(2)) {
        assert_eq!(answer.status, 200, "the store takes the write of {key}");
    }
}

/// Returns addresses that nobody listens on, with ports below those that the system gives to outgoing connections: one of these
/// could take the port before the daemon does.
fn free_addresses() -> [SocketAddr; 3] {
    const FIRST_PORT: u16 = 11_000;
    const PORTS: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = process::id().wrapping_mul(64);
    [(); 3].map(|()| {
        (0..PORTS)
            .map(|_| {
                let n = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
                SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + n as u16))
            })
            .find(|it| TcpListener::bind(it).is_ok())
            .expect("a port is free")
    })
}

/// Encodes bytes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let n =
            group.iter().fold(0_u32, |n, it| n << 8 | u32::from(*it)) << (8 * (3 - group.len()));
        for at in 0..4 {
            match at <= group.len() {
                true => text.push(DIGITS[(n >> (18 - 6 * at) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
