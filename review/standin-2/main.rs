//! Stand-ins and scenarios of the second review: a state service, a cloud with workers, links that can be cut, users,
//! and the project's controllers as processes. Standard library only.
//!
//! Usage, from the root of the repository: `standin CASE RECORD FOLDER PIDS`; PIDS is
//! the file that lists the controllers that run. Exit status: 0 the rule held, 1 it was broken,
//! 2 the case could not run.

mod cases;
mod cloud;
mod cluster;
mod http;
mod link;
mod msgpack;
mod record;
mod state;
mod worker;

use std::sync::Arc;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, folder, pids] = &args[..] else {
        cluster::fail_setup("usage: standin CASE RECORD FOLDER PIDS")
    };
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(118));
        eprintln!("the case takes too long");
        std::process::exit(2)
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(record::Record::new(record));
    record.line(format!("case {case}, {} disruption", if trouble { "with" } else { "without" }));
    let verdict =
        std::panic::catch_unwind(|| cases::run(case, trouble, (folder, pids), record.clone()));
    let status = match verdict {
        Ok(Some(true)) => {
            record.line("the rule held");
            0
        }
        Ok(Some(false)) => {
            record.line("the rule was broken");
            1
        }
        Ok(None) | Err(_) => {
            record.line("the case could not run");
            2
        }
    };
    std::process::exit(status)
}
