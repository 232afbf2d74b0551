//! Chooses the worker for a new connection.

/// The load of a worker as the acceptor of connections sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerLoad {
    pub connections: usize,
    /// Whether the worker has sent a heartbeat recently.
    pub is_alive: bool,
}

/// Chooses the live worker with the fewest connections, or any worker if none is alive. `turn`, the
/// number of the connection, breaks ties round-robin. A client that opens all its connections at
/// once is thus spread over the workers, and a stalled worker gets no more connections.
pub fn choose_worker(loads: &[WorkerLoad], turn: usize) -> usize {
    let count = loads.len().max(1);
    let distance_from_turn = |worker: usize| (worker + count - turn % count) % count;
    let sort_key = |worker: &usize| {
        let load = loads[*worker];
        (
            !load.is_alive,
            load.connections,
            distance_from_turn(*worker),
        )
    };
    (0..loads.len()).min_by_key(sort_key).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn loads(connections: &[usize], stalled_worker: usize) -> Vec<WorkerLoad> {
        let load = |(worker, connections): (usize, &usize)| WorkerLoad {
            connections: *connections,
            is_alive: worker != stalled_worker,
        };
        connections.iter().enumerate().map(load).collect()
    }

    #[test]
    fn a_burst_of_one_client_is_spread_evenly() {
        let mut counts = [0; 4];
        for turn in 0..200 {
            counts[choose_worker(&loads(&counts, 9), turn)] += 1;
        }
        assert_eq!(counts, [50; 4]);
    }

    #[test]
    fn the_least_loaded_live_worker_is_chosen_and_ties_go_round_robin() {
        assert_eq!(choose_worker(&loads(&[5, 3, 4], 9), 0), 1);
        assert_eq!(choose_worker(&loads(&[5, 3, 4], 1), 0), 2);
        assert_eq!(choose_worker(&loads(&[2, 2, 2], 9), 1), 1);
        assert_eq!(choose_worker(&loads(&[2, 2, 2], 9), 5), 2);
        assert_eq!(
            choose_worker(&loads(&[7], 0), 3),
            0,
            "the only worker is stalled"
        );
    }
}
