//! Plays one case of the review: `review-stand-3 CASE PROGRAM RECORD`.
//!
//! PROGRAM is the command of the deploy file, RECORD the file for what was sent, answered and run.
//! Ends with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod http;
mod json;
mod record;
mod site;
mod store;
mod worker;

use record::Record;
use std::{path::Path, process::ExitCode, thread, time::Duration};

/// Time after which a case counts as not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case shows: whether the rule held, or why the case couldn't run.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, path] = &args[..] else {
        eprintln!("usage: review-stand-3 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(play) = cases::find(case) else {
        eprintln!("there is no case {case:?}");
        return ExitCode::from(2);
    };
    let record = Record::new();
    record
        .note(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let (program, shared) = (program.clone(), record.clone());
    let playing = thread::spawn(move || play(&program, &shared, trouble));
    while !playing.is_finished() && record.now() < TIME_LIMIT {
        thread::sleep(Duration::from_millis(20));
    }
    let verdict = match playing.is_finished() {
        true => playing.join().unwrap_or_else(|_| Err("the case has panicked".into())),
        false => Err("the case takes too long".into()),
    };
    let (text, code) = match verdict {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(reason) => (format!("the case couldn't run: {reason}"), 2),
    };
    site::kill_all();
    record.note(&text);
    println!("{case}: {text}");
    if let Err(e) = record.write(Path::new(path)) {
        eprintln!("{path}: {e}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
