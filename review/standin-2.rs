//! Stand-ins for the scripts of the second review: the platform's store, routers, clients and
//! targets, and the processes of the deploy file as children. Uses the standard library only.
//!
//! Usage: standin-2 CASE REPOSITORY WORK_DIRECTORY RECORD TROUBLE
//!
//! Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, RwLock};
use std::thread;
use std::time::{Duration, Instant};

type Outcome<T> = Result<T, String>;

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// ---------------------------------------------------------------- record

/// The record of a run, with times since its start.
struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------- packets

const HEADER: usize = 36;
const SYN: u8 = 2;
const FIN: u8 = 16;
const ACK: u8 = 32;
const RST: u8 = 64;
const BOUNCED: u8 = 128;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct End {
    ip: Ipv4Addr,
    port: u16,
}

#[derive(Clone, Debug)]
struct Packet {
    flags: u8,
    src: End,
    dst: End,
    seq: u32,
    ack: u32,
    data: Vec<u8>,
}

/// The keyed sum over all fields but `echo`, `pad` and BOUNCED. Never 0.
fn sum_of(bytes: &[u8]) -> u32 {
    let mut hash: u32 = 0x811c_9dc5 ^ 0x5bd1_e995;
    for (at, byte) in bytes.iter().enumerate().skip(4) {
        if (5..10).contains(&at) || (22..26).contains(&at) {
            continue;
        }
        let byte = if at == 4 { byte & !BOUNCED } else { *byte };
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    hash.max(1)
}

impl Packet {
    fn encode(&self) -> Vec<u8> {
        let mut out = vec![0; HEADER];
        out[4] = self.flags;
        out[10..14].copy_from_slice(&u32::from(self.src.ip).to_le_bytes());
        out[14..18].copy_from_slice(&u32::from(self.dst.ip).to_le_bytes());
        out[18..20].copy_from_slice(&self.src.port.to_le_bytes());
        out[20..22].copy_from_slice(&self.dst.port.to_le_bytes());
        out[26..28].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        out[28..32].copy_from_slice(&self.seq.to_le_bytes());
        out[32..36].copy_from_slice(&self.ack.to_le_bytes());
        out.extend_from_slice(&self.data);
        let sum = sum_of(&out);
        out[..4].copy_from_slice(&sum.to_le_bytes());
        out
    }

    /// Decodes a packet; the flag says whether its sum is right.
    fn decode(bytes: &[u8]) -> Option<(Self, bool)> {
        if bytes.len() < HEADER {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let end = |ip: usize, port: usize| End {
            ip: Ipv4Addr::from(u32_at(ip)),
            port: u16_at(port),
        };
        let packet = Self {
            flags: bytes[4],
            src: end(10, 18),
            dst: end(14, 20),
            seq: u32_at(28),
            ack: u32_at(32),
            data: bytes[HEADER..].to_vec(),
        };
        Some((packet, sum_of(bytes) == u32_at(0)))
    }
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Changes that watches can still return.
    log: Vec<(Instant, u64, String, Option<String>)>,
    /// The last change that they can't return any more.
    forgotten: u64,
}

/// How long the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);

/// The platform's store. Each balancer reaches it at an address of its own.
struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    fn put(&self, key: &str, value: Option<&str>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match value {
            Some(value) => {
                state
                    .items
                    .insert(key.to_owned(), (value.to_owned(), revision));
            }
            None => {
                state.items.remove(key);
            }
        }
        let now = Instant::now();
        let change = (now, revision, key.to_owned(), value.map(str::to_owned));
        state.log.push(change);
        let old = state.log.iter();
        let old = old
            .take_while(|(at, ..)| now.duration_since(*at) > HISTORY)
            .count();
        if let Some((_, last, ..)) = state.log.drain(..old).last() {
            state.forgotten = last;
        }
        self.changed.notify_all();
        revision
    }

    /// Writes an item unless it has this value. Returns whether it was written.
    fn put_changed(&self, key: &str, value: &str) -> bool {
        let state = self.state.lock().unwrap();
        let known = state.items.get(key);
        let changed = known.is_none_or(|(known, _)| known != value);
        drop(state);
        if changed {
            self.put(key, Some(value));
        }
        changed
    }

    fn listen(self: &Arc<Self>, address: SocketAddrV4) -> Outcome<()> {
        let listener = TcpListener::bind(address).map_err(|e| format!("store {address}: {e}"))?;
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        loop {
            let mut first = String::new();
            if !matches!(reader.read_line(&mut first), Ok(count) if count > 0) {
                return;
            }
            loop {
                let mut line = String::new();
                match reader.read_line(&mut line) {
                    Ok(count) if count > 0 && line.trim().is_empty() => break,
                    Ok(count) if count > 0 => {}
                    _ => return,
                }
            }
            let path = first.split_whitespace().nth(1).unwrap_or("").to_owned();
            let (status, body) = self.answer(&path);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let whole = [head.as_bytes(), body.as_bytes()].concat();
            if out.write_all(&whole).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (u16, String) {
        thread::sleep(ms(4));
        let (name, query) = path.split_once('?').unwrap_or((path, ""));
        let field = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == wanted)
                .map(|(_, value)| decode_query(value))
                .unwrap_or_default()
        };
        let prefix = field("prefix");
        match name {
            "/v1/kv-range" => self.range(&prefix, &field("after")),
            "/v1/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("wait_ms").parse().unwrap_or(0);
                self.watch(&prefix, after, ms(wait))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let matching = state.items.iter();
        let matching: Vec<_> = matching
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        // A page has at most 500 items or 1 MB, and one item at least.
        let mut page: Vec<String> = Vec::new();
        let mut bytes = 0;
        for (key, (value, revision)) in &matching {
            let item = item_json(key, value, *revision);
            bytes += item.len();
            if !page.is_empty() && (bytes > 1_000_000 || page.len() == 500) {
                break;
            }
            page.push(item);
        }
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{},\"current_rev\":{}}}",
            page.join(","),
            matching.len() > page.len(),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.forgotten {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = state
                .log
                .iter()
                .filter(|(_, revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, revision, key, value)| match value {
                    Some(value) => item_json(key, value, *revision),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
            // An answer takes some milliseconds, and holds what is written meanwhile.
            drop(state);
            thread::sleep(ms(4));
            state = self.state.lock().unwrap();
        }
    }
}

fn item_json(key: &str, value: &str, revision: u64) -> String {
    let value = base64(value.as_bytes());
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"create_rev\":{revision},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let all = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for at in 0..4 {
            if at <= chunk.len() {
                out.push(char::from(ALPHABET[(all >> (18 - 6 * at)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn decode_query(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- templates

/// A value of the platform's settings.
#[derive(Clone)]
enum Value {
    Text(String),
    List(Vec<String>),
    Table(Vec<(String, String)>),
}

type Fields = HashMap<String, Value>;

/// Fills in a template as the pages describe it, as far as the project's templates need it.
fn render(template: &str, fields: &Fields) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let Some(end) = rest[start..].find("}}") else {
            break;
        };
        let name = &rest[start + 2..start + end];
        rest = &rest[start + end + 2..];
        let Some(kind) = name.chars().next().filter(|c| *c == '#' || *c == '^') else {
            out.push_str(&lookup(name, fields));
            continue;
        };
        let name = &name[1..];
        let close = format!("{{{{/{name}}}}}");
        let Some(at) = rest.find(&close) else {
            break;
        };
        let body = &rest[..at];
        rest = &rest[at + close.len()..];
        match (kind, fields.get(name)) {
            ('^', None) => out.push_str(body),
            ('#', Some(Value::Text(text))) => out.push_str(&body.replace("{{.}}", text)),
            ('#', Some(Value::Table(entries))) => {
                let filled = entries.iter().enumerate().map(|(index, (key, value))| {
                    let comma = if index + 1 < entries.len() { "," } else { "" };
                    let text = body.replace("{{@}}", key).replace("{{.}}", value);
                    text.replace("{{,}}", comma)
                });
                out.extend(filled);
            }
            _ => {}
        }
    }
    out.push_str(rest);
    out
}

fn lookup(name: &str, fields: &Fields) -> String {
    match fields.get(name) {
        Some(Value::Text(text)) => text.clone(),
        Some(Value::List(list)) => list.join(","),
        Some(Value::Table(_)) => String::new(),
        None => {
            let (list, index) = name.rsplit_once('.').unwrap_or((name, ""));
            match (fields.get(list), index.parse::<usize>()) {
                (Some(Value::List(list)), Ok(index)) => {
                    list.get(index).cloned().unwrap_or_default()
                }
                _ => String::new(),
            }
        }
    }
}

// ---------------------------------------------------------------- addresses

/// The addresses of a run: one loopback address for each machine, the same ports on all.
#[derive(Clone, Copy)]
struct Net {
    block: u8,
    port: u16,
}

impl Net {
    fn claim() -> Outcome<Self> {
        let seed = std::process::id();
        for attempt in 0..200_u32 {
            let mixed = (seed.wrapping_mul(2_654_435_761)).wrapping_add(attempt * 7_919);
            let net = Self {
                block: 32 + (mixed % 190) as u8,
                port: 20_000 + (mixed / 190 % 600) as u16 * 20,
            };
            if net.is_free() {
                return Ok(net);
            }
        }
        Err("no free ports".to_owned())
    }

    fn is_free(self) -> bool {
        let machines = [self.edge(0), self.side(0), self.store_ip(0), self.client(0)];
        machines.iter().all(|ip| {
            (0..20).all(|offset| {
                let address = SocketAddrV4::new(*ip, self.port + offset);
                UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok()
            }) && TcpListener::bind(SocketAddrV4::new(*ip, 9464)).is_ok()
        })
    }

    fn edge(self, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, 1, 10 + n as u8)
    }
    fn side(self, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, 20 + (n / 200) as u8, 10 + (n % 200) as u8)
    }
    fn store_ip(self, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, 9, 10 + n as u8)
    }
    fn client(self, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, 8, 10 + n as u8)
    }
    fn host(self, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, 7, 10 + n as u8)
    }
    fn packets(self) -> u16 {
        self.port
    }
    fn ready(self) -> u16 {
        self.port + 1
    }
    fn outbound(self) -> u16 {
        self.port + 2
    }
    fn app(self) -> u16 {
        self.port + 3
    }
    fn control(self) -> u16 {
        self.port + 4
    }
    fn range(self) -> (u16, u16) {
        (self.port + 6, self.port + 15)
    }
    fn store(self, n: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.store_ip(n), self.port + 5)
    }
}

// ---------------------------------------------------------------- processes

/// The time between two heartbeats of a target.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// A process of the deploy file on one machine.
struct Process {
    name: String,
    program: PathBuf,
    file: PathBuf,
    log: PathBuf,
    template: String,
    fields: Fields,
    child: Option<Child>,
    started_before: bool,
}

impl Process {
    fn start(&mut self, record: &Record) -> Outcome<()> {
        let bootstrap = if self.started_before { "false" } else { "true" };
        self.fields
            .insert("bootstrap".to_owned(), Value::Text(bootstrap.to_owned()));
        self.started_before = true;
        let text = render(&self.template, &self.fields);
        fs::write(&self.file, text).map_err(|e| e.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new(&self.program);
        command
            .arg("--settings")
            .arg(&self.file)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("LANG", "C")
            .env("LOVAGELATCH_NODE_FILE", &self.file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        let child = command
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.display()))?;
        record.line(&format!(
            "process {} started, pid {}",
            self.name,
            child.id()
        ));
        self.child = Some(child);
        Ok(())
    }

    /// Adds a zone to the settings and writes the file again. No signal tells the process.
    fn add_zone(&mut self, zone: &str, region: &str) -> Outcome<()> {
        if let Some(Value::Table(zones)) = self.fields.get_mut("zones") {
            zones.push((zone.to_owned(), region.to_owned()));
        }
        let text = render(&self.template, &self.fields);
        fs::write(&self.file, text).map_err(|e| e.to_string())
    }

    fn signal(&mut self, signal: i32, record: &Record) {
        if let Some(child) = &self.child {
            record.line(&format!("process {} gets signal {signal}", self.name));
            // SAFETY: sends a signal to a child that has not been reaped.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn has_exited(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.reap();
    }
}

// ---------------------------------------------------------------- targets

#[derive(Default)]
struct TargetStats {
    arrivals: AtomicU64,
    bad_sum: AtomicU64,
}

struct TargetFlow {
    isn: u32,
    /// The next byte expected from the client.
    expected: u32,
    sent: u32,
    open: bool,
    last: Instant,
    /// The last response, kept for retransmissions.
    response: Option<Vec<u8>>,
    ended: bool,
}

/// What a target saw, in order.
#[derive(Clone, Debug)]
struct Seen {
    at: f64,
    target: String,
    what: &'static str,
    client: End,
    service_address: End,
}

/// A backend server beside an agent.
struct Target {
    id: String,
    stop: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    /// When the target ended.
    ended_at: Option<f64>,
    stats: Arc<TargetStats>,
    handle: Option<thread::JoinHandle<()>>,
}

impl Target {
    fn start(
        id: &str,
        app: SocketAddrV4,
        outbound: SocketAddrV4,
        work: Duration,
        seen: Arc<Mutex<Vec<Seen>>>,
        record: Arc<Record>,
    ) -> Outcome<Self> {
        let socket = UdpSocket::bind(app).map_err(|e| format!("target {app}: {e}"))?;
        socket
            .set_read_timeout(Some(ms(2)))
            .map_err(|e| e.to_string())?;
        let stop = Arc::new(AtomicBool::new(false));
        let draining = Arc::new(AtomicBool::new(false));
        let stats = Arc::new(TargetStats::default());
        let mut server = TargetServer {
            id: id.to_owned(),
            socket,
            outbound,
            work,
            stop: Arc::clone(&stop),
            draining: Arc::clone(&draining),
            stats: Arc::clone(&stats),
            flows: HashMap::new(),
            due: Vec::new(),
            seen,
            record,
            counter: 0,
        };
        let handle = thread::spawn(move || server.run());
        Ok(Self {
            id: id.to_owned(),
            stop,
            draining,
            ended_at: None,
            stats,
            handle: Some(handle),
        })
    }

    fn end(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(handle) = self.handle.take() {
            let _ = handle.join();
        }
    }
}

struct TargetServer {
    id: String,
    socket: UdpSocket,
    outbound: SocketAddrV4,
    work: Duration,
    stop: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    stats: Arc<TargetStats>,
    flows: HashMap<(End, End), TargetFlow>,
    due: Vec<(Instant, (End, End))>,
    seen: Arc<Mutex<Vec<Seen>>>,
    record: Arc<Record>,
    counter: u32,
}

impl TargetServer {
    fn run(&mut self) {
        let mut buffer = [0; 2048];
        while !self.stop.load(Ordering::Relaxed) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.receive(&buffer[..length]);
            }
            self.answer_due();
        }
    }

    fn note(&self, what: &'static str, key: (End, End)) {
        self.seen.lock().unwrap().push(Seen {
            at: self.record.now(),
            target: self.id.clone(),
            what,
            client: key.0,
            service_address: key.1,
        });
    }

    fn receive(&mut self, bytes: &[u8]) {
        self.stats.arrivals.fetch_add(1, Ordering::Relaxed);
        let Some((packet, sum_ok)) = Packet::decode(bytes) else {
            return;
        };
        if !sum_ok {
            self.stats.bad_sum.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let key = (packet.src, packet.dst);
        if packet.flags & SYN != 0 {
            if !self.flows.contains_key(&key) {
                self.counter = self.counter.wrapping_add(0x0101_3577);
                let isn = self.counter ^ u32::from(packet.src.port) << 13;
                let flow = TargetFlow {
                    isn,
                    expected: packet.seq.wrapping_add(1),
                    sent: isn.wrapping_add(1),
                    open: false,
                    last: Instant::now(),
                    response: None,
                    ended: false,
                };
                self.flows.insert(key, flow);
                self.note("syn", key);
            }
            let flow = &self.flows[&key];
            let (isn, ack) = (flow.isn, flow.expected);
            if !flow.open {
                self.send(key, SYN | ACK, isn, ack, Vec::new());
            }
            return;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return self.bounce(bytes);
        };
        flow.last = Instant::now();
        if !flow.open {
            if packet.ack != flow.isn.wrapping_add(1) {
                return self.bounce(bytes);
            }
            flow.open = true;
            self.note("open", key);
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if packet.flags & RST != 0 {
            self.flows.remove(&key);
            return;
        }
        if flow.ended {
            if packet.flags & FIN != 0 {
                let (seq, ack) = (flow.sent, flow.expected);
                self.send(key, ACK, seq, ack, Vec::new());
            } else if !packet.data.is_empty() {
                let (seq, ack) = (flow.sent, flow.expected);
                self.send(key, RST | ACK, seq, ack, Vec::new());
            }
            return;
        }
        if !packet.data.is_empty() {
            if packet.seq == flow.expected {
                flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                flow.response = None;
                self.note("request", key);
                self.due.push((Instant::now() + self.work, key));
            } else if let Some(response) = flow.response.clone() {
                let _ = self.socket.send_to(&response, self.outbound);
            }
            return;
        }
        if packet.flags & FIN != 0 {
            flow.ended = true;
            flow.expected = packet.seq.wrapping_add(1);
            let (seq, ack) = (flow.sent, flow.expected);
            self.send(key, FIN | ACK, seq, ack, Vec::new());
        }
    }

    fn answer_due(&mut self) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = later;
        for (_, key) in due {
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            let data = format!("done by {}", self.id).into_bytes();
            let draining = self.draining.load(Ordering::Relaxed);
            let packet = Packet {
                flags: ACK,
                src: key.1,
                dst: key.0,
                seq: flow.sent,
                ack: flow.expected,
                data,
            };
            flow.sent = flow.sent.wrapping_add(packet.data.len() as u32);
            let bytes = packet.encode();
            flow.response = Some(bytes.clone());
            let (seq, ack) = (flow.sent, flow.expected);
            let _ = self.socket.send_to(&bytes, self.outbound);
            if draining {
                // A draining target closes each flow after its next response.
                flow.ended = true;
                self.send(key, FIN | ACK, seq, ack, Vec::new());
            }
        }
    }

    fn send(&self, key: (End, End), flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let packet = Packet {
            flags,
            src: key.1,
            dst: key.0,
            seq,
            ack,
            data,
        };
        let _ = self.socket.send_to(&packet.encode(), self.outbound);
    }

    fn bounce(&self, bytes: &[u8]) {
        let mut copy = bytes.to_vec();
        copy[4] |= BOUNCED;
        copy[5..10].fill(0);
        let _ = self.socket.send_to(&copy, self.outbound);
    }
}

// ---------------------------------------------------------------- routers

/// The platform's routers: forward by a steady hash to the balancers in rotation.
struct Router {
    socket: UdpSocket,
    balancers: RwLock<Vec<Arc<RoutedBalancer>>>,
}

/// A balancer as the routers know it.
struct RoutedBalancer {
    number: usize,
    address: SocketAddrV4,
    in_rotation: AtomicBool,
}

impl Router {
    fn send(&self, key: (End, End), bytes: &[u8]) {
        let zone = zone_of_client(key.0.ip);
        let balancers = self.balancers.read().unwrap();
        let in_zone = balancers
            .iter()
            .filter(|balancer| balancer.number % ZONES.len() == zone);
        let all: Vec<&Arc<RoutedBalancer>> = in_zone.collect();
        let ready = all.iter().copied();
        let ready = ready.filter(|balancer| balancer.in_rotation.load(Ordering::Relaxed));
        let ready: Vec<&Arc<RoutedBalancer>> = ready.collect();
        let chosen = if ready.len() * 2 < all.len() {
            all
        } else {
            ready
        };
        let weight = |index: usize| {
            let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ (index as u64).wrapping_mul(0x9e37_79b9);
            let words = [
                u32::from(key.0.ip),
                u32::from(key.0.port),
                u32::from(key.1.ip),
                u32::from(key.1.port),
            ];
            for word in words {
                hash = (hash ^ u64::from(word)).wrapping_mul(0x0000_0100_0000_01b3);
                hash ^= hash >> 29;
            }
            hash
        };
        let balancer = chosen
            .into_iter()
            .max_by_key(|balancer| weight(balancer.number));
        if let Some(balancer) = balancer {
            let _ = self.socket.send_to(bytes, balancer.address);
        }
    }

    /// Adds a balancer, which joins the rotation when it is ready.
    fn add(&self, number: usize, address: SocketAddrV4, ready_port: u16, stop: Arc<AtomicBool>) {
        let balancer = Arc::new(RoutedBalancer {
            number,
            address,
            in_rotation: AtomicBool::new(false),
        });
        self.balancers.write().unwrap().push(Arc::clone(&balancer));
        let ready = SocketAddrV4::new(*address.ip(), ready_port);
        thread::spawn(move || {
            let mut misses = 2;
            while !stop.load(Ordering::Relaxed) {
                misses = if is_ready(ready) { 0 } else { misses + 1 };
                balancer.in_rotation.store(misses < 2, Ordering::Relaxed);
                thread::sleep(ms(500));
            }
        });
    }
}

fn zone_of_client(client: Ipv4Addr) -> usize {
    usize::from(client.octets()[3]) % ZONES.len()
}

fn is_ready(address: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), ms(400)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(ms(400)));
    let request = format!("GET /v1/ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut head = [0; 12];
    stream.read_exact(&mut head).is_ok() && &head[9..] == b"200"
}

// ---------------------------------------------------------------- clients

/// How a flow's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlowEnd {
    Served,
    Refused,
    NeverOpened,
    /// An open flow got a reset of the system's own.
    Reset,
    /// The target ended an open flow.
    TargetReset,
    TimedOut,
}

/// One request and how it ended.
#[derive(Clone, Debug)]
struct Request {
    at: f64,
    ended_at: f64,
    flow: (End, End),
    result: FlowEnd,
}

struct ClientFlow {
    began: Instant,
    at: f64,
    route: usize,
    opened: bool,
    isn: u32,
    peer: u32,
    copies: u32,
    next_send: Instant,
    interval: Duration,
    ended: bool,
    ending_until: Option<Instant>,
    /// Requests answered so far.
    answered: u32,
    /// The next byte to send.
    sent: u32,
    /// Whether a request waits for its answer.
    waiting: bool,
    asked: Instant,
}

/// Opens one flow for each request, at a steady pace.
struct Clients {
    router: Arc<Router>,
    sockets: Vec<(Ipv4Addr, UdpSocket)>,
    routes: Vec<End>,
    flows: HashMap<(End, End), ClientFlow>,
    done: Arc<Mutex<Vec<Request>>>,
    bad_sum: Arc<AtomicU64>,
    record: Arc<Record>,
    next_port: u16,
    turn: usize,
    deadline: Duration,
    /// Requests of each flow, and the pause between two of them.
    requests: u32,
    pause: Duration,
}

impl Clients {
    fn run(mut self, pace: Duration, stop: Arc<AtomicBool>) {
        let mut next = Instant::now();
        while !stop.load(Ordering::Relaxed) || !self.flows.is_empty() {
            let now = Instant::now();
            if now >= next && !stop.load(Ordering::Relaxed) {
                next += pace;
                self.open();
            }
            self.receive();
            self.advance();
            thread::sleep(ms(1));
        }
    }

    fn open(&mut self) {
        self.turn += 1;
        let client = self.turn % self.sockets.len();
        let route = self.turn / self.sockets.len() % self.routes.len();
        self.next_port = self.next_port.wrapping_add(1).max(2_000);
        let key = (
            End {
                ip: self.sockets[client].0,
                port: self.next_port,
            },
            self.routes[route],
        );
        let isn = (self.turn as u32).wrapping_mul(2_654_435_761);
        let now = Instant::now();
        let flow = ClientFlow {
            began: now,
            at: self.record.now(),
            route,
            opened: false,
            isn,
            peer: 0,
            copies: 0,
            next_send: now + ms(200),
            interval: ms(200),
            ended: false,
            ending_until: None,
            answered: 0,
            sent: isn.wrapping_add(1),
            waiting: false,
            asked: now,
        };
        self.flows.insert(key, flow);
        self.send(key, SYN, isn, 0, Vec::new());
    }

    fn send(&self, key: (End, End), flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let packet = Packet {
            flags,
            src: key.0,
            dst: key.1,
            seq,
            ack,
            data,
        };
        self.router.send(key, &packet.encode());
    }

    fn request_data(route: usize) -> Vec<u8> {
        format!("request on route {route}").into_bytes()
    }

    fn receive(&mut self) {
        let mut buffer = [0; 2048];
        for index in 0..self.sockets.len() {
            while let Ok((length, _)) = self.sockets[index].1.recv_from(&mut buffer) {
                self.handle(&buffer[..length]);
            }
        }
    }

    fn handle(&mut self, bytes: &[u8]) {
        let Some((packet, sum_ok)) = Packet::decode(bytes) else {
            return;
        };
        let own_reset = packet.flags == RST && bytes[..4] == [0; 4];
        if !sum_ok && !own_reset {
            self.bad_sum.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let key = (packet.dst, packet.src);
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.ended {
            return;
        }
        if packet.flags & RST != 0 {
            if flow.opened && packet.seq.wrapping_sub(flow.peer).wrapping_add(76_800) > 153_600 {
                return;
            }
            let result = match (flow.opened, own_reset) {
                (false, _) => FlowEnd::Refused,
                (true, true) => FlowEnd::Reset,
                (true, false) => FlowEnd::TargetReset,
            };
            return self.finish(key, result);
        }
        if packet.flags & SYN != 0 {
            if flow.opened {
                return;
            }
            flow.opened = true;
            flow.peer = packet.seq.wrapping_add(1);
            return self.ask(key);
        }
        if !packet.data.is_empty() && flow.opened && packet.seq == flow.peer {
            flow.peer = packet.seq.wrapping_add(packet.data.len() as u32);
            flow.answered += 1;
            flow.waiting = false;
            flow.sent = flow
                .sent
                .wrapping_add(Self::request_data(flow.route).len() as u32);
            let (seq, ack) = (flow.sent, flow.peer);
            if flow.answered >= self.requests {
                self.send(key, FIN | ACK, seq, ack, Vec::new());
                return self.finish(key, FlowEnd::Served);
            }
            flow.next_send = Instant::now() + self.pause;
            self.send(key, ACK, seq, ack, Vec::new());
            return;
        }
        if packet.flags & FIN != 0 && flow.opened && !flow.waiting {
            // The target closes the flow after a response.
            let (seq, ack) = (flow.sent, packet.seq.wrapping_add(1));
            self.send(key, FIN | ACK, seq, ack, Vec::new());
            self.finish(key, FlowEnd::Served);
        }
    }

    /// Sends the next request of a flow.
    fn ask(&mut self, key: (End, End)) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        flow.waiting = true;
        flow.asked = Instant::now();
        flow.interval = ms(200);
        flow.next_send = flow.asked + flow.interval;
        let (seq, ack, data) = (flow.sent, flow.peer, Self::request_data(flow.route));
        self.send(key, ACK, seq, ack, data);
    }

    fn finish(&mut self, key: (End, End), result: FlowEnd) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        flow.ended = true;
        flow.ending_until = Some(Instant::now() + ms(200));
        self.done.lock().unwrap().push(Request {
            at: flow.at,
            ended_at: self.record.now(),
            flow: key,
            result,
        });
    }

    fn advance(&mut self) {
        let now = Instant::now();
        let mut sends = Vec::new();
        let mut ends = Vec::new();
        let mut asks = Vec::new();
        for (key, flow) in &mut self.flows {
            if flow.ended {
                continue;
            }
            let age = now.duration_since(flow.began);
            if !flow.opened {
                if age >= ms(1_400) {
                    ends.push((*key, FlowEnd::NeverOpened));
                } else if flow.copies < 2 && now >= flow.next_send {
                    flow.copies += 1;
                    flow.next_send = flow.began + ms(600);
                    sends.push((*key, SYN, flow.isn, flow.copies, Vec::new()));
                }
            } else if !flow.waiting {
                if now >= flow.next_send {
                    asks.push(*key);
                }
            } else if now.duration_since(flow.asked) >= self.deadline {
                ends.push((*key, FlowEnd::TimedOut));
            } else if now >= flow.next_send {
                flow.interval = (flow.interval * 2).min(ms(1_600));
                flow.next_send = now + flow.interval;
                let data = Self::request_data(flow.route);
                sends.push((*key, ACK, flow.sent, flow.peer, data));
            }
        }
        for key in asks {
            self.ask(key);
        }
        for (key, flags, seq, ack, data) in sends {
            self.send(key, flags, seq, ack, data);
        }
        for (key, result) in ends {
            self.finish(key, result);
        }
        self.flows
            .retain(|_, flow| flow.ending_until.is_none_or(|until| now < until));
    }
}

