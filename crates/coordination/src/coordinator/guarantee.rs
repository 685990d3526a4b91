//! The guaranteed shapes, which a workspace can claim at any time.
//!
//! Guaranteed shapes are not pinned to workers. Instead, every grant preserves
//! one invariant: all idle guaranteed shapes still pack into the capacity that
//! remains when borrowed work is removed. A grant that would violate the
//! invariant either becomes borrowed, and so reclaimable, or has to wait.
//!
//! The packing heuristic places the largest blocks first, each into the
//! tightest fit. If it misses a packing that exists, a grant is marked as
//! borrowed without need, but no guarantee is violated.

use std::collections::BTreeMap;

use figrill_state::{
    job::{Adjacency, Shape},
    settings::Tree,
    worker::Capacity,
};

use crate::message::Run;

use super::cell::{CapacityView, Cell};

/// One guaranteed shape of one workspace. `idle` holds the unclaimed
/// accelerators of each of its blocks, one block for each part.
#[derive(Clone, Debug)]
struct ShapeInstance {
    workspace: String,
    adjacency: Adjacency,
    accelerators_per_part: u32,
    idle: Vec<u32>,
}

/// The share of a workspace's guarantee that a run uses or could use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    blocks: Vec<BlockClaim>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct BlockClaim {
    instance: usize,
    block: usize,
    accelerators: u32,
}

/// How many accelerators of the idle guarantees pack into a cell, and so can
/// be served.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Packed {
    /// The number that the current workers can serve.
    pub now: u32,
    /// The number that can still be served after the loss of the rack whose
    /// loss costs most.
    pub after_rack_loss: u32,
}

impl Packed {
    /// Returns whether this is at least as much as `wanted` in both respects.
    #[must_use]
    pub const fn serves(self, wanted: Self) -> bool {
        self.now >= wanted.now
            && self.after_rack_loss >= wanted.after_rack_loss
    }

    /// Returns how much must still be served once `taken` accelerators of the
    /// guarantees have been claimed.
    #[must_use]
    pub const fn minus(self, taken: u32) -> Self {
        Self {
            now: self.now.saturating_sub(taken),
            after_rack_loss: self.after_rack_loss.saturating_sub(taken),
        }
    }
}

/// A guaranteed shape that does not fit the known workers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shortfall {
    /// The workspace that the shape is guaranteed to.
    pub workspace: String,
    /// The number of parts and the accelerators of each part.
    pub shape: (u32, u32),
    /// The number of missing accelerators.
    pub accelerators: u32,
}

/// All guarantees of a cell and the claims of its runs.
#[derive(Debug, Default)]
pub struct Guarantees {
    instances: Vec<ShapeInstance>,
    claims: BTreeMap<Run, Claim>,
}

impl Guarantees {
    /// Creates the guarantees that the settings define, with nothing claimed.
    #[must_use]
    pub fn new(tree: &Tree) -> Self {
        let mut instances = Vec::new();
        for (name, workspace) in tree.workspaces() {
            for shape in &workspace.guarantee {
                instances.push(ShapeInstance {
                    workspace: name.to_owned(),
                    adjacency: if shape.parts == 1 {
                        Adjacency::Worker
                    } else {
                        shape.adjacency
                    },
                    accelerators_per_part: shape.accelerators,
                    idle: block_sizes(shape),
                });
            }
        }
        Self {
            instances,
            claims: BTreeMap::new(),
        }
    }

    /// Returns a claim on idle capacity of a workspace's guarantee for a shape
    /// that needs `per_part` accelerators for each part, or `None` if too
    /// little is idle. Of the guaranteed shapes that can serve it alone, the
    /// one with the least idle capacity is chosen. Several are combined only
    /// if `shape` has no adjacency.
    #[must_use]
    pub fn find_idle(
        &self,
        workspace: &str,
        shape: &Shape,
        per_part: u32,
    ) -> Option<Claim> {
        let own = |(i, instance): (usize, &ShapeInstance)| {
            (instance.workspace == workspace).then_some(i)
        };
        let own: Vec<usize> =
            self.instances.iter().enumerate().filter_map(own).collect();
        let single = own
            .iter()
            .filter(|i| self.instances[**i].adjacency >= shape.adjacency)
            .filter_map(|i| {
                let claim = self.claim_from(&[*i], shape.parts, per_part)?;
                let idle: u32 = self.instances[*i].idle.iter().sum();
                Some((idle, claim))
            })
            .min_by_key(|(idle, _)| *idle)
            .map(|(_, claim)| claim);
        if single.is_some() || shape.adjacency != Adjacency::None {
            return single;
        }
        self.claim_from(&own, shape.parts, per_part)
    }

