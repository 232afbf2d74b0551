//! Turns a configuration of HAProxy into one of the dispatcher's own, and reports by line what it can't
//! carry over. Proxies are taken in TCP mode: each server of the backend in use becomes an engine.

use miniserde::{Serialize, json};
use std::net::SocketAddr;

/// What came of an import.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ImportResult {
    /// The file for `sedgebeam serve --config`.
    pub config_json: String,
    /// What was not carried over: the line's number, and why.
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

/// A section that serves: its name, and what it says.
#[derive(Default)]
struct Proxy {
    name: String,
    front: bool,
    back: bool,
    binds: Vec<(usize, String)>,
    uses: Option<String>,
    engines: Vec<Engine>,
}

#[derive(Default)]
struct Reader {
    proxies: Vec<Proxy>,
    /// Whether the lines belong to the last proxy, and not to `global`, `defaults` or another section.
    in_proxy: bool,
    skipped: bool,
    max_open: Option<u32>,
    connect_timeout: Option<f64>,
    idle: Option<f64>,
    give_up: Option<f64>,
    left: Vec<(usize, String)>,
}

/// Splits a line into words as HAProxy does: quotes, backslashes, and a comment behind `#`.
fn words(line: &str) -> Vec<String> {
    let (mut words, mut word, mut quote, mut begun) = (Vec::new(), String::new(), None, false);
    let mut chars = line.chars();
    while let Some(char) = chars.next() {
        match (quote, char) {
            (None, '#') => break,
            (None, '"' | '\'') => (quote, begun) = (Some(char), true),
            (Some(open), char) if char == open => quote = None,
            (None | Some('"'), '\\') => {
                word.extend(chars.next());
                begun = true;
            }
            (None, char) if char.is_whitespace() => {
                if std::mem::take(&mut begun) {
                    words.push(std::mem::take(&mut word));
                }
            }
            (_, char) => {
                word.push(char);
                begun = true;
            }
        }
    }
    if begun {
        words.push(word);
    }
    words
}

