use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::*;

/// A node without peers has the whole limit to itself.
const ALL: Audience = Audience { known: 1, heard: 1 };

/// A time long after the node's start.
fn at(ms: u64) -> TimeMs {
    TimeMs(100_000 + ms)
}

/// The buckets of a node that has run for long: they are full.
fn long_running() -> Quotas {
    Quotas::new(None, TimeMs(0))
}

fn team(rate_per_s: f64, burst: f64) -> Team {
    Team {
        name: "archive".to_owned(),
        priority: None,
        unit: Unit::Tokens { plain_tokens: 200 },
        rate_per_s: Some(rate_per_s),
        burst,
    }
}

/// Asks for requests of one cost until the team is over its limit; gives what was admitted.
fn drain(quotas: &mut Quotas, team: &Team, cost: f64, audience: Audience, now: TimeMs) -> f64 {
    let mut admitted = 0.0;
    while quotas.admit(team, cost, audience, now) == Admission::Admitted {
        admitted += cost;
    }
    admitted
}

#[test]
fn a_team_may_use_its_burst_and_then_its_rate() {
    let team = team(1_000.0, 5_000.0);
    let mut quotas = long_running();
    assert!((drain(&mut quotas, &team, 100.0, ALL, at(1_000)) - 5_000.0).abs() < 1.0);
    let later = drain(&mut quotas, &team, 100.0, ALL, at(2_000));
    assert!((later - 1_000.0).abs() <= 100.0, "{later}");
}

#[test]
fn a_refused_caller_is_told_when_there_is_room() {
    let team = team(1_000.0, 5_000.0);
    let mut quotas = long_running();
    drain(&mut quotas, &team, 500.0, ALL, at(1_000));
    let refused = quotas.admit(&team, 500.0, ALL, at(1_000));
    let Admission::Over(shortfall) = refused else {
        panic!("the bucket is empty");
    };
    assert_eq!(shortfall.retry_after_ms, 500);
    assert_eq!(
        quotas.admit(&team, 500.0, ALL, at(1_500)),
        Admission::Admitted
    );
}

#[test]
fn a_team_without_a_limit_is_never_refused() {
    let mut unlimited = team(1.0, 1.0);
    unlimited.rate_per_s = None;
    let mut quotas = long_running();
    for _ in 0..1_000 {
        assert_eq!(
            quotas.admit(&unlimited, 1e9, ALL, at(1)),
            Admission::Admitted
        );
    }
}

#[test]
fn a_request_that_did_not_run_gives_its_cost_back() {
    let team = team(1_000.0, 1_000.0);
    let mut quotas = long_running();
    drain(&mut quotas, &team, 1_000.0, ALL, at(1));
    quotas.give_back(&team, 1_000.0, at(1));
    assert_eq!(
        quotas.admit(&team, 1_000.0, ALL, at(1)),
        Admission::Admitted
    );
}

/// Symptom: a team that sends many times its usual is served far beyond its limit.
/// Sequence: its requests come to all nodes at once; each node admits up to the whole limit.
/// Cause: nodes did not take what others admit out of their own buckets.
#[test]
fn nodes_together_admit_no_more_than_the_limit_and_what_the_news_takes() {
    let team = team(100_000.0, 100_000.0);
    let nodes = 3_u64;
    let mut quotas: Vec<Quotas> = (0..nodes).map(|_| long_running()).collect();
    let mut admitted = 0.0;
    let cost = 5_000.0;
    let audience = Audience { known: 3, heard: 3 };
    // 150 requests a second to each node are more than twenty times the limit.
    for now_ms in (0..10_000).step_by(20) {
        let now = at(1_000 + now_ms);
        for quotas in &mut quotas {
            for _ in 0..3 {
                if quotas.admit(&team, cost, audience, now) == Admission::Admitted {
                    admitted += cost;
                }
            }
        }
        if now_ms % 200 == 0 {
            let totals: Vec<_> = quotas.iter().map(Quotas::own_totals).collect();
            for (place, quotas) in quotas.iter_mut().enumerate() {
                for (peer, totals) in totals.iter().enumerate().filter(|(peer, _)| *peer != place) {
                    quotas.note_peer(peer as u64, totals, std::slice::from_ref(&team), now);
                }
            }
        }
    }
    let limit = 100_000.0 * 10.0 + 100_000.0;
    assert!(admitted < limit * 1.3, "{admitted}");
    assert!(admitted > limit * 0.8, "{admitted}");
}

