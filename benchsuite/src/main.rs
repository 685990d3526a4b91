//! Benches of figrill.

fn main() {}
