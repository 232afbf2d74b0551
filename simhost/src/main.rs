//! Hosts gateways for the simulator: reads a batch of events per line from standard input and writes the
//! actions as one line to standard output.

mod wire;

use sedgebeam_core::{Event, Gateway, Micros};
use sedgebeam_settings::{Names, millis_to_micros};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{AnnounceKind, Batch, EngineRow, Message, Reply};

/// One simulated gateway process: the gateway, the names in its configuration, and the events of the current
/// batch that it has not handled yet.
struct Instance {
    gateway: Gateway,
    names: Names,
    pending: Vec<Event>,
}

#[derive(Default)]
struct Host {
    /// By instance number.
    instances: BTreeMap<u64, Instance>,
    /// The latest engine list of each buffer number.
    engine_lists: BTreeMap<u64, Vec<EngineRow>>,
}

impl Host {
    fn reply(&mut self, line: &str) -> Result<String, String> {
        let batch = Batch::decode(line)?;
        let (now, mut reply) = (millis_to_micros(batch.time_ms), Reply::new(batch.number));
        for message in batch.messages {
            self.handle_message(message)
                .map_err(|error| format!("batch {}: {error}", batch.number))?;
        }
        for (id, instance) in &mut self.instances {
            if !instance.pending.is_empty() {
                instance.handle_pending(*id, now, &mut reply);
            }
        }
        Ok(reply.line())
    }

    fn handle_message(&mut self, message: Message) -> Result<(), String> {
        match message {
            Message::EngineList { buffer, rows } => {
                self.engine_lists.insert(buffer, rows);
            }
            // A restart within a batch discards the pending events together with the old state.
            Message::Start {
                instance,
                seed,
                gateway_settings,
            } => {
                let gateway = Gateway::new(gateway_settings.settings(), seed);
                self.instances.insert(
                    instance,
                    Instance {
                        gateway,
                        names: gateway_settings.names(),
                        pending: Vec::new(),
                    },
                );
            }
            Message::Stop { instance } => {
                self.instances.remove(&instance);
            }
            Message::Announce {
                instance,
                kind,
                buffer,
            } => self.announce(instance, kind, buffer)?,
            Message::Event { instance, event } => {
                if let Some(instance) = self.instances.get_mut(&instance) {
                    let event = wire::gateway_event(&instance.names, event)?;
                    instance.pending.extend(event);
                }
            }
            Message::Ignored => {}
        }
        Ok(())
    }

    fn announce(&mut self, instance: u64, kind: AnnounceKind, buffer: u64) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&instance) else {
            return Ok(());
        };
        let rows = match (kind, self.engine_lists.get(&buffer)) {
            (AnnounceKind::Error, _) => &[][..],
            (_, Some(rows)) => rows,
            (_, None) => return Err(format!("announce: unknown list number {buffer}")),
        };
        let event = wire::list_event(&instance.names, kind, rows);
        instance.pending.push(event);
        Ok(())
    }
}

impl Instance {
    fn handle_pending(&mut self, id: u64, now: Micros, reply: &mut Reply) {
        let events = std::mem::take(&mut self.pending);
        let gateway = &mut self.gateway;
        match catch_unwind(AssertUnwindSafe(|| gateway.handle(now, events))) {
            Ok(actions) => actions
                .into_iter()
                .for_each(|action| reply.push_action(id, action)),
            Err(_) => reply.push_exception(id, "the decision module panicked"),
        }
    }
}

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut output = std::io::stdout().lock();
    for line in std::io::stdin().lock().lines() {
        let reply = line
            .map_err(|error| error.to_string())
            .and_then(|line| host.reply(&line));
        let result = reply.and_then(|reply| {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|error| error.to_string())
        });
        if let Err(error) = result {
            eprintln!("sedgebeam-adapter: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
