//! The frame of all messages between processes: a header line with format, version, length and checksum, followed by JSON.

/// A kind of message.
pub struct Format {
    pub name: &'static str,
    /// Processes ignore messages of another version.
    pub version: u32,
    /// Maximum length of an encoded message.
    pub max_bytes: usize,
}

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// Not a message of this format version.
    UnsupportedFormat,
    /// Incomplete or damaged.
    Corrupt,
    /// Written by a process of another dispatcher.
    OtherDispatcher,
}

/// Puts the header line ahead of the JSON text.
pub fn encode(format: &Format, body: &str) -> Vec<u8> {
    let Format { name, version, .. } = format;
    let checksum = crc32fast::hash(body.as_bytes());
    format!("{name} {version} {} {checksum:08x}\n{body}", body.len()).into_bytes()
}

/// The JSON text of an intact message of this format.
pub fn decode<'a>(format: &Format, bytes: &'a [u8]) -> Result<&'a str, MessageError> {
    if bytes.len() > format.max_bytes {
        return Err(MessageError::UnsupportedFormat);
    }
    let text = std::str::from_utf8(bytes).map_err(|_| MessageError::Corrupt)?;
    let (header, body) = text.split_once('\n').ok_or(MessageError::Corrupt)?;
    let fields: Vec<&str> = header.split(' ').collect();
    let [name, version, length, checksum] = fields[..] else {
        return Err(MessageError::UnsupportedFormat);
    };
    if name != format.name || version.parse() != Ok(format.version) {
        return Err(MessageError::UnsupportedFormat);
    }
    let is_intact = length.parse() == Ok(body.len())
        && u32::from_str_radix(checksum, 16) == Ok(crc32fast::hash(body.as_bytes()));
    if is_intact {
        Ok(body)
    } else {
        Err(MessageError::Corrupt)
    }
}
