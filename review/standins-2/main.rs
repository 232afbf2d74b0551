//! The cases of the review: `review-2 CASE FOLDER` plays one of them, writes `record.txt` to the folder, and ends with 1 if
//! the rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod false_estimates;
mod half_message;
mod order_in_upgrade;
mod pinned_buffers;
mod refused_flood;
mod stand_ins;

use stand_ins::Record;
use std::path::Path;
use std::process::ExitCode;

/// Whether the rule held, and what was seen.
pub type Verdict = std::io::Result<(bool, String)>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&Path::new(&folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    stand_ins::start_watchdog(&record);
    let verdict = match case.as_str() {
        "false-estimates" => false_estimates::run(&record, has_trouble),
        "half-message" => half_message::run(&record, has_trouble),
        "order-in-upgrade" => order_in_upgrade::run(&record, has_trouble),
        "pinned-buffers" => pinned_buffers::run(&record, has_trouble),
        "refused-flood" => refused_flood::run(&record, has_trouble),
        _ => return ExitCode::from(2),
    };
    match verdict {
        Ok((is_held, text)) => {
            let word = if is_held { "held" } else { "broken" };
            record.line(&format!("the rule was {word}: {text}"));
            println!("{word}: {text}");
            ExitCode::from(u8::from(!is_held))
        }
        Err(error) => {
            record.line(&format!("the case couldn't run: {error}"));
            println!("couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
