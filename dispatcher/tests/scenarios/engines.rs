//! A scripted engine that speaks RESP, and a scripted change log.

use crate::harness::{PeerTask, change_event};
use std::collections::HashMap;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

type Line = (usize, Vec<String>);

/// Hears `fetch ID FIELDS BODY` and the other commands. Says `ID OK PARTS CELLS`, `ID ROWS N CELLS`,
/// `ID WORD`, or `raw TEXT`; `deaf` refuses new connections, `close` ends those that are open.
pub async fn resp(listener: TcpListener, mut role: PeerTask) {
    let mut listener = Some(listener);
    let (lines, mut came) = mpsc::unbounded_channel::<Line>();
    let mut writers: Vec<Option<OwnedWriteHalf>> = Vec::new();
    let mut places: HashMap<String, usize> = HashMap::new();
    loop {
        tokio::select! {
            stream = accept(listener.as_ref()) => {
                let (read, write) = stream.into_split();
                tokio::spawn(listen(read, writers.len(), lines.clone()));
                writers.push(Some(write));
            }
            Some((place, words)) = came.recv() => {
                let id = words.get(1).cloned().unwrap_or_default();
                let short = id.trim_start_matches('0').to_string();
                // What is said of a request goes where it came; of a name never heard, to the first.
                if matches!(words[0].as_str(), "fetch" | "stats") {
                    places.insert(short.clone(), place);
                }
                let mut told = words;
                if let Some(id) = told.get_mut(1) {
                    *id = short;
                }
                let _ = role.events.send(told.join(" "));
            }
            words = role.commands.recv() => {
                let Some(words) = words else { return };
                match words.as_str() {
                    "deaf" => listener = None,
                    "close" => writers.iter_mut().for_each(|writer| drop(writer.take())),
                    words => answer(words, &mut writers, &places).await,
                }
            }
        }
    }
}

/// Hears `taken` for each connection, and keeps it open without a word.
pub async fn mute(listener: TcpListener, role: PeerTask) {
    let mut kept = Vec::new();
    loop {
        kept.push(listener.accept().await.expect("accepts"));
        let _ = role.events.send("taken".to_string());
    }
}

async fn accept(listener: Option<&TcpListener>) -> TcpStream {
    match listener {
        Some(listener) => listener.accept().await.expect("accepts").0,
        None => std::future::pending().await,
    }
}

async fn answer(
    words: &str,
    writers: &mut [Option<OwnedWriteHalf>],
    places: &HashMap<String, usize>,
) {
    let parts: Vec<&str> = words.split(' ').collect();
    let place = places.get(parts[0]).copied().unwrap_or(0);
    let Some(Some(writer)) = writers.get_mut(place) else {
        return;
    };
    let id = format!("{:0>16}", parts[0]);
    let rows = |from: usize| parts.get(from).map_or(String::new(), |cells| rows(cells));
    let array: Vec<String> = match parts[1] {
        "OK" => vec![
            id,
            "OK".into(),
            format!("parts={},work=80.0,peak=9", parts[2]),
            rows(3),
        ],
        "ROWS" => vec![id, "ROWS".into(), format!("part_no={}", parts[2]), rows(3)],
        "raw" => {
            let text = words
                .split_once("raw ")
                .expect("text")
                .1
                .replace("\\r\\n", "\r\n");
            writer.write_all(text.as_bytes()).await.expect("writes");
            return;
        }
        word => vec![id, word.into(), "-".into(), String::new()],
    };
    let mut text = format!("*{}\r\n", array.len());
    for part in array {
        text.push_str(&format!("${}\r\n{part}\r\n", part.len()));
    }
    // A connection that the other side has closed is a part of some scenarios.
    let _ = writer.write_all(text.as_bytes()).await;
}

/// Rows from `a|b|c;d|e|f`.
pub fn rows(cells: &str) -> String {
    let rows = cells.split(';').map(|row| row.replace('|', "\t") + "\n");
    rows.collect()
}

async fn listen(read: OwnedReadHalf, place: usize, lines: mpsc::UnboundedSender<Line>) {
    let mut read = BufReader::new(read);
    while let Some(words) = array(&mut read).await {
        let _ = lines.send((place, words));
    }
}

async fn array(read: &mut BufReader<OwnedReadHalf>) -> Option<Vec<String>> {
    let count = number(read).await?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length = number(read).await?;
        let mut bytes = vec![0; length + 2];
        read.read_exact(&mut bytes).await.ok()?;
        bytes.truncate(length);
        words.push(String::from_utf8(bytes).ok()?);
    }
    Some(words)
}

async fn number(read: &mut BufReader<OwnedReadHalf>) -> Option<usize> {
    let mut line = String::new();
    read.read_line(&mut line).await.ok()?;
    line.trim().get(1..)?.parse().ok()
}

/// Hears `asked LAST-ID` for each connection. Says `SEQ STATE NAME ENDPOINT`; `close` ends a connection.
pub async fn changelog(listener: TcpListener, mut role: PeerTask) {
    loop {
        let (stream, _) = listener.accept().await.expect("accepts");
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let mut last = String::new();
        while let Ok(Some(line)) = lines.next_line().await
            && !line.is_empty()
        {
            if let Some(id) = line.strip_prefix("Last-Event-ID: ") {
                last = id.to_string();
            }
        }
        let _ = role.events.send(format!("asked {last}"));
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        write.write_all(head.as_bytes()).await.expect("writes");
        while let Some(words) = role.commands.recv().await {
            let parts: Vec<&str> = words.split(' ').collect();
            let [seq, state, name, endpoint] = parts[..] else {
                break;
            };
            let text = format!(
                "id: {seq}\ndata: {}\n\n",
                change_event(seq, state, name, endpoint)
            );
            write.write_all(text.as_bytes()).await.expect("writes");
        }
    }
}
