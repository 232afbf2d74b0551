//! A mock engine that speaks RESP: it answers each statement after the time given in the statement, and counts
//! the loads that it receives.

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

/// How often each load, by its id, has reached any of the engines.
#[derive(Default)]
pub struct LoadCounts {
    loads: Mutex<HashMap<Bytes, u32>>,
}

impl LoadCounts {
    fn count(&self, id: Bytes) {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        *loads.entry(id).or_default() += 1;
    }

    /// Resets the counts and returns the number of loads that arrived more than once since the last reset.
    pub fn take_duplicates(&self) -> usize {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let loads = std::mem::take(&mut *loads);
        loads.values().filter(|count| **count > 1).count()
    }
}

/// Number of answers that may wait to be written on a connection.
const MAX_QUEUED_ANSWERS: usize = 1024;
const ROW: &[u8] = b"2026-11-30\t42\tposted\n";

/// Accepts connections until the task is aborted.
pub async fn serve(listener: TcpListener, load_counts: Arc<LoadCounts>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let load_counts = load_counts.clone();
                tokio::spawn(async move {
                    // Errors are expected: the dispatcher may close a connection or be killed.
                    let _ = serve_connection(stream, load_counts).await;
                });
            }
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, load_counts: Arc<LoadCounts>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut read, mut write) = stream.into_split();
    let (answers, mut queued_answers) = mpsc::channel::<Vec<u8>>(MAX_QUEUED_ANSWERS);
    let writer = tokio::spawn(async move {
        let mut bytes = BytesMut::new();
        while let Some(id) = queued_answers.recv().await {
            put_answer(&mut bytes, &id);
            while let Ok(id) = queued_answers.try_recv() {
                put_answer(&mut bytes, &id);
            }
            write.write_all_buf(&mut bytes).await?;
        }
        Ok::<(), io::Error>(())
    });
    let mut bytes = BytesMut::with_capacity(16 * 1024);
    while read.read_buf(&mut bytes).await? > 0 {
        while let Some(command) = wire::array(&mut bytes)? {
            let [command_name, id, _, body] = &command[..] else {
                continue;
            };
            if &command_name[..] != b"fetch" {
                continue;
            }
            if body.starts_with(b"INSERT") {
                load_counts.count(id.clone().freeze());
            }
            let (id, answers) = (id.to_vec(), answers.clone());
            let service_time = service_time(body);
            tokio::spawn(async move {
                sleep(service_time).await;
                // The send fails only if the connection is already closed.
                let _ = answers.send(id).await;
            });
        }
    }
    writer.abort();
    Ok(())
}

fn put_answer(bytes: &mut BytesMut, id: &[u8]) {
    wire::put_array(bytes, &[id, b"OK", b"parts=1,work=5.0,peak=8", ROW]);
}

/// The execution time, which a statement contains as `takes = MICROSECONDS`; zero if it does not.
fn service_time(body: &[u8]) -> Duration {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let micros = text.rsplit_once("takes = ").map(|(_, rest)| rest.trim());
    Duration::from_micros(micros.and_then(|micros| micros.parse().ok()).unwrap_or(0))
}
