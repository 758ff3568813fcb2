//! Stand-ins and checks of the cases review/11 to review/15: `review-case NAME FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod case_hang;
mod case_label;
mod case_memory;
mod case_panic;
mod case_twice;
mod cluster;
mod http;
mod record;
mod runner;
mod scene;

use std::path::Path;

use record::Record;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next()) else {
        println!("usage: review-case NAME FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    record.line(&format!("{name}, with the disruption: {has_trouble}"));
    let is_broken = match name.as_str() {
        "hang" => case_hang::run(has_trouble, &record),
        "label" => case_label::run(has_trouble, &record),
        "memory" => case_memory::run(has_trouble, &record),
        "panic" => case_panic::run(has_trouble, &record),
        "twice" => case_twice::run(has_trouble, &record),
        _ => {
            println!("there is no case {name}");
            std::process::exit(2);
        }
    };
    record.line(if is_broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(is_broken));
}
