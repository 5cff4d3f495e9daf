//! The stand-ins of the review's cases, and the cases themselves: `world CASE RECORD`, run in the root of the repository.
//! Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod services;
mod wire;
mod world;

use std::process::exit;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let Some(record) = std::env::args().nth(2) else { exit(2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = std::panic::catch_unwind(|| cases::run(&case, &record, trouble));
    exit(outcome.unwrap_or(2))
}
