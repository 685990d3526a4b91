//! The workers of a cell and the capacity that is allocated on each.

use std::collections::BTreeMap;

use figrill_state::{
    job::Adjacency,
    worker::{Capacity, Place, Worker},
};

use crate::message::{Band, Run};

/// What a run takes from one worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerAllocation {
    /// The capacity that the run's parts take from the worker.
    pub capacity: Capacity,
    /// The kind of capacity, which decides whether it can be reclaimed.
    pub band: Band,
}

/// One worker with its allocations. It is called a node to tell it apart from
/// [`Worker`], which is what an agent reports.
#[derive(Debug)]
pub struct Node {
    /// The worker's name, from the settings of its agent.
    pub name: String,
    /// The incarnation of its agent, as last reported.
    pub incarnation: u64,
    /// The address at which other agents reach its agent.
    pub address: String,
    /// The rack and failure domain of the worker.
    pub place: Place,
    /// The capacity that the worker offers now.
    pub capacity: Capacity,
    /// The last capacity above zero that the worker has offered. It is kept
    /// while the worker is disconnected.
    pub nominal: Capacity,
    /// Whether the worker may be given new work.
    pub usable: bool,
    used: Capacity,
    non_reclaimable: Capacity,
    runs: BTreeMap<Run, WorkerAllocation>,
}

/// Which allocations count when remaining capacity is computed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CapacityView {
    /// All allocations count.
    Free,
    /// Only allocations that can't be reclaimed count.
    AfterReclaim,
    /// No allocations count: the nominal capacity, even if the worker may not
    /// be given new work.
    Empty,
}

impl Node {
    /// Returns the remaining capacity of the worker. Unless the view is
    /// [`CapacityView::Empty`], it is zero for a worker that may not be given
    /// new work.
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

    /// Returns the sum of all allocations. It may exceed the worker's capacity
    /// while borrowers are being reclaimed.
    #[must_use]
    pub const fn used(&self) -> Capacity {
        self.used
    }

    /// Returns the allocations of all runs on this worker.
    #[must_use]
    pub const fn runs(&self) -> &BTreeMap<Run, WorkerAllocation> {
        &self.runs
    }

    fn recompute_totals(&mut self) {
        self.used = Capacity::default();
        self.non_reclaimable = Capacity::default();
        for allocation in self.runs.values() {
            self.used = self.used.plus(allocation.capacity);
            if allocation.band != Band::Borrowed {
                self.non_reclaimable =
                    self.non_reclaimable.plus(allocation.capacity);
            }
        }
    }
}

/// The groups of workers among which the parts of a gang may be spread, for
/// each level of adjacency.
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
    /// Returns all workers. The index of a worker stays valid until the worker
    /// is retired.
    #[must_use]
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// Returns the index of the worker with this name.
    #[must_use]
    pub fn index(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns the worker with this name.
    #[must_use]
    pub fn node(&self, name: &str) -> Option<&Node> {
        self.index(name).map(|i| &self.nodes[i])
    }

    /// Returns the worker at an index for modification.
    pub fn node_mut(&mut self, i: usize) -> &mut Node {
        &mut self.nodes[i]
    }

    /// Adds or updates a worker and returns its index.
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

    /// Retires a worker that is not expected back. Its index is not used
    /// again, so that the indices of the other workers do not change.
    pub fn retire(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        self.names.remove(&node.name);
        node.nominal = Capacity::default();
        node.capacity = Capacity::default();
        node.usable = false;
        self.regroup();
    }

    /// Computes the groups from the places of all workers that are not
    /// retired.
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

    /// Returns the groups of workers for a level of adjacency, by index. All
    /// parts of a gang with that adjacency must be in one group.
    #[must_use]
    pub fn groups(&self, adjacency: Adjacency) -> &[Vec<usize>] {
        match adjacency {
            Adjacency::Worker => &self.groups.worker,
            Adjacency::Rack => &self.groups.rack,
            Adjacency::FailureDomain => &self.groups.failure_domain,
            Adjacency::None => &self.groups.cell,
        }
    }

    /// Allocates what a run takes from a worker, in place of an earlier
    /// allocation of the run there.
    pub fn allocate(
        &mut self,
        i: usize,
        run: Run,
        allocation: WorkerAllocation,
    ) {
        self.nodes[i].runs.insert(run, allocation);
        self.nodes[i].recompute_totals();
    }

    /// Removes a run's allocation from a worker.
    pub fn deallocate(&mut self, i: usize, run: Run) {
        self.nodes[i].runs.remove(&run);
        self.nodes[i].recompute_totals();
    }

    /// Returns whether a run has an allocation on any worker.
    #[must_use]
    pub fn is_allocated(&self, run: Run) -> bool {
        self.nodes.iter().any(|n| n.runs.contains_key(&run))
    }

    /// Returns the number of accelerators on workers that may be given work.
    #[must_use]
    pub fn accelerators(&self) -> u32 {
        let usable = self.nodes.iter().filter(|n| n.usable);
        usable.map(|n| n.capacity.accelerators).sum()
    }

    /// Returns the most free accelerators that are in one rack.
    pub(super) fn largest_free_rack(&self) -> u32 {
        let free = |i: &usize| {
            let capacity = self.nodes[*i].remaining(CapacityView::Free);
            capacity.accelerators
        };
        let racks = self.groups(Adjacency::Rack).iter();
        racks
            .map(|rack| rack.iter().map(free).sum())
            .max()
            .unwrap_or(0)
    }

    /// Returns the number of free accelerators on workers that may be given
    /// work.
    #[must_use]
    pub fn free_accelerators(&self) -> u32 {
        self.nodes
            .iter()
            .map(|n| n.remaining(CapacityView::Free).accelerators)
            .sum()
    }
}
