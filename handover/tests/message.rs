//! Handover messages are decoded as they were encoded, or rejected.

use proptest::prelude::*;
use sedgebeam_core::{
    ClassHandover, ClassUsage, EngineHandover, EngineId, EngineUsage, HandoverState, Micros,
    TableGroupId, Tenant,
};
use sedgebeam_discovery::Target;
use sedgebeam_handover::{
    Freshness, HandoverMessage, Incarnation, MessageError, Phase, ProcessStatus,
};

const NOW_US: u64 = 1_800_000_000_000_000;
const HOUR_US: u64 = 3_600_000_000;
const READER: Incarnation = Incarnation {
    generation: 7,
    nonce: 3,
};

fn message() -> HandoverMessage {
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
        recent_sends: vec![(Micros(NOW_US - 5), 1.25)],
        service_time_ratio: -0.3,
        ejected_until: (Micros(0), Micros(NOW_US + 9)),
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
            written_at_unix_us: NOW_US,
            writer_clock: Some(Micros(NOW_US)),
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
fn an_encoded_message_is_decoded_unchanged() {
    assert_eq!(
        HandoverMessage::decode(&message().encode(), "n0"),
        Ok(message())
    );
}

#[test]
fn unsupported_corrupt_and_foreign_messages_are_rejected() {
    let bytes = message().encode();
    let decode = |bytes: &[u8], name| HandoverMessage::decode(bytes, name).map(|_| ());
    assert_eq!(decode(&bytes, "n1"), Err(MessageError::OtherDispatcher));
    let text = String::from_utf8(bytes).expect("text");
    let unsupported = text.replacen("share 1 ", "share 2 ", 1);
    assert_eq!(
        decode(unsupported.as_bytes(), "n0"),
        Err(MessageError::UnsupportedFormat)
    );
    for corrupt in ["", "sedgebeam-share 1 0 00000000", &text[..text.len() / 2]] {
        assert_eq!(decode(corrupt.as_bytes(), "n0"), Err(MessageError::Corrupt));
    }
}

/// The wall clock makes no difference for messages that list the processes that were found.
#[test]
fn a_message_is_addressed_to_the_processes_that_its_writer_had_found() {
    let later_process = Incarnation {
        generation: 8,
        ..READER
    };
    for now in [NOW_US - HOUR_US, NOW_US, NOW_US + HOUR_US] {
        assert!(message().is_addressed_to(READER, Micros(now)));
        assert!(
            !message().is_addressed_to(later_process, Micros(now)),
            "left over from an earlier upgrade"
        );
    }
    // A message of a version that compares the wall clock.
    let mut earlier_format = message();
    earlier_format.status.known_processes = None;
    let is_addressed_at = |unix_now| earlier_format.is_addressed_to(READER, Micros(unix_now));
    assert!(is_addressed_at(NOW_US + 1_000_000) && is_addressed_at(NOW_US - 1_000_000));
    assert!(!is_addressed_at(NOW_US + 3_000_000) && !is_addressed_at(NOW_US - 3_000_000));
}

#[test]
fn a_new_message_is_fresh_for_two_seconds_of_the_readers_clock() {
    let mut freshness = Freshness::default();
    let start = Micros::from_millis(50);
    let after = |millis| start + Micros::from_millis(millis);
    assert!(freshness.is_fresh(READER, NOW_US, start));
    assert!(freshness.is_fresh(READER, NOW_US, after(2000)));
    assert!(!freshness.is_fresh(READER, NOW_US, after(2001)));
    // A timestamp from a clock that was set back counts as new too.
    assert!(freshness.is_fresh(READER, NOW_US - HOUR_US, after(2001)));
    assert!(freshness.is_fresh(READER, NOW_US - HOUR_US, after(4001)));
    freshness.retain(&[]);
    assert!(
        freshness.is_fresh(READER, NOW_US - HOUR_US, after(9000)),
        "removed before"
    );
}

#[test]
fn times_are_converted_to_the_clock_of_the_reader() {
    for now in [NOW_US - HOUR_US, NOW_US, NOW_US + HOUR_US] {
        let state = message().handover_state_at(Micros(now));
        assert_eq!(state.engines[0].recent_sends, [(Micros(now - 5), 1.25)]);
        // Zero, which stands for no ejection, is not converted.
        assert_eq!(state.engines[0].ejected_until, (Micros(0), Micros(now + 9)));
    }
}

proptest! {
    #[test]
    fn a_truncated_or_changed_message_is_rejected(
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let bytes = message().encode();
        let position = position.index(bytes.len());
        prop_assert!(HandoverMessage::decode(&bytes[..position], "n0").is_err());
        let mut changed = bytes.clone();
        changed[position] = byte;
        let decoded = HandoverMessage::decode(&changed, "n0");
        prop_assert!(decoded.is_err() || changed == bytes || decoded == Ok(message()));
    }
}
