//! Three hundred followers of one change log, on real sockets: it breaks off for all, moves, is away, and repeats,
//! cuts and leaves out what it tells. Their lists are those of the log in the end, and few whole lists are had. And one
//! follower of a log that is too crowded to take its connection at once.

use sedgebeam::change_log::{self, ChangeLogPosition};
use sedgebeam_discovery::RetryBackoff;
use sedgebeam_operation::Metrics;
use sedgebeam_port::{BrokerMessage, ListUpdate, RequestRouter, Target, apply_update};
use sedgebeam_reconfigure::RuntimeSettings;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};

const FOLLOWERS: u32 = 300;

/// What the log does with an event on a follower's first connections; all is well from the third on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// It is left out of what a connection is told: the gap is mended by asking again.
    LeftOut,
    /// It is nowhere but in a whole list.
    Forgotten,
    /// The connection ends in the middle of it.
    Cut,
    /// It comes twice.
    Twice,
}

struct Log {
    address: SocketAddr,
    /// The number of events that there are.
    last: watch::Sender<u64>,
    asked: AtomicUsize,
    whole: AtomicUsize,
}

fn event(seq: u64) -> String {
    let (all, targets) = match seq {
        1 => (true, (0..8).collect::<Vec<u64>>()),
        _ => (false, vec![seq % 16]),
    };
    // Engines come, drain and go in turn.
    let state = ["up", "draining", "removed"][(seq / 16 % 3) as usize];
    let state = if seq == 1 { "up" } else { state };
    let target = |uid: &u64| {
        format!(r#"{{"uid":"s-{uid:08x}","endpoint":"127.0.0.1:9","state":"{state}"}}"#)
    };
    let targets: Vec<String> = targets.iter().map(target).collect();
    let targets = targets.join(",");
    format!(r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":{all},"targets":[{targets}]}}}}"#)
}

/// A listener at which this many connections can wait to be accepted.
fn listener(queue: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    let address = "127.0.0.1:0".parse().expect("an address");
    socket.bind(address).expect("a port");
    socket.listen(queue).expect("listens")
}

impl Log {
    async fn start(last: u64, fault: Fault, at: u64) -> Arc<Log> {
        // All followers may come at one moment: a full queue would be a fault of its own.
        let listener = listener(2 * FOLLOWERS);
        let log = Arc::new(Log {
            address: listener.local_addr().expect("an address"),
            last: watch::channel(last).0,
            asked: AtomicUsize::new(0),
            whole: AtomicUsize::new(0),
        });
        let shared = log.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accepts");
                shared.asked.fetch_add(1, Ordering::Relaxed);
                let log = shared.clone();
                tokio::spawn(async move { log.tell(stream, fault, at).await });
            }
        });
        log
    }

    /// One follower's connection. That it has gone shows when something is written.
    async fn tell(&self, stream: TcpStream, fault: Fault, at: u64) -> std::io::Result<()> {
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let mut after = 0;
        loop {
            // One that has gone before it asked has not asked for a whole list.
            let Some(line) = lines.next_line().await? else {
                return Ok(());
            };
            if let Some(id) = line.strip_prefix("Last-Event-ID: ") {
                after = id.parse().expect("a number");
            }
            if line.is_empty() {
                break;
            }
        }
        if after == 0 {
            self.whole.fetch_add(1, Ordering::Relaxed);
        }
        write.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?;
        let mut last = self.last.subscribe();
        let (mut told, began) = (after, after);
        loop {
            let known = *last.borrow_and_update();
            while told < known {
                told += 1;
                let text = format!("id: {told}\ndata: {}\n\n", event(told));
                // What is asked for anew after a fault begins just before it.
                let fresh = began + 1 < at;
                match fault {
                    Fault::LeftOut if told == at && fresh && began > 0 => continue,
                    Fault::Forgotten if told == at && began > 0 => continue,
                    Fault::Cut if told == at && fresh => {
                        return write.write_all(&text.as_bytes()[..text.len() / 2]).await;
                    }
                    Fault::Twice => write.write_all(text.as_bytes()).await?,
                    _ => {}
                }
                write.write_all(text.as_bytes()).await?;
            }
            tokio::select! {
                changed = last.changed() => if changed.is_err() { return Ok(()) },
                () = tokio::time::sleep(Duration::from_millis(500)) => {
                    write.write_all(b":\n\n").await?;
                }
            }
        }
    }
}

/// A follower, and the list that its broker has been told.
struct Follower {
    address: watch::Sender<Option<SocketAddr>>,
    reached: watch::Receiver<ChangeLogPosition>,
    list: watch::Receiver<Vec<Target>>,
}

async fn follower(number: u32, log: &Log) -> Follower {
    let desk = RequestRouter::new(1, 0, Metrics::default(), RuntimeSettings::default());
    let (mailbox, mut told) = mpsc::channel(16);
    let (kept, list) = watch::channel(Vec::new());
    tokio::spawn(async move {
        while let Some(message) = told.recv().await {
            if let BrokerMessage::EngineList(listing, targets) = message {
                kept.send_modify(|list| apply_update(list, listing, &targets));
            }
        }
    });
    desk.open_shard(0, mailbox).await.expect("a broker");
    let first = change_log::fold_changes(vec![read(1)]);
    desk.update_engine_list(ListUpdate::Complete, first)
        .await
        .expect("a broker");
    let (address, changes) = watch::channel(Some(log.address));
    let (reached, heard) = watch::channel(ChangeLogPosition {
        seq: 1,
        caught_up: false,
    });
    let pauses = RetryBackoff::new(FOLLOWERS, u64::from(number));
    tokio::spawn(change_log::follow(changes, reached, desk, pauses));
    Follower {
        address,
        reached: heard,
        list,
    }
}

