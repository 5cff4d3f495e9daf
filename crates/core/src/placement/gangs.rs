//! Gangs: placed whole or not at all.

use super::chooser::Chooser;
use super::places::What;
use super::round::{Round, Step};
use crate::machine::Room;

impl Round<'_> {
    /// Places a gang whole or not at all; otherwise plans the machines it lacks.
    pub fn place_gang(&mut self, c: &mut Chooser) {
        let Some(job) = self.tables.jobs.get(&c.id) else { return };
        // All that are not done yet. Once one is done all are, but a task that was lost before
        // its exit was seen must start again to say so.
        if !job.attempts.is_empty() || c.left as usize + job.done.len() < c.spec.tasks as usize {
            return;
        }
        let missing = c.left;
        let ledger = &self.tables.ledger;
        let room = ledger.room().saturating_sub(self.binds);
        if room < missing as usize && !(ledger.is_empty() && self.binds == 0) {
            return;
        }
        let each = Room::of(&c.spec);
        let mut whole = Room::default();
        (whole.cpus, whole.gpus) = (each.cpus * f64::from(missing), each.gpus * f64::from(missing));
        if !self.within_limit(c.team, &whole) {
            return;
        }
        c.search(false);
        let zones: Vec<Option<usize>> = if c.spec.one_zone {
            // Zones without any machine count too, or a gang would wait for ever in an empty cluster.
            for zone in self.types.iter().flat_map(|t| &t.zones) {
                self.zone_number(zone);
            }
            (0..self.zones.len()).map(Some).collect()
        } else {
            vec![None]
        };
        let mut planned: Option<(u32, Vec<(usize, u32)>)> = None;
        let suits: Vec<usize> = (0..self.places.len())
            .filter(|i| matches!(self.places[*i].what, What::Now | What::Boot))
            .filter(|i| self.suits(c, &self.places[*i]))
            .collect();
        for zone in &zones {
            for now_only in [true, false] {
                let mut need = missing;
                let mut used = Vec::new();
                let mut in_zone = vec![0; self.zones.len()];
                for &i in &suits {
                    let p = &self.places[i];
                    if need == 0
                        || now_only && p.what != What::Now
                        || zone.is_some_and(|z| z != p.zone)
                    {
                        continue;
                    }
                    let there = &mut in_zone[p.zone];
                    let most = c.spec.zone_cap().saturating_sub(c.there(p.zone) + *there);
                    let take = p.room.fits(&each).min(need).min(most);
                    if take > 0 {
                        *there += take;
                        need -= take;
                        used.push((i, take));
                    }
                }
                if need == 0 && now_only {
                    let mut machines = Vec::new();
                    for (i, take) in used {
                        let Some(machine) = self.places[i].machine.clone() else { return };
                        for _ in 0..take {
                            machines.push(machine.clone());
                            self.places[i].room.take(&each);
                            self.plan_use(c.team, &each);
                        }
                    }
                    self.binds += machines.len();
                    self.out.steps.push(Step::Gang(c.id.clone(), machines));
                    c.left = 0;
                    return;
                }
                if !now_only && planned.as_ref().is_none_or(|(n, _)| need < *n) {
                    planned = Some((need, used));
                }
            }
        }
        let Some((mut need, used)) = planned.filter(|_| self.full) else { return };
        // What it will take is kept from later choosers of this round, so that it can gather.
        let zone = used.first().map(|(i, _)| self.places[*i].zone);
        for (i, take) in used {
            for _ in 0..take {
                self.places[i].room.take(&each);
            }
        }
        c.zone = zone.filter(|_| c.spec.one_zone);
        while need > 0 {
            let Some((kind, zone, spot)) = self.rental(c, false) else { break };
            c.zone = Some(zone).filter(|_| c.spec.one_zone);
            let take = self.types[kind].room().fits(&each).min(need);
            if take == 0 {
                break;
            }
            let index = self.wish(kind, zone, spot);
            for _ in 0..take {
                self.places[index].room.take(&each);
                c.enter(zone);
            }
            need -= take;
        }
    }
}