/// Symptom: two halves of the nodes that do not hear each other admit twice the limit.
/// Sequence: a link between them is cut; callers reach both halves.
/// Cause: silence of the others was taken for idleness.
#[test]
fn nodes_that_hear_only_a_part_of_the_others_use_only_their_part() {
    let team = team(90_000.0, 1_000.0);
    let mut quotas = long_running();
    let alone = Audience { known: 9, heard: 1 };
    drain(&mut quotas, &team, 100.0, alone, at(1_000));
    let mut admitted = 0.0;
    for now_ms in (1_010..=2_000).step_by(10) {
        admitted += drain(&mut quotas, &team, 100.0, alone, at(now_ms));
    }
    assert!(admitted <= 90_000.0 / 9.0 + 200.0, "{admitted}");
    assert!(admitted >= 90_000.0 / 9.0 * 0.9, "{admitted}");
}

#[test]
fn what_a_new_peer_admitted_in_the_past_is_not_taken_out() {
    let team = team(1_000.0, 1_000.0);
    let mut quotas = long_running();
    quotas.admit(&team, 1.0, ALL, at(1));
    quotas.note_peer(
        4,
        &[(tag("archive"), 1e9)],
        std::slice::from_ref(&team),
        at(2),
    );
    assert_eq!(quotas.admit(&team, 1.0, ALL, at(3)), Admission::Admitted);
}

/// Symptom: a team's limit is exceeded in the first seconds of its requests.
/// Sequence: all nodes have heard each other for long; a team begins to send.
/// Cause: a peer's first report on a team was taken for what it had admitted in the past.
#[test]
fn what_a_known_peer_admitted_of_a_new_team_is_taken_out() {
    let team = team(1_000.0, 1_000.0);
    let mut quotas = long_running();
    quotas.note_peer(4, &[], &[], at(1));
    quotas.note_peer(
        4,
        &[(tag("archive"), 5_000.0)],
        std::slice::from_ref(&team),
        at(3),
    );
    let refused = quotas.admit(&team, 1.0, ALL, at(4));
    assert!(matches!(refused, Admission::Over(_)));
}

#[test]
fn costs_follow_the_unit() {
    let tokens = Unit::Tokens { plain_tokens: 200 };
    assert!((cost(tokens, Some(1_540)) - 1_540.0).abs() < f64::EPSILON);
    assert!((cost(tokens, None) - 200.0).abs() < f64::EPSILON);
    assert!((cost(Unit::Requests, Some(1_540)) - 1.0).abs() < f64::EPSILON);
}

/// Symptom: with 87 nodes a team that sends six times its usual is served far beyond its limit.
/// Sequence: its requests come to all nodes at once; pulses are a second apart.
/// Cause: what was admitted between two pulses was not told.
#[test]
fn many_nodes_stay_within_the_limit_although_pulses_are_rare() {
    let team = team(1_800_000.0, 1_800_000.0);
    let nodes = 87_u32;
    let audience = Audience {
        known: nodes,
        heard: nodes,
    };
    let mut quotas: Vec<Quotas> = (0..nodes).map(|_| long_running()).collect();
    for quotas in &mut quotas {
        for peer in 0..nodes {
            quotas.note_peer(u64::from(peer), &[], &[], at(9_900));
        }
    }
    // The first node collects for the team.
    let mut admitted = 0.0;
    let mut told = 0;
    let cost = 17_000.0;
    let teams = std::slice::from_ref(&team);
    for now_ms in (0..8_000_u64).step_by(50) {
        let now = at(10_000 + now_ms);
        // Six times what the limit allows: some 630 requests a second.
        for step in 0..32 {
            let place = usize::try_from((now_ms * 7 + step * 31) % 87).expect("small");
            if quotas[place].admit(&team, cost, audience, now) == Admission::Admitted {
                admitted += cost;
            }
        }
        if now_ms % 200 != 0 {
            continue;
        }
        for place in 1..quotas.len() {
            if let Some(total) = quotas[place].untold(&team, now) {
                told += 1;
                quotas[0].note_peer(place as u64, &[(tag("archive"), total)], teams, now);
            }
        }
        let rows = quotas[0].collected(&team, 0, now);
        told += quotas.len();
        for (place, quotas) in quotas.iter_mut().enumerate().skip(1) {
            for (peer, total) in rows.iter().filter(|(peer, _total)| *peer != place as u64) {
                quotas.note_peer(*peer, &[(tag("archive"), *total)], teams, now);
            }
        }
    }
    let limit = 1_800_000.0 * 8.0 + 1_800_000.0;
    let allowed = limit * 1.1 + 190_000.0;
    assert!(admitted < allowed, "{admitted} of {allowed}");
    assert!(admitted > limit * 0.8, "{admitted} of {limit}");
    // Telling all of each request would take some 80,000.
    assert!(told < 6_000, "{told} datagrams");
}

