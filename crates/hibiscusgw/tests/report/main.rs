//! Output of `report` for recorded log lines, compared with snapshots.

#[path = "../support/mod.rs"]
mod support;

use support::run_on;

const LINES: &str = include_str!("lines.log");

/// Lines of a recording in which a customer exceeds its limit.
const CUSTOMER_LINES: &str = include_str!("customers.log");

fn run_report(args: &[&str], lines: &str) -> String {
    run_on(&[&["report"], args].concat(), lines)
}

macro_rules! reports {
    ($($name:ident => $args:expr, $lines:expr;)*) => {$(
        #[test]
        fn $name() {
            insta::assert_snapshot!(run_report(&$args, $lines));
        }
    )*};
}

reports! {
    day_of_several_nodes => [], LINES;
    day_with_a_shorter_pause => ["--pause", "150"], LINES;
    day_with_customers => [], CUSTOMER_LINES;
    no_lines => [], "";
    lines_of_another_program => [], "hello\n{\"time\":1}\n{\"event\":5006}\n[]\n";
    pause_that_is_no_number => ["--pause", "long"], "";
    plot_in_a_folder_that_is_not_there => ["--svg", "/nowhere/at/all.svg"], LINES;
}

#[test]
fn plot_is_written() {
    let path = std::env::temp_dir().join(format!("hgw-report-{}.svg", std::process::id()));
    let output = run_report(&["--svg", path.to_str().unwrap()], LINES);
    assert!(output.starts_with("exit code 0"), "{output}");
    let svg = std::fs::read_to_string(&path).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("longest pause") && svg.contains("<polyline"));
    std::fs::remove_file(path).unwrap();
}
