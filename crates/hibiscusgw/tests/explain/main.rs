//! Output of `explain` for recorded log lines, compared with snapshots.

#[path = "../support/mod.rs"]
mod support;

use support::run_on;

const LINES: &str = include_str!("lines.log");

fn run_explain(id: &str) -> String {
    run_on(&["explain", id], LINES)
}

macro_rules! explains {
    ($($name:ident => $id:literal;)*) => {$(
        #[test]
        fn $name() {
            insta::assert_snapshot!(run_explain($id));
        }
    )*};
}

explains! {
    request_that_was_refused => "65495594d0e923e4";
    request_that_failed => "7c0eeec3723a5759";
    stream_that_went_on_elsewhere => "32506bef45d983cc";
    stream_that_its_caller_took_up => "a323a5760cb71ff9";
    request_that_no_line_names => "0000000000000000";
}
