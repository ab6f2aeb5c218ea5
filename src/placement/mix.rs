//! Finds the cheapest mix of hosts that serves a demand after the loss of any failure domain.
//!
//! Let `x_d` be the capacity held in failure domain `d` and `m` the largest `x_d`. The capacity
//! after the worst loss is the sum of all `x_d` less `m`. For a given bound `m` the cheapest way to
//! reach a total is to take the cheapest capacity first, up to `m` in each failure domain. Without
//! rounding to whole hosts the cost is convex in `m`; with rounding it is not, so a few dozen
//! bounds are tried and the cheapest results are improved by local search over single hosts.

use std::cmp::Ordering;

use crate::keys::{ClassKey, DomainKey};
use crate::reclaim::num::ceil_to_u64;

/// Number of steps between the smallest and the largest useful bound.
const BOUND_STEPS: u32 = 24;

/// Number of results that are improved by local search.
const IMPROVED_MIXES_MAX: usize = 6;

/// Largest mix that is improved by local search; above, one host is too small a saving.
const IMPROVED_HOSTS_MAX: u32 = 200;

/// Upper bound on the exchanges that are tried for one result.
const EXCHANGE_TRIES_MAX: u32 = 2_000;

/// Tolerance for rounding errors in sums of capacities and costs.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Hosts of one class available in one failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// The failure domain.
    pub domain: DomainKey,
    /// The class.
    pub class: ClassKey,
    /// The price of one host.
    pub price_per_hour: f64,
    /// The fraction of the demand that one host serves.
    pub capacity: f64,
    /// Whether such a host may be reclaimed.
    pub reclaimable: bool,
    /// Number of hosts currently held, whose cost is reduced by `held_host_discount`.
    pub held: u32,
    /// Upper bound on the number of hosts to hold.
    pub limit: u32,
}

/// Capacity requirements of a mix, as fractions of the demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Capacity that must remain after the loss of any one failure domain.
    pub after_loss: f64,
    /// Capacity required on hosts that cannot be reclaimed.
    pub on_demand: f64,
    /// Fraction by which the price of a held host is reduced, which avoids needless replacement.
    pub held_host_discount: f64,
}

/// The number of hosts to hold of each offer.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix {
    /// Host counts, in the order of the offers.
    pub hosts: Vec<u32>,
    /// Whether the need is met in full; otherwise the mix has the least shortfall found.
    pub meets_need: bool,
}

/// Returns the cheapest mix found, or the one with the least shortfall if none meets the need.
#[must_use]
pub fn cheapest(offers: &[Offer], need: &Need) -> Mix {
    let search = Search::new(offers, *need);
    let bounds = search.bounds().into_iter();
    let mut candidates: Vec<Candidate<'_>> = bounds.map(|bound| search.fill(bound)).collect();
    for candidate in &mut candidates {
        candidate.remove_unneeded();
    }
    candidates.sort_by(Candidate::compare);
    candidates.truncate(IMPROVED_MIXES_MAX);
    let is_small =
        |candidate: &&mut Candidate<'_>| candidate.hosts.iter().sum::<u32>() <= IMPROVED_HOSTS_MAX;
    for candidate in candidates.iter_mut().filter(is_small) {
        candidate.exchange();
    }
    let best = candidates.into_iter().min_by(Candidate::compare);
    best.map_or_else(Mix::empty, |candidate| Mix {
        meets_need: candidate.meets_need(),
        hosts: candidate.hosts,
    })
}

impl Mix {
    fn empty() -> Self {
        Self {
            hosts: Vec::new(),
            meets_need: false,
        }
    }
}

/// Total capacity per failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Capacity {
    by_domain: Vec<(DomainKey, f64)>,
}

impl Capacity {
    /// Adds capacity in a failure domain; a negative amount removes capacity.
    pub fn add(&mut self, domain: DomainKey, amount: f64) {
        match self.by_domain.binary_search_by_key(&domain, |held| held.0) {
            Ok(index) => self.by_domain[index].1 += amount,
            Err(index) => self.by_domain.insert(index, (domain, amount)),
        }
    }

    /// Returns the capacity of all failure domains.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.by_domain.iter().map(|held| held.1).sum()
    }

    /// Returns the capacity that remains after the loss of the largest failure domain.
    #[must_use]
    pub fn after_worst_loss(&self) -> f64 {
        let largest = self.by_domain.iter().map(|held| held.1);
        self.total() - largest.fold(0.0, f64::max)
    }
}

impl FromIterator<(DomainKey, f64)> for Capacity {
    fn from_iter<I: IntoIterator<Item = (DomainKey, f64)>>(iter: I) -> Self {
        let mut capacity = Self::default();
        for (domain, amount) in iter {
            capacity.add(domain, amount);
        }
        capacity
    }
}

