//! 300 followers of one change log, on real sockets. The log moves to another address, is unreachable for a while, and repeats,
//! truncates and omits events. In the end every follower's engine list equals that of the log, and few followers requested a
//! complete list. A last test has one follower connect to a log whose accept queue is full.

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

/// What the log does to one event on a follower's first two connections; from the third on there is no fault.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The connection omits the event; the follower detects the gap and gets the event by reconnecting.
    Omitted,
    /// Only a complete list delivers the event.
    Forgotten,
    /// The connection ends in the middle of the event.
    Truncated,
    /// Every event is delivered twice.
    Duplicated,
}

struct ChangeLog {
    address: SocketAddr,
    /// The sequence number of the last event, which is the number of events.
    last_seq: watch::Sender<u64>,
    requests: AtomicUsize,
    complete_list_requests: AtomicUsize,
}

fn event_json(seq: u64) -> String {
    let (is_complete, targets) = match seq {
        1 => (true, (0..8).collect::<Vec<u64>>()),
        _ => (false, vec![seq % 16]),
    };
    // Engines are added, drained and removed in turn.
    let state = ["up", "draining", "removed"][(seq / 16 % 3) as usize];
    let state = if seq == 1 { "up" } else { state };
    let target = |uid: &u64| {
        format!(r#"{{"uid":"s-{uid:08x}","endpoint":"127.0.0.1:9","state":"{state}"}}"#)
    };
    let targets: Vec<String> = targets.iter().map(target).collect();
    let targets = targets.join(",");
    format!(r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":{is_complete},"targets":[{targets}]}}}}"#)
}

/// Binds a listener with an accept queue of this length.
fn bind_listener(backlog: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("create the socket");
    let address = "127.0.0.1:0".parse().expect("parse the address");
    socket.bind(address).expect("bind a port");
    socket.listen(backlog).expect("listen")
}

impl ChangeLog {
    async fn start(last_seq: u64, fault: Fault, fault_seq: u64) -> Arc<ChangeLog> {
        // All followers may connect at once, and a full accept queue would be another fault.
        let listener = bind_listener(2 * FOLLOWERS);
        let log = Arc::new(ChangeLog {
            address: listener.local_addr().expect("get the local address"),
            last_seq: watch::channel(last_seq).0,
            requests: AtomicUsize::new(0),
            complete_list_requests: AtomicUsize::new(0),
        });
        let shared = log.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accept a connection");
                shared.requests.fetch_add(1, Ordering::Relaxed);
                let log = shared.clone();
                tokio::spawn(async move { log.serve(stream, fault, fault_seq).await });
            }
        });
        log
    }

    /// Serves one connection of a follower. A write fails once the follower has closed it.
    async fn serve(&self, stream: TcpStream, fault: Fault, fault_seq: u64) -> std::io::Result<()> {
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let mut last_event_id = 0;
        loop {
            // A connection closed before the end of the request is not a request for a complete list.
            let Some(line) = lines.next_line().await? else {
                return Ok(());
            };
            if let Some(id) = line.strip_prefix("Last-Event-ID: ") {
                last_event_id = id.parse().expect("parse the event id");
            }
            if line.is_empty() {
                break;
            }
        }
        if last_event_id == 0 {
            self.complete_list_requests.fetch_add(1, Ordering::Relaxed);
        }
        write.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?;
        let mut last_seq = self.last_seq.subscribe();
        let (mut delivered_seq, resumed_seq) = (last_event_id, last_event_id);
        loop {
            let available_seq = *last_seq.borrow_and_update();
            while delivered_seq < available_seq {
                delivered_seq += 1;
                let text = format!(
                    "id: {delivered_seq}\ndata: {}\n\n",
                    event_json(delivered_seq)
                );
                // A follower that recovers from the fault resumes right before the event.
                let is_first_delivery = resumed_seq + 1 < fault_seq;
                match fault {
                    Fault::Omitted
                        if delivered_seq == fault_seq && is_first_delivery && resumed_seq > 0 =>
                    {
                        continue;
                    }
                    Fault::Forgotten if delivered_seq == fault_seq && resumed_seq > 0 => continue,
                    Fault::Truncated if delivered_seq == fault_seq && is_first_delivery => {
                        return write.write_all(&text.as_bytes()[..text.len() / 2]).await;
                    }
                    Fault::Duplicated => write.write_all(text.as_bytes()).await?,
                    _ => {}
                }
                write.write_all(text.as_bytes()).await?;
            }
            tokio::select! {
                changed = last_seq.changed() => if changed.is_err() { return Ok(()) },
                () = tokio::time::sleep(Duration::from_millis(500)) => {
                    write.write_all(b":\n\n").await?;
                }
            }
        }
    }
}

