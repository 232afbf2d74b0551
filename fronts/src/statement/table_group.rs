//! Finds the table group that a statement names.

/// The schema that belongs to no table group.
const STAGING_SCHEMA: &str = "staging";

/// Keywords that precede the name of a table.
const TABLE_KEYWORDS: [&str; 8] = [
    "from", "into", "join", "update", "table", "only", "using", "copy",
];

/// A token of a statement; only names and dots matter for the table group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Token<'a> {
    Name(&'a str),
    Dot,
    Other,
}

/// The number of the table group, taken from the schema's name: that of the first qualified name after a table keyword,
/// or, if there is none, of the first qualified name.
pub(super) fn table_group(statement: &str) -> Option<u64> {
    let mut first_number = None;
    let mut last_tokens = [None; 4];
    for token in Tokenizer(statement) {
        last_tokens.rotate_left(1);
        last_tokens[3] = Some(token);
        let [
            previous,
            Some(Token::Name(schema)),
            Some(Token::Dot),
            Some(Token::Name(_)),
        ] = last_tokens
        else {
            continue;
        };
        let Some(number) = schema_number(schema) else {
            continue;
        };
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

/// The length of the block comment at the start of the text, which may contain nested ones; the length of the text if the
/// comment does not end. Reads each byte once.
pub(super) fn comment_length(text: impl Iterator<Item = u8>) -> usize {
    let (mut depth, mut length) = (0usize, 0);
    // The first byte of what may be a delimiter; none directly after a delimiter, which can't overlap with the next.
    let mut previous = None;
    for byte in text {
        length += 1;
        previous = match (previous, byte) {
            (Some(b'/'), b'*') => {
                depth += 1;
                None
            }
            (Some(b'*'), b'/') => {
                depth = depth.saturating_sub(1);
                if depth == 0 {
                    return length;
                }
                None
            }
            _ => Some(byte),
        };
    }
    length
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

    fn consume_comment(&mut self) {
        self.consume(comment_length(self.0.bytes()));
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
