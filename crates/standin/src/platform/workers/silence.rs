//! Upstreams that end without a sign: nothing is answered, but no connection is
//! closed or refused, as when a VM is replaced behind its address.

use std::{thread, time::Duration};

use super::Workers;

impl Workers {
    /// Ends an upstream silently: it loses all runs and sends nothing more.
    /// Calls get no answers, but connections are neither closed nor refused.
    pub fn end_silently(&self, name: &str) {
        let (mut pool, now) = self.pool_and_time();
        pool.restart_upstream(now, name);
        if let Some(node) = pool.nodes.get_mut(name) {
            node.reachable = false;
        }
        if let Some(process) = self.processes().get_mut(name) {
            process.runs = false;
        }
    }

    /// Starts an upstream that has ended silently again, as a new incarnation
    /// with the same id and address. It carries out the calls that are held up
    /// as its first ones, but for those with a delay that is not over. If it is
    /// not `reachable`, it runs cut off until
    /// that is changed in the model.
    pub fn start_after_silence(&self, name: &str, reachable: bool) {
        let (mut pool, now) = self.pool_and_time();
        pool.restart_upstream(now, name);
        if let Some(node) = pool.nodes.get_mut(name) {
            node.upstream.draining = false;
            node.reachable = false;
        }
        if let Some(process) = self.processes().get_mut(name) {
            process.runs = true;
        }
        drop(pool);
        self.carry_out_at_start(name);
        if let Some(node) = self.pool().nodes.get_mut(name) {
            node.reachable = reachable;
        }
    }

    /// Restarts an upstream under the same id and address, silently for the
    /// time `silence` between the two incarnations.
    pub fn restart_silently(&self, name: &str, silence: Duration) {
        self.end_silently(name);
        thread::sleep(silence);
        self.start_after_silence(name, true);
    }
}
