//! The stand-ins do what the wire documents, and show the faults that they are asked for.

mod engine;
mod orders;
mod plain;
mod platform;

use std::time::{Duration, Instant};

use hgw_standins::client::{Caller, GUARD};
use hgw_standins::{Faults, Running};

/// Names each case of a check that takes arguments.
#[macro_export]
macro_rules! cases {
    ($check:ident: $($name:ident($($arg:expr),* $(,)?);)*) => {$(
        #[test]
        fn $name() {
            $check($($arg),*);
        }
    )*};
}

fn caller(running: &Running) -> Caller {
    Caller::new(running.addr()).expect("a client needs no network yet")
}

fn fault(running: &Running, faults: &Faults) {
    caller(running).faults(faults).expect("the stand-in takes faults");
}

/// Waits until `condition` holds.
fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < GUARD, "{what} did not come about");
        std::thread::sleep(Duration::from_millis(5));
    }
}
