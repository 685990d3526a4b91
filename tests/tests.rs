//! Integration tests: real processes against small stand-ins.

#[macro_use]
mod macros;
mod util;

mod callers;
mod command_line;
mod docs;
mod failures;
mod path;
mod platform;
mod platform_failures;
mod promises;
mod settings;
