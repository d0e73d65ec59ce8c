//! Routers that start and lack what others know: they are told at once, and again while they lack it.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::Rng;

use crate::direct::peers::peer_gossip::PeerGossip;
use crate::direct::peers::Peers;
use crate::time::Time;

/// Newcomers that wait to be told news at once.
const MAXIMUM_NEWCOMERS: usize = 64;

/// Time after which a newcomer that was told and still knows nothing is told again, at first.
const WELCOME_AGAIN: Duration = Duration::from_millis(100);

/// How much longer it takes each time.
const WELCOME_GROWTH: u32 = 4;

/// Times that it takes longer.
const MOST_GROWTHS: u32 = 5;

/// Bytes that newcomers are told on credit, in seconds of the budget: rounds leave none. Where all start at
/// once, each that is told tells others; rounds wait meanwhile.
const CREDIT_FOR_NEWCOMERS: f64 = 0.5;

/// How often a peer that knew nothing was told so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Welcomes {
    count: u32,
    last: Time,
}

impl Welcomes {
    /// Whether it is to be told again, later each time.
    fn is_due(self, now: Time) -> bool {
        let pause = match self.count {
            0 => Duration::ZERO,
            count => WELCOME_AGAIN * WELCOME_GROWTH.pow(count.min(MOST_GROWTHS) - 1),
        };
        now.since(self.last) >= pause
    }

    fn note(&mut self, now: Time) {
        self.count += 1;
        self.last = now;
    }
}

/// Whether a router has heard of the configuration and of the directory.
pub(super) fn knows_both(configuration: u64, directory: u64) -> bool {
    configuration > 0 && directory > 0
}

impl Peers {
    /// Whether newcomers wait to be told.
    pub fn has_uninitialized_peers(&self) -> bool {
        !self.newcomers.is_empty()
    }

    /// The newcomers to tell now. They are drawn: those who tell the same ones do not all begin with the
    /// same.
    pub(super) fn welcome(&mut self, random: &mut impl Rng) -> Vec<SocketAddr> {
        let credit = self.bytes_per_second * CREDIT_FOR_NEWCOMERS;
        let count = self.affordable(credit).min(self.newcomers.len());
        // Those that are drawn come to stand last.
        let (drawn, left) = self.newcomers.partial_shuffle(random, count);
        let (drawn, left) = (drawn.to_vec(), left.len());
        self.newcomers.truncate(left);
        for newcomer in &drawn {
            if let Some(peer) = self.peers.get_mut(newcomer) {
                peer.welcomes.note(self.last_tick);
            }
        }
        drawn
    }

    /// A router that lacks a source waits to be told. One that was told may not have heard it, or may be
    /// unable to learn.
    pub(super) fn note_newcomer(&mut self, news: &PeerGossip, welcomes: Welcomes, now: Time) {
        if knows_both(news.configuration, news.directory) {
            self.newcomers.retain(|one| *one != news.from);
            return;
        }
        let waits = self.newcomers.contains(&news.from);
        let is_full = self.newcomers.len() >= MAXIMUM_NEWCOMERS;
        if !waits && !is_full && welcomes.is_due(now) {
            self.newcomers.push(news.from);
        }
    }
}
