//! Simulates whole fleets in virtual time: for each scenario, the share of requests of each class that was
//! served, refused (by stage), failed or lost.

use clap::Args;
use sedgebeam_core::{LoadReportMode, Micros};
use sedgebeam_virtual::{ClassCounts, Deployment, SCENARIOS, Simulation, scenario};
use std::io;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct FleetScenarios {
    /// Fleet sizes, as GATEWAYS/ENGINES.
    #[arg(long, value_delimiter = ',', default_value = "300/80")]
    sizes: Vec<String>,
    /// Scenarios to run; all by default.
    #[arg(long = "kinds", value_delimiter = ',')]
    scenarios: Vec<String>,
    /// Deployment: usual, one-class, bare, probes, answers or keyed.
    #[arg(long, default_value = "usual")]
    deployment: String,
    /// Offered load, as a fraction of the engines' cores.
    #[arg(long = "asked")]
    offered_load: Option<f64>,
    #[arg(long, value_delimiter = ',', default_value = "1")]
    seeds: Vec<u64>,
    /// Simulated seconds with traffic; open requests may end afterwards.
    #[arg(long, default_value_t = 12.0)]
    seconds: f64,
    /// Print the share of the worth that was served, by the second in which requests arrived.
    #[arg(long)]
    by_second: bool,
}

fn invalid_input(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, message.to_string())
}

impl FleetScenarios {
    pub fn run(&self) -> io::Result<()> {
        println!(
            "size kind seed   worth  att/r  cold  falls   class: served late refused at-once/waiting/after failed lost"
        );
        let all_scenarios = SCENARIOS.map(str::to_string);
        let scenarios = match self.scenarios.as_slice() {
            [] => all_scenarios.as_slice(),
            selected_scenarios => selected_scenarios,
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
            sizes.ok_or_else(|| invalid_input("a size must be GATEWAYS/ENGINES"))?;
        let mut deployment = match self.deployment.as_str() {
            "usual" => Deployment::standard(gateways, engines),
            "one-class" => Deployment::single_class(gateways, engines),
            "bare" => Deployment::minimal(gateways, engines),
            "probes" => Deployment::with_load_reports(gateways, engines, LoadReportMode::InProbes),
            "answers" => {
                Deployment::with_load_reports(gateways, engines, LoadReportMode::InAnswers)
            }
            "keyed" => Deployment::with_deduplication(gateways, engines),
            _ => return Err(invalid_input("unknown deployment")),
        };
        if let Some(offered_load) = self.offered_load {
            deployment.set_offered_load(offered_load);
        }
        Ok(deployment)
    }

    fn simulate(&self, size: &str, name: &str, seed: u64) -> io::Result<()> {
        let script = scenario(name).ok_or_else(|| invalid_input("unknown scenario"))?;
        let started_at = Instant::now();
        let mut simulation = Simulation::new(self.deployment(size)?, seed, script);
        simulation.run(Micros((self.seconds * 1e6) as u64));
        simulation.finish();
        self.print(
            &format!("{size} {name} {seed}"),
            &simulation,
            started_at.elapsed(),
        );
        Ok(())
    }

    fn print(&self, label: &str, simulation: &Simulation, elapsed: Duration) {
        let metrics = &simulation.metrics;
        print!(
            "{label}   {:.3}  {:.3}  {:.2}  {}  ",
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

/// Prints the share of a class's requests with each outcome.
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
