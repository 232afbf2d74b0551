//! Which worker a new connection goes to.

/// A worker as the one who accepts connections sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerLoad {
    pub connections: usize,
    /// It has shown lately that it runs.
    pub is_alive: bool,
}

/// The worker with fewest connections of those that live, or of all where none does; of several, the next
/// in turn. One firm that opens all its connections at once is spread like any other, and a worker that
/// stands still gets no more of them.
pub fn choose_worker(loads: &[WorkerLoad], turn: usize) -> usize {
    let count = loads.len().max(1);
    let from_turn = |worker: usize| (worker + count - turn % count) % count;
    let order = |worker: &usize| {
        let load = loads[*worker];
        (!load.is_alive, load.connections, from_turn(*worker))
    };
    (0..loads.len()).min_by_key(order).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn loads(connections: &[usize], dead: usize) -> Vec<WorkerLoad> {
        let load = |(place, connections): (usize, &usize)| WorkerLoad {
            connections: *connections,
            is_alive: place != dead,
        };
        connections.iter().enumerate().map(load).collect()
    }

    #[test]
    fn a_burst_of_one_firm_is_spread_evenly() {
        let mut counts = [0; 4];
        for turn in 0..200 {
            counts[choose_worker(&loads(&counts, 9), turn)] += 1;
        }
        assert_eq!(counts, [50; 4]);
    }

    #[test]
    fn the_emptiest_worker_that_lives_is_taken_and_ties_go_in_turn() {
        assert_eq!(choose_worker(&loads(&[5, 3, 4], 9), 0), 1);
        assert_eq!(choose_worker(&loads(&[5, 3, 4], 1), 0), 2);
        assert_eq!(choose_worker(&loads(&[2, 2, 2], 9), 1), 1);
        assert_eq!(choose_worker(&loads(&[2, 2, 2], 9), 5), 2);
        assert_eq!(
            choose_worker(&loads(&[7], 0), 3),
            0,
            "it stands still, but there is no other"
        );
    }
}
