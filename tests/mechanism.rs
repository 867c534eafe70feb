//! Names of mechanisms, which the command line and the settings of experiments use.

use cranberrytray::state::mechanism::{Mechanism, MechanismSet, UnknownMechanism};

#[test]
fn from_str_reads_what_display_writes() {
    for mechanism in MechanismSet::all().iter() {
        let name = mechanism.to_string();
        assert!(name.chars().all(|c| c.is_ascii_lowercase() || c == '-'), "{name}");
        assert_eq!(name.parse(), Ok(mechanism));
    }
    let all = MechanismSet::all();
    assert_eq!(all.to_string().parse(), Ok(all));
}

#[test]
fn from_str_of_a_list_ignores_spaces_and_empty_names() {
    let set: MechanismSet = " handover, shedding,,".parse().unwrap();
    assert_eq!(set, [Mechanism::Shedding, Mechanism::Handover].into_iter().collect());
    assert_eq!("".parse(), Ok(MechanismSet::default()));
}

#[test]
fn from_str_names_what_is_unknown() {
    let err = "shedding,hedging".parse::<MechanismSet>().unwrap_err();
    assert_eq!(err, UnknownMechanism { name: "hedging".into() });
    assert!(
        err.to_string().starts_with("unknown mechanism \"hedging\", known are outlier-ejection,")
    );
}
