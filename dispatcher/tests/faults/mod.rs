//! Results of system calls that a test injects into the program: failures, short reads and writes, a stepped wall clock.
//!
//! The program is started with a small library preloaded (`shim.c`), which a C compiler, as the Rust toolchain needs one
//! for linking, builds once for each test binary. Test and program share a mapped file of records.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// A system call whose results can be injected, by its place in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code, reason = "each test binary uses some of them")]
pub enum SystemCall {
    Socket,
    Bind,
    Listen,
    Accept,
    Connect,
    SetSockOpt,
    Recv,
    Send,
    WallClock,
    /// Opening a file that is created.
    Create,
}

const CALLS: usize = 10;
const RECORD: u64 = 16;
const COUNT_AT: u64 = 12;
/// The error of a call that moves one byte.
const SHORT: i32 = -1;

/// What is injected.
#[derive(Clone, Copy, Debug)]
#[allow(dead_code, reason = "each test binary uses some of them")]
pub enum Fault {
    /// The call fails with this error number.
    Error(i32),
    /// It reads or writes one byte.
    OneByte,
}

/// The records of one program.
pub struct FaultInjector {
    path: PathBuf,
    file: File,
}

fn shim() -> &'static Path {
    static SHIM: OnceLock<PathBuf> = OnceLock::new();
    SHIM.get_or_init(|| {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let library = folder.join(format!("faults-{}.so", std::process::id()));
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/faults/shim.c");
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .arg(&library)
            .args([source, "-ldl"])
            .status();
        assert!(
            built.expect("a C compiler").success(),
            "the library is built"
        );
        library
    })
}

#[allow(dead_code, reason = "each test binary uses some of them")]
impl FaultInjector {
    /// Records without any fault.
    pub fn new() -> FaultInjector {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("faults-{}-{number}", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let file = File::options()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(&path)
            .expect("a file");
        file.set_len(RECORD * CALLS as u64).expect("a length");
        FaultInjector { path, file }
    }

    fn write(&self, call: SystemCall, error: i32, every: i32, left: i32) {
        let mut record = Vec::new();
        for number in [error, every, left] {
            record.extend(number.to_ne_bytes());
        }
        let at = call as u64 * RECORD;
        self.file.write_all_at(&record, at).expect("writes");
    }

    /// Injects the fault into each of the calls from now on.
    pub fn inject_always(&self, call: SystemCall, fault: Fault) {
        self.inject_every_nth(1, call, fault);
    }

    /// Injects the fault into each n-th of the calls from now on.
    pub fn inject_every_nth(&self, every: i32, call: SystemCall, fault: Fault) {
        self.write(call, number(fault), every, -1);
    }

    /// Injects the fault into so many calls.
    pub fn inject_times(&self, times: i32, call: SystemCall, fault: Fault) {
        self.write(call, number(fault), 1, times);
    }

    /// Injects nothing more into the call.
    pub fn clear(&self, call: SystemCall) {
        self.write(call, 0, 1, 0);
    }

    /// Has the program's wall clock run ahead by so many seconds.
    pub fn step_wall_clock(&self, seconds: i32) {
        self.write(SystemCall::WallClock, seconds, 1, -1);
    }

    /// How often a fault was injected into the call.
    pub fn injected_count(&self, call: SystemCall) -> u32 {
        let mut count = [0; 4];
        let at = call as u64 * RECORD + COUNT_AT;
        self.file.read_exact_at(&mut count, at).expect("reads");
        u32::from_ne_bytes(count)
    }

    /// What a process that is to have the faults must find in its environment.
    pub fn environment(&self) -> [(&'static str, PathBuf); 2] {
        [
            ("LD_PRELOAD", shim().to_path_buf()),
            ("FAULTS", self.path.clone()),
        ]
    }
}

fn number(fault: Fault) -> i32 {
    match fault {
        Fault::Error(error) => error,
        Fault::OneByte => SHORT,
    }
}

impl Drop for FaultInjector {
    fn drop(&mut self) {
        // What stays lies in the build's own folder.
        let _ = std::fs::remove_file(&self.path);
    }
}