#[test]
fn a_report_that_comes_late_takes_nothing_out_twice() {
    let team = team(1_000.0, 10_000.0);
    let teams = std::slice::from_ref(&team);
    let mut quotas = long_running();
    quotas.note_peer(4, &[], &[], at(1));
    for total in [3_000.0, 6_000.0, 3_000.0, 6_000.0] {
        quotas.note_peer(4, &[(tag("archive"), total)], teams, at(2));
    }
    let left = drain(&mut quotas, &team, 100.0, ALL, at(2));
    assert!((left - 4_000.0).abs() <= 100.0, "{left}");
}

#[test]
fn a_collector_passes_on_what_has_changed_of_teams_near_their_limits() {
    let team = team(1_000.0, 10_000.0);
    let teams = std::slice::from_ref(&team);
    let mut quotas = long_running();
    quotas.note_peer(4, &[], &[], at(1));
    quotas.note_peer(4, &[(tag("archive"), 1_000.0)], teams, at(2));
    assert_eq!(quotas.collected(&team, 9, at(2)), [], "far from its limit");
    quotas.note_peer(4, &[(tag("archive"), 8_000.0)], teams, at(3));
    assert_eq!(quotas.collected(&team, 9, at(3)), [(4, 8_000.0), (9, 0.0)]);
    assert_eq!(quotas.collected(&team, 9, at(4)), []);
}

/// Symptom: a team gets a burst more than its limit in the seconds around a kill of all nodes.
/// Sequence: a team is at its limit; all processes are killed at once and start again.
/// Cause: buckets started full.
#[test]
fn a_restart_gives_no_burst() {
    let team = team(1_000.0, 5_000.0);
    let mut quotas = Quotas::new(None, TimeMs(50_000));
    let first = drain(&mut quotas, &team, 100.0, ALL, TimeMs(50_100));
    assert!(first <= 200.0, "{first}");
    let second = drain(&mut quotas, &team, 100.0, ALL, TimeMs(51_100));
    assert!((second - 1_000.0).abs() <= 100.0, "{second}");
}

/// Symptom: splice lookups of a team are refused while its reports are let in.
/// Sequence: the team sends six times as many reports as it may; its bucket stays around zero; its
/// lookups, a hundredth of its tokens, come between.
/// Cause: a request was let in by what the one before had left, whatever it cost itself.
#[test]
fn small_requests_are_let_in_beside_reports_that_use_up_the_limit() {
    let team = team(186_000.0, 186_000.0);
    let mut quotas = long_running();
    let mut admitted_tokens = 0.0;
    let mut refused_lookups = 0;
    for step in 0..800 {
        let now = at(step * 10);
        // Reports of 17,000 tokens at six times the limit, and 25 lookups a second.
        for _report in 0..(if step % 3 == 0 { 2 } else { 0 }) {
            if quotas.admit(&team, 17_000.0, ALL, now) == Admission::Admitted {
                admitted_tokens += 17_000.0;
            }
        }
        if step % 4 == 0 {
            match quotas.admit(&team, 200.0, ALL, now) {
                Admission::Admitted => admitted_tokens += 200.0,
                Admission::Over(_) => refused_lookups += 1,
            }
        }
    }
    assert_eq!(refused_lookups, 0, "of 200");
    let limit = 186_000.0 * 8.0 + 186_000.0;
    assert!(
        admitted_tokens < limit * 1.03,
        "{admitted_tokens} of {limit}"
    );
    assert!(
        admitted_tokens > limit * 0.97,
        "{admitted_tokens} of {limit}"
    );
}