    /// Returns a claim on idle blocks of these instances that holds all parts,
    /// if there are enough.
    fn claim_from(
        &self,
        instances: &[usize],
        parts: u32,
        per_part: u32,
    ) -> Option<Claim> {
        let per_part = per_part.max(1);
        let mut unclaimed = parts;
        let mut claimed = Vec::new();
        for &instance in instances {
            let idle = &self.instances[instance].idle;
            for (block, left) in idle.iter().enumerate() {
                let taken = (left / per_part).min(unclaimed);
                if taken > 0 {
                    let accelerators = taken * per_part;
                    claimed.push(BlockClaim {
                        instance,
                        block,
                        accelerators,
                    });
                    unclaimed -= taken;
                }
            }
        }
        (unclaimed == 0).then_some(Claim { blocks: claimed })
    }

    /// Records the claim of a run, whose blocks are then no longer idle.
    pub fn claim(&mut self, run: Run, claim: Claim) {
        self.apply(&claim, |idle, n| *idle = idle.saturating_sub(n));
        self.claims.insert(run, claim);
    }

    /// Removes the claim of a run, if it has one. Its blocks are idle again.
    pub fn release_claim(&mut self, run: Run) {
        if let Some(claim) = self.claims.remove(&run) {
            self.apply(&claim, |idle, n| *idle += n);
        }
    }

    /// Returns whether a run has a claim.
    #[must_use]
    pub fn has_claim(&self, run: Run) -> bool {
        self.claims.contains_key(&run)
    }

    fn apply(&mut self, claim: &Claim, change: impl Fn(&mut u32, u32)) {
        for claimed in &claim.blocks {
            let instance = &mut self.instances[claimed.instance];
            change(&mut instance.idle[claimed.block], claimed.accelerators);
        }
    }

    /// Returns how much of the idle guarantees packs into the cell beside the
    /// grants that can't be reclaimed, once `additional` is granted and
    /// `claim` is taken. Also evaluates the loss of each single rack.
    #[must_use]
    pub fn pack(
        &self,
        cell: &Cell,
        additional: &[(usize, Capacity)],
        claim: Option<&Claim>,
    ) -> Packed {
        let mut base = remaining_capacity(cell, CapacityView::AfterReclaim);
        for (i, need) in additional {
            base[*i] = base[*i].minus(*need);
        }
        let total = |mut remaining: Vec<Capacity>| -> u32 {
            let results = self.pack_idle_shapes(cell, &mut remaining, claim);
            results.iter().map(|s| s.1).sum()
        };
        let racks = cell.groups(Adjacency::Rack);
        let worst = racks.iter().map(|rack| {
            let mut remaining = base.clone();
            for i in rack {
                remaining[*i] = Capacity::default();
            }
            total(remaining)
        });
        let after_rack_loss = worst.min().unwrap_or(0);
        Packed {
            now: total(base),
            after_rack_loss,
        }
    }

    /// Returns whether all guarantees, when idle, pack into the empty cell as
    /// well with `additional` allocated as without it.
    #[must_use]
    pub fn fit_beside(
        &self,
        cell: &Cell,
        additional: &[(usize, Capacity)],
    ) -> bool {
        let total = |mut remaining: Vec<Capacity>| -> u32 {
            let results = self.pack_idle_shapes(cell, &mut remaining, None);
            results.iter().map(|s| s.1).sum()
        };
        let empty = remaining_capacity(cell, CapacityView::Empty);
        let mut beside = empty.clone();
        for (i, need) in additional {
            beside[*i] = beside[*i].minus(*need);
        }
        total(beside) >= total(empty)
    }

    /// Returns the guaranteed shapes that do not pack into the empty cell.
    #[must_use]
    pub fn shortfalls(&self, cell: &Cell) -> Vec<Shortfall> {
        let mut remaining = remaining_capacity(cell, CapacityView::Empty);
        let results = self.pack_idle_shapes(cell, &mut remaining, None);
        results
            .into_iter()
            .filter(|(_, packed, wanted)| packed < wanted)
            .map(|(i, packed, wanted)| {
                let instance = &self.instances[i];
                let parts = u32::try_from(instance.idle.len());
                Shortfall {
                    workspace: instance.workspace.clone(),
                    shape: (
                        parts.unwrap_or(u32::MAX),
                        instance.accelerators_per_part,
                    ),
                    accelerators: wanted - packed,
                }
            })
            .collect()
    }

    /// Packs what is idle of each shape once `claim` is taken. Returns, for
    /// each shape, its index, the number of accelerators that were packed and
    /// the number that were wanted.
    ///
    /// The order is by the largest block, then by the largest shape, then by
    /// workspace. When workers are lost, the last shapes in this order are the
    /// first that can't be served.
    fn pack_idle_shapes(
        &self,
        cell: &Cell,
        remaining: &mut [Capacity],
        claim: Option<&Claim>,
    ) -> Vec<(usize, u32, u32)> {
        let mut wanted: Vec<(usize, Vec<u32>)> = self
            .instances
            .iter()
            .enumerate()
            .map(|(i, instance)| (i, idle_after(i, instance, claim)))
            .filter(|(_, blocks)| !blocks.is_empty())
            .collect();
        wanted.sort_by_key(|(i, blocks)| {
            let largest = blocks.first().copied().unwrap_or(0);
            let total: u32 = blocks.iter().sum();
            std::cmp::Reverse((largest, total, std::cmp::Reverse(*i)))
        });
        wanted
            .into_iter()
            .map(|(i, blocks)| {
                let total: u32 = blocks.iter().sum();
                let adjacency = self.instances[i].adjacency;
                let packed = pack_shape(cell, adjacency, &blocks, remaining);
                (i, if packed { total } else { 0 }, total)
            })
            .collect()
    }

