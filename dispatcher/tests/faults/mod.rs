//! Fault injection into system calls of the program under test: errors, short reads and writes, a stepped wall clock.
//!
//! The program runs with a small preloaded library (`shim.c`). Each test binary builds it once with the C compiler, which the
//! Rust toolchain needs for linking anyway. The test and the program share a memory-mapped file with one record per call.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// A system call whose result can be injected. The discriminant is the index of its record in the file.
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
    /// Opening a file with `O_CREAT`.
    Create,
}

const SYSTEM_CALL_COUNT: usize = 10;
const RECORD_BYTES: u64 = 16;
/// Offset of the number of injected faults in a record.
const COUNT_OFFSET: u64 = 12;
/// The error value of a record whose call transfers one byte.
const ONE_BYTE: i32 = -1;

/// The injected result.
#[derive(Clone, Copy, Debug)]
#[allow(dead_code, reason = "each test binary uses some of them")]
pub enum Fault {
    /// The call fails with this error number.
    Error(i32),
    /// The call reads or writes one byte.
    OneByte,
}

/// Controls the faults of one program through the shared file.
pub struct FaultInjector {
    path: PathBuf,
    file: File,
}

/// Builds the preloaded library on first use.
fn shim_library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let library = directory.join(format!("faults-{}.so", std::process::id()));
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/faults/shim.c");
        let status = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .arg(&library)
            .args([source, "-ldl"])
            .status();
        assert!(
            status.expect("run the C compiler").success(),
            "the C compiler builds the library"
        );
        library
    })
}

#[allow(dead_code, reason = "each test binary uses some of them")]
impl FaultInjector {
    /// Creates the shared file without any fault.
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
            .expect("open the file");
        file.set_len(RECORD_BYTES * SYSTEM_CALL_COUNT as u64)
            .expect("set the file length");
        FaultInjector { path, file }
    }

    fn write_record(&self, call: SystemCall, error: i32, every_nth: i32, remaining_faults: i32) {
        let mut record = Vec::new();
        for number in [error, every_nth, remaining_faults] {
            record.extend(number.to_ne_bytes());
        }
        let offset = call as u64 * RECORD_BYTES;
        self.file
            .write_all_at(&record, offset)
            .expect("write the record");
    }

    /// Injects the fault into each call from now on.
    pub fn inject_always(&self, call: SystemCall, fault: Fault) {
        self.inject_every_nth(1, call, fault);
    }

    /// Injects the fault into every n-th call from now on.
    pub fn inject_every_nth(&self, every_nth: i32, call: SystemCall, fault: Fault) {
        self.write_record(call, error_value(fault), every_nth, -1);
    }

    /// Injects the fault into the next `times` calls.
    pub fn inject_times(&self, times: i32, call: SystemCall, fault: Fault) {
        self.write_record(call, error_value(fault), 1, times);
    }

    /// Stops injecting faults into the call.
    pub fn clear(&self, call: SystemCall) {
        self.write_record(call, 0, 1, 0);
    }

    /// Offsets the program's wall clock by `seconds`, forwards or backwards.
    pub fn step_wall_clock(&self, seconds: i32) {
        self.write_record(SystemCall::WallClock, seconds, 1, -1);
    }

    /// The number of faults injected into the call.
    pub fn injected_count(&self, call: SystemCall) -> u32 {
        let mut count = [0; 4];
        let offset = call as u64 * RECORD_BYTES + COUNT_OFFSET;
        self.file
            .read_exact_at(&mut count, offset)
            .expect("read the count");
        u32::from_ne_bytes(count)
    }

    /// The environment variables that load the library into a process and point it to the shared file.
    pub fn environment(&self) -> [(&'static str, PathBuf); 2] {
        [
            ("LD_PRELOAD", shim_library().to_path_buf()),
            ("FAULTS", self.path.clone()),
        ]
    }
}

/// The fault as the error value of a record.
fn error_value(fault: Fault) -> i32 {
    match fault {
        Fault::Error(error) => error,
        Fault::OneByte => ONE_BYTE,
    }
}

impl Drop for FaultInjector {
    fn drop(&mut self) {
        // A file that can't be removed stays in the target directory.
        let _ = std::fs::remove_file(&self.path);
    }
}