/// Symptom: a team goes far over its limit with small requests.
/// Sequence: it sends nothing but lookups, hundreds of times as many as it may.
/// Cause: an overdraft without an end.
#[test]
fn small_requests_alone_stay_within_the_limit_and_the_overdraft() {
    let team = team(10_000.0, 100_000.0);
    let mut quotas = long_running();
    let at_once = drain(&mut quotas, &team, 200.0, ALL, at(0));
    assert!(at_once <= 125_200.0, "{at_once}");
    let later = drain(&mut quotas, &team, 200.0, ALL, at(8_000));
    assert!(later <= 80_200.0, "{later}");
}

/// A window of eight seconds in which a tenth more may be used, and 1,000 units beside.
const WINDOW: LimitWindow = LimitWindow {
    window_ms: 8_000,
    overshoot: 0.1,
    slack: 1_000.0,
};

/// What a team gets that asks for `cost` each `every_ms`, from a node that has run for long.
fn admitted_over(window: Option<LimitWindow>, cost: f64, every_ms: u64, total_ms: u64) -> Vec<u64> {
    let team = team(1_000.0, 2_000.0);
    let mut quotas = Quotas::new(window, TimeMs(0));
    let asked = (0..total_ms / every_ms).map(|place| place * every_ms);
    asked
        .filter(|ms| quotas.admit(&team, cost, ALL, at(*ms)) == Admission::Admitted)
        .collect()
}

/// Symptom: a team is refused for tens of seconds although it uses less than its limit allows in
/// each window.
/// Sequence: a team asks a tenth more than its rate for longer than a window.
/// Cause: the bucket was refilled at the rate alone, while a window allows the burst beside it.
#[test]
fn a_team_that_asks_a_little_more_than_its_rate_is_served() {
    // 55 units each 50 ms: 1,100 a second, 8,800 a window of the 10,000 that it may use.
    let served = admitted_over(Some(WINDOW), 55.0, 50, 60_000).len();
    assert_eq!(served, 1_200, "all that it asks");
    let by_rate_alone = admitted_over(None, 55.0, 50, 60_000).len();
    assert!(by_rate_alone < 1_150, "{by_rate_alone}");
}

proptest! {
    /// Symptom: a window in which a team used more than its limit may be exceeded by.
    /// Sequence: any pattern of requests of any size.
    /// Cause: a bucket shaped for the mean and not for the worst window.
    #[test]
    fn no_window_goes_over_the_limit_by_more_than_half_of_what_is_allowed(
        asked in proptest::collection::vec((0_u64..400, 1.0_f64..300.0), 1..400),
    ) {
        let team = team(1_000.0, 2_000.0);
        let mut quotas = Quotas::new(Some(WINDOW), TimeMs(0));
        let mut now_ms = 0;
        let mut admitted: Vec<(u64, f64)> = Vec::new();
        for (pause_ms, cost) in asked {
            now_ms += pause_ms;
            if quotas.admit(&team, cost, ALL, at(now_ms)) == Admission::Admitted {
                admitted.push((now_ms, cost));
            }
        }
        let limit = 1_000.0 * 8.0 + 2_000.0;
        let tolerance = limit * WINDOW.overshoot + WINDOW.slack;
        for (start_ms, _cost) in &admitted {
            let window = admitted.iter().filter(|(ms, _cost)| (*start_ms..start_ms + 8_000).contains(ms));
            let used: f64 = window.map(|(_ms, cost)| cost).sum();
            // The last request that is let in may take the bucket below zero by its cost.
            prop_assert!(used <= limit + tolerance * 0.5 + 300.0, "{}", used);
        }
    }
}

/// When a datagram arrives, at which node, and the totals in it.
type Datagram = (u64, usize, Vec<(u64, f64)>);

