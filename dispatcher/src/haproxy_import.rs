//! Converts an HAProxy configuration to one of the dispatcher, and reports each line that it can't convert. Proxies are
//! read in TCP mode: each server of the backend in use becomes an engine.

use miniserde::{Serialize, json};
use std::net::SocketAddr;

/// The result of a conversion.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ImportResult {
    /// The configuration file for `sedgebeam serve --config`.
    pub config_json: String,
    /// The number of each line that was not converted, and the reason.
    pub unsupported: Vec<(usize, String)>,
}

#[derive(Serialize)]
struct File {
    listen: Option<String>,
    engines: Vec<Engine>,
    settings: Settings,
}

#[derive(Clone, Debug, Serialize)]
struct Engine {
    uid: String,
    endpoint: String,
    state: String,
}

#[derive(Serialize)]
struct Settings {
    balancers: u32,
    tick: f64,
    limits: Limits,
    services: Vec<Service>,
}

#[derive(Default, Serialize)]
struct Limits {
    cancel: bool,
    probes: bool,
    max_attempts: u32,
    max_open: u32,
    connect_timeout: f64,
    conn_idle: f64,
    max_retry_after: f64,
}

#[derive(Serialize)]
struct Service {
    name: String,
    effect: String,
    worth: f64,
    on_time: f64,
    give_up: f64,
}

/// A `frontend`, `backend` or `listen` section.
#[derive(Default)]
struct Proxy {
    name: String,
    is_frontend: bool,
    is_backend: bool,
    /// Addresses to listen on, each with the number of its line.
    binds: Vec<(usize, String)>,
    default_backend: Option<String>,
    engines: Vec<Engine>,
}

/// Reads the lines and collects their content.
#[derive(Default)]
struct Reader {
    proxies: Vec<Proxy>,
    /// The current section is the last proxy, and not `global`, `defaults` or an unsupported section.
    in_proxy: bool,
    /// The current section is unsupported, and so are its lines.
    in_skipped_section: bool,
    max_open: Option<u32>,
    connect_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
    give_up_ms: Option<f64>,
    unsupported: Vec<(usize, String)>,
}

/// Splits a line into words as HAProxy does, with regard to quotes, backslashes and `#` comments.
fn split_words(line: &str) -> Vec<String> {
    let (mut words, mut word, mut quote, mut in_word) = (Vec::new(), String::new(), None, false);
    let mut chars = line.chars();
    while let Some(character) = chars.next() {
        match (quote, character) {
            (None, '#') => break,
            (None, '"' | '\'') => (quote, in_word) = (Some(character), true),
            (Some(open), character) if character == open => quote = None,
            (None | Some('"'), '\\') => {
                word.extend(chars.next());
                in_word = true;
            }
            (None, character) if character.is_whitespace() => {
                if std::mem::take(&mut in_word) {
                    words.push(std::mem::take(&mut word));
                }
            }
            (_, character) => {
                word.push(character);
                in_word = true;
            }
        }
    }
    if in_word {
        words.push(word);
    }
    words
}

/// Parses a time of HAProxy, whose default unit is the millisecond, to milliseconds.
fn parse_time_ms(text: &str) -> Option<f64> {
    let unit_start = text
        .find(|character: char| !character.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_start);
    let number: f64 = number.parse().ok()?;
    Some(
        number
            * match unit {
                "" | "ms" => 1.0,
                "us" => 0.001,
                "s" => 1e3,
                "m" => 6e4,
                "h" => 3.6e6,
                "d" => 8.64e7,
                _ => return None,
            },
    )
}

/// Parses an address to listen on. The host `*`, or none, means all addresses.
fn parse_bind_address(text: &str) -> Option<SocketAddr> {
    let (host, port) = text.rsplit_once(':')?;
    let host = if host.is_empty() || host == "*" {
        "0.0.0.0"
    } else {
        host
    };
    format!("{host}:{port}").parse().ok()
}

impl Reader {
    fn report(&mut self, line_number: usize, reason: impl Into<String>) {
        self.unsupported.push((line_number, reason.into()));
    }

