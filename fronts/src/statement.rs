//! A statement with its fields in a comment ahead of it: what both fronts read alike.

use bytes::Bytes;
use sedgebeam_core::{RequestId, TableGroupId};
use sedgebeam_port::clock::to_duration;
use sedgebeam_port::{NewRequest, SessionKey};
use sedgebeam_settings::{Names, micros_to_millis, millis_to_micros};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The schema whose names are not counted.
const STAGING: &str = "staging";

/// Words behind which a table is named.
const BEFORE_TABLE: [&str; 8] = [
    "from", "into", "join", "update", "table", "only", "using", "copy",
];

/// Figures beyond these are no estimates: ten thousand seconds of work, a terabyte of memory.
const MOST_WORK_MS: f64 = 1e7;
const MOST_MEMORY_MB: f64 = 1e6;
/// A client waits at most this many times as long as its class is worth waiting for.
const MOST_PATIENCE: f64 = 2.0;

/// The longest word that is handed on to engines as it came.
const MOST_WORD: usize = 128;

/// What is wrong with a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidStatement(pub String);

fn unusable(name: &str) -> InvalidStatement {
    InvalidStatement(format!(
        "the field {name:?} in the statement's comment is missing or unusable"
    ))
}

/// Reads a request that came whole at `came`, with its fields in the comment ahead of it.
pub fn parse(
    text: &Bytes,
    came: Instant,
    names: &Names,
    session: Option<SessionKey>,
) -> Result<NewRequest, InvalidStatement> {
    let whole = std::str::from_utf8(text).map_err(|_| InvalidStatement("not UTF-8".to_string()))?;
    let (fields, statement) = split(whole).ok_or_else(|| {
        InvalidStatement("the statement begins with no comment of fields".to_string())
    })?;
    let pairs = fields.split(',').map(|pair| pair.trim().split_once('='));
    let pairs: Option<Vec<(&str, &str)>> = pairs.collect();
    let pairs = pairs
        .ok_or_else(|| InvalidStatement("the comment holds no pairs of fields".to_string()))?;
    // Of two values of a field, an engine might mean the other one.
    let twice = |(place, (name, _)): (usize, &(&str, &str))| {
        let earlier = &pairs[..place];
        earlier.iter().any(|(known, _)| known == name)
    };
    if let Some((_, (name, _))) = pairs.iter().enumerate().find(|pair| twice(*pair)) {
        return Err(InvalidStatement(format!(
            "the field {name:?} is there twice"
        )));
    }
    let field = |name: &str| {
        let found = pairs.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| *value)
    };
    let start = whole.len() - statement.len();
    let statement = text.slice(start..);
    build_request(field, statement, came, names, session)
}

/// Whether a comment of fields stands ahead of the statement.
pub fn has_fields(text: &str) -> bool {
    split(text).is_some_and(|(fields, _)| fields.contains('='))
}

/// Builds a request from its fields, wherever they stood.
pub fn build_request<'a>(
    field: impl Fn(&str) -> Option<&'a str>,
    statement: Bytes,
    came: Instant,
    names: &Names,
    session: Option<SessionKey>,
) -> Result<NewRequest, InvalidStatement> {
    let text =
        std::str::from_utf8(&statement).map_err(|_| InvalidStatement("not UTF-8".to_string()))?;
    if text.trim().is_empty() {
        return Err(InvalidStatement("there is no statement".to_string()));
    }
    let number = |name: &str, most: f64| match field(name).map(str::parse::<f64>) {
        None => Ok(0.0),
        // Not a number is in no range.
        Some(Ok(value)) if (0.0..=most).contains(&value) => Ok(value),
        Some(_) => Err(unusable(name)),
    };
    let class = field("verb").and_then(|verb| names.class(verb));
    let class = class.ok_or_else(|| unusable("verb"))?;
    let longest = names.give_up.get(class.0).copied().unwrap_or_default();
    let fits = |word: &str| (1..=MOST_WORD).contains(&word.len()) && word.bytes().all(is_plain);
    let word = |name: &str| match field(name) {
        Some(word) if !fits(word) => Err(unusable(name)),
        word => Ok(word.map(Into::into)),
    };
    let is_retry = match field("second") {
        None => false,
        Some("1") => true,
        Some(_) => return Err(unusable("second")),
    };
    let limit = number("limit", micros_to_millis(longest) * MOST_PATIENCE)?;
    if limit == 0.0 {
        return Err(unusable("limit"));
    }
    Ok(NewRequest {
        id: field("txn").and_then(id).ok_or_else(|| unusable("txn"))?,
        class,
        tenant: field("team").map(str::to_string),
        deadline: came + to_duration(millis_to_micros(limit)),
        work: millis_to_micros(number("cpu", MOST_WORK_MS)?),
        memory_mb: number("memory", MOST_MEMORY_MB)?,
        group: TableGroupId(table_group(text).unwrap_or_default()),
        statement,
        is_retry,
        idempotency_token: word("unique")?,
        order_key: word("item")?,
        session,
        cancel_token: CancellationToken::new(),
    })
}

/// What can stand among the fields of an engine's wire.
fn is_plain(byte: u8) -> bool {
    byte.is_ascii_graphic() && !matches!(byte, b',' | b'=')
}

