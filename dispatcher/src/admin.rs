//! The administration API: JSON over HTTP, one request at a time on each connection.
//!
//! | request | effect |
//! | --- | --- |
//! | `GET /health` | reports whether any engine takes requests |
//! | `GET /counters` | reports requests and attempts since the start, by class and tenant |
//! | `GET /engines` | lists the engines with their attempts in flight |
//! | `POST /engines` | adds or changes the engine in the body |
//! | `DELETE /engines/UID` | removes an engine |
//! | `POST /engines/UID/drain` | drains an engine: it gets no new requests |
//! | `DELETE /engines/UID/drain` | ends the drain |
//! | `GET /tenants` | lists the tenants and their shares |
//! | `PUT /tenants/NAME` | adds a tenant or changes its share |

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

const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_BODY_BYTES: usize = 16 * 1024;
/// A connection that sends no complete request for this long is closed, because few connections are allowed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

#[derive(Debug, PartialEq, Eq)]
struct HttpRequest {
    method: String,
    path_segments: Vec<String>,
    body: Bytes,
    close_connection: bool,
}

#[derive(Debug, PartialEq, Eq)]
struct HttpResponse {
    status: u16,
    body: String,
    close_connection: bool,
}

#[derive(Deserialize)]
struct TenantShare {
    #[serde(rename = "portion")]
    share: f64,
    #[serde(rename = "allowance_per_s")]
    requests_per_second: Option<f64>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

#[derive(Default)]
struct HttpCodec;

fn invalid_data(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// The segments of a path, with percent-encoding (`%41`) decoded; `None` if that is invalid or not UTF-8.
fn path_segments(text: &str) -> Option<Vec<String>> {
    let decode = |segment: &str| {
        let mut bytes = Vec::new();
        let mut encoded = segment.bytes();
        while let Some(byte) = encoded.next() {
            if byte != b'%' {
                bytes.push(byte);
                continue;
            }
            let hex = [encoded.next()?, encoded.next()?];
            bytes.push(u8::from_str_radix(std::str::from_utf8(&hex).ok()?, 16).ok()?);
        }
        String::from_utf8(bytes).ok()
    };
    text.split('/')
        .filter(|segment| !segment.is_empty())
        .map(decode)
        .collect()
}

impl Decoder for HttpCodec {
    type Item = HttpRequest;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<HttpRequest>> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(bytes).map_err(|_| invalid_data("not HTTP"))?;
        let httparse::Status::Complete(head_bytes) = status else {
            let is_too_long = bytes.len() > MAX_HEAD_BYTES;
            return if is_too_long {
                Err(invalid_data("an endless head"))
            } else {
                Ok(None)
            };
        };
        let header = |name: &str| {
            let mut matching = request
                .headers
                .iter()
                .filter(|header| header.name.eq_ignore_ascii_case(name));
            matching
                .next()
                .map(|header| std::str::from_utf8(header.value).unwrap_or_default().trim())
        };
        if header("transfer-encoding").is_some() {
            return Err(invalid_data("a body needs a Content-Length here"));
        }
        let length = header("content-length").map_or(Ok(0), str::parse::<usize>);
        let length = length.map_err(|_| invalid_data("a bad Content-Length"))?;
        if length > MAX_BODY_BYTES {
            return Err(invalid_data("a body too long"));
        }
        let close_connection =
            header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let method = request.method.unwrap_or_default().to_string();
        let path_segments = path_segments(request.path.unwrap_or_default())
            .ok_or_else(|| invalid_data("a bad path"))?;
        if bytes.len() < head_bytes + length {
            return Ok(None);
        }
        bytes.advance(head_bytes);
        let body = bytes.split_to(length).freeze();
        Ok(Some(HttpRequest {
            method,
            path_segments,
            body,
            close_connection,
        }))
    }
}

impl Encoder<HttpResponse> for HttpCodec {
    type Error = io::Error;

    fn encode(&mut self, response: HttpResponse, bytes: &mut BytesMut) -> io::Result<()> {
        let reason = match response.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            _ => "Service Unavailable",
        };
        let close_header = if response.close_connection {
            "Connection: close\r\n"
        } else {
            ""
        };
        let head = format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{close_header}\r\n",
            response.status,
            response.body.len()
        );
        bytes.put_slice(head.as_bytes());
        bytes.put_slice(response.body.as_bytes());
        Ok(())
    }
}

