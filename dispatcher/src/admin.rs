//! The administration API: HTTP and JSON, one request after the other on a connection.
//!
//! | request | what it does |
//! | --- | --- |
//! | `GET /health` | whether there is an engine to send to |
//! | `GET /counters` | requests and attempts since the start, by class and tenant |
//! | `GET /engines` | the engines, and what is out there |
//! | `POST /engines` | adds the engine of the body, or changes it |
//! | `DELETE /engines/UID` | removes it |
//! | `POST /engines/UID/drain`, `DELETE` the same | sends it nothing new; ends that |
//! | `GET /tenants` | the tenants and their shares |
//! | `PUT /tenants/NAME` | sets its share, or adds it |

use crate::descriptors::MAX_ADMIN_CLIENTS;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use miniserde::{Deserialize, Serialize, json};
use sedgebeam_port::{AdminError, AdminRequest, RequestRouter, Target, supervise};
use sedgebeam_sockets::{SocketStream, set_nodelay};
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder, Framed};

const MOST_HEAD: usize = 8 * 1024;
const MOST_BODY: usize = 16 * 1024;
/// A connection on which nothing whole is asked for this long is closed: the places are few.
const IDLE: Duration = Duration::from_millis(2500);

/// A request, decoded.
#[derive(Debug, PartialEq, Eq)]
struct Call {
    method: String,
    path: Vec<String>,
    body: Bytes,
    close: bool,
}

#[derive(Debug, PartialEq, Eq)]
struct Told {
    status: u16,
    body: String,
    close: bool,
}

#[derive(Deserialize)]
struct TenantShare {
    portion: f64,
    allowance_per_s: Option<f64>,
}

#[derive(Serialize)]
struct Problem<'a> {
    error: &'a str,
}

#[derive(Default)]
struct Http;

fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// The words of a path, with `%41` and the like decoded.
fn path(text: &str) -> Option<Vec<String>> {
    let decode = |word: &str| {
        let mut bytes = Vec::new();
        let mut rest = word.bytes();
        while let Some(byte) = rest.next() {
            if byte != b'%' {
                bytes.push(byte);
                continue;
            }
            let hex = [rest.next()?, rest.next()?];
            bytes.push(u8::from_str_radix(std::str::from_utf8(&hex).ok()?, 16).ok()?);
        }
        String::from_utf8(bytes).ok()
    };
    text.split('/')
        .filter(|word| !word.is_empty())
        .map(decode)
        .collect()
}

impl Decoder for Http {
    type Item = Call;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<Call>> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(bytes).map_err(|_| invalid("not HTTP"))?;
        let httparse::Status::Complete(head) = status else {
            let endless = bytes.len() > MOST_HEAD;
            return if endless {
                Err(invalid("an endless head"))
            } else {
                Ok(None)
            };
        };
        let header = |name: &str| {
            let mut found = request
                .headers
                .iter()
                .filter(|header| header.name.eq_ignore_ascii_case(name));
            found
                .next()
                .map(|header| std::str::from_utf8(header.value).unwrap_or_default().trim())
        };
        if header("transfer-encoding").is_some() {
            return Err(invalid("a body needs a Content-Length here"));
        }
        let length = header("content-length").map_or(Ok(0), str::parse::<usize>);
        let length = length.map_err(|_| invalid("a bad Content-Length"))?;
        if length > MOST_BODY {
            return Err(invalid("a body too long"));
        }
        let close = header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let method = request.method.unwrap_or_default().to_string();
        let path = path(request.path.unwrap_or_default()).ok_or_else(|| invalid("a bad path"))?;
        if bytes.len() < head + length {
            return Ok(None);
        }
        bytes.advance(head);
        let body = bytes.split_to(length).freeze();
        Ok(Some(Call {
            method,
            path,
            body,
            close,
        }))
    }
}

impl Encoder<Told> for Http {
    type Error = io::Error;

    fn encode(&mut self, told: Told, bytes: &mut BytesMut) -> io::Result<()> {
        let reason = match told.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            _ => "Service Unavailable",
        };
        let close = if told.close {
            "Connection: close\r\n"
        } else {
            ""
        };
        let head = format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{close}\r\n",
            told.status,
            told.body.len()
        );
        bytes.put_slice(head.as_bytes());
        bytes.put_slice(told.body.as_bytes());
        Ok(())
    }
}