/// A follower, and the engine list that its broker received.
struct Follower {
    log_address: watch::Sender<Option<SocketAddr>>,
    position: watch::Receiver<ChangeLogPosition>,
    engine_list: watch::Receiver<Vec<Target>>,
}

async fn start_follower(number: u32, log: &ChangeLog) -> Follower {
    let router = RequestRouter::new(1, 0, Metrics::default(), RuntimeSettings::default());
    let (broker_sender, mut broker_messages) = mpsc::channel(16);
    let (list_sender, engine_list) = watch::channel(Vec::new());
    tokio::spawn(async move {
        while let Some(message) = broker_messages.recv().await {
            if let BrokerMessage::EngineList(update, targets) = message {
                list_sender.send_modify(|list| apply_update(list, update, &targets));
            }
        }
    });
    router
        .open_shard(0, broker_sender)
        .await
        .expect("the broker is running");
    let first = change_log::fold_changes(vec![parse_event(1)]);
    router
        .update_engine_list(ListUpdate::Complete, first)
        .await
        .expect("the broker is running");
    let (log_address, address_changes) = watch::channel(Some(log.address));
    let (position_sender, position) = watch::channel(ChangeLogPosition {
        seq: 1,
        caught_up: false,
    });
    let backoff = RetryBackoff::new(FOLLOWERS, u64::from(number));
    tokio::spawn(change_log::follow(
        address_changes,
        position_sender,
        router,
        backoff,
    ));
    Follower {
        log_address,
        position,
        engine_list,
    }
}

fn parse_event(seq: u64) -> change_log::Change {
    miniserde::json::from_str(&event_json(seq)).expect("parse the event")
}

fn sorted(mut list: Vec<Target>) -> Vec<Target> {
    list.sort_by(|left, right| left.uid.cmp(&right.uid));
    list
}

async fn start_followers(log: &ChangeLog) -> Vec<Follower> {
    let mut followers = Vec::new();
    for number in 0..FOLLOWERS {
        followers.push(start_follower(number, log).await);
    }
    followers
}

/// Waits until all followers have reached this event, and their lists equal the log's.
async fn wait_for_same_list(followers: &mut [Follower], seq: u64) {
    let expected = sorted(change_log::fold_changes(
        (1..=seq).map(parse_event).collect(),
    ));
    for follower in followers {
        let reached = follower.position.wait_for(|position| position.seq == seq);
        reached.await.expect("the follower is running");
        // The position is updated once the list is in the broker's mailbox, before the broker has read it.
        let same = follower
            .engine_list
            .wait_for(|list| sorted(list.clone()) == expected);
        same.await.expect("the broker is running");
    }
}

/// Locked by a running test: each follower uses two of the limited file descriptors, so tests run one at a time.
static EXCLUSIVE: Mutex<()> = Mutex::new(());

fn run_test(test: impl Future<Output = ()>) {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    // Ends a test that would wait forever; no assertion depends on the value.
    let test = async { tokio::time::timeout(Duration::from_secs(60), test).await };
    let result = runtime.expect("build the runtime").block_on(test);
    result.expect("the test ends within its timeout");
}

