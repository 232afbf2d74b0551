//! One process of a dispatcher beside others, before a broker that the test plays: what it believes while its folder can't be
//! written, or can't be read for a moment.

use sedgebeam::change_log::ChangeLogPosition;
use sedgebeam::peer_process::{self, GroupMember, PeerUsage, ProcessContext, SharedDirectoryPath};
use sedgebeam_fronts::session_slots::SessionSlots;
use sedgebeam_operation::{Drain, DrainState, Metrics};
use sedgebeam_port::clock::Clock;
use sedgebeam_port::{BrokerMessage, RequestRouter};
use sedgebeam_reconfigure::RuntimeSettings;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// No verdict hangs on this: it only ends a test that would wait for ever.
const HANGS: Duration = Duration::from_secs(60);

/// The folder for temporary files; removed at the end.
struct Temporary(PathBuf);

impl Temporary {
    fn new() -> Temporary {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("sedgebeam-beside-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        Temporary(path)
    }

    fn place(&self) -> SharedDirectoryPath {
        SharedDirectoryPath {
            parent: self.0.clone(),
            dispatcher_name: "n0".to_string(),
        }
    }

    /// What the processes of a dispatcher share.
    fn shared(&self) -> PathBuf {
        self.0.join("sedgebeam")
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process, as the rest of it sees the others.
struct Process {
    told: mpsc::Receiver<BrokerMessage>,
    others: watch::Receiver<PeerUsage>,
    // They end with it.
    _orders: watch::Sender<DrainState>,
    _reached: watch::Sender<ChangeLogPosition>,
    _file: watch::Sender<Arc<str>>,
}

impl Process {
    async fn start(member: GroupMember) -> Process {
        let desk = RequestRouter::new(1, 0, Metrics::default(), RuntimeSettings::default());
        let (mailbox, told) = mpsc::channel(16);
        desk.open_shard(0, mailbox).await.expect("a broker");
        let mut drain = Drain::new(true);
        drain.set_prepared();
        let (_orders, orders) = watch::channel(drain.state(Duration::ZERO));
        let (_reached, reached) = watch::channel(ChangeLogPosition::default());
        let (_file, file) = watch::channel("{}".into());
        let own = ProcessContext {
            clock: Clock::start(),
            router: desk,
            session_slots: SessionSlots::new(1),
            drain_state: orders,
            change_log_position: reached,
            applied_config_text: file,
        };
        let (left, others) = watch::channel(PeerUsage::NONE);
        tokio::spawn(peer_process::run(member, own, left));
        Process {
            told,
            others,
            _orders,
            _reached,
            _file,
        }
    }

    /// Whether the next word about others lets it send to cold engines. Whoever asks what it holds is answered.
    async fn may_warm(&mut self) -> bool {
        loop {
            match self.told.recv().await.expect("it goes on") {
                BrokerMessage::SetPeerProcessUsage(_, may_warm) => return may_warm,
                BrokerMessage::GetHandoverState(reply) => drop(reply),
                _ => {}
            }
        }
    }

    async fn divided_by(&mut self, parts: usize) {
        let divided = self.others.wait_for(|others| others.process_count == parts);
        divided.await.expect("it goes on");
    }
}

fn inside(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let played = async { tokio::time::timeout(HANGS, test).await };
    let played = runtime.expect("a runtime").block_on(played);
    played.expect("something that is waited for never comes");
}

/// Puts a file where the folder should be: nothing can be read or written there.
fn spoil(path: &Path) {
    std::fs::write(path, "").expect("writes");
}

#[test]
fn one_that_has_not_joined_counts_as_one_of_two_and_sends_nothing_to_cold_engines() {
    inside(async {
        let temporary = Temporary::new();
        spoil(&temporary.shared());
        let (member, handed) = GroupMember::join(temporary.place()).await;
        assert!(matches!(member, GroupMember::Joining(_)) && handed.is_none());
        let mut process = Process::start(member).await;
        assert!(!process.may_warm().await);
        process.divided_by(2).await;
        std::fs::remove_file(temporary.shared()).expect("removes");
        assert!(process.may_warm().await, "it is alone");
        process.divided_by(1).await;
    });
}

#[test]
fn others_are_there_still_while_their_folder_can_not_be_read() {
    const LOOKS: usize = 5;
    inside(async {
        let temporary = Temporary::new();
        let older = temporary.place().join().expect("a folder");
        let (member, _) = GroupMember::join(temporary.place()).await;
        let mut process = Process::start(member).await;
        process.divided_by(2).await;
        assert!(!process.may_warm().await, "the older one does");
        let away = temporary.0.join("away");
        std::fs::rename(temporary.shared(), &away).expect("renames");
        spoil(&temporary.shared());
        for _ in 0..LOOKS {
            assert!(!process.may_warm().await);
        }
        assert_eq!(process.others.borrow().process_count, 2);
        std::fs::remove_file(temporary.shared()).expect("removes");
        std::fs::rename(&away, temporary.shared()).expect("renames");
        drop(older);
        process.divided_by(1).await;
    });
}
