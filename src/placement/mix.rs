//! The cheapest mix of hosts that serves a demand after the loss of any one failure domain.
//!
//! Let `x_d` be the capacity held in failure domain `d` and `m` the largest of them. What is left
//! after the worst loss is the sum of all `x_d` less `m`. For a given bound `m` the cheapest way to
//! hold a total is to take the cheapest capacity first, up to `m` in each failure domain. Without
//! rounding to whole hosts the cost is convex in `m`; with it, a few dozen bounds are tried, and
//! the cheapest results are improved by exchanging single hosts.

use std::cmp::Ordering;

use crate::keys::{ClassKey, DomainKey};
use crate::reclaim::rates::whole;

/// Bounds that are tried between the smallest and the largest that make sense.
const BOUNDS: u32 = 24;

/// Results that are improved by exchanging single hosts.
const IMPROVED_MAX: usize = 6;

/// Hosts up to which exchanges are tried; above, one host more or less is not worth the time.
const SMALL_MAX: u32 = 200;

/// Exchanges that are tried for one result.
const TRIES_MAX: u32 = 2_000;

/// What rounding may leave a capacity short of the demand by.
const TOLERANCE: f64 = 1e-9;

/// Hosts of one class that one failure domain offers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// The failure domain.
    pub domain: DomainKey,
    /// The class.
    pub class: ClassKey,
    /// The price of one host.
    pub price_per_hour: f64,
    /// The part of the demand that one host serves.
    pub capacity: f64,
    /// Whether such a host may be reclaimed.
    pub reclaimable: bool,
    /// Hosts held already; they cost `stay_discount` less.
    pub held: u32,
    /// Hosts that may be held at most.
    pub limit: u32,
}

/// What a mix must serve, where 1 is the whole demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// After the loss of any one failure domain.
    pub after_loss: f64,
    /// On hosts that can't be reclaimed.
    pub on_demand: f64,
    /// Part of its price that a host saves by being held already.
    pub stay_discount: f64,
}

/// How many hosts to hold of each offer.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix {
    /// Hosts, in the order of the offers.
    pub hosts: Vec<u32>,
    /// Whether the need is met in full; else this is the most that the offers allow.
    pub meets_need: bool,
}

