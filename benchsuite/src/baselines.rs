//! Schedulers to compare with, a few lines each: one queue, and a rule for
//! which of its jobs may go next.

use std::{collections::BTreeMap, time::Duration};

use figrill_coordination::{
    coordinator::{
        cell::{CapacityView, Cell, WorkerAllocation},
        placement,
    },
    message::{Band, Run},
};
use figrill_state::{
    job::{Attempt, Job, JobId},
    worker::{Capacity, Place, Worker},
};

use crate::{
    mixes::Work,
    pool::{End, Order, Scheduler},
};

/// Which waiting job may go next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// The first, and nobody before it.
    FirstInFirstOut,
    /// The first of the workspace that uses least, and nobody before it.
    FairShare,
    /// Any that fits, in the order in which they came.
    GreedyPacking,
    /// Any that fits its workspace's own workers.
    StaticPartitions,
}

/// A baseline.
pub struct Baseline {
    rule: Rule,
    cell: Cell,
    workers: Vec<(Place, Capacity)>,
    queue: Vec<Job>,
    running: BTreeMap<JobId, (Job, Vec<(usize, u32)>)>,
}

impl Baseline {
    /// A baseline over these workers.
    pub fn new(rule: Rule, workers: &[(Place, Capacity)]) -> Self {
        Self {
            rule,
            cell: Cell::default(),
            workers: workers.to_vec(),
            queue: Vec::new(),
            running: BTreeMap::new(),
        }
    }

    fn used(&self, workspace: &str) -> u32 {
        let own = self.running.values().map(|(job, _)| job);
        let own = own.filter(|job| job.workspace == workspace);
        own.map(|job| job.shape.total_accelerators()).sum()
    }

    /// Which workers a workspace owns: by its weight.
    fn owns(workspace: &str, i: usize) -> bool {
        match workspace {
            "w1" => i < 5,
            "w2" => (5..7).contains(&i),
            "w3" => (7..9).contains(&i),
            _ => i == 9,
        }
    }

    fn order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.queue.len()).collect();
        if self.rule == Rule::FairShare {
            let weight = |w: &str| match w {
                "w1" => 4,
                "w2" => 2,
                _ => 1,
            };
            let shares: BTreeMap<&str, u32> = ["w1", "w2", "w3", "w4"]
                .into_iter()
                .map(|w| (w, self.used(w) * 100 / weight(w)))
                .collect();
            // Only the first waiting job matters: nobody goes before it.
            let share =
                |i: &usize| shares.get(self.queue[*i].workspace.as_str());
            let first = order.iter().min_by_key(|i| share(i)).copied();
            order = first.into_iter().collect();
        }
        order
    }

    fn place(&self, job: &Job) -> Option<Vec<(usize, u32)>> {
        let partitions = self.rule == Rule::StaticPartitions;
        let allowed = |i: usize| {
            self.cell.nodes()[i].usable
                && (!partitions || Self::owns(&job.workspace, i))
        };
        let found = placement::candidates(
            &self.cell,
            &job.shape,
            CapacityView::Free,
            allowed,
        );
        found.into_iter().next().map(|p| p.shares)
    }

    fn schedule(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut first = 0;
        loop {
            let order = self.order();
            let skips = matches!(
                self.rule,
                Rule::GreedyPacking | Rule::StaticPartitions
            );
            let found = order.iter().skip(first).find_map(|i| {
                let shares = self.place(&self.queue[*i]);
                shares
                    .map(|s| (*i, s))
                    .or_else(|| (!skips).then_some((usize::MAX, Vec::new())))
            });
            let Some((i, shares)) = found.filter(|f| f.0 != usize::MAX) else {
                return orders;
            };
            first = if skips { i } else { 0 };
            let job = self.queue.remove(i);
            let run = Run {
                job: job.id,
                attempt: Attempt(0),
            };
            for (node, parts) in &shares {
                let need = job.shape.required_capacity(*parts);
                let allocation = WorkerAllocation {
                    need,
                    band: Band::Unpromised,
                };
                self.cell.allocate(*node, run, allocation);
            }
            let id = job.id;
            let start = Order::Start {
                job: id,
                shares: shares.clone(),
            };
            self.running.insert(id, (job, shares));
            orders.push(start);
        }
    }
}

impl Scheduler for Baseline {
    fn name(&self) -> &'static str {
        match self.rule {
            Rule::FirstInFirstOut => "first in, first out",
            Rule::FairShare => "fair share",
            Rule::GreedyPacking => "greedy packing",
            Rule::StaticPartitions => "static partitions",
        }
    }

    fn submit(&mut self, _now: Duration, work: &Work) -> Vec<Order> {
        self.queue.push(work.job.clone());
        self.schedule()
    }

    fn cancel(&mut self, _now: Duration, job: JobId) -> Vec<Order> {
        self.queue.retain(|j| j.id != job);
        self.schedule()
    }

    fn ended(&mut self, _now: Duration, job: JobId, end: End) -> Vec<Order> {
        if let Some((job, shares)) = self.running.remove(&job) {
            let run = Run {
                job: job.id,
                attempt: Attempt(0),
            };
            for (node, _) in shares {
                self.cell.deallocate(node, run);
            }
            if matches!(end, End::Failed(_) | End::Lost) {
                self.queue.insert(0, job);
            }
        }
        self.schedule()
    }

    fn worker(&mut self, _now: Duration, i: usize, up: bool) -> Vec<Order> {
        let (place, capacity) = &self.workers[i];
        let node = self.cell.update(&Worker {
            name: format!("n{i:02}"),
            incarnation: 1,
            address: String::new(),
            place: place.clone(),
            capacity: *capacity,
        });
        self.cell.node_mut(node).usable = up;
        if up { self.schedule() } else { Vec::new() }
    }

    fn tick(&mut self, _now: Duration) -> Vec<Order> {
        Vec::new()
    }
}