    fn read_line(&mut self, line_number: usize, words: &[String]) {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        match words[..] {
            ["global" | "defaults", ..] => {
                (self.in_proxy, self.in_skipped_section) = (false, false)
            }
            [kind @ ("frontend" | "backend" | "listen"), name, ..] => {
                (self.in_proxy, self.in_skipped_section) = (true, false);
                self.proxies.push(Proxy {
                    name: name.to_string(),
                    is_frontend: kind != "backend",
                    is_backend: kind != "frontend",
                    ..Proxy::default()
                });
            }
            [kind @ ("frontend" | "backend" | "listen")] => {
                (self.in_proxy, self.in_skipped_section) = (false, true);
                self.report(line_number, format!("{kind}: without a name"));
            }
            [
                section @ ("resolvers" | "peers" | "userlist" | "program" | "cache" | "mailers"
                | "ring" | "http-errors" | "log-forward" | "fcgi-app" | "crt-store"),
                ..,
            ] => {
                (self.in_proxy, self.in_skipped_section) = (false, true);
                self.report(
                    line_number,
                    format!("{section}: this section has no counterpart"),
                );
            }
            // The lines of an unsupported section are skipped without a report for each.
            _ if self.in_skipped_section => {}
            ["timeout", name, value, ..] => self.read_timeout(line_number, name, value),
            ["maxconn", value, ..] => match value.parse() {
                Ok(maxconn) => {
                    self.max_open = Some(
                        self.max_open
                            .map_or(maxconn, |lowest: u32| lowest.min(maxconn)),
                    )
                }
                Err(_) => self.report(line_number, "maxconn: not a number"),
            },
            ["mode", "tcp"] => {}
            ["mode", mode, ..] => self.report(
                line_number,
                format!("mode {mode}: only tcp has a counterpart"),
            ),
            _ if self.in_proxy => self.read_proxy_line(line_number, &words),
            [word, ..] => self.report(line_number, format!("{word}: no counterpart")),
            [] => {}
        }
    }

    fn read_proxy_line(&mut self, line_number: usize, words: &[&str]) {
        let Some(proxy) = self.proxies.last_mut() else {
            return;
        };
        match words {
            ["bind", addresses, options @ ..] => {
                let addresses = addresses
                    .split(',')
                    .map(|text| (line_number, text.to_string()));
                proxy.binds.extend(addresses);
                if let [option, ..] = options {
                    self.report(
                        line_number,
                        format!("bind: {option} and any options after it: no counterpart"),
                    );
                }
            }
            ["default_backend", name] => proxy.default_backend = Some(name.to_string()),
            ["server", name, endpoint, options @ ..] => {
                self.read_server(line_number, name, endpoint, options)
            }
            ["balance", ..] => {
                self.report(line_number, "balance: the gateway chooses the engine");
            }
            [word, ..] => self.report(line_number, format!("{word}: no counterpart")),
            [] => {}
        }
    }

    fn read_timeout(&mut self, line_number: usize, name: &str, value: &str) {
        let Some(millis) = parse_time_ms(value) else {
            return self.report(
                line_number,
                format!("timeout {name}: {value:?} is not a time"),
            );
        };
        match name {
            "connect" => self.connect_timeout_ms = Some(millis),
            "server" => self.give_up_ms = Some(millis),
            "tunnel" => self.idle_timeout_ms = Some(millis),
            _ => self.report(line_number, format!("timeout {name}: no counterpart")),
        }
    }

    fn read_server(&mut self, line_number: usize, name: &str, endpoint: &str, options: &[&str]) {
        if endpoint
            .rsplit_once(':')
            .is_none_or(|(_, port)| port.parse::<u16>().is_err())
        {
            return self.report(
                line_number,
                format!("server {name}: {endpoint:?} is not ADDRESS:PORT"),
            );
        }
        let mut state = "up";
        let mut options = options.iter();
        while let Some(option) = options.next() {
            match *option {
                // The gateway checks the health of the engines by itself.
                "check" => {}
                "inter" | "fall" | "rise" | "fastinter" | "downinter" => drop(options.next()),
                "disabled" => state = "draining",
                "weight" | "maxconn" | "maxqueue" | "slowstart" | "cookie" | "id" => {
                    let value = options.next().unwrap_or(&"");
                    self.report(
                        line_number,
                        format!("server {name}: {option} {value}: the gateway decides this"),
                    );
                }
                other => self.report(
                    line_number,
                    format!("server {name}: {other}: no counterpart"),
                ),
            }
        }
        if let Some(proxy) = self.proxies.last_mut() {
            proxy.engines.push(Engine {
                uid: name.to_string(),
                endpoint: endpoint.to_string(),
                state: state.to_string(),
            });
        }
    }

