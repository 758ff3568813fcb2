//! Runs one case of the review: `yuccamux-review-2 CASE FOLDER`. Exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod case_cancel;
mod case_first_start;
mod case_group;
mod case_label;
mod case_twice;
mod client;
mod cluster;
mod http;
mod json;
mod record;
mod runner;

use std::{env, path::PathBuf, process};

use record::CaseRecord;

/// What a case needs.
pub struct Case {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder of the case.
    pub scratch: PathBuf,
    pub record: CaseRecord,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// How a case went.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let (Some(name), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: yuccamux-review-2 CASE FOLDER");
        process::exit(2);
    };
    let root = env::current_dir().unwrap();
    let scratch = env::temp_dir().join(format!("yuccamux-review-{}", process::id()));
    std::fs::create_dir_all(&scratch).unwrap();
    let record = CaseRecord::create(&PathBuf::from(folder).join("record.txt")).unwrap();
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    record.line(&format!("case {name}, disruption: {has_trouble}"));
    let case = Case { root, scratch: scratch.clone(), record: record.clone(), has_trouble };
    let verdict = match name.as_str() {
        "first-start" => case_first_start::run(&case),
        "twice" => case_twice::run(&case),
        "group" => case_group::run(&case),
        "cancel" => case_cancel::run(&case),
        "label" => case_label::run(&case),
        _ => Verdict::CouldNotRun(format!("there is no case {name}")),
    };
    if env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        println!("logs: {}", scratch.display());
    }
    let (text, status) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CouldNotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    process::exit(status);
}
