//! Stand-ins for what surrounds a dispatcher: engines (RESP), the change log, clients (PostgreSQL) and the platform that
//! starts it. They follow the published protocol; where that is silent they behave like sound programs.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A case that runs for longer than this couldn't run.
const LONGEST_RUN: Duration = ms(112_000);

/// The processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The command that starts one real dispatcher, from the deploy file.
fn run_command() -> io::Result<String> {
    let text = fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next());
    let command = command.ok_or_else(|| io::Error::other("the deploy file has no run"))?;
    Ok(command.to_string())
}

/// Ends everything if the case takes too long.
pub fn start_watchdog(record: &Arc<Record>) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST_RUN);
        record.line("the case takes too long");
        for pid in STARTED.lock().unwrap().iter() {
            signal(*pid, "KILL");
        }
        std::process::exit(2);
    });
}

fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -{name} {pid}")])
        .status();
}

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |now| now.as_millis() as u64)
}

/// The record of a run: one line for each thing that was sent, answered or run, with milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Record>> {
        Ok(Arc::new(Record {
            file: Mutex::new(File::create(path)?),
            started_at: Instant::now(),
        }))
    }

    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.now_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---- Engines ----

/// What an engine does with a request: it works for `work_ms` and answers with these rows.
#[derive(Clone)]
pub struct Plan {
    pub work_ms: u64,
    pub rows: String,
}

/// An attempt as an engine saw it; times in milliseconds of the record.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub fields: HashMap<String, String>,
    pub came_at: u64,
    pub ended_at: Option<u64>,
    pub end: &'static str,
}

pub struct Engine {
    pub uid: String,
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_string())
}

fn read_command(reader: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let bad = || io::Error::from(io::ErrorKind::InvalidData);
    let count: usize = read_line(reader)?
        .strip_prefix('*')
        .and_then(|count| count.parse().ok())
        .ok_or_else(bad)?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let length: usize = read_line(reader)?
            .strip_prefix('$')
            .and_then(|length| length.parse().ok())
            .ok_or_else(bad)?;
        let mut part = vec![0; length + 2];
        reader.read_exact(&mut part)?;
        part.truncate(length);
        parts.push(part);
    }
    Ok(parts)
}

fn resp(parts: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend_from_slice(format!("${}\r\n{part}\r\n", part.len()).as_bytes());
    }
    bytes
}

/// What an engine does, by the class of the request.
pub type Behaviour = Arc<dyn Fn(&str) -> Plan + Send + Sync>;

/// An engine that takes this long for every request.
pub fn takes(work_ms: u64) -> Behaviour {
    let rows = "2026-12-01\t3\tend of month\n".to_string();
    Arc::new(move |_| Plan {
        work_ms,
        rows: rows.clone(),
    })
}

impl Engine {
    pub fn start(uid: &str, record: &Arc<Record>, behaviour: Behaviour) -> io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Engine {
            uid: uid.to_string(),
            address: listener.local_addr()?,
            seen: Arc::default(),
        };
        let seen = engine.seen.clone();
        let (uid, record) = (uid.to_string(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (uid, record, behaviour) = (uid.clone(), record.clone(), behaviour.clone());
                let seen = seen.clone();
                thread::spawn(move || {
                    let _ = serve_engine(stream, uid, record, behaviour, seen);
                });
            }
        });
        Ok(engine)
    }
}

