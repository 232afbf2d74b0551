//! Configuration by environment variables.

use std::path::PathBuf;

/// The environment, as far as it is configuration.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    pub name: Option<String>,
    pub listen: Option<String>,
    /// The path of the platform's file.
    pub config_path: Option<String>,
    pub control: Option<String>,
    /// The descriptor of the clients' listening socket.
    pub inherited_socket: Option<String>,
    /// Where temporary files go; not where the system would put them, as all dispatchers may share that.
    pub temp_dir: Option<PathBuf>,
}

impl Environment {
    /// Reads the variables; an empty one counts as absent.
    pub fn read() -> Environment {
        let value = |key| std::env::var(key).ok().filter(|text| !text.is_empty());
        Environment {
            name: value("PROXY_NAME"),
            listen: value("PROXY_LISTEN"),
            config_path: value("PROXY_CONFIG"),
            control: value("PROXY_CONTROL"),
            inherited_socket: value("PROXY_PASSED_SOCKET"),
            temp_dir: value("TMPDIR").map(PathBuf::from),
        }
    }
}