/// A group of hosts of one offer with equal cost: the held hosts, or additional ones.
#[derive(Clone, Copy, Debug)]
struct Segment {
    offer: usize,
    /// Cumulative number of hosts of the offer at the end of the segment.
    cumulative_hosts: u32,
    price_per_capacity: f64,
}

#[derive(Debug)]
struct Search<'a> {
    offers: &'a [Offer],
    /// The index of each offer's failure domain.
    domains: Vec<usize>,
    domain_count: usize,
    need: Need,
    /// Segments by ascending price per capacity.
    segments: Vec<Segment>,
    /// Offers by descending price per host.
    most_expensive_first: Vec<usize>,
}

impl<'a> Search<'a> {
    fn new(offers: &'a [Offer], need: Need) -> Self {
        let mut keys: Vec<DomainKey> = offers.iter().map(|offer| offer.domain).collect();
        keys.sort_unstable();
        keys.dedup();
        let domains = offers.iter().map(|offer| {
            let position = keys.binary_search(&offer.domain);
            position.unwrap_or_default()
        });
        let usable = offers.iter().enumerate();
        let usable = usable.filter(|(_, offer)| offer.capacity > 0.0);
        let mut segments: Vec<Segment> = usable
            .flat_map(|(index, offer)| segments_of(index, offer, need.held_host_discount))
            .collect();
        // The sort is stable, so that the held hosts of an offer precede additional ones.
        segments.sort_by(|a, b| a.price_per_capacity.total_cmp(&b.price_per_capacity));
        let mut most_expensive_first: Vec<usize> = (0..offers.len()).collect();
        most_expensive_first.sort_by(|a, b| {
            let price = |offer: &usize| offers[*offer].price_per_hour;
            price(b).total_cmp(&price(a))
        });
        Self {
            most_expensive_first,
            domains: domains.collect(),
            domain_count: keys.len(),
            offers,
            need,
            segments,
        }
    }

    /// Returns bounds on the capacity per failure domain, from an even spread over all to only two.
    fn bounds(&self) -> Vec<f64> {
        let others_max = u32::try_from(self.domain_count.saturating_sub(1)).unwrap_or(u32::MAX);
        let needed = self.need.after_loss;
        let smallest = needed / f64::from(others_max.max(1));
        let even = (1..=others_max).map(|others| needed / f64::from(others));
        let steps = (0..=BOUND_STEPS)
            .map(|step| smallest + (needed - smallest) * f64::from(step) / f64::from(BOUND_STEPS));
        let mut sizes: Vec<f64> = self.offers.iter().map(|offer| offer.capacity).collect();
        sizes.retain(|size| *size > 0.0);
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        // A bound just below a whole number of hosts loses one host in each failure domain.
        let whole_hosts = |bound: f64| {
            let sizes = sizes.iter();
            sizes.map(move |size| (bound / size - ROUNDING_TOLERANCE).ceil() * size)
        };
        let mut bounds: Vec<f64> = even.chain(steps).flat_map(whole_hosts).collect();
        bounds.sort_by(f64::total_cmp);
        bounds.dedup_by(|a, b| (*a - *b).abs() < ROUNDING_TOLERANCE);
        bounds
    }

    /// Takes the cheapest capacity up to the bound in each failure domain.
    fn fill(&'a self, bound: f64) -> Candidate<'a> {
        let mut candidate = Candidate::new(self);
        let on_demand = |segment: &&Segment| !self.offers[segment.offer].reclaimable;
        for segment in self.segments.iter().filter(on_demand) {
            let missing = self.need.on_demand - candidate.on_demand;
            candidate.take_segment(segment, bound, missing);
        }
        for segment in &self.segments {
            let missing = self.need.after_loss + bound - candidate.total();
            candidate.take_segment(segment, bound, missing);
        }
        candidate
    }
}

/// A candidate mix with its capacity and cost.
#[derive(Clone, Debug)]
struct Candidate<'a> {
    search: &'a Search<'a>,
    hosts: Vec<u32>,
    by_domain: Vec<f64>,
    on_demand: f64,
    cost: f64,
}

impl<'a> Candidate<'a> {
    fn new(search: &'a Search<'a>) -> Self {
        Self {
            hosts: vec![0; search.offers.len()],
            by_domain: vec![0.0; search.domain_count],
            on_demand: 0.0,
            cost: 0.0,
            search,
        }
    }

