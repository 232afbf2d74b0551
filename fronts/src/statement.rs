//! Parses statements with their request fields in a leading comment, for both fronts, and finds the table group that a
//! statement names.

use bytes::Bytes;
use sedgebeam_core::{RequestId, TableGroupId};
use sedgebeam_port::clock::to_duration;
use sedgebeam_port::{NewRequest, SessionKey};
use sedgebeam_settings::{Names, micros_to_millis, millis_to_micros};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The schema that belongs to no table group.
const STAGING_SCHEMA: &str = "staging";

/// Keywords that precede the name of a table.
const TABLE_KEYWORDS: [&str; 8] = [
    "from", "into", "join", "update", "table", "only", "using", "copy",
];

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
    // A repeated field is rejected: an engine might use another one of its values than the dispatcher.
    let is_repeated = |(index, (name, _)): (usize, &(&str, &str))| {
        let earlier = &pairs[..index];
        earlier.iter().any(|(known, _)| known == name)
    };
    if let Some((_, (name, _))) = pairs.iter().enumerate().find(|pair| is_repeated(*pair)) {
        return Err(InvalidStatement(format!(
            "the field {name:?} is there twice"
        )));
    }
    let field = |name: &str| {
        let pair = pairs.iter().find(|(known, _)| *known == name);
        pair.map(|(_, value)| *value)
    };
    let start = full_text.len() - statement.len();
    let statement = text.slice(start..);
    build_request(field, statement, received_at, names, session)
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

/// A token of a statement; only names and dots matter for the table group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Token<'a> {
    Name(&'a str),
    Dot,
    Other,
}

/// The number of the table group, taken from the schema's name: that of the first qualified name after a table keyword,
/// or, if there is none, of the first qualified name.
pub fn table_group(statement: &str) -> Option<u64> {
    let tokens: Vec<Token> = Tokenizer(statement).collect();
    let mut first_number = None;
    for (index, window) in tokens.windows(3).enumerate() {
        let [Token::Name(schema), Token::Dot, Token::Name(_)] = window else {
            continue;
        };
        let Some(number) = schema_number(schema) else {
            continue;
        };
        let previous = index.checked_sub(1).map(|previous| tokens[previous]);
        if previous == Some(Token::Dot) {
            continue;
        }
        let follows_keyword = matches!(previous, Some(Token::Name(word))
            if TABLE_KEYWORDS.iter().any(|known| word.eq_ignore_ascii_case(known)));
        if follows_keyword {
            return Some(number);
        }
        first_number = first_number.or(Some(number));
    }
    first_number
}

/// The number after the last underscore of a schema's name; the staging schema has none.
fn schema_number(schema: &str) -> Option<u64> {
    if schema.eq_ignore_ascii_case(STAGING_SCHEMA) {
        return None;
    }
    let (_, number) = schema.rsplit_once('_')?;
    let is_number = !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit());
    number.parse().ok().filter(|_| is_number)
}

/// Splits the rest of a statement into names, dots and other tokens. A string is one token; comments and white space
/// are skipped.
struct Tokenizer<'a>(&'a str);

impl<'a> Tokenizer<'a> {
    fn consume(&mut self, length: usize) -> &'a str {
        let (consumed, rest) = self.0.split_at(length);
        self.0 = rest;
        consumed
    }

    /// Consumes up to and including the first `end` after the offset `search_start`; everything if there is none.
    fn consume_through(&mut self, search_start: usize, end: &str) -> &'a str {
        let position = self.0[search_start..].find(end);
        self.consume(position.map_or(self.0.len(), |position| search_start + position + end.len()))
    }

    /// Consumes a quoted string. A doubled quote does not end it, nor, with `has_escapes`, a quote after a backslash.
    fn consume_quoted(&mut self, quote: char, has_escapes: bool) -> &'a str {
        let mut chars = self.0.char_indices().skip(1).peekable();
        while let Some((position, char)) = chars.next() {
            if has_escapes && char == '\\' {
                chars.next();
            } else if char == quote && chars.next_if(|(_, next)| *next == quote).is_none() {
                return self.consume(position + 1);
            }
        }
        self.consume(self.0.len())
    }

    /// Consumes a block comment, which may contain nested ones.
    fn consume_comment(&mut self) {
        let (mut depth, mut position) = (0usize, 0);
        loop {
            let rest = &self.0[position..];
            let open = rest.find("/*").unwrap_or(usize::MAX);
            let close = rest.find("*/").unwrap_or(usize::MAX);
            if close == usize::MAX {
                position = self.0.len();
                break;
            }
            depth = if open < close {
                depth + 1
            } else {
                depth.saturating_sub(1)
            };
            position += open.min(close) + 2;
            if depth == 0 {
                break;
            }
        }
        self.consume(position);
    }

    /// Consumes a dollar-quoted string (`$tag$ ... $tag$`); otherwise only the `$`.
    fn consume_dollar_quoted(&mut self) {
        let tag = self.0[1..].find('$').map(|end| &self.0[..end + 2]);
        let is_tag = |tag: &&str| {
            let mut name = tag[1..tag.len() - 1].chars();
            name.all(|char| char.is_alphanumeric() || char == '_')
        };
        match tag.filter(is_tag) {
            Some(tag) => self.consume_through(tag.len(), tag),
            None => self.consume(1),
        };
    }

    fn consume_name(&mut self) -> &'a str {
        let is_name_char = |char: char| char.is_alphanumeric() || char == '_' || char == '$';
        let end = self
            .0
            .find(|char| !is_name_char(char))
            .unwrap_or(self.0.len());
        self.consume(end)
    }
}

impl<'a> Iterator for Tokenizer<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            let next_char = self.0.chars().next()?;
            match next_char {
                '-' if self.0.starts_with("--") => {
                    self.consume_through(0, "\n");
                }
                '/' if self.0.starts_with("/*") => self.consume_comment(),
                '.' => {
                    self.consume(1);
                    return Some(Token::Dot);
                }
                '\'' => {
                    self.consume_quoted('\'', false);
                    return Some(Token::Other);
                }
                '"' => {
                    let name = self.consume_quoted('"', false);
                    return Some(Token::Name(name.trim_matches('"')));
                }
                '$' => {
                    self.consume_dollar_quoted();
                    return Some(Token::Other);
                }
                char if char.is_alphabetic() || char == '_' => {
                    let name = self.consume_name();
                    if name.eq_ignore_ascii_case("e") && self.0.starts_with('\'') {
                        self.consume_quoted('\'', true);
                        return Some(Token::Other);
                    }
                    return Some(Token::Name(name));
                }
                char if char.is_whitespace() => {
                    self.consume(char.len_utf8());
                }
                char => {
                    self.consume(char.len_utf8());
                    return Some(Token::Other);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
