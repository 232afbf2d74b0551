//! What a process of a dispatcher assumes about the other processes of it while the directory that they share can't be
//! written, or can't be read for a moment. The test takes the place of the broker.

use sedgebeam::change_log::ChangeLogPosition;
use sedgebeam::peer_process::{self, GroupMember, PeerUsage, ProcessContext, SharedDirectoryPath};
use sedgebeam_core::{ClassId, Micros, RequestId, TableGroupId};
use sedgebeam_fronts::session_slots::SessionSlots;
use sedgebeam_operation::{Drain, DrainState, Metrics};
use sedgebeam_port::clock::Clock;
use sedgebeam_port::{BrokerMessage, NewRequest, RequestRouter, SessionKey};
use sedgebeam_reconfigure::RuntimeSettings;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Ends a test that would wait forever; no assertion depends on the value.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// A directory for temporary files; removed on drop.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new() -> TempDirectory {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("sedgebeam-peer-process-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("create the directory");
        TempDirectory(path)
    }

    fn shared_path(&self) -> SharedDirectoryPath {
        SharedDirectoryPath {
            parent: self.0.clone(),
            dispatcher_name: "n0".to_string(),
        }
    }

    /// The directory that the processes of a dispatcher share.
    fn shared_directory(&self) -> PathBuf {
        self.0.join("sedgebeam")
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running process, with the channels on which its broker and its limits learn about its peers.
struct Process {
    router: RequestRouter,
    broker_messages: mpsc::Receiver<BrokerMessage>,
    peer_usage: watch::Receiver<PeerUsage>,
    // The process reads from these; dropping a sender ends its stream.
    _drain_state: watch::Sender<DrainState>,
    _change_log_position: watch::Sender<ChangeLogPosition>,
    _config_text: watch::Sender<Arc<str>>,
}

impl Process {
    async fn start(member: GroupMember) -> Process {
        let router = RequestRouter::new(1, 0, Metrics::default(), RuntimeSettings::default());
        let (broker_sender, broker_messages) = mpsc::channel(16);
        router
            .open_shard(0, broker_sender)
            .await
            .expect("the broker is running");
        let mut drain = Drain::new(true);
        drain.set_prepared();
        let (_drain_state, drain_state) = watch::channel(drain.state(Duration::ZERO));
        let (_change_log_position, change_log_position) =
            watch::channel(ChangeLogPosition::default());
        let (_config_text, applied_config_text) = watch::channel("{}".into());
        let context = ProcessContext {
            clock: Clock::start(),
            router: router.clone(),
            session_slots: SessionSlots::new(1),
            drain_state,
            change_log_position,
            applied_config_text,
        };
        let (usage_sender, peer_usage) = watch::channel(PeerUsage::NONE);
        tokio::spawn(peer_process::run(member, context, usage_sender));
        Process {
            router,
            broker_messages,
            peer_usage,
            _drain_state,
            _change_log_position,
            _config_text,
        }
    }

    /// Waits for the next update about peers; returns whether it allows the process to send to cold engines. Drops the
    /// reply channel of each request for the handover state.
    async fn may_use_cold_engines(&mut self) -> bool {
        loop {
            match self.broker_messages.recv().await.expect("it keeps running") {
                BrokerMessage::SetPeerProcessUsage(_, may_use_cold_engines) => {
                    return may_use_cold_engines;
                }
                BrokerMessage::GetHandoverState(reply) => drop(reply),
                _ => {}
            }
        }
    }

    /// Waits for the request that the broker is told to cancel. Drops the reply channel of each request for the handover
    /// state.
    async fn next_cancelled_request(&mut self) -> RequestId {
        loop {
            match self.broker_messages.recv().await.expect("it keeps running") {
                BrokerMessage::ClientLeft(id) => return id,
                BrokerMessage::GetHandoverState(reply) => drop(reply),
                _ => {}
            }
        }
    }

    async fn wait_for_process_count(&mut self, count: usize) {
        let reached = self
            .peer_usage
            .wait_for(|usage| usage.process_count == count);
        reached.await.expect("it keeps running");
    }
}

fn request(id: u64, session: SessionKey) -> NewRequest {
    NewRequest {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        deadline: Instant::now() + HANG_TIMEOUT,
        work: Micros(0),
        memory_mb: 0.0,
        table_group: TableGroupId(0),
        statement: "INSERT".into(),
        is_retry: false,
        idempotency_token: None,
        order_key: None,
        session: Some(session),
        cancel_token: CancellationToken::new(),
    }
}

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let timed_test = async { tokio::time::timeout(HANG_TIMEOUT, test).await };
    let result = runtime.expect("build the runtime").block_on(timed_test);
    result.expect("the test ends within its timeout");
}