fn serve_engine(
    stream: TcpStream,
    uid: String,
    record: Arc<Record>,
    behaviour: Behaviour,
    seen: Arc<Mutex<Vec<Seen>>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let mut reader = BufReader::new(stream);
    // The attempts that run for this connection: its end, or an abort, ends their work.
    let running: Arc<Mutex<HashMap<String, Arc<AtomicBool>>>> = Arc::default();
    let end = |seen: &Mutex<Vec<Seen>>, index: usize, end: &'static str, at: u64| {
        let mut seen = seen.lock().unwrap();
        if seen[index].ended_at.is_none() {
            (seen[index].ended_at, seen[index].end) = (Some(at), end);
        }
    };
    let result = loop {
        let parts = match read_command(&mut reader) {
            Ok(parts) => parts,
            Err(error) => break Err(error),
        };
        let text = |index: usize| {
            let part = parts.get(index).map_or(&b""[..], Vec::as_slice);
            String::from_utf8_lossy(part).to_string()
        };
        let (word, id) = (text(0), text(1));
        match word.as_str() {
            "fetch" => {
                let fields: HashMap<String, String> = text(2)
                    .split(',')
                    .filter_map(|pair| pair.split_once('='))
                    .map(|(name, value)| (name.to_string(), value.to_string()))
                    .collect();
                record.line(&format!("engine {uid}: fetch {id} {}", text(2)));
                let index = {
                    let mut seen = seen.lock().unwrap();
                    seen.push(Seen {
                        id: id.clone(),
                        fields: fields.clone(),
                        came_at: record.now_ms(),
                        ended_at: None,
                        end: "",
                    });
                    seen.len() - 1
                };
                let is_stopped = Arc::new(AtomicBool::new(false));
                running
                    .lock()
                    .unwrap()
                    .insert(id.clone(), is_stopped.clone());
                let plan = behaviour(fields.get("kind").map_or("", String::as_str));
                let (writer, record, uid) = (writer.clone(), record.clone(), uid.clone());
                let seen = seen.clone();
                thread::spawn(move || {
                    let started_at = Instant::now();
                    let mut noted_at = Instant::now();
                    while started_at.elapsed() < ms(plan.work_ms) {
                        thread::sleep(ms(plan.work_ms.min(5)));
                        if is_stopped.load(Ordering::SeqCst) {
                            record.line(&format!("engine {uid}: stopped {id}"));
                            return end(&seen, index, "stopped", record.now_ms());
                        }
                        if noted_at.elapsed() > ms(900) {
                            noted_at = Instant::now();
                            let done =
                                started_at.elapsed().as_millis() as f64 / plan.work_ms as f64;
                            let note = format!("res=p,value={:.2}", done.min(0.99));
                            let _ = writer
                                .lock()
                                .unwrap()
                                .write_all(&resp(&[&id, "NOTE", &note, ""]));
                        }
                    }
                    let fields = format!("parts=1,work={},peak=50", plan.work_ms);
                    record.line(&format!("engine {uid}: OK {id}"));
                    end(&seen, index, "OK", record.now_ms());
                    let _ = writer
                        .lock()
                        .unwrap()
                        .write_all(&resp(&[&id, "OK", &fields, &plan.rows]));
                });
            }
            "abort" => {
                record.line(&format!("engine {uid}: abort {id}"));
                if let Some(is_stopped) = running.lock().unwrap().remove(&id) {
                    is_stopped.store(true, Ordering::SeqCst);
                }
            }
            "alive" | "stats" => {
                let answer = resp(&[&id, "UP", "gauges=util:0.10", ""]);
                writer.lock().unwrap().write_all(&answer)?;
            }
            _ => {}
        }
    };
    for (_, is_stopped) in running.lock().unwrap().drain() {
        is_stopped.store(true, Ordering::SeqCst);
    }
    result
}

// ---- The change log ----

#[derive(Default)]
struct LogState {
    /// Events by their number, as JSON.
    events: Vec<(u64, String)>,
}

pub struct ChangeLog {
    pub address: SocketAddr,
    state: Arc<(Mutex<LogState>, Condvar)>,
    record: Arc<Record>,
}

/// An entry of the engine list.
pub fn target(engine: &Engine, state: &str) -> String {
    format!(
        r#"{{"uid":"{}","endpoint":"{}","az":"room-a","model":"std-12","pod_group":0,"state":"{state}","capacity_hint":1,"boot_ms":0}}"#,
        engine.uid, engine.address
    )
}

pub fn event(seq: u64, all: bool, targets: &[String]) -> String {
    let targets = targets.join(",");
    format!(r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":{all},"targets":[{targets}]}}}}"#)
}

impl ChangeLog {
    pub fn start(record: &Arc<Record>, first: &str) -> io::Result<ChangeLog> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state: Arc<(Mutex<LogState>, Condvar)> = Arc::default();
        state.0.lock().unwrap().events.push((1, first.to_string()));
        let log = ChangeLog {
            address: listener.local_addr()?,
            state: state.clone(),
            record: record.clone(),
        };
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, record) = (state.clone(), record.clone());
                thread::spawn(move || {
                    let result = serve_log(stream, &state, &record);
                    record.line(&format!("change log: a call ended: {result:?}"));
                });
            }
        });
        Ok(log)
    }

    pub fn publish(&self, seq: u64, event: String) {
        self.record
            .line(&format!("change log: event {seq} {event}"));
        self.state.0.lock().unwrap().events.push((seq, event));
        self.state.1.notify_all();
    }
}

