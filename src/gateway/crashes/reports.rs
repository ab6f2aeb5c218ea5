//! Exchanges with the peers what this node knows of crashes, and logs what follows from it.

use rand::Rng;

use super::silent;
use super::subjects::{Subject, Subjects};
use super::trials::Seat;
use super::{AgedBlock, AgedSound, Blame, Change, Crash, Crashes};
use crate::gateway::messages::Message;
use crate::gateway::state::Gateway;
use crate::time::TimeMs;

/// Records a crash under a request of this node and notifies the peers.
pub(crate) fn record_crash(node: &Gateway, crash: Crash, now: TimeMs) {
    let is_new = update(node, |crashes| crashes.record(crash, now, now));
    if is_new {
        node.broadcast(Message::Crash(crash));
    }
}

/// Records a crash of a silent upstream under a request of this node and notifies the peers.
pub(super) fn record_dark_crash(node: &Gateway, crash: Crash, now: TimeMs) {
    let is_new = update(node, |crashes| crashes.record_dark(crash, now));
    if is_new {
        node.broadcast(Message::DarkCrash(crash));
    }
}

/// Records a whole answer to a request of this node.
pub(crate) fn record_answer(node: &Gateway, subjects: &Subjects, now: TimeMs) {
    let told = update(node, |crashes| crashes.record_answer(subjects, now));
    tell(node, told);
}

/// Records an answer to a request of this node that has gone on for a while.
pub(crate) fn record_sound(node: &Gateway, subjects: &Subjects, now: TimeMs) {
    let told = update(node, |crashes| crashes.record_sound(subjects, now));
    tell(node, told);
}

/// Lets a request of this node that is about to be sent pass the blocks; returns whether it tests
/// one, of which the peers are notified.
///
/// # Errors
///
/// What the request is refused for.
pub(crate) fn pass_blocks(node: &Gateway, subjects: &Subjects, now: TimeMs) -> Result<bool, Blame> {
    let (refusal, trials) = update(node, |crashes| {
        (crashes.refusal(subjects, now), crashes.take_trials())
    });
    if let Some(blame) = refusal {
        return Err(blame);
    }
    let is_trial = !trials.is_empty();
    if is_trial {
        node.broadcast(Message::Trials(trials));
    }
    Ok(is_trial)
}

/// Applies a peer's report of requests that test blocks.
pub(crate) fn apply_trials(node: &Gateway, subjects: &[Subject], now: TimeMs) {
    update(node, |crashes| {
        for subject in subjects {
            crashes.record_trial(*subject, now);
        }
    });
}

/// Judges the latest crashes and sends the reports that are due.
pub(crate) fn send_due(node: &Gateway, now: TimeMs) {
    silent::judge(node, now);
    let nodes = node.peers.lock().known_nodes() as usize;
    let own = node.incarnation;
    let told = update(node, |crashes| {
        crashes.set_seat(Seat { own, nodes });
        crashes.judge_if_due(now);
        crashes.take_due(now)
    });
    tell(node, told);
}

/// Applies a peer's report of a crash.
pub(crate) fn apply_crash(node: &Gateway, crash: Crash, now: TimeMs) {
    let (draw, nodes) = draw_among_nodes(node);
    update(node, |crashes| {
        crashes.record_reported(crash, draw, nodes, now);
    });
}

/// Applies a peer's report of a crash of a silent upstream.
pub(crate) fn apply_dark_crash(node: &Gateway, crash: Crash, now: TimeMs) {
    update(node, |crashes| crashes.record_dark(crash, now));
}

/// Applies a peer's report of answers that went on.
pub(crate) fn apply_sound(node: &Gateway, told: &[AgedSound], now: TimeMs) {
    update(node, |crashes| {
        for sound in told {
            crashes.record_told(*sound, now);
        }
    });
}

/// Applies the blocks that a peer's status reports.
pub(crate) fn apply_blocks(node: &Gateway, blocks: &[AgedBlock], now: TimeMs) {
    if blocks.is_empty() {
        return;
    }
    let (draw, nodes) = draw_among_nodes(node);
    update(node, |crashes| {
        for block in blocks {
            crashes.record_block(*block, draw, nodes, now);
        }
    });
}

fn draw_among_nodes(node: &Gateway) -> (f64, usize) {
    let nodes = node.peers.lock().known_nodes() as usize;
    (rand::rng().random(), nodes)
}

fn tell(node: &Gateway, told: Vec<AgedSound>) {
    if !told.is_empty() {
        node.broadcast(Message::Sound(told));
    }
}

/// Changes the known crashes and logs what became blocked or clear.
fn update<T>(node: &Gateway, change: impl FnOnce(&mut Crashes) -> T) -> T {
    let (result, changes) = {
        let mut crashes = node.crashes.lock();
        let result = change(&mut crashes);
        (result, crashes.take_changes())
    };
    changes.into_iter().for_each(log_change);
    result
}

fn log_change(change: Change) {
    match change {
        Change::Blocked {
            subject,
            blame,
            pieces,
        } => {
            log::warn!(event = "subject_blocked", subject = format!("{subject:x}"), blame:? = blame, pieces; "upstreams crashed under a content or a part of prompts; requests with it are refused");
        }
        Change::Heard { subject } => {
            log::info!(event = "subject_block_heard", subject = format!("{subject:x}"); "a peer blocks a content or a part of prompts under which upstreams crashed");
        }
        Change::Tested { subject } => {
            log::info!(event = "subject_tested", subject = format!("{subject:x}"); "a request is let through the block of a part; an answer lifts the block");
        }
        Change::Cleared { subject } => {
            log::info!(event = "subject_cleared", subject = format!("{subject:x}"); "an answer went on under a blocked content or part; requests with it are sent again");
        }
    }
}