/// The cheapest mix found.
#[must_use]
pub fn cheapest(offers: &[Offer], need: &Need) -> Mix {
    let search = Search::new(offers, *need);
    let bounds = search.bounds().into_iter();
    let mut found: Vec<Holding<'_>> = bounds.map(|bound| search.fill(bound)).collect();
    for holding in &mut found {
        holding.drop_unneeded();
    }
    found.sort_by(Holding::compare);
    found.truncate(IMPROVED_MAX);
    let is_small = |holding: &&mut Holding<'_>| holding.hosts.iter().sum::<u32>() <= SMALL_MAX;
    for holding in found.iter_mut().filter(is_small) {
        holding.exchange();
    }
    let best = found.into_iter().min_by(Holding::compare);
    best.map_or_else(Mix::empty, |holding| Mix {
        meets_need: holding.meets_need(),
        hosts: holding.hosts,
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

/// Capacity summed up by failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Capacity {
    by_domain: Vec<(DomainKey, f64)>,
}

impl Capacity {
    /// Adds capacity in a failure domain; a negative amount takes it away.
    pub fn add(&mut self, domain: DomainKey, amount: f64) {
        match self.by_domain.binary_search_by_key(&domain, |held| held.0) {
            Ok(index) => self.by_domain[index].1 += amount,
            Err(index) => self.by_domain.insert(index, (domain, amount)),
        }
    }

    /// All of it.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.by_domain.iter().map(|held| held.1).sum()
    }

    /// What is left after the worst loss of one failure domain.
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

/// Hosts of one offer that cost the same: those held already, or more.
#[derive(Clone, Copy, Debug)]
struct Segment {
    offer: usize,
    /// Hosts of the offer up to the segment's end.
    hosts_up_to: u32,
    price_per_capacity: f64,
}

#[derive(Debug)]
struct Search<'a> {
    offers: &'a [Offer],
    /// The position of each offer's failure domain.
    domains: Vec<usize>,
    domain_count: usize,
    need: Need,
    /// Cheapest capacity first.
    segments: Vec<Segment>,
    /// Offers by the price of a host.
    dearest_first: Vec<usize>,
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
        let useful = offers.iter().enumerate();
        let useful = useful.filter(|(_, offer)| offer.capacity > 0.0);
        let mut segments: Vec<Segment> = useful
            .flat_map(|(index, offer)| segments_of(index, offer, need.stay_discount))
            .collect();
        // Stable, so that of one offer the hosts held already come first.
        segments.sort_by(|a, b| a.price_per_capacity.total_cmp(&b.price_per_capacity));
        let mut dearest_first: Vec<usize> = (0..offers.len()).collect();
        dearest_first.sort_by(|a, b| {
            let price = |offer: &usize| offers[*offer].price_per_hour;
            price(b).total_cmp(&price(a))
        });
        Self {
            dearest_first,
            domains: domains.collect(),
            domain_count: keys.len(),
            offers,
            need,
            segments,
        }
    }

    /// Bounds on one failure domain's capacity, from an even spread over all of them to two.
    fn bounds(&self) -> Vec<f64> {
        let others_max = u32::try_from(self.domain_count.saturating_sub(1)).unwrap_or(u32::MAX);
        let needed = self.need.after_loss;
        let smallest = needed / f64::from(others_max.max(1));
        let even = (1..=others_max).map(|others| needed / f64::from(others));
        let steps = (0..=BOUNDS)
            .map(|step| smallest + (needed - smallest) * f64::from(step) / f64::from(BOUNDS));
        let mut sizes: Vec<f64> = self.offers.iter().map(|offer| offer.capacity).collect();
        sizes.retain(|size| *size > 0.0);
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        // A bound just below a whole number of hosts wastes one in each failure domain.
        let whole_hosts = |bound: f64| {
            let sizes = sizes.iter();
            sizes.map(move |size| (bound / size - TOLERANCE).ceil() * size)
        };
        let mut bounds: Vec<f64> = even.chain(steps).flat_map(whole_hosts).collect();
        bounds.sort_by(f64::total_cmp);
        bounds.dedup_by(|a, b| (*a - *b).abs() < TOLERANCE);
        bounds
    }

    /// Takes the cheapest capacity up to the bound in each failure domain.
    fn fill(&'a self, bound: f64) -> Holding<'a> {
        let mut holding = Holding::new(self);
        let on_demand = |segment: &&Segment| !self.offers[segment.offer].reclaimable;
        for segment in self.segments.iter().filter(on_demand) {
            let lacking = self.need.on_demand - holding.on_demand;
            holding.take(segment, bound, lacking);
        }
        for segment in &self.segments {
            let lacking = self.need.after_loss + bound - holding.total();
            holding.take(segment, bound, lacking);
        }
        holding
    }
}

/// Hosts held of each offer, and the capacity that they make.
#[derive(Clone, Debug)]
struct Holding<'a> {
    search: &'a Search<'a>,
    hosts: Vec<u32>,
    by_domain: Vec<f64>,
    on_demand: f64,
    cost: f64,
}

impl<'a> Holding<'a> {
    fn new(search: &'a Search<'a>) -> Self {
        Self {
            hosts: vec![0; search.offers.len()],
            by_domain: vec![0.0; search.domain_count],
            on_demand: 0.0,
            cost: 0.0,
            search,
        }
    }