/// Serves administration clients until `stop` is set.
pub async fn serve(listener: TcpListener, router: RequestRouter, mut stop: watch::Receiver<bool>) {
    let permits = std::sync::Arc::new(Semaphore::new(MAX_ADMIN_CLIENTS));
    loop {
        // Can't fail: the semaphore is never closed.
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let router = router.clone();
                let task = async move {
                    if let Err(error) = serve_connection(stream, router).await {
                        log::debug!("administration client: {error}");
                    }
                    drop(permit);
                };
                supervise::spawn_supervised("an administration client".to_string(), task, || {});
            }
            Err(error) => {
                log::warn!("can't accept an administration client: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, router: RequestRouter) -> io::Result<()> {
    set_nodelay(&stream);
    let mut framed = Framed::new(SocketStream::new(stream), HttpCodec);
    while let Some(received) = timeout(IDLE_TIMEOUT, framed.next())
        .await
        .map_err(io::Error::other)?
    {
        let response = match received {
            Ok(request) => {
                let (status, body) = match route(&request) {
                    Ok(admin_request) => execute(&router, admin_request).await,
                    Err(error) => error_response(&error),
                };
                HttpResponse {
                    status,
                    body,
                    close_connection: request.close_connection,
                }
            }
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                let (status, body) = error_response(&AdminError::Invalid(error.to_string()));
                HttpResponse {
                    status,
                    body,
                    close_connection: true,
                }
            }
            Err(error) => return Err(error),
        };
        let close_connection = response.close_connection;
        framed.send(response).await?;
        if close_connection {
            break;
        }
    }
    Ok(())
}

/// Returns the status and the body of the response to a failed request.
fn error_response(admin_error: &AdminError) -> (u16, String) {
    let (status, error) = match admin_error {
        AdminError::Invalid(reason) => (400, reason.as_str()),
        AdminError::NotFound(what) => (404, what.as_str()),
        AdminError::MethodNotAllowed => (405, "no such method here"),
        AdminError::Unavailable => (503, "the dispatcher is ending, or does not answer"),
    };
    (status, json::to_string(&ErrorBody { error }))
}

/// Executes a request; returns the status and the body of the response.
async fn execute(router: &RequestRouter, request: AdminRequest) -> (u16, String) {
    match router.administer(request).await {
        Ok(response) => (200, response.to_json()),
        Err(error) => error_response(&error),
    }
}

fn parse_body<T: Deserialize>(request: &HttpRequest) -> Result<T, AdminError> {
    let text = std::str::from_utf8(&request.body).unwrap_or_default();
    json::from_str(text)
        .map_err(|_| AdminError::Invalid("the body is not the JSON expected here".to_string()))
}

/// Converts an HTTP request to a request of the administration API.
fn route(request: &HttpRequest) -> Result<AdminRequest, AdminError> {
    let path_segments: Vec<&str> = request.path_segments.iter().map(String::as_str).collect();
    Ok(match (request.method.as_str(), &path_segments[..]) {
        ("GET", ["health"]) => AdminRequest::Health,
        ("GET", ["counters"]) => AdminRequest::Counters,
        ("GET", ["engines"]) => AdminRequest::Engines,
        ("POST", ["engines"]) => {
            let target: Target = parse_body(request)?;
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
            let tenant: TenantShare = parse_body(request)?;
            let requests_per_second = tenant.requests_per_second.unwrap_or_default();
            let is_valid = |value: f64| value.is_finite() && value >= 0.0;
            if !(is_valid(tenant.share) && tenant.share <= 1.0 && is_valid(requests_per_second)) {
                return Err(AdminError::Invalid(
                    "portion is from 0 to 1, allowance_per_s not negative".to_string(),
                ));
            }
            AdminRequest::SetTenant(name.to_string(), tenant.share, requests_per_second)
        }
        (_, ["health" | "counters" | "engines" | "tenants", ..]) => {
            return Err(AdminError::MethodNotAllowed);
        }
        _ => {
            return Err(AdminError::NotFound(format!(
                "nothing at /{}",
                path_segments.join("/")
            )));
        }
    })
}
