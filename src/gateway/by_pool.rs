//! What is kept for each pool, made when the pool is first asked for.

/// One value by pool.
#[derive(Clone, Debug)]
pub(crate) struct ByPool<T> {
    /// Sorted by the pool's name.
    pools: Vec<(String, T)>,
}

impl<T> Default for ByPool<T> {
    fn default() -> Self {
        Self { pools: Vec::new() }
    }
}

impl<T: Default> ByPool<T> {
    /// The value of a pool.
    pub fn of(&mut self, pool: &str) -> &mut T {
        let found = self.find(pool);
        let place = found.unwrap_or_else(|place| {
            self.pools.insert(place, (pool.to_owned(), T::default()));
            place
        });
        &mut self.pools[place].1
    }

    /// The value of a pool that has been asked for before.
    pub fn get(&self, pool: &str) -> Option<&T> {
        self.find(pool).ok().map(|place| &self.pools[place].1)
    }

    /// All pools with their values.
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