/// A request's name: 16 hexadecimal digits, which go on to an engine as they are.
fn id(txn: &str) -> Option<RequestId> {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let named = txn.len() == 16 && txn.bytes().all(digit);
    let id = u64::from_str_radix(txn, 16).ok().filter(|_| named);
    id.map(RequestId)
}

/// The fields and the statement behind their comment.
fn split(text: &str) -> Option<(&str, &str)> {
    let rest = text.trim_start().strip_prefix("/*")?;
    let (fields, statement) = rest.split_once("*/")?;
    Some((fields.trim(), statement.trim_start()))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Token<'a> {
    Name(&'a str),
    Dot,
    Other,
}

/// The number of the table group: that in the name of the schema of the first table named, or, where no
/// table stands behind its usual word, of the first qualified name.
pub fn table_group(statement: &str) -> Option<u64> {
    let tokens: Vec<Token> = Tokens(statement).collect();
    let mut first = None;
    for (place, three) in tokens.windows(3).enumerate() {
        let [Token::Name(schema), Token::Dot, Token::Name(_)] = three else {
            continue;
        };
        let Some(number) = numbered(schema) else {
            continue;
        };
        let before = place.checked_sub(1).map(|before| tokens[before]);
        if before == Some(Token::Dot) {
            continue;
        }
        let table = matches!(before, Some(Token::Name(word))
            if BEFORE_TABLE.iter().any(|known| word.eq_ignore_ascii_case(known)));
        if table {
            return Some(number);
        }
        first = first.or(Some(number));
    }
    first
}

/// The number behind the underscore of a schema's name.
fn numbered(schema: &str) -> Option<u64> {
    if schema.eq_ignore_ascii_case(STAGING) {
        return None;
    }
    let (_, number) = schema.rsplit_once('_')?;
    let digits = !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit());
    number.parse().ok().filter(|_| digits)
}

/// Splits a statement into names, dots and the rest; strings and comments are one piece each.
struct Tokens<'a>(&'a str);

impl<'a> Tokens<'a> {
    fn take(&mut self, length: usize) -> &'a str {
        let (taken, rest) = self.0.split_at(length);
        self.0 = rest;
        taken
    }

    /// Takes up to and with `end`, or all where it does not come.
    fn through(&mut self, from: usize, end: &str) -> &'a str {
        let found = self.0[from..].find(end);
        self.take(found.map_or(self.0.len(), |place| from + place + end.len()))
    }

    /// A string in quotes; a doubled quote, or with `escapes` one behind a backslash, does not end it.
    fn quoted(&mut self, quote: char, escapes: bool) -> &'a str {
        let mut chars = self.0.char_indices().skip(1).peekable();
        while let Some((place, char)) = chars.next() {
            if escapes && char == '\\' {
                chars.next();
            } else if char == quote && chars.next_if(|(_, next)| *next == quote).is_none() {
                return self.take(place + 1);
            }
        }
        self.take(self.0.len())
    }

    /// A comment between marks, which may hold others.
    fn comment(&mut self) {
        let (mut depth, mut at) = (0usize, 0);
        loop {
            let rest = &self.0[at..];
            let open = rest.find("/*").unwrap_or(usize::MAX);
            let close = rest.find("*/").unwrap_or(usize::MAX);
            if close == usize::MAX {
                at = self.0.len();
                break;
            }
            depth = if open < close {
                depth + 1
            } else {
                depth.saturating_sub(1)
            };
            at += open.min(close) + 2;
            if depth == 0 {
                break;
            }
        }
        self.take(at);
    }

    /// A string between marks like `$tag$`; a lone `$` is nothing.
    fn dollars(&mut self) {
        let tag = self.0[1..].find('$').map(|end| &self.0[..end + 2]);
        let plain = |tag: &&str| {
            let mut name = tag[1..tag.len() - 1].chars();
            name.all(|char| char.is_alphanumeric() || char == '_')
        };
        match tag.filter(plain) {
            Some(tag) => self.through(tag.len(), tag),
            None => self.take(1),
        };
    }

    fn name(&mut self) -> &'a str {
        let part = |char: char| char.is_alphanumeric() || char == '_' || char == '$';
        let end = self.0.find(|char| !part(char)).unwrap_or(self.0.len());
        self.take(end)
    }
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            let first = self.0.chars().next()?;
            match first {
                '-' if self.0.starts_with("--") => {
                    self.through(0, "\n");
                }
                '/' if self.0.starts_with("/*") => self.comment(),
                '.' => {
                    self.take(1);
                    return Some(Token::Dot);
                }
                '\'' => {
                    self.quoted('\'', false);
                    return Some(Token::Other);
                }
                '"' => {
                    let name = self.quoted('"', false);
                    return Some(Token::Name(name.trim_matches('"')));
                }
                '$' => {
                    self.dollars();
                    return Some(Token::Other);
                }
                char if char.is_alphabetic() || char == '_' => {
                    let name = self.name();
                    if name.eq_ignore_ascii_case("e") && self.0.starts_with('\'') {
                        self.quoted('\'', true);
                        return Some(Token::Other);
                    }
                    return Some(Token::Name(name));
                }
                char if char.is_whitespace() => {
                    self.take(char.len_utf8());
                }
                char => {
                    self.take(char.len_utf8());
                    return Some(Token::Other);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