// ---------------------------------------------------------------- the deployment

/// What a case sets.
struct Plan {
    edges: usize,
    /// The service of each side machine.
    sides: Vec<&'static str>,
    /// The services of the routes.
    routes: Vec<&'static str>,
    /// The store's revision before its first change.
    first_revision: u64,
    pace: Duration,
    work: Duration,
    /// Requests of each flow, and the pause between two of them.
    requests: u32,
    pause: Duration,
}

/// A whole deployment.
struct World {
    repository: PathBuf,
    work: PathBuf,
    net: Net,
    record: Arc<Record>,
    store: Arc<Store>,
    plan: Plan,
    balancers: Vec<Process>,
    agents: Vec<Process>,
    targets: Vec<Target>,
    beats: Arc<Mutex<Vec<Beat>>>,
    seen: Arc<Mutex<Vec<Seen>>>,
    router: Arc<Router>,
    stop: Arc<AtomicBool>,
    traffic_stop: Arc<AtomicBool>,
    done: Arc<Mutex<Vec<Request>>>,
    bad_sum: Arc<AtomicU64>,
    version: u64,
    clients: Option<thread::JoinHandle<()>>,
}

/// The entry of a living target, which it writes about every heartbeat.
#[derive(Clone)]
struct Beat {
    id: String,
    service: String,
    address: SocketAddrV4,
    zone: &'static str,
    state: &'static str,
}

