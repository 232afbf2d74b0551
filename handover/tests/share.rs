//! What is told is read as it was told, or not at all.

use proptest::prelude::*;
use sedgebeam_core::{
    ClassHeld, ClassOut, EngineHeld, EngineId, GroupId, Held, Micros, Out, Tenant,
};
use sedgebeam_handover::{Phase, Refused, Share, Stated};
use sedgebeam_roster::Target;

const NOW: u64 = 1_800_000_000_000_000;

fn share() -> Share {
    let target = Target {
        uid: "s-00000001".to_string(),
        endpoint: "127.0.0.1:1".to_string(),
        state: "draining".to_string(),
        boot_ms: Some(7.5),
        ..Target::default()
    };
    let engine = EngineHeld {
        engine: EngineId(1),
        out: Out {
            threads: 3.0,
            memory_mb: 0.1 + 0.2,
            groups: vec![GroupId(4), GroupId(4)],
        },
        sent: vec![(Micros(NOW - 5), 1.25)],
        pace: -0.3,
        rests_until: (Micros(0), Micros(NOW + 9)),
    };
    let class = ClassHeld {
        name: "a \"class\"\n".to_string(),
        out: ClassOut {
            threads: 1.0,
            memory_mb: 2.0,
        },
        ratio: None,
        pace: 1e-9,
        took: Some(12345.678),
        work: None,
        taken: 9.0,
        spilled: 0.0,
    };
    Share {
        stated: Stated {
            name: "n0".to_string(),
            at: NOW,
            phase: Phase::Serving,
            seq: 42,
            targets: vec![target],
            sessions: 5,
            drained: vec!["s-00000002".to_string()],
            tenants: vec![Tenant {
                name: "firm".to_string(),
                share: 0.25,
                per_second: 3.0,
            }],
            file: "{\"settings\": {}}".to_string(),
        },
        held: Held {
            engines: vec![engine],
            classes: vec![class],
            multiple: 1.5,
        },
    }
}

#[test]
fn a_share_is_read_as_it_was_told() {
    assert_eq!(Share::decode(&share().encode(), "n0", NOW), Ok(share()));
}

#[test]
fn what_is_old_foreign_or_another_s_is_refused() {
    let bytes = share().encode();
    let read = |bytes: &[u8], name, now| Share::decode(bytes, name, now).map(|_| ());
    assert_eq!(read(&bytes, "n1", NOW), Err(Refused::Other));
    for far in [NOW - 3_000_000, NOW + 3_000_000] {
        assert_eq!(read(&bytes, "n0", far), Err(Refused::Old));
    }
    let text = String::from_utf8(bytes).expect("text");
    let foreign = text.replacen("share 1 ", "share 2 ", 1);
    assert_eq!(read(foreign.as_bytes(), "n0", NOW), Err(Refused::Foreign));
    for torn in ["", "sedgebeam-share 1 0 00000000", &text[..text.len() / 2]] {
        assert_eq!(read(torn.as_bytes(), "n0", NOW), Err(Refused::Torn));
    }
}

proptest! {
    #[test]
    fn a_share_that_is_cut_or_changed_anywhere_is_refused(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let bytes = share().encode();
        let at = at.index(bytes.len());
        prop_assert!(Share::decode(&bytes[..at], "n0", NOW).is_err());
        let mut changed = bytes.clone();
        changed[at] = byte;
        let read = Share::decode(&changed, "n0", NOW);
        prop_assert!(read.is_err() || changed == bytes || read == Ok(share()));
    }
}
