//! The other controllers: heartbeats, and what they vouch for.

use super::Node;
use crate::constants::*;
use crate::tables::Tables;
use crate::term::{Lead, Voucher};
use swiftsail_protocol::controllers::Beat;

/// What is known of another controller.
pub(super) struct Peer {
    pub voucher: Voucher,
    pub leads: bool,
    pub shares: bool,
    /// Share of its processor that it uses, and that machines cost it.
    pub load: Option<f64>,
    /// See `load`.
    pub upkeep: Option<f64>,
}

impl Node {
    /// This node's heartbeat. A brief one leaves out what is for display.
    pub fn beat(&mut self, brief: bool) -> Beat {
        let ok = self.store.last_ok.unwrap_or(0);
        let away = self.store.away() || self.store.last_ok.is_none();
        // A leader of an earlier version would take this for "nothing was cancelled".
        let leader = self.term.leader.as_ref();
        let away = away && !leader.is_some_and(|l| self.held.is_silent(l));
        let counts = self.leader.as_ref().filter(|_| !brief).map(Tables::counts);
        let mut beat = Beat {
            node: self.settings.host_name.clone(),
            token: self.term.highest,
            leads: self.leads(),
            store_age_ms: if away { self.now.steady.saturating_sub(ok) } else { 0 },
            shares: self.shares(),
            load: self.load.share().map(thousandths),
            upkeep: self.upkeep.share().map(thousandths),
            cluster: if brief { Vec::new() } else { self.told_cluster() },
            counts: counts.unwrap_or_default(),
            process: self.process,
            read: self.leader.as_ref().map_or(0, |l| l.follow_from),
            brief,
            owed: self.tell_owed(),
            form: FORM,
            ..Beat::default()
        };
        self.held.fill(&mut beat, self.now.steady);
        beat
    }

    pub(super) fn on_beat(&mut self, beat: &Beat) {
        if !self.settings.others.iter().any(|o| o.host_name == beat.node) {
            return;
        }
        self.rollout.hear(&beat.node, beat.form);
        let from = self.vouched_from();
        let lead = self.leader.as_ref().map(|l| Lead { token: l.token, read: l.follow_from, from });
        let heard = self.held.hear(&self.settings.host_name, self.process, beat, lead);
        let now = self.now;
        for (id, wall) in &heard.cancelled {
            match &mut self.leader {
                Some(leader) => leader.cancelled_elsewhere(id, *wall, now.steady, now.wall),
                None => self.owe(id, *wall),
            }
        }
        // Only then: what it has just learnt is owed too.
        if self.term.saw(beat.token) {
            self.step_down("another controller knows a newer token");
        }
        // What was held up on its way tells of cancellations, and of nothing as it is now.
        if heard.late {
            return;
        }
        if beat.leads && beat.token >= self.term.highest {
            self.term.held_by(&beat.node, beat.token);
            self.held.raise(beat.read);
            self.hear_owed(beat);
            if !beat.brief {
                self.heard.clone_from(&beat.cluster);
                self.counts = beat.counts.iter().map(|(id, d, r)| (id.clone(), (*d, *r))).collect();
            }
        }
        let voucher =
            Voucher { heard: self.now.steady, store_age_ms: beat.store_age_ms, token: beat.token };
        let share = |told: Option<u32>| told.map(|l| f64::from(l) / 1_000.0);
        let (load, upkeep) = (share(beat.load), share(beat.upkeep));
        let peer = Peer { voucher, leads: beat.leads, shares: beat.shares, load, upkeep };
        self.peers.insert(beat.node.clone(), peer);
    }

    /// Whether users should be sent here: not while this node alone is without the store. Without the other
    /// controllers too it cannot know, and one that reaches nobody is no use to users: in an outage of the
    /// store the others are heard, and nobody is turned away for it.
    pub fn healthy(&self) -> bool {
        if self.store.last_ok.is_none() {
            return false;
        }
        let now = self.now.steady;
        let mut heard = self.peers.values().map(|p| p.voucher);
        let fresh = |v: &Voucher| now.saturating_sub(v.heard) <= BEAT_FRESH_MS;
        let others_have_it = heard.clone().any(|v| fresh(&v) && v.store_age_ms == 0);
        let lone = self.settings.controllers() > 1 && !heard.any(|v| fresh(&v));
        !(self.store.away() && (others_have_it || lone))
    }
}

fn thousandths(share: f64) -> u32 {
    (share * 1_000.0) as u32
}
