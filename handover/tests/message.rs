//! What is told is read as it was told, or not at all.

use proptest::prelude::*;
use sedgebeam_core::{
    ClassHandover, ClassUsage, EngineHandover, EngineId, EngineUsage, HandoverState, Micros,
    TableGroupId, Tenant,
};
use sedgebeam_discovery::Target;
use sedgebeam_handover::{
    Freshness, HandoverMessage, Incarnation, MessageError, Phase, ProcessStatus,
};

const NOW: u64 = 1_800_000_000_000_000;
const HOUR: u64 = 3_600_000_000;
const READER: Incarnation = Incarnation {
    generation: 7,
    nonce: 3,
};

fn share() -> HandoverMessage {
    let target = Target {
        uid: "s-00000001".to_string(),
        endpoint: "127.0.0.1:1".to_string(),
        state: "draining".to_string(),
        boot_ms: Some(7.5),
        ..Target::default()
    };
    let engine = EngineHandover {
        engine: EngineId(1),
        usage: EngineUsage {
            threads: 3.0,
            memory_mb: 0.1 + 0.2,
            table_groups: vec![TableGroupId(4), TableGroupId(4)],
        },
        recent_sends: vec![(Micros(NOW - 5), 1.25)],
        service_time_ratio: -0.3,
        ejected_until: (Micros(0), Micros(NOW + 9)),
    };
    let class = ClassHandover {
        name: "a \"class\"\n".to_string(),
        usage: ClassUsage {
            threads: 1.0,
            memory_mb: 2.0,
        },
        usual_ratio: None,
        service_time_ratio: 1e-9,
        mean_attempt_us: Some(12345.678),
        mean_work_us: None,
        accepted_requests: 9.0,
        spill_margin: 0.0,
    };
    HandoverMessage {
        status: ProcessStatus {
            dispatcher_name: "n0".to_string(),
            written_at_unix_us: NOW,
            writer_clock: Some(Micros(NOW)),
            known_processes: Some(vec![READER]),
            phase: Phase::Serving,
            change_log_seq: 42,
            targets: vec![target],
            session_count: 5,
            drained_engines: vec!["s-00000002".to_string()],
            tenants: vec![Tenant {
                name: "firm".to_string(),
                share: 0.25,
                requests_per_second: 3.0,
            }],
            config_text: "{\"settings\": {}}".to_string(),
        },
        handover_state: HandoverState {
            engines: vec![engine],
            classes: vec![class],
            concurrency_limit: 1.5,
        },
    }
}

#[test]
fn a_share_is_read_as_it_was_told() {
    assert_eq!(
        HandoverMessage::decode(&share().encode(), "n0"),
        Ok(share())
    );
}

#[test]
fn what_is_foreign_torn_or_another_s_is_refused() {
    let bytes = share().encode();
    let read = |bytes: &[u8], name| HandoverMessage::decode(bytes, name).map(|_| ());
    assert_eq!(read(&bytes, "n1"), Err(MessageError::OtherDispatcher));
    let text = String::from_utf8(bytes).expect("text");
    let foreign = text.replacen("share 1 ", "share 2 ", 1);
    assert_eq!(
        read(foreign.as_bytes(), "n0"),
        Err(MessageError::UnsupportedFormat)
    );
    for torn in ["", "sedgebeam-share 1 0 00000000", &text[..text.len() / 2]] {
        assert_eq!(read(torn.as_bytes(), "n0"), Err(MessageError::Corrupt));
    }
}

/// Whatever the wall clock says, a share answers those that its writer had found when it wrote, and no others.
#[test]
fn a_share_answers_whom_its_writer_had_found() {
    let later = Incarnation {
        generation: 8,
        ..READER
    };
    for now in [NOW - HOUR, NOW, NOW + HOUR] {
        assert!(share().is_addressed_to(READER, Micros(now)));
        assert!(
            !share().is_addressed_to(later, Micros(now)),
            "left by another meeting"
        );
    }
    // One of a version that goes by the wall clock.
    let mut earlier = share();
    earlier.status.known_processes = None;
    let answers = |at| earlier.is_addressed_to(READER, Micros(at));
    assert!(answers(NOW + 1_000_000) && answers(NOW - 1_000_000));
    assert!(!answers(NOW + 3_000_000) && !answers(NOW - 3_000_000));
}

#[test]
fn what_is_told_anew_is_believed_for_two_seconds_of_the_reader_s_clock() {
    let mut freshness = Freshness::default();
    let start = Micros::from_millis(50);
    let after = |millis| start + Micros::from_millis(millis);
    assert!(freshness.is_fresh(READER, NOW, start));
    assert!(freshness.is_fresh(READER, NOW, after(2000)));
    assert!(!freshness.is_fresh(READER, NOW, after(2001)));
    // A wall clock that was set back is a new mark like any other.
    assert!(freshness.is_fresh(READER, NOW - HOUR, after(2001)));
    assert!(freshness.is_fresh(READER, NOW - HOUR, after(4001)));
    freshness.retain(&[]);
    assert!(
        freshness.is_fresh(READER, NOW - HOUR, after(9000)),
        "forgotten"
    );
}

#[test]
fn times_are_on_the_clock_of_the_reader() {
    for now in [NOW - HOUR, NOW, NOW + HOUR] {
        let held = share().handover_state_at(Micros(now));
        assert_eq!(held.engines[0].recent_sends, [(Micros(now - 5), 1.25)]);
        // No rest is not one that ends at some time.
        assert_eq!(held.engines[0].ejected_until, (Micros(0), Micros(now + 9)));
    }
}

proptest! {
    #[test]
    fn a_share_that_is_cut_or_changed_anywhere_is_refused(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let bytes = share().encode();
        let at = at.index(bytes.len());
        prop_assert!(HandoverMessage::decode(&bytes[..at], "n0").is_err());
        let mut changed = bytes.clone();
        changed[at] = byte;
        let read = HandoverMessage::decode(&changed, "n0");
        prop_assert!(read.is_err() || changed == bytes || read == Ok(share()));
    }
}