fn serve_log(
    stream: TcpStream,
    state: &(Mutex<LogState>, Condvar),
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let (mut last_id, mut first_line) = (0u64, String::new());
    loop {
        let line = read_line(&mut reader)?;
        if first_line.is_empty() {
            first_line = line.clone();
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("last-event-id")
        {
            last_id = value.trim().parse().unwrap_or(0);
        }
        if line.is_empty() {
            break;
        }
    }
    record.line(&format!("change log: {first_line} after {last_id}"));
    writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
    let mut commented_at = Instant::now();
    loop {
        let news: Vec<(u64, String)> = {
            let guard = state.0.lock().unwrap();
            let (guard, _) = state.1.wait_timeout(guard, ms(20)).unwrap();
            let news = guard.events.iter().filter(|(seq, _)| *seq > last_id);
            news.cloned().collect()
        };
        for (seq, event) in news {
            writer.write_all(format!("id: {seq}\ndata: {event}\n\n").as_bytes())?;
            last_id = seq;
        }
        if commented_at.elapsed() >= ms(1000) {
            commented_at = Instant::now();
            writer.write_all(b": comment\n\n")?;
        }
    }
}

// ---- Clients ----

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<Vec<String>>),
    Refused(String),
    Failed(String),
    /// The connection ended, or was reset, without a whole answer.
    Closed(String),
    /// No whole answer came in time.
    Late,
}

pub struct Client {
    pub stream: TcpStream,
    /// The key of the session, for a CancelRequest.
    pub key: Vec<u8>,
}

/// A statement with its fields.
pub fn statement(class: &str, limit_ms: u64, more_fields: &str, id: &str) -> String {
    let cost = match class {
        "lookup" => "cpu=80.0,memory=12",
        _ => "cpu=3000.0,memory=96",
    };
    let body = match class {
        "journal-load" => "INSERT INTO sales_17.orders SELECT * FROM staging.batch",
        _ => "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day",
    };
    format!(
        "/* verb={class},txn={id},limit={limit_ms},team=fraser-cpa,{cost}{more_fields} */ {body}"
    )
}

pub fn query_message(text: &str) -> Vec<u8> {
    let mut message = vec![b'Q'];
    message.extend_from_slice(&(text.len() as u32 + 5).to_be_bytes());
    message.extend_from_slice(text.as_bytes());
    message.push(0);
    message
}

fn startup_message() -> Vec<u8> {
    let body = b"user\0app\0database\0main\0\0";
    let mut message = (body.len() as u32 + 8).to_be_bytes().to_vec();
    message.extend_from_slice(&(3u32 << 16).to_be_bytes());
    message.extend_from_slice(body);
    message
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ms(5000)))?;
        stream.write_all(&startup_message())?;
        let mut client = Client {
            stream,
            key: Vec::new(),
        };
        loop {
            let (kind, body) = client.read_message()?;
            match kind {
                b'K' => client.key = body,
                b'Z' => return Ok(client),
                b'E' => return Err(io::Error::other("refused at the start")),
                _ => {}
            }
        }
    }

    fn read_message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4)];
        self.stream.read_exact(&mut body)?;
        Ok((head[0], body))
    }

    /// Reads the answer to one query, up to ReadyForQuery.
    pub fn read_answer(&mut self, limit: Duration) -> Answer {
        let deadline = Instant::now() + limit;
        let (mut rows, mut answer) = (Vec::new(), None);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Answer::Late;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match self.read_message() {
                Ok((b'D', body)) => rows.push(data_row(&body)),
                Ok((b'C', _)) => answer = Some(Answer::Served(std::mem::take(&mut rows))),
                Ok((b'I', _)) => answer = Some(Answer::Served(Vec::new())),
                Ok((b'E', body)) => {
                    let code = error_code(&body);
                    let is_refusal = (code.starts_with("53") || code == "57P03") && rows.is_empty();
                    answer = Some(match is_refusal {
                        true => Answer::Refused(code),
                        false => Answer::Failed(code),
                    });
                }
                Ok((b'Z', _)) => return answer.unwrap_or(Answer::Closed("no answer".to_string())),
                Ok(_) => {}
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    return Answer::Late;
                }
                // An answer is whole once its CommandComplete or its error has come.
                Err(error) => return answer.unwrap_or(Answer::Closed(error.kind().to_string())),
            }
        }
    }

    pub fn query(&mut self, text: &str, limit: Duration) -> Answer {
        match self.stream.write_all(&query_message(text)) {
            Ok(()) => self.read_answer(limit),
            Err(error) => Answer::Closed(error.kind().to_string()),
        }
    }
}

