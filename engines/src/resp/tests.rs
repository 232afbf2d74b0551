//! The actor of an engine, before stand-in engines on loopback sockets.

use super::*;
use crate::Slots;
use sedgebeam_core::EngineId;
use sedgebeam_operation::Figures;
use tokio::sync::watch;

#[tokio::test]
async fn an_engine_with_nothing_out_and_no_connection_has_nobody_wake() {
    let connections = Connections {
        most: 2,
        in_all: 64,
        max_streams: 2,
        connect_timeout: Micros::from_millis(250),
        idle: Micros::from_millis(30_000),
        max_open: 10,
    };
    let wires = Wires {
        connections: watch::channel(connections).1,
        figures: Figures::default(),
        slots: Slots::default(),
    };
    let (broker, _told) = mpsc::channel(4);
    let (came, _coming) = mpsc::channel(4);
    let reports = Reports::new(EngineId(1), broker);
    let mut actor = Actor::new("127.0.0.1:1".to_string(), wires, reports, came);
    assert_eq!(actor.looks_at(), None);
    actor.probe().await;
    let probed = actor.looks_at().expect("a probe may be overdue");
    assert!(probed <= Instant::now() + Duration::from_millis(300));
    actor.probes.clear();
    assert_eq!(actor.looks_at(), None, "its connection is being made");
    for connection in actor.connections.values_mut() {
        connection.up = true;
    }
    let idle = actor.looks_at().expect("it is kept for a while");
    assert!(idle > Instant::now() + Duration::from_secs(20));
    actor.connections.clear();
    assert_eq!(actor.looks_at(), None);
}
