//! What an operator may ask at the door: one line a connection.

/// The longest line that is read: calls are single words, and what is longer is none.
pub const MAX_LINE_BYTES: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlCommand {
    /// Whether this process is ready to serve.
    Ping,
    /// The figures.
    Info,
    /// Clients are to be sent away.
    LameDuck,
    /// The drain is over.
    Rejoin,
}

impl ControlCommand {
    /// Reads a line, with or without its end; `None` where it is no call.
    pub fn parse(line: &[u8]) -> Option<ControlCommand> {
        match line.trim_ascii() {
            b"PING" => Some(ControlCommand::Ping),
            b"INFO" => Some(ControlCommand::Info),
            b"LAMEDUCK" => Some(ControlCommand::LameDuck),
            b"REJOIN" => Some(ControlCommand::Rejoin),
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
            (&b"PING\n"[..], Some(ControlCommand::Ping)),
            (b" INFO \r\n", Some(ControlCommand::Info)),
            (b"LAMEDUCK", Some(ControlCommand::LameDuck)),
            (b"REJOIN\r", Some(ControlCommand::Rejoin)),
            (b"", None),
            (b"\n", None),
            (b"ping", None),
            (b"PING PING", None),
            (b"PIN\0G", None),
            (b"\xff\xfe", None),
        ] {
            assert_eq!(ControlCommand::parse(line), call, "{line:?}");
        }
    }
}
