//! For any sequence of changes of the settings: the index of a request keeps its meaning while the request may be open,
//! and every class of the latest settings can be named.

use proptest::prelude::*;
use sedgebeam_core::{Class, DedupScope, Effect, Micros, Settings, Tenant};
use sedgebeam_reconfigure::{MAX_TABLE_ENTRIES, RuntimeSettings, SettingsTable};
use sedgebeam_settings::Names;

const ANSWER_SLACK: Micros = Micros::from_millis(20);

/// One of 16 classes: classes of the same name differ in effect or in whether they hold a table group.
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

fn runtime_settings(numbers: &[u8], tenants: &[u8], give_up: u64) -> RuntimeSettings {
    let mut classes: Vec<Class> = Vec::new();
    for number in numbers {
        let class = class(*number, give_up);
        if classes.iter().all(|other| other.name != class.name) {
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
            answer_slack: ANSWER_SLACK,
            ..Settings::default()
        },
        names,
        max_open_requests: 1,
    }
}

/// An open request: its indexes, and the class and tenant that they referred to when it was accepted.
struct OpenRequest {
    class_index: usize,
    accepted_class: Class,
    tenant: Option<(usize, String)>,
    open_until: Micros,
}

#[derive(Clone, Debug)]
enum Step {
    Reconfigure(Vec<u8>, Vec<u8>, u64),
    SetTenant(u8),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let classes = proptest::collection::vec(0u8..16, 1..5);
    let tenants = proptest::collection::btree_set(0u8..4, 0..3);
    prop_oneof![
        3 => (classes, tenants, 1u64..4).prop_map(|(classes, tenants, seconds)|
            Step::Reconfigure(classes, tenants.into_iter().collect(), seconds * 1000)),
        1 => (0u8..6).prop_map(Step::SetTenant),
        4 => (1u64..9000).prop_map(Step::Advance),
    ]
}

/// Applies the steps, and after each accepts a request of every class that can be named; returns the first violation.
/// With `clock_error`, the clock of the table runs ahead by that much more at each step, so that entries expire too
/// early.
fn run_steps(steps: &[Step], clock_error: Micros) -> Result<(), String> {
    let initial = runtime_settings(&[0, 1, 2], &[0, 1], 1000);
    let (mut table, mut now) = (SettingsTable::new(initial.clone()), Micros(1));
    let (mut latest, mut open_requests): (RuntimeSettings, Vec<OpenRequest>) =
        (initial, Vec::new());
    for (step_index, step) in steps.iter().enumerate() {
        match step {
            Step::Reconfigure(classes, tenants, give_up) => {
                latest = runtime_settings(classes, tenants, *give_up);
                let lead = clock_error.times(step_index as f64);
                let is_applied = table.reconfigure(now + lead, &latest).is_some();
                if !is_applied {
                    return Err("the settings do not fit into the table".to_string());
                }
            }
            Step::SetTenant(number) => {
                let tenant = Tenant {
                    name: format!("tenant-{number}"),
                    ..Tenant::default()
                };
                if !table.set_tenant(&tenant) {
                    return Err("the tenant does not fit into the table".to_string());
                }
            }
            Step::Advance(millis) => now = now + Micros::from_millis(*millis),
        }
        table.expire(now);
        let RuntimeSettings {
            settings, names, ..
        } = table.runtime_settings();
        open_requests.retain(|request| request.open_until > now);
        for request in &open_requests {
            let (current, accepted) = (
                &settings.classes[request.class_index],
                &request.accepted_class,
            );
            if (&current.name, current.effect, current.holds_group)
                != (&accepted.name, accepted.effect, accepted.holds_group)
            {
                return Err(format!(
                    "a request of {accepted:?} is now one of {current:?}"
                ));
            }
            if let Some((index, name)) = &request.tenant
                && settings.tenants[*index].name != *name
            {
                return Err(format!("a request of {name} is now one of another tenant"));
            }
        }
        for class in &latest.settings.classes {
            let index = names.class(&class.name).map(|id| id.0);
            let found_class = index.map(|index| &settings.classes[index]);
            if found_class.is_none_or(|found_class| found_class != class) {
                return Err(format!("{} is not found as configured", class.name));
            }
        }
        for index in 0..settings.classes.len() {
            let name = &names.classes[index];
            if name.is_empty() {
                continue;
            }
            if names.class(name).map(|id| id.0) != Some(index) {
                return Err(format!("{name} refers to two indexes"));
            }
            let accepted_class = settings.classes[index].clone();
            let tenant = names.tenants.iter().position(|name| !name.is_empty());
            open_requests.push(OpenRequest {
                class_index: index,
                open_until: now + accepted_class.give_up + accepted_class.give_up + ANSWER_SLACK,
                accepted_class,
                tenant: tenant.map(|index| (index, names.tenants[index].clone())),
            });
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn open_requests_keep_their_class_and_every_class_can_be_named(
        steps in proptest::collection::vec(step(), 1..40),
    ) {
        prop_assert_eq!(run_steps(&steps, Micros(0)), Ok(()));
    }
}

#[test]
fn a_table_that_reuses_indexes_too_early_is_detected() {
    let reconfigure = |class| Step::Reconfigure(vec![class], Vec::new(), 1000);
    let steps = [
        reconfigure(4),
        reconfigure(5),
        reconfigure(6),
        reconfigure(7),
        reconfigure(8),
    ];
    assert_eq!(run_steps(&steps, Micros(0)), Ok(()));
    assert!(run_steps(&steps, Micros::from_millis(60_000)).is_err());
}

#[test]
fn a_removed_name_is_valid_until_its_clients_have_given_up() {
    let mut table = SettingsTable::new(runtime_settings(&[0, 1], &[], 1000));
    let is_valid =
        |table: &SettingsTable, name| table.runtime_settings().names.class(name).is_some();
    table.reconfigure(Micros(1), &runtime_settings(&[0], &[], 1000));
    assert!(is_valid(&table, "class-1") && is_valid(&table, "class-0"));
    let expiry = table.next_expiry().expect("a name expires");
    assert_eq!(expiry, Micros::from_millis(2000) + Micros(1));
    assert!(table.expire(expiry) && !is_valid(&table, "class-1"));
    assert_eq!((table.next_expiry(), table.expire(expiry)), (None, false));
}

#[test]
fn settings_that_exceed_the_table_change_nothing() {
    let mut table = SettingsTable::new(runtime_settings(&[0], &[], 1000));
    let mut many = runtime_settings(&[], &[], 1000);
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
