//! The command line of the `standin` program: `standin store LISTEN` and
//! `standin upstream LISTEN AGENT ACCELERATORS SLOTS MEMORY_MIB`.

use std::{thread, time::Duration};

use figrill_state::worker::Capacity;

use crate::{platform::store, upstream};

/// Runs a test double until the process is ended. The first line that it
/// prints is the address that it listens on.
///
/// # Errors
///
/// Returns an error if `args` is invalid or the address cannot be bound.
pub fn run(args: &[String]) -> Result<(), String> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let address = match args.as_slice() {
        ["store", listen] => {
            let store = store::open_at(&store::in_memory(), listen);
            store.map_err(|e| e.to_string())?.address
        }
        ["upstream", listen, agent, accelerators, slots, memory] => {
            let number = |text: &str| {
                text.parse()
                    .map_err(|_| format!("`{text}` is not a number"))
            };
            let options = upstream::Options {
                listen: (*listen).to_owned(),
                agent: (*agent).to_owned(),
                capacity: Capacity {
                    accelerators: number(accelerators)?,
                    slots: number(slots)?,
                    memory_mib: number(memory)?,
                },
            };
            upstream::start(options).map_err(|e| e.to_string())?
        }
        _ => {
            return Err("usage: standin store LISTEN | standin upstream LISTEN AGENT ACCELERATORS SLOTS MEMORY_MIB"
                .to_owned());
        }
    };
    println!("{address}");
    loop {
        thread::sleep(Duration::from_hours(1));
    }
}