impl Beat {
    fn json(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":3,\"state\":\"{}\",\"cold_remaining_ms\":0,\"seq\":1}}",
            self.service, self.address, self.zone, self.state
        )
    }
}

impl World {
    fn new(plan: Plan, repository: &Path, work: &Path, record: Arc<Record>) -> Outcome<Self> {
        let net = Net::claim()?;
        let store = Arc::new(Store {
            state: Mutex::new(StoreState {
                revision: plan.first_revision,
                ..StoreState::default()
            }),
            changed: Condvar::new(),
        });
        store.listen(net.store(0))?;
        let router = Arc::new(Router {
            socket: UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?,
            balancers: RwLock::default(),
        });
        let mut world = Self {
            repository: repository.to_owned(),
            work: work.to_owned(),
            net,
            record,
            store,
            plan,
            balancers: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            beats: Arc::default(),
            seen: Arc::default(),
            router,
            stop: Arc::default(),
            traffic_stop: Arc::default(),
            done: Arc::default(),
            bad_sum: Arc::default(),
            version: 0,
            clients: None,
        };
        for _ in 0..world.plan.edges {
            world.add_edge()?;
        }
        for service in world.plan.sides.clone() {
            world.add_side(service)?;
        }
        Ok(world)
    }

    /// Adds an edge machine without starting anything on it. Returns its number.
    fn add_edge(&mut self) -> Outcome<usize> {
        let edge = self.balancers.len();
        let name = format!("edge-{edge}");
        let mut fields = common_fields(self.net, &name, self.net.edge(edge), ZONES[edge % 3]);
        fields.insert(
            "platform.address".to_owned(),
            Value::Text(self.net.store(0).to_string()),
        );
        let first_seed = edge.saturating_sub(3);
        let seeds = first_seed.max(0)..first_seed + 3;
        let seeds = seeds.map(|seed| format!("{}:{}", self.net.edge(seed), self.net.control()));
        fields.insert("seeds".to_owned(), Value::List(seeds.collect()));
        let template = self.repository.join("platform/balancer.ini");
        self.balancers.push(Process {
            program: self.repository.join("target/release/lovagelatch-balancer"),
            file: self.work.join(format!("{name}.ini")),
            log: self.work.join(format!("{name}.log")),
            template: fs::read_to_string(template).map_err(|e| e.to_string())?,
            name,
            fields,
            child: None,
            started_before: false,
        });
        Ok(edge)
    }

