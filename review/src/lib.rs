//! The harness of the review's scripts: real figrill processes, as the deploy
//! file starts them, between stand-ins of the platform's store, of upstreams
//! and of callers.

pub mod case;
pub mod record;
pub mod site;
pub mod worker;
