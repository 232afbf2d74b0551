//! Hosts gateways on the simulator's wire: one line of events in, one line of actions out.

mod wire;

use sedgebeam_core::{Event, Gateway, Micros};
use sedgebeam_settings::{Names, millis_to_micros};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{AnnounceKind, Batch, Message, Reply, Row};

/// An instance: its gateway, its names, and the events of this batch it has not handled yet.
struct Instance {
    gateway: Gateway,
    names: Names,
    pending: Vec<Event>,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<Row>>,
}

impl Host {
    fn reply(&mut self, line: &str) -> Result<String, String> {
        let batch = Batch::decode(line)?;
        let (now, mut reply) = (millis_to_micros(batch.ts), Reply::new(batch.turn));
        for message in batch.msgs {
            self.take(message)
                .map_err(|error| format!("batch {}: {error}", batch.turn))?;
        }
        for (i, instance) in &mut self.instances {
            if !instance.pending.is_empty() {
                instance.act(*i, now, &mut reply);
            }
        }
        Ok(reply.line())
    }

    fn take(&mut self, message: Message) -> Result<(), String> {
        match message {
            Message::Ledger { buffer, rows_in } => {
                self.lists.insert(buffer, rows_in);
            }
            // A restart within a batch drops whatever was pending with the old state.
            Message::Spawn { i, rng_seed, facts } => {
                let gateway = Gateway::new(facts.settings(), rng_seed);
                self.instances.insert(
                    i,
                    Instance {
                        gateway,
                        names: facts.names(),
                        pending: Vec::new(),
                    },
                );
            }
            Message::Down { i } => {
                self.instances.remove(&i);
            }
            Message::Announce { i, kind, buffer } => self.announce(i, kind, buffer)?,
            Message::Event { i, event } => {
                if let Some(instance) = self.instances.get_mut(&i) {
                    let event = wire::event(&instance.names, event)?;
                    instance.pending.extend(event);
                }
            }
            Message::Unknown => {}
        }
        Ok(())
    }

    fn announce(&mut self, i: u64, kind: AnnounceKind, buffer: u64) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&i) else {
            return Ok(());
        };
        let rows = match (kind, self.lists.get(&buffer)) {
            (AnnounceKind::Error, _) => &[][..],
            (_, Some(rows)) => rows,
            (_, None) => return Err(format!("announce: unknown list number {buffer}")),
        };
        let event = wire::list(&instance.names, kind, rows);
        instance.pending.push(event);
        Ok(())
    }
}

impl Instance {
    fn act(&mut self, i: u64, now: Micros, reply: &mut Reply) {
        let events = std::mem::take(&mut self.pending);
        let gateway = &mut self.gateway;
        match catch_unwind(AssertUnwindSafe(|| gateway.handle(now, events))) {
            Ok(actions) => actions
                .into_iter()
                .for_each(|action| reply.order(i, action)),
            Err(_) => reply.exception(i, "the decision module panicked"),
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
        let sent = reply.and_then(|reply| {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|error| error.to_string())
        });
        if let Err(error) = sent {
            eprintln!("sedgebeam-adapter: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
