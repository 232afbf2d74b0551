//! A client of the PostgreSQL protocol: `send CLASS ID [LIMIT [TEAM]]` asks, `send cancel` calls off.

use crate::harness::PeerTask;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;

/// The statement of a request, as both kinds of client write it.
pub fn statement(words: &str) -> String {
    if let Some(text) = words.strip_prefix("text ") {
        return text.to_string();
    }
    let mut words = words.split(' ');
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

pub fn query(text: &str) -> Vec<u8> {
    let mut bytes = vec![b'Q'];
    bytes.extend((text.len() as u32 + 5).to_be_bytes());
    bytes.extend(text.as_bytes());
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

pub async fn run(address: String, mut role: PeerTask) {
    let stream = TcpStream::connect(&address).await.expect("connects");
    let (mut read, mut write) = stream.into_split();
    // The first query is written right behind the start-up message, as the page allows.
    let first = role.commands.recv().await.unwrap_or_default();
    let mut bytes = startup();
    bytes.extend(said(&first));
    write.write_all(&bytes).await.expect("writes");
    let key = welcome(&mut read).await;
    let heard = role.events.clone();
    tokio::spawn(async move {
        while let Some((kind, body)) = message(&mut read).await {
            if let Some(word) = told(kind, &body) {
                let _ = heard.send(word);
            }
        }
        let _ = heard.send("closed".to_string());
    });
    while let Some(words) = role.commands.recv().await {
        match words.as_str() {
            "close" => return,
            "cancel" => {
                let mut other = TcpStream::connect(&address).await.expect("connects");
                let bytes = sedgebeam_lab::wire::cancel(&key);
                other.write_all(&bytes).await.expect("writes");
            }
            words => write.write_all(&said(words)).await.expect("writes"),
        }
    }
}

fn said(words: &str) -> Vec<u8> {
    match words {
        "empty" => query(""),
        "sync" => vec![b'S', 0, 0, 0, 4],
        "parse" => vec![b'P', 0, 0, 0, 4],
        words => query(&statement(words)),
    }
}

async fn message(read: &mut OwnedReadHalf) -> Option<(u8, Vec<u8>)> {
    let kind = read.read_u8().await.ok()?;
    let length = read.read_u32().await.ok()?;
    let mut body = vec![0; length as usize - 4];
    read.read_exact(&mut body).await.ok()?;
    Some((kind, body))
}

/// Reads up to the first ready; the session's key.
async fn welcome(read: &mut OwnedReadHalf) -> Vec<u8> {
    let mut key = Vec::new();
    while let Some((kind, body)) = message(read).await {
        match kind {
            b'K' => key = body,
            b'Z' => break,
            _ => {}
        }
    }
    key
}

fn told(kind: u8, body: &[u8]) -> Option<String> {
    Some(match kind {
        b'D' => format!("row {}", cells(body)),
        b'C' => format!("complete {}", text(&body[7..])),
        b'I' => "empty".to_string(),
        b'E' => {
            let fields: Vec<&[u8]> = body.split(|byte| *byte == 0).collect();
            let field = |mark: u8| {
                let found = fields.iter().find(|field| field.first() == Some(&mark));
                found.map_or(String::new(), |field| text(&field[1..]))
            };
            format!("error {} {} | {}", field(b'C'), field(b'M'), field(b'H'))
        }
        _ => return None,
    })
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes)
        .trim_end_matches('\0')
        .to_string()
}

fn cells(mut body: &[u8]) -> String {
    let mut cells = Vec::new();
    body = &body[2..];
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        cells.push(text(&rest[..length]));
        body = &rest[length..];
    }
    cells.join("|")
}