async fn check_recovery(fault: Fault, expected_complete_lists: usize) {
    let log = ChangeLog::start(20, fault, 12).await;
    let mut followers = start_followers(&log).await;
    wait_for_same_list(&mut followers, 20).await;
    log.last_seq.send_replace(60);
    wait_for_same_list(&mut followers, 60).await;
    assert_eq!(
        log.complete_list_requests.load(Ordering::Relaxed),
        expected_complete_lists,
        "{fault:?}"
    );
    let requests = log.requests.load(Ordering::Relaxed);
    assert!(requests <= 3 * FOLLOWERS as usize, "{fault:?}: {requests}");
}

#[test]
fn followers_recover_from_faults_of_the_log_with_few_complete_lists() {
    for (fault, expected_complete_lists) in [
        (Fault::None, 0),
        (Fault::Omitted, 0),
        (Fault::Truncated, 0),
        (Fault::Duplicated, 0),
        // Each follower requests the complete list once, and not again and again.
        (Fault::Forgotten, FOLLOWERS as usize),
    ] {
        run_test(check_recovery(fault, expected_complete_lists));
    }
}

#[test]
fn followers_resume_without_a_complete_list_after_the_log_moved_or_was_unreachable() {
    run_test(async {
        let first = ChangeLog::start(30, Fault::None, 0).await;
        let mut followers = start_followers(&first).await;
        wait_for_same_list(&mut followers, 30).await;
        let second = ChangeLog::start(50, Fault::None, 0).await;
        for follower in &followers {
            follower.log_address.send_replace(None);
            follower.log_address.send_replace(Some(second.address));
        }
        wait_for_same_list(&mut followers, 50).await;
        second.last_seq.send_replace(64);
        wait_for_same_list(&mut followers, 64).await;
        assert_eq!(second.requests.load(Ordering::Relaxed), FOLLOWERS as usize);
        assert_eq!(second.complete_list_requests.load(Ordering::Relaxed), 0);
    });
}

/// The local ports of connections to this port that are being established: `/proc/net/tcp` lists them in state SYN_SENT.
fn connecting_local_ports(port: u16) -> Vec<u16> {
    const SYN_SENT: &str = "02";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("read the table of sockets");
    let remote = format!(":{port:04X}");
    let rows = table.lines().map(|row| row.split_whitespace().collect());
    let rows = rows.filter(|row: &Vec<&str>| row[2].ends_with(&remote) && row[3] == SYN_SENT);
    let ports = rows.filter_map(|row| row[1].split_once(':'));
    ports
        .map(|(_, port)| u16::from_str_radix(port, 16).expect("parse the port"))
        .collect()
}

/// The SYN of a connect is dropped while the log's accept queue is full, and the kernel retransmits it after a second. A
/// follower that gave up before that would add an unused connection to the overloaded queue.
#[test]
fn follower_waits_for_a_connect_whose_first_packet_is_lost() {
    run_test(async {
        let listener = bind_listener(0);
        let address = listener.local_addr().expect("get the local address");
        let _fills_the_queue = TcpStream::connect(address).await.expect("connect");
        let router = RequestRouter::new(1, 0, Metrics::default(), RuntimeSettings::default());
        let (_log_address, address_changes) = watch::channel(Some(address));
        let (position_sender, _position) = watch::channel(ChangeLogPosition::default());
        tokio::spawn(change_log::follow(
            address_changes,
            position_sender,
            router,
            RetryBackoff::new(1, 1),
        ));
        let port = loop {
            if let [port] = connecting_local_ports(address.port())[..] {
                break port;
            }
            tokio::task::yield_now().await;
        };
        listener
            .accept()
            .await
            .expect("accept the connection that filled the queue");
        let (_stream, peer) = listener.accept().await.expect("accept the follower");
        assert_eq!(
            peer.port(),
            port,
            "not the connect that found the queue full"
        );
    });
}
