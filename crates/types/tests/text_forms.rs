//! Text forms of the newtypes round-trip, and the error for an invalid value names the expected form.

use std::fmt::{Debug, Display};
use std::str::FromStr;

use hgw_types::{AttemptId, MemSize, ModelId, Rate, Scope, Time};

fn reads_back<T: FromStr + Display + PartialEq + Debug>(text: &str)
where
    T::Err: Debug,
{
    let value: T = text.parse().unwrap();
    assert_eq!(value.to_string(), text);
}

fn is_refused<T: FromStr<Err = hgw_types::ParseError> + Debug>(text: &str, message: &str) {
    assert_eq!(text.parse::<T>().unwrap_err().to_string(), message);
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {$(
        #[test]
        fn $name() {
            $body
        }
    )*};
}

cases! {
    model => reads_back::<ModelId>("fill-review@v2");
    attempt => reads_back::<AttemptId>("00000000000000ff-12");
    time => reads_back::<Time>("12.005ms");
    rate => reads_back::<Rate>("1.5");
    mem_size => reads_back::<MemSize>("70");
    empty_name => is_refused::<ModelId>(
        "", "`` is not a valid model id: expected 1 to 128 of A-Z a-z 0-9 . _ : / @ + -");
    name_with_blank => is_refused::<Scope>(
        "a b", "`a b` is not a valid scope: expected 1 to 128 of A-Z a-z 0-9 . _ : / @ + -");
    negative_rate => is_refused::<Rate>("-1", "`-1` is not a valid rate: expected a number of 0 or more");
    endless_rate => is_refused::<Rate>("inf", "`inf` is not a valid rate: expected a number of 0 or more");
}
