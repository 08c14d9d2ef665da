//! The machines that this runs on allow no io_uring.

/// The libraries name io_uring in optional parts; none of them is built, since the library that
/// makes the system calls is not among the dependencies.
#[test]
fn no_library_that_uses_io_uring_is_built() {
    let lock = include_str!("../../../Cargo.lock");
    assert!(lock.contains("name = \"tokio\""));
    assert!(!lock.contains("name = \"io-uring\""));
}
