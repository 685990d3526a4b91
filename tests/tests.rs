//! Integration tests: real processes against small stand-ins.

#[macro_use]
mod macros;
mod util;

mod path;
