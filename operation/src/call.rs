//! What an operator may ask at the door: one line a connection.

/// The longest line that is read: calls are single words, and what is longer is none.
pub const MOST_LINE: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Ping,
    /// The figures.
    Info,
    /// Clients are to be sent away.
    LameDuck,
    /// The drain is over.
    Rejoin,
}

impl Call {
    /// Reads a line, with or without its end; `None` where it is no call.
    pub fn read(line: &[u8]) -> Option<Call> {
        match line.trim_ascii() {
            b"PING" => Some(Call::Ping),
            b"INFO" => Some(Call::Info),
            b"LAMEDUCK" => Some(Call::LameDuck),
            b"REJOIN" => Some(Call::Rejoin),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_one_of_four_words_and_nothing_else() {
        for (line, call) in [
            (&b"PING\n"[..], Some(Call::Ping)),
            (b" INFO \r\n", Some(Call::Info)),
            (b"LAMEDUCK", Some(Call::LameDuck)),
            (b"REJOIN\r", Some(Call::Rejoin)),
            (b"", None),
            (b"\n", None),
            (b"ping", None),
            (b"PING PING", None),
            (b"PIN\0G", None),
            (b"\xff\xfe", None),
        ] {
            assert_eq!(Call::read(line), call, "{line:?}");
        }
    }
}