    /// Returns the number of idle accelerators in all guarantees.
    #[must_use]
    pub fn idle_total(&self) -> u32 {
        self.instances.iter().flat_map(|i| i.idle.iter()).sum()
    }

    /// Returns the number of idle accelerators in a workspace's guarantee.
    #[must_use]
    pub fn idle(&self, workspace: &str) -> u32 {
        let own = self.instances.iter().filter(|i| i.workspace == workspace);
        own.flat_map(|i| i.idle.iter()).sum()
    }
}

fn block_sizes(shape: &Shape) -> Vec<u32> {
    (0..shape.parts).map(|_| shape.accelerators).collect()
}

/// Returns the idle blocks of an instance once `claim` is taken, largest
/// first.
fn idle_after(
    i: usize,
    instance: &ShapeInstance,
    claim: Option<&Claim>,
) -> Vec<u32> {
    let mut blocks = instance.idle.clone();
    let claimed_blocks = claim.map_or(&[][..], |c| c.blocks.as_slice());
    for claimed in claimed_blocks.iter().filter(|b| b.instance == i) {
        let block = &mut blocks[claimed.block];
        *block = block.saturating_sub(claimed.accelerators);
    }
    blocks.retain(|left| *left > 0);
    blocks.sort_unstable_by(|a, b| b.cmp(a));
    blocks
}

fn remaining_capacity(cell: &Cell, view: CapacityView) -> Vec<Capacity> {
    cell.nodes().iter().map(|n| n.remaining(view)).collect()
}

/// Packs the blocks of one shape into the tightest group that holds them.
/// Leaves `remaining` unchanged and returns `false` if there is none.
fn pack_shape(
    cell: &Cell,
    adjacency: Adjacency,
    blocks: &[u32],
    remaining: &mut [Capacity],
) -> bool {
    let free = |group: &Vec<usize>| -> u32 {
        group.iter().map(|i| remaining[*i].accelerators).sum()
    };
    let total: u32 = blocks.iter().sum();
    let mut groups: Vec<(u32, &Vec<usize>)> = cell
        .groups(adjacency)
        .iter()
        .map(|group| (free(group), group))
        .filter(|(free, _)| *free >= total)
        .collect();
    groups.sort_by_key(|(free, _)| *free);
    for (_, group) in groups {
        if pack_blocks(cell, group, blocks, remaining) {
            return true;
        }
    }
    false
}

/// Packs all blocks into one group, each into the tightest worker that holds
/// it. Leaves `remaining` unchanged and returns `false` if one does not fit.
fn pack_blocks(
    cell: &Cell,
    group: &[usize],
    blocks: &[u32],
    remaining: &mut [Capacity],
) -> bool {
    let mut taken: Vec<(usize, Capacity)> = Vec::new();
    for block in blocks {
        let best = group
            .iter()
            .map(|&i| (i, block_need(cell.nodes()[i].nominal, *block)))
            .filter(|(i, need)| remaining[*i].fits(*need))
            .min_by_key(|(i, _)| remaining[*i].accelerators);
        let Some((i, need)) = best else {
            for (i, need) in taken {
                remaining[i] = remaining[i].plus(need);
            }
            return false;
        };
        remaining[i] = remaining[i].minus(need);
        taken.push((i, need));
    }
    true
}

/// Returns the share of a worker that a block takes: slots and memory are
/// taken in proportion to the accelerators.
fn block_need(worker: Capacity, accelerators: u32) -> Capacity {
    let share = |all: u32| {
        let share = u64::from(all) * u64::from(accelerators);
        let share = share / u64::from(worker.accelerators.max(1));
        u32::try_from(share).unwrap_or(u32::MAX)
    };
    Capacity {
        accelerators,
        slots: share(worker.slots),
        memory_mib: share(worker.memory_mib),
    }
}

/// Returns the number of accelerators whose proportional share of a worker
/// covers one part of `shape`, also in slots and memory.
#[must_use]
pub fn accelerators_per_part(worker: Capacity, shape: &Shape) -> u32 {
    let cover = |wanted: u32, all: u32| {
        if all == 0 || wanted == 0 {
            return 0;
        }
        let wanted = u64::from(wanted) * u64::from(worker.accelerators);
        u32::try_from(wanted.div_ceil(u64::from(all))).unwrap_or(u32::MAX)
    };
    shape
        .accelerators
        .max(cover(1, worker.slots))
        .max(cover(shape.memory_mib, worker.memory_mib))
}

impl Claim {
    /// Returns the number of accelerators that the claim takes out of the idle
    /// guarantees.
    #[must_use]
    pub fn accelerators(&self) -> u32 {
        self.blocks.iter().map(|claimed| claimed.accelerators).sum()
    }
}
