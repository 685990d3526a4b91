//! The order of waiting groups by the cost of their delay; see [`super::cost`].

use super::{
    Now, Scheduler,
    cost::{Lateness, turns::Waiting},
    task_group::TaskGroup,
};

impl Scheduler {
    /// Orders groups by what their delay costs, and decides whose turn it is
    /// among those that are late.
    pub(super) fn order_by_delay_cost(
        &mut self,
        now: Now,
        groups: &mut [TaskGroup],
    ) {
        let waiting = groups.iter().map(|g| Waiting {
            first: g.first(),
            ready_at: g.ready_at,
            demand: g.demand,
        });
        let turns = &mut self.delay_costs.turns;
        let turn = turns.next(now.monotonic, now.wall_ms, waiting);
        for group in groups.iter_mut() {
            group.has_turn = turn == Some(group.first());
        }
        groups.sort_by_cached_key(|g| {
            g.demand.order(now.wall_ms, g.first(), g.has_turn)
        });
    }

    /// Records the placement of tasks of a group for the turns of late ones.
    pub(super) fn record_turn(&mut self, group: &TaskGroup, placed: u32) {
        if placed == 0 || !self.features.delay_cost {
            return;
        }
        let fraction = f64::from(placed) / f64::from(group.count());
        let work = group.demand.work * fraction;
        let turns = &mut self.delay_costs.turns;
        turns.record_placement(work, group.has_turn);
    }

    /// Returns whether capacity is freed or reserved for a group as soon as it
    /// does not fit. Work without any value left first waits like work below
    /// priority 0, unless it has a turn.
    pub(super) fn gets_capacity_at_once(
        &self,
        now: Now,
        group: &TaskGroup,
    ) -> bool {
        if !self.features.delay_cost {
            return group.priority == 0;
        }
        let has_value =
            || group.demand.lateness(now.wall_ms) != Lateness::Hopeless;
        group.claim || group.has_turn || group.priority == 0 && has_value()
    }

    /// Returns the fields of a log line that explain the position of a group;
    /// empty without the feature.
    pub(super) fn order_detail(&self, now: Now, group: &TaskGroup) -> String {
        if !self.features.delay_cost {
            return String::new();
        }
        let lateness = group.demand.lateness(now.wall_ms);
        let expected_ms = group.demand.expected.as_millis();
        let turn = group.has_turn;
        format!(" expected_ms={expected_ms} order={lateness:?} turn={turn}")
    }
}
