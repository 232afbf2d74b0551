//! Tests of the conversion of messages to gateway events.

use super::*;

#[test]
fn each_option_bit_of_a_request_is_decoded_independently() {
    let names = Names {
        classes: vec!["lookup".to_string()],
        ..Names::default()
    };
    for opts in 0..8 {
        let line = format!(
            r#"{{"ts":1.0,"turn":1,"msgs":[{{"cmd":"work_item","i":3,"req":"03f4a4b95d3a91c4","band":"lookup",
                "remaining":240.0,"estimate":12.0,"opts":{opts}}}]}}"#
        );
        let batch = Batch::decode(&line).expect("a batch");
        let first_message = batch.messages.into_iter().next();
        let Some(Message::Event { event: message, .. }) = first_message else {
            panic!("no event");
        };
        let Ok(Some(Event::Request(query))) = gateway_event(&names, message) else {
            panic!("no request");
        };
        assert_eq!(query.work, Micros(12_000 * (opts & 1)), "{opts}");
        assert_eq!(query.is_retry, opts & 2 == 2, "{opts}");
    }
}
