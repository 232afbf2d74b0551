//! Scripted engines that speak RESP or never reply, and a scripted change log.

use crate::harness::{PeerTask, change_event};
use std::collections::HashMap;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// The index of a connection and a command that was received on it.
type ReceivedCommand = (usize, Vec<String>);

/// An engine that speaks RESP. Its events are the commands that it receives, such as `fetch ID FIELDS BODY`. Commands of
/// a script: `ID OK PARTS CELLS`, `ID ROWS N CELLS`, `ID WORD` and `ID raw TEXT` write a reply; `refuse` closes the
/// listener, and `close` closes the open connections.
pub async fn run_resp_engine(listener: TcpListener, mut peer_task: PeerTask) {
    let mut listener = Some(listener);
    let (command_sender, mut received_commands) = mpsc::unbounded_channel::<ReceivedCommand>();
    let mut writers: Vec<Option<OwnedWriteHalf>> = Vec::new();
    let mut connection_by_request: HashMap<String, usize> = HashMap::new();
    loop {
        tokio::select! {
            stream = accept_connection(listener.as_ref()) => {
                let (reader, writer) = stream.into_split();
                tokio::spawn(read_commands(reader, writers.len(), command_sender.clone()));
                writers.push(Some(writer));
            }
            Some((connection_index, words)) = received_commands.recv() => {
                let id = words.get(1).cloned().unwrap_or_default();
                let request_id = id.trim_start_matches('0').to_string();
                // A reply goes to the connection on which its request arrived, or to the first one if the id is unknown.
                if matches!(words[0].as_str(), "fetch" | "stats") {
                    connection_by_request.insert(request_id.clone(), connection_index);
                }
                let mut event_fields = words;
                if let Some(id) = event_fields.get_mut(1) {
                    *id = request_id;
                }
                let _ = peer_task.events.send(event_fields.join(" "));
            }
            command = peer_task.commands.recv() => {
                let Some(command) = command else { return };
                match command.as_str() {
                    "refuse" => listener = None,
                    "close" => writers.iter_mut().for_each(|writer| drop(writer.take())),
                    reply => send_reply(reply, &mut writers, &connection_by_request).await,
                }
            }
        }
    }
}

/// An engine that accepts connections, keeps them open and never replies; its event for each is `accepted`.
pub async fn run_unresponsive_engine(listener: TcpListener, peer_task: PeerTask) {
    let mut open_connections = Vec::new();
    loop {
        open_connections.push(listener.accept().await.expect("accepts"));
        let _ = peer_task.events.send("accepted".to_string());
    }
}

async fn accept_connection(listener: Option<&TcpListener>) -> TcpStream {
    match listener {
        Some(listener) => listener.accept().await.expect("accepts").0,
        None => std::future::pending().await,
    }
}

async fn send_reply(
    reply: &str,
    writers: &mut [Option<OwnedWriteHalf>],
    connection_by_request: &HashMap<String, usize>,
) {
    let parts: Vec<&str> = reply.split(' ').collect();
    let connection_index = connection_by_request.get(parts[0]).copied().unwrap_or(0);
    let Some(Some(writer)) = writers.get_mut(connection_index) else {
        return;
    };
    let id = format!("{:0>16}", parts[0]);
    let rows_at = |index: usize| {
        parts
            .get(index)
            .map_or(String::new(), |cells| tab_separated_rows(cells))
    };
    let fields: Vec<String> = match parts[1] {
        "OK" => vec![
            id,
            "OK".into(),
            format!("parts={},work=80.0,peak=9", parts[2]),
            rows_at(3),
        ],
        "ROWS" => vec![
            id,
            "ROWS".into(),
            format!("part_no={}", parts[2]),
            rows_at(3),
        ],
        "raw" => {
            let text = reply
                .split_once("raw ")
                .expect("text")
                .1
                .replace("\\r\\n", "\r\n");
            writer.write_all(text.as_bytes()).await.expect("writes");
            return;
        }
        word => vec![id, word.into(), "-".into(), String::new()],
    };
    let mut text = format!("*{}\r\n", fields.len());
    for field in fields {
        text.push_str(&format!("${}\r\n{field}\r\n", field.len()));
    }
    // In some scenarios the program has closed the connection already.
    let _ = writer.write_all(text.as_bytes()).await;
}

/// Converts `a|b|c;d|e|f` to lines of tab-separated cells.
pub fn tab_separated_rows(cells: &str) -> String {
    let lines = cells.split(';').map(|row| row.replace('|', "\t") + "\n");
    lines.collect()
}

async fn read_commands(
    reader: OwnedReadHalf,
    connection_index: usize,
    command_sender: mpsc::UnboundedSender<ReceivedCommand>,
) {
    let mut reader = BufReader::new(reader);
    while let Some(words) = read_array(&mut reader).await {
        let _ = command_sender.send((connection_index, words));
    }
}

async fn read_array(reader: &mut BufReader<OwnedReadHalf>) -> Option<Vec<String>> {
    let count = read_length(reader).await?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length = read_length(reader).await?;
        let mut bytes = vec![0; length + 2];
        reader.read_exact(&mut bytes).await.ok()?;
        bytes.truncate(length);
        words.push(String::from_utf8(bytes).ok()?);
    }
    Some(words)
}

async fn read_length(reader: &mut BufReader<OwnedReadHalf>) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).await.ok()?;
    line.trim().get(1..)?.parse().ok()
}

/// A change log. Its event for each connection is `subscribed LAST-ID`. The command `SEQ STATE NAME ENDPOINT` sends a
/// change; any other, such as `close`, ends the connection.
pub async fn run_change_log(listener: TcpListener, mut peer_task: PeerTask) {
    loop {
        let (stream, _) = listener.accept().await.expect("accepts");
        let (reader, mut writer) = stream.into_split();
        let mut header_lines = BufReader::new(reader).lines();
        let mut last_event_id = String::new();
        while let Ok(Some(line)) = header_lines.next_line().await
            && !line.is_empty()
        {
            if let Some(id) = line.strip_prefix("Last-Event-ID: ") {
                last_event_id = id.to_string();
            }
        }
        let _ = peer_task.events.send(format!("subscribed {last_event_id}"));
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        writer.write_all(head.as_bytes()).await.expect("writes");
        while let Some(command) = peer_task.commands.recv().await {
            let parts: Vec<&str> = command.split(' ').collect();
            let [seq, state, name, endpoint] = parts[..] else {
                break;
            };
            let text = format!(
                "id: {seq}\ndata: {}\n\n",
                change_event(seq, state, name, endpoint)
            );
            writer.write_all(text.as_bytes()).await.expect("writes");
        }
    }
}