    fn take(&mut self, segment: &Segment, bound: f64, lacking: f64) {
        let offer = &self.search.offers[segment.offer];
        let held = self.by_domain[self.search.domains[segment.offer]];
        let fit = ((bound - held) / offer.capacity + TOLERANCE).floor();
        let wanted = (lacking / offer.capacity - TOLERANCE).ceil();
        let left = segment
            .hosts_up_to
            .saturating_sub(self.hosts[segment.offer]);
        let hosts = u32::try_from(whole(fit.min(wanted))).unwrap_or(u32::MAX);
        // All hosts of a segment cost the same.
        let hosts = hosts.min(left);
        let price = self.price_of(segment.offer, segment.hosts_up_to);
        self.cost += price * f64::from(hosts);
        self.hosts[segment.offer] += hosts;
        self.count(segment.offer, f64::from(hosts));
    }

    fn add(&mut self, offer: usize) {
        self.cost += self.price_of(offer, self.hosts[offer] + 1);
        self.hosts[offer] += 1;
        self.count(offer, 1.0);
    }

    fn remove(&mut self, offer: usize) {
        self.cost -= self.price_of(offer, self.hosts[offer]);
        self.hosts[offer] -= 1;
        self.count(offer, -1.0);
    }

    fn count(&mut self, index: usize, hosts: f64) {
        let offer = &self.search.offers[index];
        let capacity = offer.capacity * hosts;
        self.by_domain[self.search.domains[index]] += capacity;
        self.on_demand += if offer.reclaimable { 0.0 } else { capacity };
    }

    /// Drops hosts that are not needed, dearest first.
    fn drop_unneeded(&mut self) {
        if !self.meets_need() {
            return;
        }
        for offer in self.search.dearest_first.iter().copied() {
            while self.hosts[offer] > 0 {
                self.remove(offer);
                if !self.meets_need() {
                    self.add(offer);
                    break;
                }
            }
        }
    }

    /// Adds one or two hosts where that makes dearer ones needless, as long as it helps.
    fn exchange(&mut self) {
        let mut tries_left = TRIES_MAX;
        while self.exchange_once(&mut tries_left) {}
    }

    fn exchange_once(&mut self, tries_left: &mut u32) -> bool {
        let offers = 0..self.hosts.len();
        let none = [None].into_iter();
        for first in offers.clone() {
            for second in none.clone().chain((first..offers.end).map(Some)) {
                if *tries_left == 0 {
                    return false;
                }
                *tries_left -= 1;
                if self.exchange_for(first, second) {
                    return true;
                }
            }
        }
        false
    }

    fn exchange_for(&mut self, first: usize, second: Option<usize>) -> bool {
        let mut tried = self.clone();
        for offer in [Some(first), second].into_iter().flatten() {
            if tried.hosts[offer] == self.search.offers[offer].limit {
                return false;
            }
            tried.add(offer);
        }
        tried.drop_unneeded();
        let helps = tried.cost + TOLERANCE < self.cost;
        if helps {
            *self = tried;
        }
        helps
    }

    /// The price of the `number`th host of an offer, counted from 1.
    fn price_of(&self, offer: usize, number: u32) -> f64 {
        let offer = &self.search.offers[offer];
        if number <= offer.held {
            offer.price_per_hour * (1.0 - self.search.need.stay_discount)
        } else {
            offer.price_per_hour
        }
    }

    fn total(&self) -> f64 {
        self.by_domain.iter().sum()
    }

    fn meets_need(&self) -> bool {
        self.shortfall() <= TOLERANCE
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
        let same = (short_a - short_b).abs() <= TOLERANCE;
        let shortfall = if same { Ordering::Equal } else { shortfall };
        shortfall.then(a.cost.total_cmp(&b.cost))
    }
}

fn segments_of(index: usize, offer: &Offer, stay_discount: f64) -> [Segment; 2] {
    let price_per_capacity = offer.price_per_hour / offer.capacity;
    [
        Segment {
            offer: index,
            hosts_up_to: offer.held.min(offer.limit),
            price_per_capacity: price_per_capacity * (1.0 - stay_discount),
        },
        Segment {
            offer: index,
            hosts_up_to: offer.limit,
            price_per_capacity,
        },
    ]
}