/// Puts a file where the directory should be, so that nothing can be read or written there.
fn replace_with_file(path: &Path) {
    std::fs::write(path, "").expect("write the file");
}

#[test]
fn process_that_has_not_joined_counts_as_one_of_two_and_sends_nothing_to_cold_engines() {
    run_test(async {
        let temp_directory = TempDirectory::new();
        replace_with_file(&temp_directory.shared_directory());
        let (member, handover) = GroupMember::join(temp_directory.shared_path()).await;
        assert!(matches!(member, GroupMember::Joining(_)) && handover.is_none());
        let mut process = Process::start(member).await;
        assert!(!process.may_use_cold_engines().await);
        process.wait_for_process_count(2).await;
        std::fs::remove_file(temp_directory.shared_directory()).expect("remove the file");
        assert!(process.may_use_cold_engines().await, "it is alone");
        process.wait_for_process_count(1).await;
    });
}

#[test]
fn peers_are_assumed_to_run_while_their_directory_cannot_be_read() {
    const UPDATES: usize = 5;
    run_test(async {
        let temp_directory = TempDirectory::new();
        let older_process = temp_directory
            .shared_path()
            .join()
            .expect("create the directory");
        let (member, _) = GroupMember::join(temp_directory.shared_path()).await;
        let mut process = Process::start(member).await;
        process.wait_for_process_count(2).await;
        assert!(
            !process.may_use_cold_engines().await,
            "only the older process may"
        );
        let moved_path = temp_directory.0.join("away");
        std::fs::rename(temp_directory.shared_directory(), &moved_path)
            .expect("rename the directory");
        replace_with_file(&temp_directory.shared_directory());
        for _ in 0..UPDATES {
            assert!(!process.may_use_cold_engines().await);
        }
        assert_eq!(process.peer_usage.borrow().process_count, 2);
        std::fs::remove_file(temp_directory.shared_directory()).expect("remove the file");
        std::fs::rename(&moved_path, temp_directory.shared_directory())
            .expect("rename the directory");
        drop(older_process);
        process.wait_for_process_count(1).await;
    });
}

/// Guards against a load that begins after its client has cancelled it, because the cancel request reached the other
/// process of an upgrade.
#[test]
fn a_cancel_is_executed_by_the_process_that_has_the_session() {
    run_test(async {
        let temp_directory = TempDirectory::new();
        let (member, _) = GroupMember::join(temp_directory.shared_path()).await;
        let mut old_process = Process::start(member).await;
        let (member, _) = GroupMember::join(temp_directory.shared_path()).await;
        let mut new_process = Process::start(member).await;
        old_process.wait_for_process_count(2).await;
        new_process.wait_for_process_count(2).await;
        let (first, second) = (SessionKey(11), SessionKey(12));
        let first_request = request(1, first);
        let first_token = first_request.cancel_token.clone();
        let _first_answer = old_process.router.submit(first_request).await;
        let _second_answer = new_process.router.submit(request(2, second)).await;
        // Either process may accept either cancel.
        new_process.router.cancel(first).await;
        assert_eq!(old_process.next_cancelled_request().await, RequestId(1));
        assert!(first_token.is_cancelled(), "nothing more of it is sent");
        old_process.router.cancel(second).await;
        assert_eq!(new_process.next_cancelled_request().await, RequestId(2));
    });
}
