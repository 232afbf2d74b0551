//! What messages mean to a gateway.

use super::*;

#[test]
fn each_bit_of_a_request_s_options_counts_by_itself() {
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
        let message = batch.msgs.into_iter().next();
        let Some(Message::Event { event: told, .. }) = message else {
            panic!("no event");
        };
        let Ok(Some(Event::Request(query))) = event(&names, told) else {
            panic!("no request");
        };
        assert_eq!(query.work, Micros(12_000 * (opts & 1)), "{opts}");
        assert_eq!(query.is_retry, opts & 2 == 2, "{opts}");
    }
}
