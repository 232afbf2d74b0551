//! A scripted client of the PostgreSQL protocol. `send CLASS ID [LIMIT [TEAM]]` runs a query, `send text STATEMENT` sends
//! a statement as it is, `send cancel` cancels the running query, and `send empty`, `send sync` and `send parse` send those
//! messages.

use crate::harness::PeerTask;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;

/// The statement of a request, with the comment that both fronts parse.
pub fn statement(request: &str) -> String {
    if let Some(statement) = request.strip_prefix("text ") {
        return statement.to_string();
    }
    let mut words = request.split(' ');
    let (class, id) = (words.next().unwrap_or(""), words.next().unwrap_or("0"));
    let limit = words.next().unwrap_or("60000");
    let team = words.next().unwrap_or("acme");
    let verb = if class == "journal-load" {
        "INSERT INTO"
    } else {
        "SELECT * FROM"
    };
    format!(
        "/* verb={class},txn={id:0>16},limit={limit},team={team},cpu=80.0,memory=10 */ {verb} sales_{id}.orders"
    )
}

pub fn query(statement: &str) -> Vec<u8> {
    let mut bytes = vec![b'Q'];
    bytes.extend((statement.len() as u32 + 5).to_be_bytes());
    bytes.extend(statement.as_bytes());
    bytes.push(0);
    bytes
}

pub fn startup() -> Vec<u8> {
    let body = b"user\0app\0database\0main\0\0";
    let mut bytes = (body.len() as u32 + 8).to_be_bytes().to_vec();
    bytes.extend((3u32 << 16).to_be_bytes());
    bytes.extend(body);
    bytes
}

pub async fn run(address: String, mut peer_task: PeerTask) {
    let stream = TcpStream::connect(&address).await.expect("connects");
    let (mut reader, mut writer) = stream.into_split();
    // The first command is written right after the startup message, which the protocol allows.
    let first_command = peer_task.commands.recv().await.unwrap_or_default();
    let mut bytes = startup();
    bytes.extend(encode_command(&first_command));
    writer.write_all(&bytes).await.expect("writes");
    let cancel_key = read_until_ready(&mut reader).await;
    let events = peer_task.events.clone();
    tokio::spawn(async move {
        while let Some((kind, body)) = read_message(&mut reader).await {
            if let Some(event) = message_event(kind, &body) {
                let _ = events.send(event);
            }
        }
        let _ = events.send("closed".to_string());
    });
    while let Some(command) = peer_task.commands.recv().await {
        match command.as_str() {
            "close" => return,
            "cancel" => {
                let mut cancel_connection = TcpStream::connect(&address).await.expect("connects");
                let bytes = sedgebeam_lab::wire::cancel(&cancel_key);
                cancel_connection.write_all(&bytes).await.expect("writes");
            }
            command => writer
                .write_all(&encode_command(command))
                .await
                .expect("writes"),
        }
    }
}

fn encode_command(command: &str) -> Vec<u8> {
    match command {
        "empty" => query(""),
        "sync" => vec![b'S', 0, 0, 0, 4],
        "parse" => vec![b'P', 0, 0, 0, 4],
        request => query(&statement(request)),
    }
}

async fn read_message(reader: &mut OwnedReadHalf) -> Option<(u8, Vec<u8>)> {
    let kind = reader.read_u8().await.ok()?;
    let length = reader.read_u32().await.ok()?;
    let mut body = vec![0; length as usize - 4];
    reader.read_exact(&mut body).await.ok()?;
    Some((kind, body))
}

/// Reads up to the first ReadyForQuery; returns the body of BackendKeyData.
async fn read_until_ready(reader: &mut OwnedReadHalf) -> Vec<u8> {
    let mut cancel_key = Vec::new();
    while let Some((kind, body)) = read_message(reader).await {
        match kind {
            b'K' => cancel_key = body,
            b'Z' => break,
            _ => {}
        }
    }
    cancel_key
}

fn message_event(kind: u8, body: &[u8]) -> Option<String> {
    Some(match kind {
        b'D' => format!("row {}", data_row_cells(body)),
        b'C' => format!("complete {}", trimmed_text(&body[7..])),
        b'I' => "empty".to_string(),
        b'E' => {
            let fields: Vec<&[u8]> = body.split(|byte| *byte == 0).collect();
            let field = |field_type: u8| {
                let matching_field = fields
                    .iter()
                    .find(|field| field.first() == Some(&field_type));
                matching_field.map_or(String::new(), |field| trimmed_text(&field[1..]))
            };
            format!("error {} {} | {}", field(b'C'), field(b'M'), field(b'H'))
        }
        _ => return None,
    })
}

fn trimmed_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes)
        .trim_end_matches('\0')
        .to_string()
}

fn data_row_cells(mut body: &[u8]) -> String {
    let mut row_cells = Vec::new();
    body = &body[2..];
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        row_cells.push(trimmed_text(&rest[..length]));
        body = &rest[length..];
    }
    row_cells.join("|")
}
