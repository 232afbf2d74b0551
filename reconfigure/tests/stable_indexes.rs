//! Whatever is retuned when: a request's place means what it meant when the request was taken, as long as it
//! may be open, and every class of the settings can be named.

use proptest::prelude::*;
use sedgebeam_core::{Class, DedupScope, Effect, Micros, Settings, Tenant};
use sedgebeam_reconfigure::{MAX_TABLE_ENTRIES, RuntimeSettings, SettingsTable};
use sedgebeam_settings::Names;

const SLACK: Micros = Micros::from_millis(20);

/// A class by its number among a few: those of one name differ in effect, placement or figures.
fn class(number: u8, give_up: u64) -> Class {
    let effects = [
        Effect::Repeatable,
        Effect::Once,
        Effect::Keyed(DedupScope::Zone),
    ];
    Class {
        name: format!("class-{}", number % 4),
        effect: effects[usize::from(number / 4) % 3],
        holds_group: number >= 12,
        give_up: Micros::from_millis(give_up),
        worth: give_up as f64,
        ..Class::default()
    }
}

fn told(numbers: &[u8], tenants: &[u8], give_up: u64) -> RuntimeSettings {
    let mut classes: Vec<Class> = Vec::new();
    for number in numbers {
        let class = class(*number, give_up);
        if classes.iter().all(|known| known.name != class.name) {
            classes.push(class);
        }
    }
    let tenant = |number: &u8| Tenant {
        name: format!("tenant-{number}"),
        share: 0.5,
        requests_per_second: 1.0,
    };
    let names = Names {
        classes: classes.iter().map(|class| class.name.clone()).collect(),
        ..Names::default()
    };
    RuntimeSettings {
        settings: Settings {
            classes,
            tenants: tenants.iter().map(tenant).collect(),
            answer_slack: SLACK,
            ..Settings::default()
        },
        names,
        max_open_requests: 1,
    }
}

/// A request that was taken: its places, and what they meant.
struct Open {
    class: usize,
    meant: Class,
    tenant: Option<(usize, String)>,
    until: Micros,
}

#[derive(Clone, Debug)]
enum Step {
    Retune(Vec<u8>, Vec<u8>, u64),
    SetTenant(u8),
    Passes(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let classes = proptest::collection::vec(0u8..16, 1..5);
    let tenants = proptest::collection::btree_set(0u8..4, 0..3);
    prop_oneof![
        3 => (classes, tenants, 1u64..4).prop_map(|(classes, tenants, seconds)|
            Step::Retune(classes, tenants.into_iter().collect(), seconds * 1000)),
        1 => (0u8..6).prop_map(Step::SetTenant),
        4 => (1u64..9000).prop_map(Step::Passes),
    ]
}

/// Plays the steps, with a request of each class and tenant that can be named after each; what is wrong first.
fn play(steps: &[Step], early: Micros) -> Result<(), String> {
    let first = told(&[0, 1, 2], &[0, 1], 1000);
    let (mut table, mut now) = (SettingsTable::new(first.clone()), Micros(1));
    let (mut last, mut open): (RuntimeSettings, Vec<Open>) = (first, Vec::new());
    for (turn, step) in steps.iter().enumerate() {
        match step {
            Step::Retune(classes, tenants, give_up) => {
                last = told(classes, tenants, *give_up);
                // A double forgets earlier than it may.
                let ahead = early.times(turn as f64);
                let taken = table.reconfigure(now + ahead, &last).is_some();
                if !taken {
                    return Err("there is room".to_string());
                }
            }
            Step::SetTenant(number) => {
                let tenant = Tenant {
                    name: format!("tenant-{number}"),
                    ..Tenant::default()
                };
                if !table.set_tenant(&tenant) {
                    return Err("there is room for a tenant".to_string());
                }
            }
            Step::Passes(millis) => now = now + Micros::from_millis(*millis),
        }
        table.expire(now);
        let RuntimeSettings {
            settings, names, ..
        } = table.runtime_settings();
        open.retain(|request| request.until > now);
        for request in &open {
            let (is, was) = (&settings.classes[request.class], &request.meant);
            if (&is.name, is.effect, is.holds_group) != (&was.name, was.effect, was.holds_group) {
                return Err(format!("a request of {was:?} is now one of {is:?}"));
            }
            if let Some((place, name)) = &request.tenant
                && settings.tenants[*place].name != *name
            {
                return Err(format!("a request of {name} is now another's"));
            }
        }
        for class in &last.settings.classes {
            let place = names.class(&class.name).map(|id| id.0);
            let found = place.map(|place| &settings.classes[place]);
            if found.is_none_or(|found| found != class) {
                return Err(format!("{} is not found as it was told", class.name));
            }
        }
        for place in 0..settings.classes.len() {
            let name = &names.classes[place];
            if name.is_empty() {
                continue;
            }
            if names.class(name).map(|id| id.0) != Some(place) {
                return Err(format!("{name} names two places"));
            }
            let meant = settings.classes[place].clone();
            let tenant = names.tenants.iter().position(|name| !name.is_empty());
            open.push(Open {
                class: place,
                until: now + meant.give_up + meant.give_up + SLACK,
                meant,
                tenant: tenant.map(|place| (place, names.tenants[place].clone())),
            });
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn requests_under_way_keep_their_class_and_every_class_can_be_named(
        steps in proptest::collection::vec(step(), 1..40),
    ) {
        prop_assert_eq!(play(&steps, Micros(0)), Ok(()));
    }
}

#[test]
fn a_table_that_gives_places_away_too_early_is_caught() {
    let retune = |class| Step::Retune(vec![class], Vec::new(), 1000);
    let steps = [retune(4), retune(5), retune(6), retune(7), retune(8)];
    assert_eq!(play(&steps, Micros(0)), Ok(()));
    assert!(play(&steps, Micros::from_millis(60_000)).is_err());
}

#[test]
fn a_vanished_name_is_known_until_its_clients_have_given_up() {
    let mut table = SettingsTable::new(told(&[0, 1], &[], 1000));
    let after = |table: &SettingsTable, name| table.runtime_settings().names.class(name).is_some();
    table.reconfigure(Micros(1), &told(&[0], &[], 1000));
    assert!(after(&table, "class-1") && after(&table, "class-0"));
    let end = table.next_expiry().expect("a name ends");
    assert_eq!(end, Micros::from_millis(2000) + Micros(1));
    assert!(table.expire(end) && !after(&table, "class-1"));
    assert_eq!((table.next_expiry(), table.expire(end)), (None, false));
}

#[test]
fn settings_for_which_there_is_no_room_change_nothing() {
    let mut table = SettingsTable::new(told(&[0], &[], 1000));
    let mut many = told(&[], &[], 1000);
    let class = |number| Class {
        name: format!("more-{number}"),
        ..class(0, 1000)
    };
    many.settings.classes = (0..=MAX_TABLE_ENTRIES).map(class).collect();
    assert!(table.reconfigure(Micros(1), &many).is_none());
    let (names, classes) = (
        &table.runtime_settings().names,
        &table.runtime_settings().settings.classes,
    );
    assert!(names.class("class-0").is_some() && classes.len() == 1);
    many.settings.classes.truncate(MAX_TABLE_ENTRIES - 1);
    assert!(table.reconfigure(Micros(1), &many).is_some());
}
