//! Plays the scripts of the review: `stand-2 CASE RECORD`, with `TROUBLE=0` without the disruption.
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod base;
mod drained;
mod handover;
mod outage;
mod platform;
mod record;
mod site;

use record::Record;
use std::{path::Path, process::ExitCode, sync::Arc};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &*args else {
        eprintln!("usage: stand-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::new(Path::new(path)) else {
        eprintln!("{path} can't be written");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let verdict = match &**case {
        "outage" => outage::play(&record, trouble),
        "handover" => handover::play(&record, trouble),
        "drained" => drained::play(&record, trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("THE RULE WAS BROKEN", 1),
        Verdict::NotRun => ("the case couldn't run", 2),
    };
    record.line(text);
    println!("{case}, trouble {}: {text}", u8::from(trouble));
    ExitCode::from(code)
}
