//! The experiment on whole fleets, in virtual time: what is served on a day of each kind, by class, and which door
//! turned the rest away.

use clap::Args;
use sedgebeam_core::{Micros, Reports};
use sedgebeam_virtual::{Deployment, KINDS, World, script};
use std::io;
use std::time::Instant;

#[derive(Args)]
pub struct Fleet {
    /// Sizes, as GATEWAYS/ENGINES.
    #[arg(long, value_delimiter = ',', default_value = "300/80")]
    sizes: Vec<String>,
    /// Kinds of day; all unless given.
    #[arg(long, value_delimiter = ',')]
    kinds: Vec<String>,
    /// usual, one-class, bare, probes, answers or keyed.
    #[arg(long, default_value = "usual")]
    deployment: String,
    /// Part of the engines' cores that traffic asks for.
    #[arg(long)]
    asked: Option<f64>,
    #[arg(long, value_delimiter = ',', default_value = "1")]
    seeds: Vec<u64>,
    /// The length of each day, in seconds, before what is open ends.
    #[arg(long, default_value_t = 12.0)]
    seconds: f64,
    /// Print the share of worth served, by the second in which it was asked for.
    #[arg(long)]
    by_second: bool,
}

fn wrong(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, what.to_string())
}

impl Fleet {
    pub fn run(&self) -> io::Result<()> {
        println!(
            "size kind seed   worth  att/r  cold  falls   class: served late refused at-once/waiting/after failed lost"
        );
        let all: Vec<String> = KINDS.iter().map(|kind| kind.to_string()).collect();
        let kinds = if self.kinds.is_empty() {
            &all
        } else {
            &self.kinds
        };
        for size in &self.sizes {
            for kind in kinds {
                for seed in &self.seeds {
                    self.play(size, kind, *seed)?;
                }
            }
        }
        Ok(())
    }

    fn deployment(&self, size: &str) -> io::Result<Deployment> {
        let sizes = size
            .split_once('/')
            .and_then(|(gateways, engines)| Some((gateways.parse().ok()?, engines.parse().ok()?)));
        let (gateways, engines) = sizes.ok_or_else(|| wrong("a size is GATEWAYS/ENGINES"))?;
        let mut deployment = match self.deployment.as_str() {
            "usual" => Deployment::usual(gateways, engines),
            "one-class" => Deployment::one_class(gateways, engines),
            "bare" => Deployment::bare(gateways, engines),
            "probes" => Deployment::reporting(gateways, engines, Reports::InProbes),
            "answers" => Deployment::reporting(gateways, engines, Reports::InAnswers),
            "keyed" => Deployment::keyed(gateways, engines),
            _ => return Err(wrong("no such deployment")),
        };
        if let Some(asked) = self.asked {
            deployment.ask(asked);
        }
        Ok(deployment)
    }

    fn play(&self, size: &str, kind: &str, seed: u64) -> io::Result<()> {
        let script = script(kind).ok_or_else(|| wrong("no such kind of day"))?;
        let began = Instant::now();
        let mut world = World::new(self.deployment(size)?, seed, script);
        world.run(Micros((self.seconds * 1e6) as u64));
        world.finish();
        let cold = world.cold_used();
        print!(
            "{size} {kind} {seed}   {:.3}  {:.3}  {cold:.2}  {}  ",
            world.worth(),
            world.amplification(),
            world.falls
        );
        for (class, tally) in world.deployment.settings.classes.iter().zip(&world.tallies) {
            let part = |count: u64| count as f64 / tally.asked.max(1) as f64;
            let [once, waiting, after] = tally.refused.map(part);
            print!(
                " {}: {:.2} {:.2} {once:.2}/{waiting:.2}/{after:.2} {:.2} {:.2}",
                class.name,
                tally.served(),
                part(tally.late),
                part(tally.failed),
                part(tally.lost)
            );
        }
        println!("   ({:.1} s)", began.elapsed().as_secs_f64());
        if self.by_second {
            let served = world
                .by_second
                .iter()
                .map(|(asked, served)| served / asked.max(1e-9));
            let served: Vec<String> = served.map(|part| format!("{part:.2}")).collect();
            println!("  {}", served.join(" "));
        }
        for (rule, how) in &world.verdict.broken {
            println!("  BROKEN {rule:?}: {how:?}");
        }
        Ok(())
    }
}