/// Serves until the dispatcher ends.
pub async fn serve(
    listener: TcpListener,
    router: RequestRouter,
    mut ending: watch::Receiver<bool>,
) {
    let places = std::sync::Arc::new(Semaphore::new(MAX_ADMIN_CLIENTS));
    loop {
        // The semaphore is never closed.
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ending.wait_for(|ending| *ending) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let router = router.clone();
                let task = async move {
                    if let Err(error) = connection(stream, router).await {
                        log::debug!("an administration client: {error}");
                    }
                    drop(place);
                };
                supervise::spawn_supervised("an administration client".to_string(), task, || {});
            }
            Err(error) => {
                log::warn!("accepting administration clients: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, router: RequestRouter) -> io::Result<()> {
    set_nodelay(&stream);
    let mut wire = Framed::new(SocketStream::new(stream), Http);
    while let Some(call) = timeout(IDLE, wire.next()).await.map_err(io::Error::other)? {
        let told = match call {
            Ok(call) => {
                let (status, body) = match route(&call) {
                    Ok(asked) => ask(&router, asked).await,
                    Err(denied) => problem(&denied),
                };
                Told {
                    status,
                    body,
                    close: call.close,
                }
            }
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                let (status, body) = problem(&AdminError::Invalid(error.to_string()));
                Told {
                    status,
                    body,
                    close: true,
                }
            }
            Err(error) => return Err(error),
        };
        let close = told.close;
        wire.send(told).await?;
        if close {
            break;
        }
    }
    Ok(())
}

fn problem(denied: &AdminError) -> (u16, String) {
    let (status, error) = match denied {
        AdminError::Invalid(why) => (400, why.as_str()),
        AdminError::NotFound(what) => (404, what.as_str()),
        AdminError::MethodNotAllowed => (405, "no such method here"),
        AdminError::Unavailable => (503, "the dispatcher is ending, or does not answer"),
    };
    (status, json::to_string(&Problem { error }))
}

async fn ask(router: &RequestRouter, asked: AdminRequest) -> (u16, String) {
    match router.administer(asked).await {
        Ok(told) => (200, told.to_json()),
        Err(denied) => problem(&denied),
    }
}

fn body<T: Deserialize>(call: &Call) -> Result<T, AdminError> {
    let text = std::str::from_utf8(&call.body).unwrap_or_default();
    json::from_str(text)
        .map_err(|_| AdminError::Invalid("the body is not the JSON expected here".to_string()))
}

/// What a call asks for.
fn route(call: &Call) -> Result<AdminRequest, AdminError> {
    let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
    Ok(match (call.method.as_str(), &path[..]) {
        ("GET", ["health"]) => AdminRequest::Health,
        ("GET", ["counters"]) => AdminRequest::Counters,
        ("GET", ["engines"]) => AdminRequest::Engines,
        ("POST", ["engines"]) => {
            let target: Target = body(call)?;
            if target.uid.is_empty() || !["up", "draining"].contains(&target.state.as_str()) {
                return Err(AdminError::Invalid(
                    "an engine needs uid, endpoint, and state up or draining".to_string(),
                ));
            }
            AdminRequest::SetEngine(target)
        }
        ("DELETE", ["engines", uid]) => AdminRequest::RemoveEngine(uid.to_string()),
        ("POST", ["engines", uid, "drain"]) => AdminRequest::Drain(uid.to_string(), true),
        ("DELETE", ["engines", uid, "drain"]) => AdminRequest::Drain(uid.to_string(), false),
        ("GET", ["tenants"]) => AdminRequest::Tenants,
        ("PUT", ["tenants", name]) => {
            let share: TenantShare = body(call)?;
            let per_second = share.allowance_per_s.unwrap_or_default();
            let usable = |value: f64| value.is_finite() && value >= 0.0;
            if !(usable(share.portion) && share.portion <= 1.0 && usable(per_second)) {
                return Err(AdminError::Invalid(
                    "portion is from 0 to 1, allowance_per_s not negative".to_string(),
                ));
            }
            AdminRequest::SetTenant(name.to_string(), share.portion, per_second)
        }
        (_, ["health" | "counters" | "engines" | "tenants", ..]) => {
            return Err(AdminError::MethodNotAllowed);
        }
        _ => {
            return Err(AdminError::NotFound(format!(
                "nothing at /{}",
                path.join("/")
            )));
        }
    })
}