/// Symptom: with 195 nodes a team that sends five times its limit is served beyond what operators
/// allow, by 0.3%.
/// Sequence: its requests come to all nodes, to each about once a second; datagrams take 60 ms; what
/// a node admits is told to the team's collector, and by it to all, at the next look of each.
/// Cause: a bucket was refilled only when its node was asked, for all of the time since then and up to
/// what it holds, after what peers had just taken out: it got that back.
///
/// 7,270,000 tokens were let in over 8 s, of 6,370,000 that the limit is.
#[test]
fn news_that_takes_its_time_keeps_hundreds_of_nodes_within_the_limit() {
    const NODES: u64 = 195;
    const WAY_MS: u64 = 60;
    const LOOK_MS: u64 = 200;
    const LARGE_WINDOW: LimitWindow = LimitWindow {
        window_ms: 8_000,
        overshoot: 0.1,
        slack: 190_000.0,
    };
    let team = team(700_000.0, 770_000.0);
    let teams = std::slice::from_ref(&team);
    let audience = Audience {
        known: 195,
        heard: 195,
    };
    let mut quotas: Vec<Quotas> = (0..NODES)
        .map(|_| Quotas::new(Some(LARGE_WINDOW), TimeMs(0)))
        .collect();
    for quotas in &mut quotas {
        for peer in 0..NODES {
            quotas.note_peer(peer, &[], &[], at(9_900));
        }
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let mut on_the_way: Vec<Datagram> = Vec::new();
    let mut admitted: Vec<(u64, f64)> = Vec::new();
    for now_ms in (0..12_000_u64).step_by(20) {
        let now = at(10_000 + now_ms);
        let (due, rest) = (on_the_way.into_iter()).partition(|(at_ms, _, _)| *at_ms <= now_ms);
        on_the_way = rest;
        let due: Vec<Datagram> = due;
        for (_at_ms, place, rows) in due {
            for (peer, total) in rows.iter().filter(|(peer, _)| *peer != place as u64) {
                quotas[place].note_peer(*peer, &[(tag("archive"), *total)], teams, now);
            }
        }
        // Some 200 requests a second of 18,000 tokens, from two seconds on.
        for _request in 0..4 * u64::from(now_ms >= 2_000) {
            let place = rng.random_range(0..quotas.len());
            if quotas[place].admit(&team, 18_000.0, audience, now) == Admission::Admitted {
                admitted.push((now_ms, 18_000.0));
            }
        }
        for place in 0..quotas.len() {
            let is_look = (now_ms + place as u64 * 20).is_multiple_of(LOOK_MS);
            if !is_look {
                continue;
            }
            if place > 0 {
                if let Some(total) = quotas[place].untold(&team, now) {
                    on_the_way.push((now_ms + WAY_MS, 0, vec![(place as u64, total)]));
                }
                continue;
            }
            let rows = quotas[0].collected(&team, 0, now);
            for other in 1..quotas.len() {
                on_the_way.push((now_ms + WAY_MS, other, rows.clone()));
            }
        }
    }
    let limit = 700_000.0 * 8.0 + 770_000.0;
    let allowed = limit * 1.1 + 190_000.0;
    let most = admitted.iter().map(|(from_ms, _)| {
        let window = admitted.iter();
        let in_window = window.filter(|(at_ms, _)| (*from_ms..from_ms + 8_000).contains(at_ms));
        in_window.map(|(_, cost)| cost).sum::<f64>()
    });
    let most = most.fold(0.0, f64::max);
    assert!(
        most < allowed - (allowed - limit) / 2.0,
        "{most} of {limit}, {allowed} allowed"
    );
    assert!(most > limit * 0.8, "{most} of {limit}");
}

/// A team of 60 nodes that asks for some times its limit, with news as rare as pulses are there.
struct Crowd {
    quotas: Vec<Quotas>,
    rng: SmallRng,
    team: Team,
    audience: Audience,
    /// Between two reports of a node to all others.
    report_ms: u64,
    /// Reports on their way: when they arrive, of which node, its total.
    reports: Vec<(u64, usize, f64)>,
}

impl Crowd {
    /// Small enough that clumps of arrivals alone make no swing.
    const COST: f64 = 4_250.0;

    fn new(nodes: u32, report_ms: u64, seed: u64) -> Self {
        let audience = Audience {
            known: nodes,
            heard: nodes,
        };
        let mut quotas: Vec<Quotas> = (0..nodes).map(|_| long_running()).collect();
        for quotas in &mut quotas {
            for peer in 0..nodes {
                quotas.note_peer(u64::from(peer), &[], &[], at(0));
            }
        }
        Self {
            quotas,
            rng: SmallRng::seed_from_u64(seed),
            team: team(1_370_000.0, 1_370_000.0),
            audience,
            report_ms,
            reports: Vec::new(),
        }
    }

    /// Plays some seconds with so many times the limit asked for; gives what was let in each second,
    /// and the part of the requests that were refused.
    fn play(&mut self, times: f64, seconds: u64) -> (Vec<f64>, f64) {
        let mut by_second = vec![0.0; usize::try_from(seconds).expect("few")];
        let (mut asked, mut refused) = (0.0, 0.0);
        let per_step = times * 1_370_000.0 / Self::COST / 100.0;
        let teams = std::slice::from_ref(&self.team);
        for now_ms in (0..seconds * 1_000).step_by(10) {
            let now = at(1_000 + now_ms);
            while self
                .reports
                .first()
                .is_some_and(|(at, _node, _total)| *at <= now_ms)
            {
                let (_at, from, total) = self.reports.remove(0);
                for (place, quotas) in self.quotas.iter_mut().enumerate() {
                    if place != from {
                        quotas.note_peer(from as u64, &[(tag("archive"), total)], teams, now);
                    }
                }
            }
            let whole = num::whole(per_step.floor());
            let arrivals = whole + u64::from(self.rng.random_bool(per_step.fract()));
            for _arrival in 0..arrivals {
                let place = self.rng.random_range(0..self.quotas.len());
                let admitted = self.quotas[place].admit(&self.team, Self::COST, self.audience, now);
                asked += 1.0;
                if admitted == Admission::Admitted {
                    by_second[usize::try_from(now_ms / 1_000).expect("few")] += Self::COST;
                } else {
                    refused += 1.0;
                }
            }
            for (place, quotas) in self.quotas.iter_mut().enumerate() {
                let phase_ms = place as u64 * 10 % self.report_ms;
                if now_ms % self.report_ms / 10 * 10 == phase_ms
                    && let Some(total) = quotas.untold(&self.team, now)
                {
                    self.reports.push((now_ms + 20, place, total));
                }
            }
        }
        (by_second, refused / asked)
    }
}

/// Symptom: a team gets 14.7 million tokens in 8 s where 12.3 are its limit; from second to second it
/// is let in twice as often, and not at all.
/// Sequence: it sends 7.5 times its usual to 60 nodes, which hear of each other each 354 ms; all spend
/// what is left before they hear that the others do, all stop, and all start again.
/// Cause: a bucket let everything in until it was empty, however much was asked between two pieces of news.
#[test]
fn a_team_far_over_its_limit_is_let_in_evenly() {
    for (nodes, report_ms) in [(60, 350), (195, 1_170)] {
        for times in [2.0, 4.0, 7.5] {
            let mut crowd = Crowd::new(nodes, report_ms.min(400), 11);
            let (by_second, _refused) = crowd.play(times, 16);
            let window = |from: usize| by_second[from..from + 8].iter().sum::<f64>();
            let worst = (0..=8).map(window).fold(0.0, f64::max);
            let limit = 1_370_000.0 * 9.0;
            let allowed = limit * 0.1 + 190_000.0;
            assert!(
                worst < limit + allowed / 2.0,
                "{nodes}, {times}: {worst} of {limit}"
            );
            let least = (0..=8).map(window).fold(f64::INFINITY, f64::min);
            assert!(
                least > 1_370_000.0 * 8.0 * 0.85,
                "{nodes}, {times}: {least}"
            );
            let settled = &by_second[3..];
            for pair in settled.windows(2) {
                let ratio = pair[1] / pair[0];
                assert!(
                    (0.75..1.34).contains(&ratio),
                    "{nodes}, {times}: {by_second:?}"
                );
            }
        }
    }
}

/// Requests come in clumps; a team that stays within its rate is not refused for them.
#[test]
fn a_team_within_its_limit_is_not_refused_where_nodes_are_many() {
    for nodes in [9, 60, 195] {
        let mut crowd = Crowd::new(nodes, 350, 5);
        let (_by_second, refused) = crowd.play(0.6, 16);
        assert!(refused < 0.01, "{nodes}: {refused}");
    }
}
