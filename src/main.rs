//! The binary.
fn main() {}
