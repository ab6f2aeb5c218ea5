//! Simple policies to compare with.

use teaselline::document::Document;
use teaselline::keys::{ClassKey, DomainKey};
use teaselline::placement::Price;

/// What a simple policy holds above the present load.
const HEADROOM: f64 = 1.3;

/// How many hosts of each class to hold in each failure domain.
pub type Wanted = Vec<(ClassKey, DomainKey, u32)>;

/// On-demand hosts only: the cheapest class, the same number in each failure domain, and one
/// failure domain's worth more than the load needs.
pub fn on_demand_only(document: &Document, prices: &[Price], streams: f64) -> Wanted {
    let domains = document.failure_domains.len();
    let others = f64::from(u32::try_from(domains - 1).expect("few failure domains"));
    let wanted = (0..domains).map(DomainKey::from).filter_map(|domain| {
        let here = prices.iter().filter(|price| {
            price.domain == domain && !document.host_class(price.class).reclaimable
        });
        let price = here.min_by(|a, b| per_slot(document, a).total_cmp(&per_slot(document, b)))?;
        let slots = f64::from(document.host_class(price.class).slots);
        let hosts = count(streams * HEADROOM / others / slots);
        Some((price.class, domain, hosts))
    });
    wanted.collect()
}

/// The cheapest offer of the moment, wherever it is, as much as is needed.
pub fn cheapest_first(
    document: &Document,
    prices: &[Price],
    is_short: impl Fn(&Price) -> bool,
    streams: f64,
) -> Wanted {
    let open = prices.iter().filter(|price| !is_short(price));
    let price = open.min_by(|a, b| per_slot(document, a).total_cmp(&per_slot(document, b)));
    let wanted = price.map(|price| {
        let slots = f64::from(document.host_class(price.class).slots);
        let hosts = count(streams * HEADROOM / slots);
        (price.class, price.domain, hosts)
    });
    wanted.into_iter().collect()
}

fn per_slot(document: &Document, price: &Price) -> f64 {
    price.price_per_hour / f64::from(document.host_class(price.class).slots)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of hosts are small and positive"
)]
fn count(hosts: f64) -> u32 {
    hosts.ceil() as u32
}
