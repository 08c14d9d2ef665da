//! Tests of placement without network I/O.

macro_rules! cases {
    ($($(#[$attr:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$attr])*
        #[test]
        fn $name() {
            $body
        }
    )*};
}

mod floor;
mod golden;
mod memory;
mod random;
mod reach;
mod shares;
mod support;