    fn take_segment(&mut self, segment: &Segment, bound: f64, missing: f64) {
        let offer = &self.search.offers[segment.offer];
        let held = self.by_domain[self.search.domains[segment.offer]];
        let fit = ((bound - held) / offer.capacity + ROUNDING_TOLERANCE).floor();
        let wanted = (missing / offer.capacity - ROUNDING_TOLERANCE).ceil();
        let remaining = segment
            .cumulative_hosts
            .saturating_sub(self.hosts[segment.offer]);
        let hosts = u32::try_from(ceil_to_u64(fit.min(wanted))).unwrap_or(u32::MAX);
        // All hosts of a segment have the same price.
        let hosts = hosts.min(remaining);
        let price = self.price_of(segment.offer, segment.cumulative_hosts);
        self.cost += price * f64::from(hosts);
        self.hosts[segment.offer] += hosts;
        self.add_capacity(segment.offer, f64::from(hosts));
    }

    fn add(&mut self, offer: usize) {
        self.cost += self.price_of(offer, self.hosts[offer] + 1);
        self.hosts[offer] += 1;
        self.add_capacity(offer, 1.0);
    }

    fn remove(&mut self, offer: usize) {
        self.cost -= self.price_of(offer, self.hosts[offer]);
        self.hosts[offer] -= 1;
        self.add_capacity(offer, -1.0);
    }

    fn add_capacity(&mut self, index: usize, hosts: f64) {
        let offer = &self.search.offers[index];
        let capacity = offer.capacity * hosts;
        self.by_domain[self.search.domains[index]] += capacity;
        self.on_demand += if offer.reclaimable { 0.0 } else { capacity };
    }

    /// Removes hosts that are not needed, most expensive first.
    fn remove_unneeded(&mut self) {
        if !self.meets_need() {
            return;
        }
        for offer in self.search.most_expensive_first.iter().copied() {
            while self.hosts[offer] > 0 {
                self.remove(offer);
                if !self.meets_need() {
                    self.add(offer);
                    break;
                }
            }
        }
    }

    /// Adds one or two hosts where they replace more expensive ones, until no exchange helps.
    fn exchange(&mut self) {
        let mut remaining_tries = EXCHANGE_TRIES_MAX;
        while self.exchange_once(&mut remaining_tries) {}
    }

    fn exchange_once(&mut self, remaining_tries: &mut u32) -> bool {
        let offers = 0..self.hosts.len();
        let none = [None].into_iter();
        for first in offers.clone() {
            for second in none.clone().chain((first..offers.end).map(Some)) {
                if *remaining_tries == 0 {
                    return false;
                }
                *remaining_tries -= 1;
                if self.exchange_for(first, second) {
                    return true;
                }
            }
        }
        false
    }

    fn exchange_for(&mut self, first: usize, second: Option<usize>) -> bool {
        let mut candidate = self.clone();
        for offer in [Some(first), second].into_iter().flatten() {
            if candidate.hosts[offer] == self.search.offers[offer].limit {
                return false;
            }
            candidate.add(offer);
        }
        candidate.remove_unneeded();
        let helps = candidate.cost + ROUNDING_TOLERANCE < self.cost;
        if helps {
            *self = candidate;
        }
        helps
    }

    /// Returns the price of the `number`th host of an offer, counted from 1.
    fn price_of(&self, offer: usize, number: u32) -> f64 {
        let offer = &self.search.offers[offer];
        if number <= offer.held {
            offer.price_per_hour * (1.0 - self.search.need.held_host_discount)
        } else {
            offer.price_per_hour
        }
    }

    fn total(&self) -> f64 {
        self.by_domain.iter().sum()
    }

    fn meets_need(&self) -> bool {
        self.shortfall() <= ROUNDING_TOLERANCE
    }

    fn shortfall(&self) -> f64 {
        let worst = self.by_domain.iter().copied().fold(0.0, f64::max);
        let need = self.search.need;
        (need.after_loss - (self.total() - worst)).max(0.0)
            + (need.on_demand - self.on_demand).max(0.0)
    }

    fn compare(a: &Self, b: &Self) -> Ordering {
        let (short_a, short_b) = (a.shortfall(), b.shortfall());
        let shortfall = short_a.total_cmp(&short_b);
        let same = (short_a - short_b).abs() <= ROUNDING_TOLERANCE;
        let shortfall = if same { Ordering::Equal } else { shortfall };
        shortfall.then(a.cost.total_cmp(&b.cost))
    }
}

fn segments_of(index: usize, offer: &Offer, stay_discount: f64) -> [Segment; 2] {
    let price_per_capacity = offer.price_per_hour / offer.capacity;
    [
        Segment {
            offer: index,
            cumulative_hosts: offer.held.min(offer.limit),
            price_per_capacity: price_per_capacity * (1.0 - stay_discount),
        },
        Segment {
            offer: index,
            cumulative_hosts: offer.limit,
            price_per_capacity,
        },
    ]
}
