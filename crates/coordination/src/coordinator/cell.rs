//! The books of a cell: its workers, and what is granted on each.

use std::collections::BTreeMap;

use figrill_state::{
    job::Adjacency,
    worker::{Capacity, Place, Worker},
};

use crate::message::{Band, Run};

/// What a run takes from one worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerAllocation {
    /// How much.
    pub need: Capacity,
    /// Whose capacity it is.
    pub band: Band,
}

/// One worker in the books.
#[derive(Debug)]
pub struct Node {
    /// The worker's name.
    pub name: String,
    /// The incarnation of its agent.
    pub incarnation: u64,
    /// Where its agent is reached.
    pub address: String,
    /// Where it stands.
    pub place: Place,
    /// What it offers now.
    pub capacity: Capacity,
    /// The most that it has offered, also while it is away.
    pub nominal: Capacity,
    /// Whether it may get new work.
    pub usable: bool,
    used: Capacity,
    non_reclaimable: Capacity,
    runs: BTreeMap<Run, WorkerAllocation>,
}

/// Which grants count as taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CapacityView {
    /// All of them.
    Free,
    /// Those that can't be reclaimed.
    AfterReclaim,
    /// None: the empty worker, also if it is away.
    Empty,
}

impl Node {
    /// What is left of the worker; nothing if it may get no new work.
    #[must_use]
    pub const fn remaining(&self, view: CapacityView) -> Capacity {
        match view {
            CapacityView::Empty => self.nominal,
            _ if !self.usable => Capacity {
                accelerators: 0,
                slots: 0,
                memory_mib: 0,
            },
            CapacityView::Free => self.capacity.minus(self.used),
            CapacityView::AfterReclaim => {
                self.capacity.minus(self.non_reclaimable)
            }
        }
    }

    /// What all grants take together; while borrowers leave it may be more
    /// than the worker has.
    #[must_use]
    pub const fn used(&self) -> Capacity {
        self.used
    }

    /// What is granted here.
    #[must_use]
    pub const fn runs(&self) -> &BTreeMap<Run, WorkerAllocation> {
        &self.runs
    }

    fn recompute_totals(&mut self) {
        self.used = Capacity::default();
        self.non_reclaimable = Capacity::default();
        for allocation in self.runs.values() {
            self.used = self.used.plus(allocation.need);
            if allocation.band != Band::Borrowed {
                self.non_reclaimable =
                    self.non_reclaimable.plus(allocation.need);
            }
        }
    }
}

/// The groups of workers inside which parts may be spread.
#[derive(Debug, Default)]
struct Groups {
    worker: Vec<Vec<usize>>,
    rack: Vec<Vec<usize>>,
    failure_domain: Vec<Vec<usize>>,
    cell: Vec<Vec<usize>>,
}

/// All workers of a cell.
#[derive(Debug, Default)]
pub struct Cell {
    nodes: Vec<Node>,
    names: BTreeMap<String, usize>,
    groups: Groups,
}

impl Cell {
    /// All workers; an index into this slice names one until it is
    /// forgotten.
    #[must_use]
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// The index of a worker.
    #[must_use]
    pub fn index(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// The worker of this name.
    #[must_use]
    pub fn node(&self, name: &str) -> Option<&Node> {
        self.index(name).map(|i| &self.nodes[i])
    }

    /// The worker at an index, to change.
    pub fn node_mut(&mut self, i: usize) -> &mut Node {
        &mut self.nodes[i]
    }

    /// Takes a worker in, or brings one up to date; returns its index.
    pub fn update(&mut self, worker: &Worker) -> usize {
        let i = self.index(&worker.name).unwrap_or_else(|| self.add(worker));
        let node = &mut self.nodes[i];
        let moved = node.place != worker.place;
        node.incarnation = worker.incarnation;
        node.address.clone_from(&worker.address);
        node.capacity = worker.capacity;
        if worker.capacity.accelerators > 0 || worker.capacity.slots > 0 {
            node.nominal = worker.capacity;
        }
        if moved {
            node.place = worker.place.clone();
            self.regroup();
        }
        i
    }

    fn add(&mut self, worker: &Worker) -> usize {
        let i = self.nodes.len();
        self.nodes.push(Node {
            name: worker.name.clone(),
            incarnation: worker.incarnation,
            address: worker.address.clone(),
            place: worker.place.clone(),
            capacity: worker.capacity,
            nominal: worker.capacity,
            usable: true,
            used: Capacity::default(),
            non_reclaimable: Capacity::default(),
            runs: BTreeMap::new(),
        });
        self.names.insert(worker.name.clone(), i);
        self.regroup();
        i
    }

    /// Forgets a worker that is gone for good. Others keep their index; the
    /// place of this one stays empty.
    pub fn retire(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        self.names.remove(&node.name);
        node.nominal = Capacity::default();
        node.capacity = Capacity::default();
        node.usable = false;
        self.regroup();
    }

    fn regroup(&mut self) {
        let known =
            |i: &usize| self.names.get(&self.nodes[*i].name) == Some(i);
        let all: Vec<usize> = (0..self.nodes.len()).filter(known).collect();
        let mut racks: BTreeMap<&Place, Vec<usize>> = BTreeMap::new();
        let mut domains: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for &i in &all {
            let place = &self.nodes[i].place;
            racks.entry(place).or_default().push(i);
            domains.entry(&place.failure_domain).or_default().push(i);
        }
        let groups = Groups {
            worker: all.iter().map(|i| vec![*i]).collect(),
            rack: racks.into_values().collect(),
            failure_domain: domains.into_values().collect(),
            cell: vec![all],
        };
        self.groups = groups;
    }

    /// The groups inside which a gang of this adjacency fits.
    #[must_use]
    pub fn groups(&self, adjacency: Adjacency) -> &[Vec<usize>] {
        match adjacency {
            Adjacency::Worker => &self.groups.worker,
            Adjacency::Rack => &self.groups.rack,
            Adjacency::FailureDomain => &self.groups.failure_domain,
            Adjacency::None => &self.groups.cell,
        }
    }

    /// Books a run's need on a worker, in place of an earlier booking.
    pub fn allocate(
        &mut self,
        i: usize,
        run: Run,
        allocation: WorkerAllocation,
    ) {
        self.nodes[i].runs.insert(run, allocation);
        self.nodes[i].recompute_totals();
    }

    /// Takes a booking back.
    pub fn deallocate(&mut self, i: usize, run: Run) {
        self.nodes[i].runs.remove(&run);
        self.nodes[i].recompute_totals();
    }

    /// Whether a run is booked anywhere.
    #[must_use]
    pub fn is_allocated(&self, run: Run) -> bool {
        self.nodes.iter().any(|n| n.runs.contains_key(&run))
    }

    /// Accelerators of all workers that may get work.
    #[must_use]
    pub fn accelerators(&self) -> u32 {
        let usable = self.nodes.iter().filter(|n| n.usable);
        usable.map(|n| n.capacity.accelerators).sum()
    }

    /// Accelerators that are free.
    #[must_use]
    pub fn free_accelerators(&self) -> u32 {
        self.nodes
            .iter()
            .map(|n| n.remaining(CapacityView::Free).accelerators)
            .sum()
    }
}
