//! Cancel requests that one process passes on to the other processes of its dispatcher.

use sedgebeam_core::Micros;
use sedgebeam_handover::{
    CancelInbox, CancelMessage, CancelOutbox, Incarnation, MessageError, SessionCancel,
};

const PEER: Incarnation = Incarnation {
    generation: 7,
    nonce: 3,
};
const SECOND: u64 = 1_000_000;

fn cancel(session_key: u64, age: u64) -> SessionCancel {
    SessionCancel {
        session_key,
        age: Micros(age),
    }
}

#[test]
fn each_cancel_is_read_once_and_in_order() {
    let (mut outbox, mut inbox) = (CancelOutbox::default(), CancelInbox::default());
    outbox.push(5, Micros(1));
    outbox.push(4, Micros(2));
    let first = outbox.message("n0", Micros(3));
    assert_eq!(inbox.take_new(PEER, &first), [cancel(5, 2), cancel(4, 1)]);
    assert_eq!(inbox.take_new(PEER, &first), []);
    outbox.push(5, Micros(4));
    let second = outbox.message("n0", Micros(5));
    assert_eq!(inbox.take_new(PEER, &second), [cancel(5, 1)]);
    // An older message again, as after a peer's file was read late.
    assert_eq!(inbox.take_new(PEER, &first), []);
    // Another process with the same sequence numbers.
    let other_peer = Incarnation { nonce: 4, ..PEER };
    assert_eq!(inbox.take_new(other_peer, &first).len(), 2);
    inbox.retain(&[other_peer]);
    assert_eq!(inbox.take_new(PEER, &first).len(), 2, "a forgotten peer");
}

#[test]
fn a_message_has_a_bounded_number_of_cancels_and_none_that_is_old() {
    let mut outbox = CancelOutbox::default();
    for key in 0..5000 {
        outbox.push(u64::MAX - key, Micros(u64::MAX / 2));
    }
    let message = outbox.message("n0", Micros(u64::MAX / 2));
    assert_eq!(message.cancels.len(), 1024);
    assert_eq!(message.cancels[1023].1.session_key, u64::MAX - 4999);
    // Also the longest one can be read.
    let decoded = CancelMessage::decode(&message.encode(), "n0");
    assert_eq!(decoded, Ok(message));
    let later = Micros(u64::MAX / 2 + 10 * SECOND);
    assert_eq!(outbox.message("n0", later).cancels.len(), 1024);
    let too_late = Micros(later.0 + 1);
    assert_eq!(outbox.message("n0", too_late).cancels, []);
}

#[test]
fn a_damaged_message_and_one_of_another_dispatcher_are_rejected() {
    let mut outbox = CancelOutbox::default();
    outbox.push(1, Micros(2));
    let bytes = outbox.message("n0", Micros(3)).encode();
    for length in 0..bytes.len() {
        assert!(CancelMessage::decode(&bytes[..length], "n0").is_err());
    }
    for index in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[index] ^= 1;
        assert!(CancelMessage::decode(&damaged, "n0").is_err(), "{index}");
    }
    assert_eq!(
        CancelMessage::decode(&bytes, "n1"),
        Err(MessageError::OtherDispatcher)
    );
    let handover_header = b"sedgebeam-share 1 2 00000000\n{}";
    assert_eq!(
        CancelMessage::decode(handover_header, "n0"),
        Err(MessageError::UnsupportedFormat)
    );
}