fn read(seq: u64) -> change_log::Change {
    miniserde::json::from_str(&event(seq)).expect("an event")
}

fn sorted(mut list: Vec<Target>) -> Vec<Target> {
    list.sort_by(|one, other| one.uid.cmp(&other.uid));
    list
}

async fn all(log: &Log) -> Vec<Follower> {
    let mut followers = Vec::new();
    for number in 0..FOLLOWERS {
        followers.push(follower(number, log).await);
    }
    followers
}

/// Waits until all have heard so much, and compares their lists with the log's.
async fn agree(followers: &mut [Follower], seq: u64) {
    let truth = sorted(change_log::fold_changes((1..=seq).map(read).collect()));
    for follower in followers {
        let heard = follower.reached.wait_for(|reached| reached.seq == seq);
        heard.await.expect("it follows");
        // The number is reached once the list is in the broker's mailbox.
        let same = follower.list.wait_for(|list| sorted(list.clone()) == truth);
        same.await.expect("a broker");
    }
}

/// Descriptors are bounded, and each follower takes two: one test at a time.
static ALONE: Mutex<()> = Mutex::new(());

fn run(test: impl Future<Output = ()>) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    // No verdict hangs on this: it only ends a test that would wait for ever.
    let test = async { tokio::time::timeout(Duration::from_secs(60), test).await };
    let played = runtime.expect("a runtime").block_on(test);
    played.expect("what is waited for comes");
}

async fn heals(fault: Fault, whole: usize) {
    let log = Log::start(20, fault, 12).await;
    let mut followers = all(&log).await;
    agree(&mut followers, 20).await;
    log.last.send_replace(60);
    agree(&mut followers, 60).await;
    assert_eq!(log.whole.load(Ordering::Relaxed), whole, "{fault:?}");
    let tries = log.asked.load(Ordering::Relaxed);
    assert!(tries <= 3 * FOLLOWERS as usize, "{fault:?}: {tries}");
}

#[test]
fn faults_of_the_log_leave_all_with_its_list_and_ask_for_few_whole_ones() {
    for (fault, whole) in [
        (Fault::None, 0),
        (Fault::LeftOut, 0),
        (Fault::Cut, 0),
        (Fault::Twice, 0),
        // Each has it once, and none over and over.
        (Fault::Forgotten, FOLLOWERS as usize),
    ] {
        run(heals(fault, whole));
    }
}

#[test]
fn all_follow_a_log_that_moves_and_one_that_was_nowhere() {
    run(async {
        let first = Log::start(30, Fault::None, 0).await;
        let mut followers = all(&first).await;
        agree(&mut followers, 30).await;
        let second = Log::start(50, Fault::None, 0).await;
        for follower in &followers {
            follower.address.send_replace(None);
            follower.address.send_replace(Some(second.address));
        }
        agree(&mut followers, 50).await;
        second.last.send_replace(64);
        agree(&mut followers, 64).await;
        assert_eq!(second.asked.load(Ordering::Relaxed), FOLLOWERS as usize);
        assert_eq!(second.whole.load(Ordering::Relaxed), 0);
    });
}

/// The local ports from which connections to this port are being made: the system's table has them as SYN_SENT.
fn connecting_to(port: u16) -> Vec<u16> {
    const SYN_SENT: &str = "02";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let remote = format!(":{port:04X}");
    let rows = table.lines().map(|row| row.split_whitespace().collect());
    let rows = rows.filter(|row: &Vec<&str>| row[2].ends_with(&remote) && row[3] == SYN_SENT);
    let ports = rows.filter_map(|row| row[1].split_once(':'));
    ports
        .map(|(_, port)| u16::from_str_radix(port, 16).expect("a port"))
        .collect()
}

/// The first packet of a connect is lost where the log has no room for it, and the system sends it again after a second.
/// A follower that gives up before then adds a connection that nobody uses to what crowds the log.
#[test]
fn a_connect_whose_first_packet_is_lost_is_waited_for() {
    run(async {
        let log = listener(0);
        let address = log.local_addr().expect("an address");
        let _fills_the_queue = TcpStream::connect(address).await.expect("connects");
        let desk = RequestRouter::new(1, 0, Metrics::default(), RuntimeSettings::default());
        let (_address, changes) = watch::channel(Some(address));
        let (reached, _heard) = watch::channel(ChangeLogPosition::default());
        tokio::spawn(change_log::follow(
            changes,
            reached,
            desk,
            RetryBackoff::new(1, 1),
        ));
        let port = loop {
            if let [port] = connecting_to(address.port())[..] {
                break port;
            }
            tokio::task::yield_now().await;
        };
        log.accept().await.expect("the one that filled the queue");
        let (_stream, peer) = log.accept().await.expect("the follower");
        assert_eq!(peer.port(), port, "not the connect that met a full queue");
    });
}
