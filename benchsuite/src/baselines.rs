//! Baseline schedulers that the policy benchmark compares figrill with. Each
//! has one queue and a policy that selects which queued jobs may start next.

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
    mixes::WorkItem,
    pool::{Order, RunEnd, Scheduler},
};

/// Selects which queued job may start next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The oldest job. No other job starts before it.
    FirstInFirstOut,
    /// The oldest job of the workspace with the least usage for its weight.
    /// No other job starts before it.
    FairShare,
    /// Any job that fits, in order of arrival.
    GreedyPacking,
    /// Any job that fits the workers assigned to its workspace, in order of
    /// arrival.
    StaticPartitions,
}

/// A scheduler with one queue and one policy.
pub struct Baseline {
    policy: Policy,
    cell: Cell,
    workers: Vec<(Place, Capacity)>,
    queue: Vec<Job>,
    running: BTreeMap<JobId, (Job, Vec<(usize, u32)>)>,
}

impl Baseline {
    /// Returns a baseline scheduler for the given workers, all of them down.
    pub fn new(policy: Policy, workers: &[(Place, Capacity)]) -> Self {
        Self {
            policy,
            cell: Cell::default(),
            workers: workers.to_vec(),
            queue: Vec::new(),
            running: BTreeMap::new(),
        }
    }

    /// Returns the number of accelerators that a workspace's jobs use.
    fn accelerators_in_use(&self, workspace: &str) -> u32 {
        let jobs = self.running.values().map(|(job, _)| job);
        let jobs = jobs.filter(|job| job.workspace == workspace);
        jobs.map(|job| job.shape.total_accelerators()).sum()
    }

    /// Returns whether worker `i` is assigned to a workspace. Workers are
    /// split roughly by the workspaces' weights.
    fn is_assigned(workspace: &str, i: usize) -> bool {
        match workspace {
            "w1" => i < 5,
            "w2" => (5..7).contains(&i),
            "w3" => (7..9).contains(&i),
            _ => i == 9,
        }
    }

    /// Returns the indices of the queued jobs that may start, in the order
    /// in which to try them.
    fn eligible_jobs(&self) -> Vec<usize> {
        let mut eligible: Vec<usize> = (0..self.queue.len()).collect();
        if self.policy == Policy::FairShare {
            let weight = |w: &str| match w {
                "w1" => 4,
                "w2" => 2,
                _ => 1,
            };
            let shares: BTreeMap<&str, u32> = ["w1", "w2", "w3", "w4"]
                .into_iter()
                .map(|w| (w, self.accelerators_in_use(w) * 100 / weight(w)))
                .collect();
            // Under this policy no other job may start before the first.
            let share =
                |i: &usize| shares.get(self.queue[*i].workspace.as_str());
            let first = eligible.iter().min_by_key(|i| share(i)).copied();
            eligible = first.into_iter().collect();
        }
        eligible
    }

    /// Returns a placement for a job as workers with numbers of parts, or
    /// `None` if it does not fit.
    fn place(&self, job: &Job) -> Option<Vec<(usize, u32)>> {
        let partitions = self.policy == Policy::StaticPartitions;
        let allowed = |i: usize| {
            self.cell.nodes()[i].usable
                && (!partitions || Self::is_assigned(&job.workspace, i))
        };
        let found = placement::candidates(
            &self.cell,
            &job.shape,
            CapacityView::Free,
            allowed,
        );
        found.into_iter().next().map(|p| p.shares)
    }

    /// Starts queued jobs until none that may start fits.
    fn schedule(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut search_from = 0;
        loop {
            let eligible = self.eligible_jobs();
            let may_skip = matches!(
                self.policy,
                Policy::GreedyPacking | Policy::StaticPartitions
            );
            // A job that must start next but does not fit is marked by
            // `usize::MAX`. No job starts until it fits.
            let found = eligible.iter().skip(search_from).find_map(|i| {
                let shares = self.place(&self.queue[*i]);
                shares.map(|s| (*i, s)).or_else(|| {
                    (!may_skip).then_some((usize::MAX, Vec::new()))
                })
            });
            let Some((i, shares)) = found.filter(|f| f.0 != usize::MAX) else {
                return orders;
            };
            search_from = if may_skip { i } else { 0 };
            let job = self.queue.remove(i);
            let run = Run {
                job: job.id,
                attempt: Attempt(0),
            };
            for (node, parts) in &shares {
                let capacity = job.shape.required_capacity(*parts);
                let allocation = WorkerAllocation {
                    capacity,
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
        match self.policy {
            Policy::FirstInFirstOut => "first in, first out",
            Policy::FairShare => "fair share",
            Policy::GreedyPacking => "greedy packing",
            Policy::StaticPartitions => "static partitions",
        }
    }

    fn submit(&mut self, _now: Duration, item: &WorkItem) -> Vec<Order> {
        self.queue.push(item.job.clone());
        self.schedule()
    }

    fn cancel(&mut self, _now: Duration, job: JobId) -> Vec<Order> {
        self.queue.retain(|j| j.id != job);
        self.schedule()
    }

    fn run_ended(
        &mut self,
        _now: Duration,
        job: JobId,
        end: RunEnd,
    ) -> Vec<Order> {
        if let Some((job, shares)) = self.running.remove(&job) {
            let run = Run {
                job: job.id,
                attempt: Attempt(0),
            };
            for (node, _) in shares {
                self.cell.deallocate(node, run);
            }
            if matches!(end, RunEnd::Failed(_) | RunEnd::Lost) {
                self.queue.insert(0, job);
            }
        }
        self.schedule()
    }

    fn set_worker_up(
        &mut self,
        _now: Duration,
        i: usize,
        up: bool,
    ) -> Vec<Order> {
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
