//! Plans the round of a crew: the order in which it visits its stops, and the
//! length of the route.

use serde::{Deserialize, Serialize};

/// The mean radius of the earth in metres.
const EARTH_RADIUS_M: f64 = 6_371_000.0;

/// A place on the map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The name of the place.
    pub name: String,
    /// The latitude in degrees north.
    pub lat: f64,
    /// The longitude in degrees east.
    pub lon: f64,
}

/// The stops that a crew has to visit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Round {
    /// The name of the crew.
    pub crew: String,
    /// The place where the round starts and ends.
    pub depot: Place,
    /// The places to visit.
    pub stops: Vec<Place>,
}

/// The planned round of a crew.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The name of the crew.
    pub crew: String,
    /// The names of the stops in the order of the visits, without the depot.
    pub order: Vec<String>,
    /// The length of the route from the depot through all stops and back, in
    /// metres.
    pub length_m: u64,
}

/// Returns the great-circle distance in metres, by the haversine formula.
#[must_use]
pub fn distance(a: &Place, b: &Place) -> f64 {
    let (lat_a, lat_b) = (a.lat.to_radians(), b.lat.to_radians());
    let half_lat = ((lat_b - lat_a) / 2.0).sin();
    let half_lon = ((b.lon - a.lon).to_radians() / 2.0).sin();
    let h =
        half_lat * half_lat + lat_a.cos() * lat_b.cos() * half_lon * half_lon;
    2.0 * EARTH_RADIUS_M * h.sqrt().min(1.0).asin()
}

/// Returns the length of the route from the depot through `stops` and back, in
/// metres.
#[must_use]
pub fn length(depot: &Place, stops: &[&Place]) -> f64 {
    let mut current = depot;
    let mut sum = 0.0;
    for stop in stops {
        sum += distance(current, stop);
        current = stop;
    }
    sum + distance(current, depot)
}

/// Plans a round. It starts from a nearest-neighbour tour and applies 2-opt
/// moves, which reverse a section of the tour, for as long as they shorten it.
#[must_use]
pub fn plan(round: &Round) -> Plan {
    let mut order = nearest_neighbour(round);
    while improve_by_two_opt(&round.depot, &mut order) {}
    let metres = length(&round.depot, &order).round();
    // Routes on earth have a positive length far below the limit of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let length_m = metres as u64;
    Plan {
        crew: round.crew.clone(),
        order: order.iter().map(|p| p.name.clone()).collect(),
        length_m,
    }
}

fn nearest_neighbour(round: &Round) -> Vec<&Place> {
    let mut unvisited: Vec<&Place> = round.stops.iter().collect();
    let mut order = Vec::with_capacity(unvisited.len());
    let mut current = &round.depot;
    while !unvisited.is_empty() {
        let distance_to = |p: &&Place| distance(current, p);
        let next = (0..unvisited.len())
            .min_by(|a, b| {
                distance_to(&unvisited[*a])
                    .total_cmp(&distance_to(&unvisited[*b]))
            })
            .unwrap_or(0);
        current = unvisited.swap_remove(next);
        order.push(current);
    }
    order
}

fn improve_by_two_opt(depot: &Place, order: &mut [&Place]) -> bool {
    let count = order.len();
    for i in 0..count {
        for j in i + 1..count {
            let before = if i == 0 { depot } else { order[i - 1] };
            let after = if j + 1 == count { depot } else { order[j + 1] };
            let current =
                distance(before, order[i]) + distance(order[j], after);
            let reversed =
                distance(before, order[j]) + distance(order[i], after);
            // A move must save at least a millimetre. Otherwise rounding
            // errors could let the same moves repeat for ever.
            if reversed + 0.001 < current {
                order[i..=j].reverse();
                return true;
            }
        }
    }
    false
}