    /// Makes the routers know a balancer.
    fn route_to(&self, edge: usize) {
        let address = SocketAddrV4::new(self.net.edge(edge), self.net.packets());
        self.router
            .add(edge, address, self.net.ready(), Arc::clone(&self.stop));
    }

    /// Adds a side machine without starting anything on it. Returns its number.
    fn add_side(&mut self, service: &str) -> Outcome<usize> {
        let side = self.agents.len();
        let name = format!("side-{side}");
        let ip = self.net.side(side);
        let zone = ZONES[side % 3];
        let mut fields = common_fields(self.net, &name, ip, zone);
        let text = |text: String| Value::Text(text);
        fields.insert("service".to_owned(), text(service.to_owned()));
        fields.insert("app".to_owned(), text(format!("{ip}:{}", self.net.app())));
        let outbound = format!("{ip}:{}", self.net.outbound());
        fields.insert("listen.outbound".to_owned(), text(outbound));
        let template = self.repository.join("platform/agent.ini");
        self.agents.push(Process {
            program: self.repository.join("target/release/lovagelatch-agent"),
            file: self.work.join(format!("{name}.ini")),
            log: self.work.join(format!("{name}.log")),
            template: fs::read_to_string(template).map_err(|e| e.to_string())?,
            name,
            fields,
            child: None,
            started_before: false,
        });
        Ok(side)
    }

