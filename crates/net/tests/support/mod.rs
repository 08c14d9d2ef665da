//! A small state machine, small upstreams and a small caller for the tests of the threads.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod caller;
pub(crate) mod peers;
pub(crate) mod relay;
pub(crate) mod upstream;

use std::sync::mpsc;
use std::time::Duration;

/// Longest wait for something that comes at once unless the code hangs.
pub(crate) const HANG: Duration = Duration::from_secs(20);

/// Waits for the first value that `pick` takes.
pub(crate) fn wait_for<T, U>(rx: &mpsc::Receiver<T>, mut pick: impl FnMut(T) -> Option<U>) -> U {
    loop {
        let value = rx.recv_timeout(HANG).expect("the awaited event comes");
        if let Some(picked) = pick(value) {
            return picked;
        }
    }
}

/// Names each case of a test that runs with several inputs.
#[allow(unused_macros, reason = "each test file uses a part")]
macro_rules! cases {
    ($check:path: $($name:ident($($arg:expr),* $(,)?);)+) => {$(
        #[test]
        fn $name() {
            $check($($arg),*);
        }
    )+};
}

#[allow(unused_imports, reason = "each test file uses a part")]
pub(crate) use cases;