fn data_row(body: &[u8]) -> Vec<String> {
    let (mut cells, mut at) = (Vec::new(), 2);
    while at + 4 <= body.len() {
        let length = i32::from_be_bytes([body[at], body[at + 1], body[at + 2], body[at + 3]]);
        at += 4;
        let length = usize::try_from(length).unwrap_or(0);
        cells.push(String::from_utf8_lossy(&body[at..at + length]).to_string());
        at += length;
    }
    cells
}

fn error_code(body: &[u8]) -> String {
    let fields = body.split(|byte| *byte == 0);
    let code = fields
        .into_iter()
        .find(|field| field.first() == Some(&b'C'));
    code.map_or(String::new(), |code| {
        String::from_utf8_lossy(&code[1..]).to_string()
    })
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// A request id that was not used before.
pub fn new_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::SeqCst) + 1;
    format!(
        "{:016x}",
        (unix_ms() << 20) ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
    )
}

// ---- The platform ----

/// The settings of a small deployment, in the form and with the values of the published example. `load_keys` are further
/// keys of the class `journal-load`.
fn settings(load_keys: &str) -> String {
    format!(
        r#"{{"balancers":1,"clients":{{"marks_retry":false}},
"domain":{{"class_load":[false,false,true],"class_waits":[true,true,false],"max_grant_share":0.4,
 "notes":"ok: milliseconds of work x 4096, plus memory needed in units of 4 MB","on_shortage":"page","priorities":true,
 "progress":1000.0,"report_x0":"share of memory granted","report_x1":"share of disks busy","size_cores":[12],
 "size_mb":[24576.0],"takes_grants":false,"tells_cost":true,"threads_by_class":[1,4,2]}},
"family":"queries","goal":{{"whole":0.3,"worst_class":0.2,"worst_tenant":0.35,"worst_window":0.15}},"kinds":["std-12"],
"limits":{{"cancel":true,"conn_idle":30000.0,"connect_timeout":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,
 "max_attempts":3,"max_open":20000,"max_retry_after":1000.0,"max_streams":32,"may_tell":false,"probes":true,
 "retry_after":false,"second_copies":false}},
"me":0,"over_share_worth":0.2,
"prices":{{"connection":0.0,"cross_zone":0.018,"handshake":0.0,"late_fail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,
 "probe":0.01,"registry_mode":0.0,"waste":0.03}},"registry_mode":"automatic",
"rules":{{"answer_slack":20.0,"ask_every":10000.0,"drain_grace":500.0,"fall_multiple":4.0,"overload_for":1000.0,
 "start_capacity":0.3,"warm_after":14000.0}},
"services":[
 {{"aim_stretch":1.5,"effect":"repeatable","give_up":2500.0,"group":"all","late_share":0.1,"name":"lookup","on_time":500.0,
  "stream":false,"window":5000.0,"worth":1.0}},
 {{"aim_stretch":2.5,"effect":"repeatable","give_up":25000.0,"group":"all","late_share":0.3,"name":"report","on_time":3000.0,
  "stream":false,"window":5000.0,"worth":12.0}},
 {{"aim_stretch":2.5,"effect":"once","give_up":25000.0,"group":"all","late_share":0.6,"name":"journal-load","on_time":3000.0,
  "stream":false,"window":5000.0,"worth":12.0{load_keys}}}],
"telemetry":{{"fields":["cpu"],"how":"pull"}},
"tenants":[{{"allowance_per_s":117.0,"name":"fraser-cpa","portion":0.62}},
 {{"allowance_per_s":49.0,"name":"island-ledger","portion":0.26}},
 {{"allowance_per_s":23.0,"name":"kootenay-books","portion":0.12}}],
"tick":5.0,"tier":0,"tiers":["ledger-engines"],"weight_source":"silent","worth_by":"request","zone":"room-a",
"zones":["room-a","room-b","room-c"]}}"#
    )
}

/// What the platform's file says of one dispatcher.
pub struct Config {
    pub memory_mb: u64,
    pub sockets: u64,
    pub changelog: SocketAddr,
    pub first_event: String,
    pub settings: String,
}

impl Config {
    pub fn json(&self, listen: SocketAddr, control: SocketAddr) -> String {
        format!(
            r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964","control":"{control}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"changelog":"{}","known":{{"seq":1,"results":[{}]}},
"settings":{}}}"#,
            self.memory_mb, self.sockets, self.changelog, self.first_event, self.settings
        )
    }
}

pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A folder that is removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> io::Result<TempFolder> {
        let name = format!("sedgebeam-review-{}-{}", std::process::id(), unix_ms());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(path.join("tmp"))?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A running dispatcher; it is ended with the case.
pub struct Dispatcher {
    child: Child,
    control: SocketAddr,
}

impl Dispatcher {
    /// Starts the command of the deploy file. A passed socket is the clients' listening socket, as descriptor 7.
    pub fn start(
        folder: &Path,
        listen: SocketAddr,
        control: SocketAddr,
        passed_socket: Option<&TcpListener>,
    ) -> io::Result<Dispatcher> {
        let log = File::create(folder.join(format!("{}.log", control.port())))?;
        let run = run_command()?;
        let mut command = Command::new("/bin/sh");
        command
            .env("PROXY_NAME", "n1")
            .env("PROXY_LISTEN", listen.to_string())
            .env("PROXY_CONTROL", control.to_string())
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env("TMPDIR", folder.join("tmp"))
            .stdout(log.try_clone()?)
            .stderr(log);
        match passed_socket {
            Some(socket) => {
                let socket: OwnedFd = socket.try_clone()?.into();
                command
                    .env("PROXY_PASSED_SOCKET", "7")
                    .stdin(Stdio::from(socket))
                    .args(["-c", &format!("exec 7<&0 </dev/null; {run}")]);
            }
            None => {
                command.stdin(Stdio::null()).args(["-c", &run]);
            }
        }
        let child = command.spawn()?;
        STARTED.lock().unwrap().push(child.id());
        Ok(Dispatcher { child, control })
    }

    fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        signal(self.pid(), name);
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    /// The first line that the control socket answers with.
    pub fn call(&self, word: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.control, ms(1000))?;
        stream.set_read_timeout(Some(ms(1000)))?;
        stream.write_all(format!("{word}\n").as_bytes())?;
        read_line(&mut BufReader::new(stream))
    }

    /// Waits until the control socket says that the dispatcher is ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        for _ in 0..300 {
            if self
                .call("PING")
                .is_ok_and(|answer| answer.starts_with("200"))
            {
                return Ok(());
            }
            thread::sleep(ms(50));
        }
        Err(io::Error::other("the dispatcher is not ready"))
    }

    /// Ends the process as the platform does when it is over its memory limit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.pid();
        STARTED.lock().unwrap().retain(|started| *started != pid);
    }

    /// A figure of the process in kB, from the system's status of it.
    pub fn status_kb(&self, name: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A dispatcher with its engines, its change log and its files.
pub struct Site {
    pub dispatcher: Dispatcher,
    pub engines: Vec<Engine>,
    pub log: ChangeLog,
    pub listen: SocketAddr,
    pub folder: TempFolder,
}

/// What a site is made of.
pub struct Plans {
    pub engines: usize,
    pub behaviour: Behaviour,
    pub memory_mb: u64,
    pub sockets: u64,
    pub load_keys: &'static str,
    /// Clients are accepted from this socket, which the platform holds.
    pub passed_socket: Option<TcpListener>,
}

impl Plans {
    pub fn small() -> Plans {
        Plans {
            engines: 6,
            behaviour: takes(80),
            memory_mb: 192,
            sockets: 1024,
            load_keys: "",
            passed_socket: None,
        }
    }

    /// Starts all of it and waits until the dispatcher is ready.
    pub fn start(self, record: &Arc<Record>) -> io::Result<Site> {
        let folder = TempFolder::create()?;
        let mut engines = Vec::new();
        for number in 1..=self.engines {
            let uid = format!("s-{:08x}", number * 0x01c4_1f7a);
            engines.push(Engine::start(&uid, record, self.behaviour.clone())?);
        }
        let targets: Vec<String> = engines.iter().map(|engine| target(engine, "up")).collect();
        let first_event = event(1, true, &targets);
        let log = ChangeLog::start(record, &first_event)?;
        let listen = match &self.passed_socket {
            Some(socket) => socket.local_addr()?,
            None => free_address()?,
        };
        let control = free_address()?;
        let config = Config {
            memory_mb: self.memory_mb,
            sockets: self.sockets,
            changelog: log.address,
            first_event,
            settings: settings(self.load_keys),
        };
        fs::write(folder.0.join("config.json"), config.json(listen, control))?;
        let dispatcher =
            Dispatcher::start(&folder.0, listen, control, self.passed_socket.as_ref())?;
        dispatcher.wait_until_ready()?;
        record.line("the dispatcher is ready");
        Ok(Site {
            dispatcher,
            engines,
            log,
            listen,
            folder,
        })
    }
}