    /// Starts the target of a side machine, without an entry yet.
    fn start_target(&mut self, side: usize, service: &str) -> Outcome<()> {
        let ip = self.net.side(side);
        let id = format!("i-{side:02}a7f3");
        let app = SocketAddrV4::new(ip, self.net.app());
        let target = Target::start(
            &id,
            app,
            SocketAddrV4::new(ip, self.net.outbound()),
            self.plan.work,
            Arc::clone(&self.seen),
            Arc::clone(&self.record),
        )?;
        self.targets.push(target);
        self.beats.lock().unwrap().push(Beat {
            id,
            service: service.to_owned(),
            address: app,
            zone: ZONES[side % 3],
            state: "ready",
        });
        Ok(())
    }

    /// Writes the entry of a target, in its state.
    fn register(&self, side: usize, state: &'static str) {
        let mut beats = self.beats.lock().unwrap();
        let beat = &mut beats[side];
        beat.state = state;
        self.store
            .put(&format!("servers/{}", beat.id), Some(&beat.json()));
        self.record.line(&format!(
            "target {} of {} is {} at {}",
            beat.id, beat.service, beat.state, beat.address
        ));
    }

    /// Writes the configuration; returns its version.
    fn write_config(&mut self) -> u64 {
        self.version += 3;
        let routes: Vec<String> = self
            .plan
            .routes
            .iter()
            .enumerate()
            .map(|(index, service)| {
                format!(
                    "{{\"name\":\"r-{index}\",\"host\":\"{}\",\"prefix\":\"/443/\",\"kind\":\"unsafe\",\"timeout_ms\":{},\"aim_ms\":150,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2}}",
                    self.net.host(index),
                    1_000 + self.version,
                )
            })
            .collect();
        let mut names = self.plan.sides.clone();
        names.sort_unstable();
        names.dedup();
        let services: Vec<String> = names
            .iter()
            .map(|name| {
                format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}}")
            })
            .collect();
        let value = format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            self.version,
            routes.join(","),
            services.join(","),
        );
        self.store.put("op/config", Some(&value));
        self.record
            .line(&format!("configuration {} is acknowledged", self.version));
        self.version
    }

    fn start_balancers(&mut self) -> Outcome<()> {
        for process in &mut self.balancers {
            process.start(&self.record)?;
        }
        Ok(())
    }

    fn start_agents(&mut self) -> Outcome<()> {
        for process in &mut self.agents {
            process.start(&self.record)?;
        }
        Ok(())
    }

    /// Starts a target on each side machine, without entries yet.
    fn start_targets(&mut self) -> Outcome<()> {
        for (side, service) in self.plan.sides.clone().into_iter().enumerate() {
            self.start_target(side, service)?;
        }
        Ok(())
    }

    /// Makes each living target write its entry about every heartbeat. A write that changes nothing
    /// but `seq` changes no entry.
    fn start_heartbeats(&self) {
        let (store, beats) = (Arc::clone(&self.store), Arc::clone(&self.beats));
        let (stop, record) = (Arc::clone(&self.stop), Arc::clone(&self.record));
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                for beat in beats.lock().unwrap().iter() {
                    let key = format!("servers/{}", beat.id);
                    if store.put_changed(&key, &beat.json()) {
                        record.line(&format!("target {} writes its entry again", beat.id));
                    }
                }
            }
        });
    }

    /// The targets write their entries. An entry changes when more than `seq` changes, so that a
    /// heartbeat of a target whose entry is there changes nothing.
    fn register_targets(&self) {
        for side in 0..self.targets.len() {
            self.register(side, "ready");
        }
    }

    fn start_traffic(&mut self) -> Outcome<()> {
        for edge in 0..self.plan.edges {
            self.route_to(edge);
        }
        thread::sleep(ms(600));
        let sockets = (0..6).map(|client| {
            let ip = self.net.client(client);
            let address = SocketAddrV4::new(ip, self.net.packets());
            let socket = UdpSocket::bind(address).map_err(|e| e.to_string())?;
            socket.set_nonblocking(true).map_err(|e| e.to_string())?;
            Ok((ip, socket))
        });
        let clients = Clients {
            router: Arc::clone(&self.router),
            sockets: sockets.collect::<Outcome<_>>()?,
            routes: (0..self.plan.routes.len())
                .map(|route| End {
                    ip: self.net.host(route),
                    port: 443,
                })
                .collect(),
            flows: HashMap::new(),
            done: Arc::clone(&self.done),
            bad_sum: Arc::clone(&self.bad_sum),
            record: Arc::clone(&self.record),
            next_port: 2_000,
            turn: 0,
            deadline: ms(2_000),
            requests: self.plan.requests,
            pause: self.plan.pause,
        };
        let (pace, stop) = (self.plan.pace, Arc::clone(&self.traffic_stop));
        self.clients = Some(thread::spawn(move || clients.run(pace, stop)));
        Ok(())
    }

    fn stop_traffic(&mut self) {
        self.traffic_stop.store(true, Ordering::Relaxed);
        if let Some(clients) = self.clients.take() {
            let _ = clients.join();
        }
    }

    fn wait_ready(&self, limit: Duration) -> Outcome<()> {
        let until = Instant::now() + limit;
        let all: Vec<SocketAddrV4> = (0..self.plan.edges)
            .map(|edge| SocketAddrV4::new(self.net.edge(edge), self.net.ready()))
            .collect();
        while Instant::now() < until {
            if all.iter().all(|address| is_ready(*address)) {
                return Ok(());
            }
            thread::sleep(ms(50));
        }
        Err("the balancers do not become ready".to_owned())
    }

    /// Returns the requests sent in a span, and how many of them were served.
    fn share(&self, from: f64, to: f64) -> (usize, usize) {
        let done = self.done.lock().unwrap();
        let sent = done
            .iter()
            .filter(|request| request.at >= from && request.at < to);
        let (mut all, mut served) = (0, 0);
        for request in sent {
            all += 1;
            served += usize::from(request.result == FlowEnd::Served);
        }
        (all, served)
    }

    /// Returns how many open flows got a reset of the system's own while their targets lived, and
    /// writes each.
    fn flows_broken(&self) -> usize {
        let mut opened: HashMap<(End, End), Seen> = HashMap::new();
        for seen in self
            .seen
            .lock()
            .unwrap()
            .iter()
            .filter(|seen| seen.what == "open")
        {
            opened.insert((seen.client, seen.service_address), seen.clone());
        }
        let mut broken = 0;
        let done = self.done.lock().unwrap();
        for request in done
            .iter()
            .filter(|request| request.result == FlowEnd::Reset)
        {
            let Some(seen) = opened.get(&request.flow) else {
                continue;
            };
            let target = self.targets.iter().find(|target| target.id == seen.target);
            let ended_at = target.and_then(|target| target.ended_at);
            let alive = ended_at.is_none_or(|at| request.ended_at < at);
            broken += usize::from(alive);
            self.record.line(&format!(
                "flow from {}:{} opened at {:.3} at target {}; its client got a reset of the system at {:.3}; target alive: {alive}",
                request.flow.0.ip, request.flow.0.port, seen.at, seen.target, request.ended_at
            ));
        }
        self.record.line(&format!(
            "open flows that were reset though their targets lived: {broken}"
        ));
        broken
    }

    /// Writes how the requests of each second ended.
    fn write_seconds(&self) {
        let mut seconds: BTreeMap<u64, BTreeMap<String, usize>> = BTreeMap::new();
        for request in self.done.lock().unwrap().iter() {
            let second = seconds.entry(request.at as u64).or_default();
            *second.entry(format!("{:?}", request.result)).or_default() += 1;
        }
        for (second, ends) in seconds {
            let ends: Vec<String> = ends.iter().map(|(end, n)| format!("{end} {n}")).collect();
            self.record.line(&format!(
                "requests sent in second {second}: {}",
                ends.join(", ")
            ));
        }
        for target in &self.targets {
            self.record.line(&format!(
                "target {}: {} packets, {} with a wrong sum",
                target.id,
                target.stats.arrivals.load(Ordering::Relaxed),
                target.stats.bad_sum.load(Ordering::Relaxed)
            ));
        }
    }

    fn end(&mut self) {
        self.stop_traffic();
        self.stop.store(true, Ordering::Relaxed);
        for process in self.balancers.iter_mut().chain(&mut self.agents) {
            process.reap();
        }
        for target in &mut self.targets {
            target.end();
        }
    }
}