    /// Returns the listen address, and the engines of the backend that the first frontend with an address uses.
    fn listen_address_and_engines(&mut self) -> (Option<String>, Vec<Engine>) {
        let proxies = std::mem::take(&mut self.proxies);
        let frontend = proxies
            .iter()
            .find(|proxy| proxy.is_frontend && !proxy.binds.is_empty());
        let mut listen = None;
        for (line_number, text) in proxies.iter().flat_map(|proxy| &proxy.binds) {
            match parse_bind_address(text) {
                None => self.report(*line_number, format!("bind: {text:?} is not ADDRESS:PORT")),
                Some(address) if listen.is_none() => listen = Some(address.to_string()),
                Some(_) => self.report(
                    *line_number,
                    format!("bind: {text}: only the first address is used"),
                ),
            }
        }
        let backend_name = frontend.map(|frontend| {
            frontend
                .default_backend
                .as_deref()
                .unwrap_or(&frontend.name)
        });
        let backend = proxies
            .iter()
            .find(|proxy| proxy.is_backend && Some(proxy.name.as_str()) == backend_name);
        let backend = backend.or_else(|| {
            proxies
                .iter()
                .find(|proxy| proxy.is_backend && frontend.is_none())
        });
        (
            listen,
            backend.map_or_else(Vec::new, |backend| backend.engines.clone()),
        )
    }
}

/// Converts an HAProxy configuration.
pub fn import(text: &str) -> ImportResult {
    let mut reader = Reader::default();
    for (index, line) in text.lines().enumerate() {
        let words = split_words(line);
        if !words.is_empty() {
            reader.read_line(index + 1, &words);
        }
    }
    let (listen, engines) = reader.listen_address_and_engines();
    let last_line = text.lines().count();
    if listen.is_none() {
        reader.report(last_line, "no usable bind: set \"listen\"");
    }
    if engines.is_empty() {
        reader.report(
            last_line,
            "no server in the backend in use: set \"engines\"",
        );
    }
    reader.report(
        last_line,
        "HAProxy has no classes, tenants or shares: one class is configured, see \"settings\"",
    );
    let file = File {
        listen,
        engines,
        settings: settings(&reader),
    };
    ImportResult {
        config_json: json::to_string(&file) + "\n",
        unsupported: reader.unsupported,
    }
}

fn settings(reader: &Reader) -> Settings {
    let give_up = reader.give_up_ms.unwrap_or(30_000.0);
    let service = Service {
        name: "statement".to_string(),
        // Nothing states that a repeated execution is harmless.
        effect: "once".to_string(),
        worth: 1.0,
        on_time: give_up / 10.0,
        give_up,
    };
    Settings {
        balancers: 1,
        tick: 5.0,
        limits: Limits {
            cancel: true,
            probes: true,
            max_attempts: 3,
            max_open: reader.max_open.unwrap_or(2000),
            connect_timeout: reader.connect_timeout_ms.unwrap_or(250.0),
            conn_idle: reader.idle_timeout_ms.unwrap_or(30_000.0),
            max_retry_after: 1000.0,
        },
        services: vec![service],
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = "\
global
    maxconn 500          # all of them
    log /dev/log local0
defaults
    mode tcp
    timeout connect 5s
    timeout client 1m
    timeout server 2m
frontend ledger
    bind *:5432 ssl crt site.pem
    bind 127.0.0.1:5433
    use_backend other if { src 10.0.0.0/8 }
    default_backend engines
backend other
    server x 10.0.0.9:1 check
backend engines
    balance leastconn
    server e1 10.0.0.1:10080 check inter 2s weight 10
    server \"e 2\" 10.0.0.2:10080 disabled
    server e3 nowhere
peers all
    peer a 10.0.0.3:1024
";

    #[test]
    fn supported_lines_are_converted_and_the_others_are_reported_by_number() {
        let imported = import(FILE);
        let text = &imported.config_json;
        for part in [
            r#""listen":"0.0.0.0:5432""#,
            r#"{"uid":"e1","endpoint":"10.0.0.1:10080","state":"up"}"#,
            r#"{"uid":"e 2","endpoint":"10.0.0.2:10080","state":"draining"}"#,
            r#""max_open":500"#,
            r#""connect_timeout":5000"#,
            r#""give_up":120000"#,
        ] {
            assert!(text.contains(part), "{part} in {text}");
        }
        assert!(!text.contains("10.0.0.9"), "the backend that is not in use");
        let reported_lines: Vec<usize> = imported
            .unsupported
            .iter()
            .map(|(line_number, _)| *line_number)
            .collect();
        assert_eq!(reported_lines, [3, 7, 10, 12, 17, 18, 20, 21, 11, 22]);
    }

    #[test]
    fn malformed_lines_are_reported_and_do_not_panic() {
        for text in [
            "",
            "frontend",
            "timeout",
            "listen a\nserver",
            "bind \"",
            "server a b c \\",
            "maxconn x",
        ] {
            assert!(!import(text).unsupported.is_empty(), "{text:?}");
        }
    }
}
