//! A quota that is divided among shards: each shard leases a part of it, and renews the lease with
//! each decision.

/// Leases of a number of equal units, for example open requests. The sum of what is granted never
/// exceeds the limit; what a shard does not use moves to shards that need it at their next renewal.
#[derive(Debug)]
pub struct SharedQuota {
    limit: usize,
    /// Granted to each shard.
    granted: Vec<usize>,
}

impl SharedQuota {
    pub fn new(shard_count: usize, limit: usize) -> SharedQuota {
        SharedQuota {
            limit,
            granted: vec![0; shard_count],
        }
    }

    /// Changes the limit. After a decrease, shards return what exceeds it when they renew their
    /// leases.
    pub fn reconfigure(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Renews the lease of a shard that uses `used`, and returns the new lease: what the shard uses
    /// and its part of what is free. The result is less than `used` only where the shard has
    /// exceeded its lease.
    pub fn renew(&mut self, shard: usize, used: usize) -> usize {
        let granted_to_siblings = self.granted.iter().sum::<usize>() - self.granted[shard];
        let available = self.limit.saturating_sub(granted_to_siblings);
        // Half of what is free is kept for the next renewals, so that it reaches the shards that
        // need it.
        let free = available.saturating_sub(used);
        let is_only_shard = self.granted.len() == 1;
        let spare = if is_only_shard {
            free
        } else {
            free.div_ceil(2)
        };
        let granted = (used + spare).min(available);
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
    fn free_quota_moves_to_the_shard_that_needs_it() {
        let mut quota = SharedQuota::new(2, 100);
        assert_eq!(quota.renew(0, 0), 50);
        assert_eq!(quota.renew(1, 0), 25);
        let mut used = 0;
        for _ in 0..8 {
            used = quota.renew(0, used);
            quota.renew(1, 0);
        }
        assert!(used >= 90, "{used} of 100 after eight renewals");
        quota.release(0);
        assert!(quota.renew(1, 0) >= 50);
    }
}