fn common_fields(net: Net, name: &str, ip: Ipv4Addr, zone: &str) -> Fields {
    let (first, last) = net.range();
    let texts = [
        ("node_name", name.to_owned()),
        ("zone", zone.to_owned()),
        ("region", "north".to_owned()),
        ("ip", ip.to_string()),
        ("listen.packet_addr", format!("{ip}:{}", net.packets())),
        ("listen.ready", format!("{ip}:{}", net.ready())),
        ("listen.control", format!("{ip}:{}", net.control())),
        ("bounds.flow_max_s", "60".to_owned()),
        ("bounds.grace_s", "6".to_owned()),
        ("limits.link_mbps", "1000.0".to_owned()),
    ];
    let mut fields: Fields = texts
        .into_iter()
        .map(|(key, text)| (key.to_owned(), Value::Text(text)))
        .collect();
    fields.insert(
        "port_range".to_owned(),
        Value::List(vec![first.to_string(), last.to_string()]),
    );
    fields.insert(
        "zones".to_owned(),
        Value::Table(
            ZONES
                .iter()
                .map(|zone| ((*zone).to_owned(), "north".to_owned()))
                .collect(),
        ),
    );
    fields
}

// ---------------------------------------------------------------- cases

/// RECOVER with entries of another writer: programs that run on the targets' machines and are
/// registered under a service that no configuration names.
fn foreign_entries(world: &mut World, trouble: bool) -> Outcome<bool> {
    const RECOVERY_S: f64 = 15.0;
    world.write_config();
    world.start_balancers()?;
    world.start_agents()?;
    world.start_targets()?;
    thread::sleep(ms(1_000));
    world.register_targets();
    world.wait_ready(Duration::from_secs(8))?;
    thread::sleep(ms(1_500));
    world.start_traffic()?;
    thread::sleep(ms(1_500));
    let from = world.record.now();
    thread::sleep(Duration::from_secs(12));
    world.write_config();
    let fault = world.record.now();
    world
        .record
        .line("final fault: all processes of the system are killed");
    for process in world.balancers.iter_mut().chain(&mut world.agents) {
        process.signal(SIGKILL, &world.record);
    }
    for process in world.balancers.iter_mut().chain(&mut world.agents) {
        process.reap();
    }
    thread::sleep(ms(800));
    world.start_balancers()?;
    world.start_agents()?;
    let back = world.record.now();
    thread::sleep(ms(3_000));
    if trouble {
        for side in 0..world.plan.sides.len() {
            let ip = world.net.side(side);
            let entry = format!(
                "{{\"service\":\"host-metrics\",\"address\":\"{ip}:{}\",\"zone\":\"{}\",\"version\":\"4.1\",\"slots\":1,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1}}",
                world.net.app() + 15,
                ZONES[side % 3],
            );
            world
                .store
                .put(&format!("servers/host-metrics-{side}"), Some(&entry));
            world.record.line(&format!(
                "another writer's entry: servers/host-metrics-{side} {entry}"
            ));
        }
    }
    let until = Duration::from_secs_f64(back + RECOVERY_S + 15.0 - world.record.now());
    thread::sleep(until);
    let end = world.record.now();
    world.stop_traffic();
    let (before, before_served) = world.share(from, fault - 1.0);
    let (after, after_served) = world.share(back + RECOVERY_S, end - 2.0);
    world.record.line(&format!(
        "before the final fault: {before_served} of {before} served; from {RECOVERY_S} s after the machines are back: {after_served} of {after} served"
    ));
    world.write_seconds();
    if before == 0 || before_served * 4 < before {
        return Err("too little was served before the final fault".to_owned());
    }
    Ok(after_served * 4 < after)
}

