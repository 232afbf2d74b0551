//! The experiment on whole fleets, in virtual time: what is served in each scenario, by class, and when the rest was
//! refused.

use clap::Args;
use sedgebeam_core::{LoadReportMode, Micros};
use sedgebeam_virtual::{ClassCounts, Deployment, SCENARIOS, Simulation, scenario};
use std::io;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct FleetScenarios {
    /// Sizes, as GATEWAYS/ENGINES.
    #[arg(long, value_delimiter = ',', default_value = "300/80")]
    sizes: Vec<String>,
    /// Scenarios; all unless given.
    #[arg(long, value_delimiter = ',')]
    kinds: Vec<String>,
    /// usual, one-class, bare, probes, answers or keyed.
    #[arg(long, default_value = "usual")]
    deployment: String,
    /// Offered load, as a share of the engines' cores.
    #[arg(long)]
    asked: Option<f64>,
    #[arg(long, value_delimiter = ',', default_value = "1")]
    seeds: Vec<u64>,
    /// Simulated seconds with traffic; what is open then is let end.
    #[arg(long, default_value_t = 12.0)]
    seconds: f64,
    /// Print the share of worth served, by the second in which requests arrived.
    #[arg(long)]
    by_second: bool,
}

fn invalid_input(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, what.to_string())
}

impl FleetScenarios {
    pub fn run(&self) -> io::Result<()> {
        println!(
            "size kind seed   worth  att/r  cold  falls   class: served late refused at-once/waiting/after failed lost"
        );
        let known = SCENARIOS.map(str::to_string);
        let scenarios = match self.kinds.as_slice() {
            [] => known.as_slice(),
            chosen => chosen,
        };
        for size in &self.sizes {
            for name in scenarios {
                for seed in &self.seeds {
                    self.simulate(size, name, *seed)?;
                }
            }
        }
        Ok(())
    }

    fn deployment(&self, size: &str) -> io::Result<Deployment> {
        let sizes = size
            .split_once('/')
            .and_then(|(gateways, engines)| Some((gateways.parse().ok()?, engines.parse().ok()?)));
        let (gateways, engines) =
            sizes.ok_or_else(|| invalid_input("a size is GATEWAYS/ENGINES"))?;
        let mut deployment = match self.deployment.as_str() {
            "usual" => Deployment::standard(gateways, engines),
            "one-class" => Deployment::single_class(gateways, engines),
            "bare" => Deployment::minimal(gateways, engines),
            "probes" => Deployment::with_load_reports(gateways, engines, LoadReportMode::InProbes),
            "answers" => {
                Deployment::with_load_reports(gateways, engines, LoadReportMode::InAnswers)
            }
            "keyed" => Deployment::with_deduplication(gateways, engines),
            _ => return Err(invalid_input("no such deployment")),
        };
        if let Some(offered_load) = self.asked {
            deployment.set_offered_load(offered_load);
        }
        Ok(deployment)
    }

    fn simulate(&self, size: &str, name: &str, seed: u64) -> io::Result<()> {
        let script = scenario(name).ok_or_else(|| invalid_input("no such kind of day"))?;
        let began = Instant::now();
        let mut simulation = Simulation::new(self.deployment(size)?, seed, script);
        simulation.run(Micros((self.seconds * 1e6) as u64));
        simulation.finish();
        self.print(
            &format!("{size} {name} {seed}"),
            &simulation,
            began.elapsed(),
        );
        Ok(())
    }

    fn print(&self, run: &str, simulation: &Simulation, elapsed: Duration) {
        let metrics = &simulation.metrics;
        print!(
            "{run}   {:.3}  {:.3}  {:.2}  {}  ",
            simulation.goodput(),
            metrics.attempts_per_request(),
            metrics.cold_utilization(),
            metrics.engine_crashes
        );
        let classes = simulation.deployment.settings.classes.iter();
        for (class, counts) in classes.zip(&metrics.classes) {
            print_class(&class.name, counts);
        }
        println!("   ({:.1} s)", elapsed.as_secs_f64());
        if self.by_second {
            let seconds = metrics.per_second.iter();
            let shares = seconds.map(|second| second.served / second.offered.max(1e-9));
            let shares: Vec<String> = shares.map(|share| format!("{share:.2}")).collect();
            println!("  {}", shares.join(" "));
        }
        for (rule, violations) in simulation.violations.iter() {
            println!("  BROKEN {rule:?}: {violations:?}");
        }
    }
}

/// Prints the shares of a class's requests by how they ended.
fn print_class(name: &str, counts: &ClassCounts) {
    let share = |count: u64| count as f64 / counts.arrived.max(1) as f64;
    let refused = counts.refused;
    print!(
        " {name}: {:.2} {:.2} {:.2}/{:.2}/{:.2} {:.2} {:.2}",
        counts.served_share(),
        share(counts.late),
        share(refused.on_arrival),
        share(refused.while_waiting),
        share(refused.after_attempt),
        share(counts.failed),
        share(counts.lost)
    );
}
