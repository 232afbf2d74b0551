//! Commands that operators send on the control socket, one line per connection.

/// Maximum length of a line that is read. Commands are short words, so a longer line is not a command.
pub const MAX_LINE_BYTES: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlCommand {
    /// Asks whether this process is ready to serve.
    Ping,
    /// Asks for the metrics.
    Info,
    /// Starts the drain of client connections.
    LameDuck,
    /// Ends the drain.
    Rejoin,
}

impl ControlCommand {
    /// Parses a line with or without its line ending; `None` if it is not a command.
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
    fn only_the_four_command_words_are_parsed() {
        for (line, command) in [
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
            assert_eq!(ControlCommand::parse(line), command, "{line:?}");
        }
    }
}