/// A time as HAProxy writes it, in milliseconds; without a unit it is in milliseconds.
fn time(text: &str) -> Option<f64> {
    let digits = text
        .find(|char: char| !char.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
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

/// An address to listen on; `*`, or nothing, ahead of the port is every address.
fn bind(text: &str) -> Option<SocketAddr> {
    let (host, port) = text.rsplit_once(':')?;
    let host = if host.is_empty() || host == "*" {
        "0.0.0.0"
    } else {
        host
    };
    format!("{host}:{port}").parse().ok()
}

impl Reader {
    fn leave(&mut self, line: usize, why: impl Into<String>) {
        self.left.push((line, why.into()));
    }

    fn line(&mut self, number: usize, words: &[String]) {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        match words[..] {
            ["global" | "defaults", ..] => (self.in_proxy, self.skipped) = (false, false),
            [kind @ ("frontend" | "backend" | "listen"), name, ..] => {
                (self.in_proxy, self.skipped) = (true, false);
                self.proxies.push(Proxy {
                    name: name.to_string(),
                    front: kind != "backend",
                    back: kind != "frontend",
                    ..Proxy::default()
                });
            }
            [kind @ ("frontend" | "backend" | "listen")] => {
                (self.in_proxy, self.skipped) = (false, true);
                self.leave(number, format!("{kind}: without a name"));
            }
            [
                section @ ("resolvers" | "peers" | "userlist" | "program" | "cache" | "mailers"
                | "ring" | "http-errors" | "log-forward" | "fcgi-app" | "crt-store"),
                ..,
            ] => {
                (self.in_proxy, self.skipped) = (false, true);
                self.leave(
                    number,
                    format!("{section}: this section has no counterpart"),
                );
            }
            // What stands in a section that is left out goes with it.
            _ if self.skipped => {}
            ["timeout", name, value, ..] => self.timeout(number, name, value),
            ["maxconn", value, ..] => match value.parse() {
                Ok(most) => {
                    self.max_open = Some(self.max_open.map_or(most, |known: u32| known.min(most)))
                }
                Err(_) => self.leave(number, "maxconn: not a number"),
            },
            ["mode", "tcp"] => {}
            ["mode", mode, ..] => {
                self.leave(number, format!("mode {mode}: only tcp has a counterpart"))
            }
            _ if self.in_proxy => self.in_proxy(number, &words),
            [word, ..] => self.leave(number, format!("{word}: no counterpart")),
            [] => {}
        }
    }

    fn in_proxy(&mut self, number: usize, words: &[&str]) {
        let Some(proxy) = self.proxies.last_mut() else {
            return;
        };
        match words {
            ["bind", addresses, options @ ..] => {
                let addresses = addresses.split(',').map(|text| (number, text.to_string()));
                proxy.binds.extend(addresses);
                if let [option, ..] = options {
                    self.leave(number, format!("bind: {option} and what follows"));
                }
            }
            ["default_backend", name] => proxy.uses = Some(name.to_string()),
            ["server", name, endpoint, options @ ..] => {
                self.server(number, name, endpoint, options)
            }
            ["balance", ..] => {
                self.leave(number, "balance: the decision module chooses the engine");
            }
            [word, ..] => self.leave(number, format!("{word}: no counterpart")),
            [] => {}
        }
    }

    fn timeout(&mut self, number: usize, name: &str, value: &str) {
        let Some(millis) = time(value) else {
            return self.leave(number, format!("timeout {name}: {value:?} is not a time"));
        };
        match name {
            "connect" => self.connect_timeout = Some(millis),
            "server" => self.give_up = Some(millis),
            "tunnel" => self.idle = Some(millis),
            _ => self.leave(number, format!("timeout {name}: no counterpart")),
        }
    }

    fn server(&mut self, number: usize, name: &str, endpoint: &str, options: &[&str]) {
        if endpoint
            .rsplit_once(':')
            .is_none_or(|(_, port)| port.parse::<u16>().is_err())
        {
            return self.leave(
                number,
                format!("server {name}: {endpoint:?} is not ADDRESS:PORT"),
            );
        }
        let mut state = "up";
        let mut options = options.iter();
        while let Some(option) = options.next() {
            match *option {
                // The module finds out by itself which engines are well.
                "check" => {}
                "inter" | "fall" | "rise" | "fastinter" | "downinter" => drop(options.next()),
                "disabled" => state = "draining",
                "weight" | "maxconn" | "maxqueue" | "slowstart" | "cookie" | "id" => {
                    let value = options.next().unwrap_or(&"");
                    self.leave(
                        number,
                        format!("server {name}: {option} {value}: the decision module decides"),
                    );
                }
                other => self.leave(number, format!("server {name}: {other}: no counterpart")),
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

    /// The front to carry over, and the proxy whose servers it uses.
    fn choose(&mut self) -> (Option<String>, Vec<Engine>) {
        let proxies = std::mem::take(&mut self.proxies);
        let front = proxies
            .iter()
            .find(|proxy| proxy.front && !proxy.binds.is_empty());
        let mut listen = None;
        for (line, text) in proxies.iter().flat_map(|proxy| &proxy.binds) {
            match bind(text) {
                None => self.leave(*line, format!("bind: {text:?} is not ADDRESS:PORT")),
                Some(address) if listen.is_none() => listen = Some(address.to_string()),
                Some(_) => self.leave(*line, format!("bind: {text}: one address is listened on")),
            }
        }
        let used = front.map(|front| front.uses.as_deref().unwrap_or(&front.name));
        let back = proxies
            .iter()
            .find(|proxy| proxy.back && Some(proxy.name.as_str()) == used);
        let back = back.or_else(|| proxies.iter().find(|proxy| proxy.back && front.is_none()));
        (
            listen,
            back.map_or_else(Vec::new, |back| back.engines.clone()),
        )
    }
}

/// Imports a configuration of HAProxy.
pub fn import(text: &str) -> ImportResult {
    let mut reader = Reader::default();
    for (index, line) in text.lines().enumerate() {
        let words = words(line);
        if !words.is_empty() {
            reader.line(index + 1, &words);
        }
    }
    let (listen, engines) = reader.choose();
    let end = text.lines().count();
    if listen.is_none() {
        reader.leave(end, "no usable bind: set \"listen\"");
    }
    if engines.is_empty() {
        reader.leave(end, "no server in the backend in use: set \"engines\"");
    }
    reader.leave(end, "classes, tenants and their shares are unknown to HAProxy: one class is set, see \"settings\"");
    let file = File {
        listen,
        engines,
        settings: settings(&reader),
    };
    ImportResult {
        config_json: json::to_string(&file) + "\n",
        unsupported: reader.left,
    }
}

fn settings(reader: &Reader) -> Settings {
    let give_up = reader.give_up.unwrap_or(30_000.0);
    let service = Service {
        name: "statement".to_string(),
        // Nothing tells that repeating it is harmless.
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
            connect_timeout: reader.connect_timeout.unwrap_or(250.0),
            conn_idle: reader.idle.unwrap_or(30_000.0),
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
    fn what_has_a_counterpart_is_carried_over_and_the_rest_is_told_by_line() {
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
        let lines: Vec<usize> = imported.unsupported.iter().map(|(line, _)| *line).collect();
        assert_eq!(lines, [3, 7, 10, 12, 17, 18, 20, 21, 11, 22]);
    }

    #[test]
    fn odd_lines_end_in_a_report_and_not_in_a_panic() {
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
