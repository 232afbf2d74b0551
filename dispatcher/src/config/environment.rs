//! Configuration by environment variables.

use std::path::PathBuf;

/// The environment variables that configure a dispatcher.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    pub name: Option<String>,
    pub listen: Option<String>,
    /// The path of the platform's configuration file.
    pub config_path: Option<String>,
    pub control: Option<String>,
    /// The descriptor of the clients' listening socket, passed by the platform.
    pub inherited_socket: Option<String>,
    /// The directory for temporary files. There is no default: different dispatchers may share the system's one.
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
