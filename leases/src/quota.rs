//! A number that is divided among shards: each holds a lease of so many, and renews it as it goes.

/// Leases of a whole number, such as of requests that may be open. The sum of what is granted is never
/// more than the whole; what a shard does not use moves to those that do at its next renewal.
#[derive(Debug)]
pub struct SharedQuota {
    most: usize,
    /// What each shard has been granted.
    granted: Vec<usize>,
}

impl SharedQuota {
    pub fn new(shards: usize, most: usize) -> SharedQuota {
        SharedQuota {
            most,
            granted: vec![0; shards],
        }
    }

    /// So many from now on; a shard that has more gives them back as it renews.
    pub fn reconfigure(&mut self, most: usize) {
        self.most = most;
    }

    /// Renews a shard's lease, of which it uses so many, and gives the new one: what it uses, and its part
    /// of what is free. It is less than what is used only where the shard has gone beyond its lease.
    pub fn renew(&mut self, shard: usize, used: usize) -> usize {
        let taken = self.granted.iter().sum::<usize>() - self.granted[shard];
        let mine = self.most.saturating_sub(taken);
        // Half of what is free stays for those that come next, so that it moves to where it is asked for.
        let free = mine.saturating_sub(used);
        let alone = self.granted.len() == 1;
        let spare = if alone { free } else { free.div_ceil(2) };
        let granted = (used + spare).min(mine);
        self.granted[shard] = granted;
        granted
    }

    /// Ends a shard's lease.
    pub fn release(&mut self, shard: usize) {
        self.granted[shard] = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_free_moves_to_the_shard_that_asks_for_it() {
        let mut counts = SharedQuota::new(2, 100);
        assert_eq!(counts.renew(0, 0), 50);
        assert_eq!(counts.renew(1, 0), 25);
        let mut used = 0;
        for _ in 0..8 {
            used = counts.renew(0, used);
            counts.renew(1, 0);
        }
        assert!(used >= 90, "{used} of 100 after eight renewals");
        counts.release(0);
        assert!(counts.renew(1, 0) >= 50);
    }
}
