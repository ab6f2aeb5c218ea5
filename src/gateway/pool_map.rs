//! A map from pools to values, which creates a default value at the first access to a pool.

/// A map with one value for each pool.
#[derive(Clone, Debug)]
pub(crate) struct PoolMap<T> {
    /// Pairs of pool name and value, sorted by name.
    pools: Vec<(String, T)>,
}

impl<T> Default for PoolMap<T> {
    fn default() -> Self {
        Self { pools: Vec::new() }
    }
}

impl<T: Default> PoolMap<T> {
    /// Returns the value of a pool; inserts a default value if the pool has none.
    pub fn get_or_default(&mut self, pool: &str) -> &mut T {
        let found = self.find(pool);
        let index = found.unwrap_or_else(|index| {
            self.pools.insert(index, (pool.to_owned(), T::default()));
            index
        });
        &mut self.pools[index].1
    }

    /// Returns the value of a pool, if it has one.
    pub fn get(&self, pool: &str) -> Option<&T> {
        self.find(pool).ok().map(|index| &self.pools[index].1)
    }

    /// Iterates over all pools and their values, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.pools
            .iter()
            .map(|(pool, value)| (pool.as_str(), value))
    }

    fn find(&self, pool: &str) -> Result<usize, usize> {
        self.pools
            .binary_search_by(|(name, _value)| name.as_str().cmp(pool))
    }
}
