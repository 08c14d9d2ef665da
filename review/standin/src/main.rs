//! Stand-ins and checks of the review's scripts: `review-standin CASE RECORD`.
//!
//! Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` there is no
//! disruption.

mod client;
mod http;
mod late_copies;
mod node;
mod plain;
mod record;
mod store;

use std::path::Path;
use std::process::exit;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("usage: review-standin CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = match case.as_str() {
        "late-copies" => late_copies::run(Path::new(record), has_trouble),
        other => Outcome::NotRun(format!("there is no case {other}")),
    };
    match outcome {
        Outcome::Held => println!("the rule held"),
        Outcome::Broken => {
            println!("the rule was broken");
            exit(1);
        }
        Outcome::NotRun(why) => {
            println!("the case could not run: {why}");
            exit(2);
        }
    }
}
