//! A stand-in engine that speaks RESP: it answers each statement after the time that stands in it, and
//! counts what it was sent.

use crate::wire;
use bytes::{Bytes, BytesMut};
use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// What all engines have seen: loads by their names, for a second copy.
#[derive(Default)]
pub struct LoadCounts {
    loads: Mutex<HashMap<Bytes, u32>>,
}

impl LoadCounts {
    fn load(&self, id: Bytes) {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        *loads.entry(id).or_default() += 1;
    }

    /// Loads that came more than once since this was asked last, to whichever engine.
    pub fn take_duplicates(&self) -> usize {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let loads = std::mem::take(&mut *loads);
        loads.values().filter(|count| **count > 1).count()
    }
}

/// Answers that wait to be written on a connection.
const WAITING: usize = 1024;
const ROW: &[u8] = b"2026-11-30\t42\tposted\n";

/// Takes connections for ever.
pub async fn serve(listener: TcpListener, seen: Arc<LoadCounts>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let seen = seen.clone();
                tokio::spawn(async move {
                    // A dispatcher that closes a connection, or is killed, ends it with an error.
                    let _ = connection(stream, seen).await;
                });
            }
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn connection(stream: TcpStream, seen: Arc<LoadCounts>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut read, mut write) = stream.into_split();
    let (answers, mut waiting) = mpsc::channel::<Vec<u8>>(WAITING);
    let writing = tokio::spawn(async move {
        let mut bytes = BytesMut::new();
        while let Some(id) = waiting.recv().await {
            answer(&mut bytes, &id);
            while let Ok(id) = waiting.try_recv() {
                answer(&mut bytes, &id);
            }
            write.write_all_buf(&mut bytes).await?;
        }
        Ok::<(), io::Error>(())
    });
    let mut bytes = BytesMut::with_capacity(16 * 1024);
    while read.read_buf(&mut bytes).await? > 0 {
        while let Some(command) = wire::array(&mut bytes)? {
            let [word, id, _, body] = &command[..] else {
                continue;
            };
            if &word[..] != b"fetch" {
                continue;
            }
            if body.starts_with(b"INSERT") {
                seen.load(id.clone().freeze());
            }
            let (id, answers) = (id.to_vec(), answers.clone());
            let service = service(body);
            tokio::spawn(async move {
                sleep(service).await;
                // A connection that has ended wants no answer.
                let _ = answers.send(id).await;
            });
        }
    }
    writing.abort();
    Ok(())
}

fn answer(bytes: &mut BytesMut, id: &[u8]) {
    wire::put_array(bytes, &[id, b"OK", b"parts=1,work=5.0,peak=8", ROW]);
}

/// The time that stands in a statement as `takes = MICROSECONDS`.
fn service(body: &[u8]) -> Duration {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let told = text.rsplit_once("takes = ").map(|(_, rest)| rest.trim());
    Duration::from_micros(told.and_then(|told| told.parse().ok()).unwrap_or(0))
}
