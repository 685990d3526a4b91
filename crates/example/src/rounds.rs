//! A crew's round: in which order to visit places, and how far it is.

use serde::{Deserialize, Serialize};

/// Mean radius of the earth in metres.
const EARTH_M: f64 = 6_371_000.0;

/// A place on the map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// Degrees north.
    pub lat: f64,
    /// Degrees east.
    pub lon: f64,
}

/// What a crew has to visit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Round {
    /// The crew.
    pub crew: String,
    /// Where it starts and ends.
    pub depot: Place,
    /// What it visits.
    pub stops: Vec<Place>,
}

/// In which order a crew visits its places.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The crew.
    pub crew: String,
    /// The places in order, without the depot.
    pub order: Vec<String>,
    /// The way from the depot through all places and back, in metres.
    pub length_m: u64,
}

/// The great-circle distance in metres.
#[must_use]
pub fn distance(a: &Place, b: &Place) -> f64 {
    let (lat_a, lat_b) = (a.lat.to_radians(), b.lat.to_radians());
    let half_lat = ((lat_b - lat_a) / 2.0).sin();
    let half_lon = ((b.lon - a.lon).to_radians() / 2.0).sin();
    let h =
        half_lat * half_lat + lat_a.cos() * lat_b.cos() * half_lon * half_lon;
    2.0 * EARTH_M * h.sqrt().min(1.0).asin()
}

/// The length of the way from the depot through `stops` and back.
#[must_use]
pub fn length(depot: &Place, stops: &[&Place]) -> f64 {
    let mut at = depot;
    let mut sum = 0.0;
    for stop in stops {
        sum += distance(at, stop);
        at = stop;
    }
    sum + distance(at, depot)
}

/// Plans a round: the nearest place next, then stretches turned around for
/// as long as that makes the way shorter.
#[must_use]
pub fn plan(round: &Round) -> Plan {
    let mut order = nearest_next(round);
    while improve(&round.depot, &mut order) {}
    let metres = length(&round.depot, &order).round();
    // Ways on earth are positive and far below the limit of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let length_m = metres as u64;
    Plan {
        crew: round.crew.clone(),
        order: order.iter().map(|p| p.name.clone()).collect(),
        length_m,
    }
}

fn nearest_next(round: &Round) -> Vec<&Place> {
    let mut rest: Vec<&Place> = round.stops.iter().collect();
    let mut order = Vec::with_capacity(rest.len());
    let mut at = &round.depot;
    while !rest.is_empty() {
        let far = |p: &&Place| distance(at, p);
        let next = (0..rest.len())
            .min_by(|a, b| far(&rest[*a]).total_cmp(&far(&rest[*b])))
            .unwrap_or(0);
        at = rest.swap_remove(next);
        order.push(at);
    }
    order
}

fn improve(depot: &Place, order: &mut [&Place]) -> bool {
    let count = order.len();
    for i in 0..count {
        for j in i + 1..count {
            let before = if i == 0 { depot } else { order[i - 1] };
            let after = if j + 1 == count { depot } else { order[j + 1] };
            let now = distance(before, order[i]) + distance(order[j], after);
            let turned =
                distance(before, order[j]) + distance(order[i], after);
            if turned + 0.001 < now {
                order[i..=j].reverse();
                return true;
            }
        }
    }
    false
}