/// FLOW while targets are released and balancers are stopped and started in turn.
fn young_targets(world: &mut World, trouble: bool) -> Outcome<bool> {
    const DRAIN: Duration = Duration::from_millis(5_000);
    const EXTRA: Duration = Duration::from_millis(1_000);
    // A release: 0.43 of 14 targets, all 6 at a time; the next one follows after a second.
    const RELEASED_AT_A_TIME: usize = 6;
    // A roll: 0.42 of 19 balancers, 4 at a time, each 1.3 s; the next one follows.
    const ROLL_STEPS: [usize; 2] = [4, 4];
    world.write_config();
    world.start_balancers()?;
    world.start_agents()?;
    world.start_targets()?;
    thread::sleep(ms(1_000));
    world.register_targets();
    world.wait_ready(Duration::from_secs(10))?;
    thread::sleep(ms(1_500));
    world.start_traffic()?;
    thread::sleep(ms(3_000));
    let begin = Instant::now();
    let mut next_release = begin;
    let mut next_roll = begin;
    let mut oldest = 0;
    let (mut rolled, mut roll_step) = (0, 0);
    let mut starting: Vec<(usize, Instant)> = Vec::new();
    let mut replacing: Vec<(usize, Instant)> = Vec::new();
    let mut draining: Vec<(usize, Instant)> = Vec::new();
    let mut restarting: Vec<(usize, Instant)> = Vec::new();
    let mut stopping: Vec<(usize, Instant)> = Vec::new();
    while begin.elapsed() < Duration::from_secs(100) {
        let now = Instant::now();
        if now >= next_release {
            next_release += ms(1_000);
            for spread in 0..RELEASED_AT_A_TIME as u64 {
                let side = world.add_side("desk")?;
                world.agents[side].started_before = true;
                world.start_target(side, "desk")?;
                world.agents[side].start(&world.record)?;
                // Machines start within 0.3 s of each other.
                starting.push((side, now + ms(500 + 50 * spread)));
            }
        }
        for (side, _) in take_due(&mut starting, now) {
            world.register(side, "ready");
            replacing.push((oldest, now + ms(500)));
            oldest += 1;
        }
        for (side, _) in take_due(&mut replacing, now) {
            world.register(side, "draining");
            world.targets[side].draining.store(true, Ordering::Relaxed);
            draining.push((side, now + DRAIN + EXTRA));
        }
        for (side, _) in take_due(&mut draining, now) {
            world.targets[side].end();
            world.targets[side].ended_at = Some(world.record.now());
            let key = format!("servers/{}", world.targets[side].id);
            world.store.put(&key, None);
            let id = &world.targets[side].id;
            world.record.line(&format!("target {id} has left"));
            world.agents[side].signal(SIGTERM, &world.record);
        }
        if trouble && now >= next_roll {
            next_roll += ms(1_300);
            let count = ROLL_STEPS[roll_step % ROLL_STEPS.len()];
            roll_step += 1;
            for _ in 0..count {
                let edge = rolled % world.plan.edges;
                rolled += 1;
                let is_stopped = |list: &[(usize, Instant)]| list.iter().any(|(n, _)| *n == edge);
                if is_stopped(&stopping) || is_stopped(&restarting) {
                    continue;
                }
                world.balancers[edge].signal(SIGTERM, &world.record);
                stopping.push((edge, now + Duration::from_secs(6)));
            }
        }
        stopping.retain(|(edge, until)| {
            let process = &mut world.balancers[*edge];
            if process.has_exited() || now >= *until {
                process.reap();
                restarting.push((*edge, now + ms(500)));
                return false;
            }
            true
        });
        for (edge, _) in take_due(&mut restarting, now) {
            world.balancers[edge].start(&world.record)?;
        }
        thread::sleep(ms(20));
    }
    world.stop_traffic();
    let broken = world.flows_broken();
    world.write_seconds();
    Ok(broken > 0)
}

/// DRAIN where the store's revisions are large numbers: the targets of a service are replaced.
fn large_revision(world: &mut World, trouble: bool) -> Outcome<bool> {
    const DRAIN_S: f64 = 3.0;
    world.write_config();
    world.start_targets()?;
    world.register_targets();
    thread::sleep(ms(300));
    world.start_balancers()?;
    world.start_agents()?;
    world.wait_ready(Duration::from_secs(8))?;
    thread::sleep(ms(1_500));
    world.start_traffic()?;
    thread::sleep(Duration::from_secs(6));
    let old: Vec<usize> = (0..3).collect();
    let mut acknowledged = f64::INFINITY;
    if trouble {
        for _ in &old {
            let side = world.add_side("desk")?;
            world.agents[side].started_before = true;
            world.start_target(side, "desk")?;
            world.agents[side].start(&world.record)?;
            thread::sleep(ms(500));
            world.register(side, "ready");
        }
        thread::sleep(ms(1_000));
        for side in &old {
            world.register(*side, "draining");
            world.targets[*side].draining.store(true, Ordering::Relaxed);
        }
        acknowledged = world.record.now();
    }
    thread::sleep(Duration::from_secs(9));
    for side in old.iter().filter(|_| trouble) {
        world.targets[*side].end();
        let key = format!("servers/{}", world.targets[*side].id);
        world.store.put(&key, None);
        let id = &world.targets[*side].id;
        world.record.line(&format!("target {id} has left"));
        world.agents[*side].signal(SIGTERM, &world.record);
    }
    thread::sleep(Duration::from_secs(8));
    world.stop_traffic();
    let mut late = 0;
    for seen in world
        .seen
        .lock()
        .unwrap()
        .iter()
        .filter(|seen| seen.what == "syn")
    {
        let is_old = old
            .iter()
            .any(|side| world.targets[*side].id == seen.target);
        if is_old && seen.at > acknowledged + DRAIN_S {
            late += 1;
            let after = seen.at - acknowledged;
            world.record.line(&format!(
                "target {} took the opening packet of {}:{} {after:.3} s after the store acknowledged that it is draining",
                seen.target, seen.client.ip, seen.client.port
            ));
        }
    }
    world.record.line(&format!(
        "opening packets at draining targets later than {DRAIN_S} s: {late}"
    ));
    world.write_seconds();
    Ok(late > 0)
}

/// FLOW while balancers are stopped and started in turn, and another writer writes its own entry
/// under the key of a living target.
fn overwritten_entry(world: &mut World, trouble: bool) -> Outcome<bool> {
    world.write_config();
    world.start_balancers()?;
    world.start_agents()?;
    world.start_targets()?;
    thread::sleep(ms(1_000));
    world.register_targets();
    world.start_heartbeats();
    world.wait_ready(Duration::from_secs(8))?;
    thread::sleep(ms(1_500));
    world.start_traffic()?;
    thread::sleep(Duration::from_secs(8));
    let begin = Instant::now();
    let mut next_roll = begin;
    let mut next_write = begin + ms(600);
    let mut edge = 0;
    let mut stopping: Vec<(usize, Instant)> = Vec::new();
    let mut restarting: Vec<(usize, Instant)> = Vec::new();
    while begin.elapsed() < Duration::from_secs(14) {
        let now = Instant::now();
        if now >= next_roll && edge < world.plan.edges {
            next_roll += ms(1_300);
            world.balancers[edge].signal(SIGTERM, &world.record);
            stopping.push((edge, now + Duration::from_secs(6)));
            edge += 1;
        }
        if trouble && now >= next_write {
            next_write += HEARTBEAT;
            let id = world.targets[0].id.clone();
            let entry = format!(
                "{{\"service\":\"host-metrics\",\"address\":\"{}:{}\",\"zone\":\"zone-a\",\"version\":\"4.1\",\"slots\":1,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1}}",
                world.net.host(9),
                world.net.app(),
            );
            world.store.put(&format!("servers/{id}"), Some(&entry));
            world
                .record
                .line(&format!("another writer writes servers/{id} {entry}"));
        }
        stopping.retain(|(edge, until)| {
            let process = &mut world.balancers[*edge];
            if process.has_exited() || now >= *until {
                process.reap();
                restarting.push((*edge, now + ms(500)));
                return false;
            }
            true
        });
        for (edge, _) in take_due(&mut restarting, now) {
            world.balancers[edge].start(&world.record)?;
        }
        thread::sleep(ms(10));
    }
    thread::sleep(Duration::from_secs(4));
    world.stop_traffic();
    let broken = world.flows_broken();
    world.write_seconds();
    Ok(broken > 0)
}

