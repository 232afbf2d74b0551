//! Parses statements with their request fields in a leading comment, for both fronts.
//!
//! The time that this takes grows in proportion to the length of the statement: a statement is parsed in one turn of the
//! thread that serves all clients.

mod table_group;

use bytes::Bytes;
use sedgebeam_core::{RequestId, TableGroupId};
use sedgebeam_port::clock::to_duration;
use sedgebeam_port::{NewRequest, SessionKey};
use sedgebeam_settings::{Names, micros_to_millis, millis_to_micros};
use std::collections::HashMap;
use table_group::table_group;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Estimates above these bounds are implausible and are rejected: 10,000 s of work, 1 TB of memory.
const MAX_WORK_MS: f64 = 1e7;
const MAX_MEMORY_MB: f64 = 1e6;
/// Bound on the `limit` of a request, as a multiple of the `give_up` time of its class.
const MAX_LIMIT_TO_GIVE_UP: f64 = 2.0;

/// Bound on the length of a field value that is forwarded to engines unchanged.
const MAX_FORWARDED_BYTES: usize = 128;

/// Why a statement is rejected; the message is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidStatement(pub String);

fn invalid_field(name: &str) -> InvalidStatement {
    InvalidStatement(format!(
        "the field {name:?} in the statement's comment is missing or unusable"
    ))
}

/// Parses a request whose last byte was received at `received_at`, with its fields in the leading comment.
pub fn parse(
    text: &Bytes,
    received_at: Instant,
    names: &Names,
    session: Option<SessionKey>,
) -> Result<NewRequest, InvalidStatement> {
    let full_text =
        std::str::from_utf8(text).map_err(|_| InvalidStatement("not UTF-8".to_string()))?;
    let (fields, statement) = split_fields(full_text).ok_or_else(|| {
        InvalidStatement("the statement begins with no comment of fields".to_string())
    })?;
    let pairs = fields.split(',').map(|pair| pair.trim().split_once('='));
    let pairs: Option<Vec<(&str, &str)>> = pairs.collect();
    let pairs = pairs
        .ok_or_else(|| InvalidStatement("the comment holds no pairs of fields".to_string()))?;
    let fields = unique_fields(&pairs)?;
    let field = |name: &str| fields.get(name).copied();
    let start = full_text.len() - statement.len();
    let statement = text.slice(start..);
    build_request(field, statement, received_at, names, session)
}

/// The fields by name. A repeated field is rejected: an engine might use another one of its values than the dispatcher.
fn unique_fields<'a>(
    pairs: &[(&'a str, &'a str)],
) -> Result<HashMap<&'a str, &'a str>, InvalidStatement> {
    let mut fields = HashMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        if fields.insert(*name, *value).is_some() {
            return Err(InvalidStatement(format!(
                "the field {name:?} is there twice"
            )));
        }
    }
    Ok(fields)
}

/// Whether the statement has request fields in a leading comment.
pub fn has_fields(text: &str) -> bool {
    split_fields(text).is_some_and(|(fields, _)| fields.contains('='))
}

/// Builds a request from its statement and its fields, which may come from a comment or from metadata.
pub fn build_request<'a>(
    field: impl Fn(&str) -> Option<&'a str>,
    statement: Bytes,
    received_at: Instant,
    names: &Names,
    session: Option<SessionKey>,
) -> Result<NewRequest, InvalidStatement> {
    let text =
        std::str::from_utf8(&statement).map_err(|_| InvalidStatement("not UTF-8".to_string()))?;
    if text.trim().is_empty() {
        return Err(InvalidStatement("there is no statement".to_string()));
    }
    let number = |name: &str, max: f64| match field(name).map(str::parse::<f64>) {
        None => Ok(0.0),
        // No range contains NaN.
        Some(Ok(value)) if (0.0..=max).contains(&value) => Ok(value),
        Some(_) => Err(invalid_field(name)),
    };
    let class = field("verb").and_then(|verb| names.class(verb));
    let class = class.ok_or_else(|| invalid_field("verb"))?;
    let give_up = names.give_up.get(class.0).copied().unwrap_or_default();
    let is_forwardable = |value: &str| {
        (1..=MAX_FORWARDED_BYTES).contains(&value.len()) && value.bytes().all(is_forwardable_byte)
    };
    let forwarded = |name: &str| match field(name) {
        Some(value) if !is_forwardable(value) => Err(invalid_field(name)),
        value => Ok(value.map(Into::into)),
    };
    let is_retry = match field("second") {
        None => false,
        Some("1") => true,
        Some(_) => return Err(invalid_field("second")),
    };
    let limit = number("limit", micros_to_millis(give_up) * MAX_LIMIT_TO_GIVE_UP)?;
    if limit == 0.0 {
        return Err(invalid_field("limit"));
    }
    Ok(NewRequest {
        id: field("txn")
            .and_then(parse_id)
            .ok_or_else(|| invalid_field("txn"))?,
        class,
        tenant: field("team").map(str::to_string),
        deadline: received_at + to_duration(millis_to_micros(limit)),
        work: millis_to_micros(number("cpu", MAX_WORK_MS)?),
        memory_mb: number("memory", MAX_MEMORY_MB)?,
        table_group: TableGroupId(table_group(text).unwrap_or_default()),
        statement,
        is_retry,
        idempotency_token: forwarded("unique")?,
        order_key: forwarded("item")?,
        session,
        cancel_token: CancellationToken::new(),
    })
}

/// Whether the byte may be part of a field value of the engine protocol.
fn is_forwardable_byte(byte: u8) -> bool {
    byte.is_ascii_graphic() && !matches!(byte, b',' | b'=')
}

/// Parses a request id: exactly 16 lower-case hexadecimal digits, as they are forwarded to engines.
fn parse_id(txn: &str) -> Option<RequestId> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let is_valid = txn.len() == 16 && txn.bytes().all(is_digit);
    let id = u64::from_str_radix(txn, 16).ok().filter(|_| is_valid);
    id.map(RequestId)
}

/// Splits a text into the content of its leading comment and the statement after it.
fn split_fields(text: &str) -> Option<(&str, &str)> {
    let rest = text.trim_start().strip_prefix("/*")?;
    let (fields, statement) = rest.split_once("*/")?;
    Some((fields.trim(), statement.trim_start()))
}

#[cfg(test)]
mod tests;