/// CONFIG while another writer's entries change that hold large values.
fn large_entries(world: &mut World, trouble: bool) -> Outcome<bool> {
    const CONFIG_S: f64 = 3.0;
    const ENTRIES: usize = 5;
    const VALUE_BYTES: usize = 1_000_000;
    world.write_config();
    world.start_balancers()?;
    world.start_agents()?;
    world.start_targets()?;
    thread::sleep(ms(1_000));
    world.register_targets();
    world.wait_ready(Duration::from_secs(8))?;
    thread::sleep(ms(1_500));
    world.start_traffic()?;
    thread::sleep(ms(2_000));
    let stop = Arc::new(AtomicBool::new(!trouble));
    let (store, stopped) = (Arc::clone(&world.store), Arc::clone(&stop));
    let record = Arc::clone(&world.record);
    let writer = thread::spawn(move || {
        let mut turn = 0;
        while !stopped.load(Ordering::Relaxed) {
            turn += 1;
            for entry in 0..ENTRIES {
                let value = format!("image {entry} {turn} {}", "x".repeat(VALUE_BYTES));
                store.put(&format!("servers/image-{entry}"), Some(&value));
            }
            record.line(&format!(
                "another writer writes {ENTRIES} entries servers/image-N of {VALUE_BYTES} bytes, turn {turn}"
            ));
            thread::sleep(HEARTBEAT);
        }
    });
    thread::sleep(Duration::from_secs(10));
    // Each change moves the first route to the other service.
    let mut changes = Vec::new();
    for turn in 0..5 {
        world.plan.routes[0] = if turn % 2 == 0 { "vault" } else { "desk" };
        world.write_config();
        changes.push((world.record.now(), world.plan.routes[0]));
        thread::sleep(Duration::from_secs(6));
    }
    stop.store(true, Ordering::Relaxed);
    let _ = writer.join();
    world.stop_traffic();
    let first_route = world.net.host(0);
    let mut runs: HashMap<(End, End), String> = HashMap::new();
    for seen in world
        .seen
        .lock()
        .unwrap()
        .iter()
        .filter(|seen| seen.what == "request")
    {
        runs.insert((seen.client, seen.service_address), seen.target.clone());
    }
    let mut outdated = 0;
    for (index, (acknowledged, service)) in changes.iter().enumerate() {
        let next = changes.get(index + 1).map_or(f64::INFINITY, |(at, _)| *at);
        let (mut all, mut old) = (0, 0);
        for request in world.done.lock().unwrap().iter() {
            let is_due = request.at > acknowledged + CONFIG_S && request.at < next;
            if !is_due || request.flow.1.ip != first_route {
                continue;
            }
            let Some(target) = runs.get(&request.flow) else {
                continue;
            };
            all += 1;
            let side = world.targets.iter().position(|known| known.id == *target);
            let ran_by = side.map_or("", |side| world.plan.sides[side]);
            old += usize::from(ran_by != *service);
        }
        outdated += old;
        world.record.line(&format!(
            "change {index}, acknowledged at {acknowledged:.3}: of {all} requests sent on the first route later than {CONFIG_S} s after it, {old} were run by the former service instead of {service}"
        ));
    }
    world.write_seconds();
    Ok(outdated > 0)
}

/// DRAIN while the settings files change: the only target of a service drains.
fn changed_settings(world: &mut World, trouble: bool) -> Outcome<bool> {
    const DRAIN_S: f64 = 3.0;
    const LAST: usize = 6;
    world.write_config();
    world.start_balancers()?;
    world.start_agents()?;
    world.start_targets()?;
    thread::sleep(ms(1_000));
    world.register_targets();
    world.wait_ready(Duration::from_secs(8))?;
    thread::sleep(ms(1_500));
    world.start_traffic()?;
    thread::sleep(Duration::from_secs(5));
    world.register(LAST, "draining");
    world.targets[LAST].draining.store(true, Ordering::Relaxed);
    let acknowledged = world.record.now();
    thread::sleep(Duration::from_secs(4));
    if trouble {
        for process in &mut world.balancers {
            process.add_zone("zone-d", "north")?;
            let name = &process.name;
            world
                .record
                .line(&format!("the settings file of {name} has a fourth zone"));
        }
    }
    let until = Instant::now() + Duration::from_secs(14);
    let mut restarting: Vec<(usize, Instant)> = Vec::new();
    while Instant::now() < until {
        let now = Instant::now();
        for (edge, process) in world.balancers.iter_mut().enumerate() {
            let is_restarting = restarting.iter().any(|(known, _)| *known == edge);
            if !is_restarting && process.has_exited() {
                world
                    .record
                    .line(&format!("process {} ended by itself", process.name));
                restarting.push((edge, now + ms(500)));
            }
        }
        for (edge, _) in take_due(&mut restarting, now) {
            world.balancers[edge].reap();
            world.balancers[edge].start(&world.record)?;
        }
        thread::sleep(ms(20));
    }
    world.stop_traffic();
    let mut late = 0;
    for seen in world
        .seen
        .lock()
        .unwrap()
        .iter()
        .filter(|seen| seen.what == "syn")
    {
        if world.targets[LAST].id == seen.target && seen.at > acknowledged + DRAIN_S {
            late += 1;
            let after = seen.at - acknowledged;
            world.record.line(&format!(
                "target {} took the opening packet of {}:{} {after:.3} s after the store acknowledged that it is draining",
                seen.target, seen.client.ip, seen.client.port
            ));
        }
    }
    world.record.line(&format!(
        "opening packets at the draining target later than {DRAIN_S} s: {late}"
    ));
    world.write_seconds();
    Ok(late > 0)
}

fn take_due(list: &mut Vec<(usize, Instant)>, now: Instant) -> Vec<(usize, Instant)> {
    let (due, later) = list.drain(..).partition(|(_, at)| *at <= now);
    *list = later;
    due
}

fn plan_of(case: &str) -> Option<Plan> {
    let sides = vec!["desk", "desk", "desk", "vault", "vault", "vault"];
    match case {
        "foreign" => Some(Plan {
            edges: 3,
            sides,
            routes: vec!["desk", "vault"],
            first_revision: 100,
            pace: ms(20),
            work: ms(5),
            requests: 1,
            pause: ms(0),
        }),
        "revision" => Some(Plan {
            edges: 3,
            sides,
            routes: vec!["desk", "vault"],
            first_revision: 1 << 40,
            pace: ms(20),
            work: ms(5),
            requests: 1,
            pause: ms(0),
        }),
        "overwritten" => Some(Plan {
            edges: 6,
            sides: vec!["desk"; 7],
            routes: vec!["desk", "desk"],
            first_revision: 100,
            pace: ms(30),
            work: ms(5),
            requests: 40,
            pause: ms(150),
        }),
        "blobs" => Some(Plan {
            edges: 6,
            sides,
            routes: vec!["desk", "vault"],
            first_revision: 100,
            pace: ms(20),
            work: ms(5),
            requests: 1,
            pause: ms(0),
        }),
        "settings" => Some(Plan {
            edges: 6,
            sides: vec!["desk", "desk", "desk", "desk", "desk", "desk", "vault"],
            routes: vec!["desk", "vault"],
            first_revision: 100,
            pace: ms(10),
            work: ms(5),
            requests: 1,
            pause: ms(0),
        }),
        "young" => Some(Plan {
            edges: 19,
            sides: vec!["desk"; 14],
            routes: vec!["desk", "desk"],
            first_revision: 100,
            pace: ms(2),
            work: ms(5),
            requests: 8,
            pause: ms(50),
        }),
        _ => None,
    }
}

fn run(arguments: &[String]) -> Outcome<bool> {
    let [case, repository, work, record, trouble] = arguments else {
        return Err("usage: standin-2 CASE REPOSITORY WORK RECORD TROUBLE".to_owned());
    };
    let plan = plan_of(case).ok_or("unknown case")?;
    let file = File::create(record).map_err(|e| e.to_string())?;
    let record = Arc::new(Record {
        start: Instant::now(),
        file: Mutex::new(file),
    });
    let trouble = trouble != "0";
    record.line(&format!("case {case}, trouble {trouble}"));
    let mut world = World::new(
        plan,
        Path::new(repository),
        Path::new(work),
        Arc::clone(&record),
    )?;
    let outcome = match case.as_str() {
        "foreign" => foreign_entries(&mut world, trouble),
        "revision" => large_revision(&mut world, trouble),
        "overwritten" => overwritten_entry(&mut world, trouble),
        "blobs" => large_entries(&mut world, trouble),
        "settings" => changed_settings(&mut world, trouble),
        "young" => young_targets(&mut world, trouble),
        _ => Err("unknown case".to_owned()),
    };
    world.end();
    match &outcome {
        Ok(true) => record.line("the rule was broken"),
        Ok(false) => record.line("the rule held"),
        Err(reason) => record.line(&format!("the case could not run: {reason}")),
    }
    outcome
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match run(&arguments) {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(reason) => {
            eprintln!("{reason}");
            2
        }
    };
    std::process::exit(code);
}
