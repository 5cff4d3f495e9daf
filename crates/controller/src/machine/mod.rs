//! Machines: their types, what is known of each, and what is on it.

use crate::Time;
use crate::constants::*;
use crate::job::{JobId, MachineId, Spec};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use swiftsail_failure_detector::constants::{ANSWERED_LEAST, ANSWERED_SHARE, LASTED_SHARE, LOST_SHARE};
use swiftsail_failure_detector::{Ear, Sign};
use swiftsail_protocol::cloud::{Hull, Listed};
use swiftsail_protocol::workers::Report;

/// A machine type.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
    /// Image cache, GB.
    pub cache_gb: f64,
    /// Rate of image fetches, GB/s.
    pub fetch: f64,
    /// Price an hour.
    pub price: f64,
    /// Spot price an hour.
    pub spot_price: f64,
    /// Usual boot time, ms.
    pub boot_ms: f64,
    /// Zones.
    pub zones: Vec<String>,
}

impl From<&Hull> for MachineType {
    fn from(h: &Hull) -> MachineType {
        MachineType {
            name: h.sku.clone(),
            cpus: h.cpus,
            gpus: h.accelerators,
            memory_gb: h.memory_gb,
            cache_gb: h.cache_gb,
            fetch: if h.fetch_gb_per_s > 0.0 { h.fetch_gb_per_s } else { 0.1 },
            price: h.price,
            spot_price: h.market_price,
            boot_ms: h.boot_s * MS_PER_S,
            zones: h.docks.clone(),
        }
    }
}

impl MachineType {
    /// Whether one task fits an empty machine of this type, in the job's allowed types and zone.
    pub fn allows(&self, spec: &Spec) -> bool {
        spec.types.as_ref().is_none_or(|t| t.contains(&self.name))
            && spec.zone.as_ref().is_none_or(|z| self.zones.contains(z))
            && self.room().holds(spec)
    }

    /// Whether a job's tasks would waste the machine: they need none of its accelerators, and would
    /// keep from work that does.
    pub fn wasted_on(&self, spec: &Spec) -> bool {
        self.gpus > 0.0 && spec.gpus <= 0.0
    }

    /// Time to fetch a job's image, ms.
    pub fn fetch_ms(&self, spec: &Spec) -> f64 {
        spec.image_gb / self.fetch * MS_PER_S
    }

    /// All its room.
    pub fn room(&self) -> Room {
        Room { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }

    /// Price an hour of a kind.
    pub fn cost(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// Amounts of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Room {
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

impl Room {
    /// What one task takes.
    pub fn of(spec: &Spec) -> Room {
        Room { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }
    /// Whether a task fits.
    pub fn holds(&self, spec: &Spec) -> bool {
        self.covers(&Room::of(spec))
    }
    /// Whether it is at least as large.
    pub fn covers(&self, other: &Room) -> bool {
        self.cpus + SLACK >= other.cpus
            && self.gpus + SLACK >= other.gpus
            && self.memory_gb + SLACK >= other.memory_gb
    }
    /// Takes from it.
    pub fn take(&mut self, other: &Room) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
    /// Gives to it.
    pub fn give(&mut self, other: &Room) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }
    /// Tasks of that size that fit.
    pub fn fits(&self, each: &Room) -> u32 {
        let of = |have: f64, want: f64| if want > 0.0 { (have + SLACK) / want } else { f64::MAX };
        let n = of(self.cpus, each.cpus)
            .min(of(self.gpus, each.gpus))
            .min(of(self.memory_gb, each.memory_gb));
        n.clamp(0.0, 1e6) as u32
    }
}

/// Where a machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Known by name only (from a binding or a rental); boots or has not reported to this term.
    Expected,
    /// Reports, but has not yet acknowledged this term's token: its state is not known.
    Greeted,
    /// Reports under this term's token: may be given work.
    Ready,
    /// Is to be emptied and returned.
    Draining,
    /// A return is on its way.
    Returning,
}

/// A machine as the leader holds it.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Worker's address.
    pub addr: String,
    standing: Standing,
    /// Newest (session, tick).
    pub latest: (u64, u64),
    /// Newest (session, tick) of a report proper.
    pub reported: (u64, u64),
    /// When it was last heard.
    pub heard: Option<Time>,
    /// When a report proper under this term's token last came: its answer alone carries starts and renews the lease.
    pub answered: Option<Time>,
    /// It answers what it is asked, and none of its reports arrives. Changed by [`Machine::weigh_reports`] alone.
    mute: bool,
    /// Number of what its last whole report showed, if another controller passes its reports on.
    pub shown: Option<u64>,
    /// The controller that passes its reports on; none: it reports to the leader itself.
    pub via: Option<Arc<str>>,
    /// When it was last sent to another controller.
    pub sent_at: Option<Time>,
    /// When this term first knew it.
    pub known_at: Time,
    /// When it was rented, as far as known.
    pub rented_at: Time,
    /// When it will be taken.
    pub recall_at: Option<Time>,
    /// The cloud lists it, and as what.
    pub listed: Option<Time>,
    /// Attempts bound to it that are not proved gone.
    pub tasks: BTreeMap<(JobId, u32), u64>,
    /// Attempts reported that no table knows; they take room until a report lacks them.
    pub strays: BTreeMap<(JobId, u32, u64), Option<Room>>,
    /// Images taken to be in its cache, latest last, with sizes.
    pub images: VecDeque<(String, f64)>,
    /// Since when it has had no task.
    pub idle_since: Time,
    /// Jobs whose tasks failed on it since the last success.
    pub errors: BTreeSet<JobId>,
    /// Why it is suspected.
    pub suspect: bool,
    /// Its worker has begun anew under this term: what its earlier life sent, with higher numbers, may still be
    /// on its way, and would tell of tasks given to it now that they are gone. It is given nothing more.
    pub renewed: bool,
    /// The highest token that it has shown.
    pub helm: u64,
    /// Whether what is said to it arrives.
    pub ear: Ear,
    /// When its session was first seen, and how many of its reports were answered under this term's token.
    session: (Time, u32),
    /// While direct questions are open: the newest heard of it when the first of them was asked. An answer to any
    /// is newer than that.
    pub asked: Option<(u64, u64)>,
    /// Direct questions that are open.
    pub questions: u32,
    /// Room left by what is on it; forgotten by whatever changes it, recounted when next asked.
    free: Option<Room>,
    /// Whether replicas of services are on it, counted with its room.
    anchored: bool,
}

impl Machine {
    /// A machine known by name.
    pub fn new(id: MachineId, now: Time) -> Machine {
        Machine {
            id,
            kind: String::new(),
            zone: String::new(),
            spot: false,
            addr: String::new(),
            standing: Standing::Expected,
            latest: (0, 0),
            reported: (0, 0),
            heard: None,
            answered: None,
            mute: false,
            shown: None,
            via: None,
            sent_at: None,
            known_at: now,
            rented_at: now,
            recall_at: None,
            listed: None,
            tasks: BTreeMap::new(),
            strays: BTreeMap::new(),
            images: VecDeque::new(),
            idle_since: now,
            errors: BTreeSet::new(),
            suspect: false,
            renewed: false,
            helm: 0,
            ear: Ear::default(),
            session: (now, 0),
            asked: None,
            questions: 0,
            free: None,
            anchored: false,
        }
    }

    /// Room left, if nothing has changed since it was counted.
    pub fn free(&self) -> Option<Room> {
        self.free
    }

    /// Whether replicas of services are on it: it then stays for long.
    pub fn anchored(&self) -> bool {
        self.anchored
    }

    /// Notes the room left, and whether replicas are on it.
    pub fn counted(&mut self, free: Room, anchored: bool) {
        self.free = Some(free);
        self.anchored = anchored;
    }

    /// What it holds has changed: its room must be counted anew.
    pub fn recount(&mut self) {
        self.free = None;
    }

    /// An attempt is bound to it.
    pub fn hold(&mut self, job: &JobId, task: u32, launch: u64) {
        self.tasks.insert((job.clone(), task), launch);
        self.free = None;
    }

    /// An attempt bound to it is gone.
    pub fn let_go(&mut self, job: &JobId, task: u32, now: Time) {
        self.tasks.remove(&(job.clone(), task));
        self.free = None;
        if self.tasks.is_empty() {
            self.idle_since = now;
        }
    }

    /// Where it stands.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The one function that changes the standing. What is being returned never comes back.
    pub fn advance(&mut self, to: Standing) -> bool {
        use Standing::*;
        let allowed = matches!(
            (self.standing, to),
            (Expected, Greeted | Ready | Draining | Returning)
                | (Greeted, Ready | Draining | Returning)
                | (Ready, Draining | Returning)
                | (Draining, Ready | Returning)
        );
        if allowed {
            self.standing = to;
        }
        allowed
    }

    /// Whether it can still be expected to come up, or to find a leader that began at `since`. What
    /// should long be up and is silent may be gone: the machine list lags, and a new leader reads
    /// in it what its predecessor has returned.
    pub fn may_come(&self, boot_ms: f64, since: Time, now: Time) -> bool {
        let late = boot_ms * BOOT_USUAL_MOST + EXPECT_MS as f64;
        now < since + EXPECT_MS || (now as f64) < self.rented_at as f64 + late
    }

    /// Takes over what the machine list says.
    pub fn describe(&mut self, listed: &Listed, now: Time) {
        self.listed = Some(now);
        if self.heard.is_none() {
            self.free = None;
            self.kind.clone_from(&listed.hull);
            self.zone.clone_from(&listed.dock);
            self.spot = listed.driftwood;
            self.addr.clone_from(&listed.addr);
            self.rented_at = now.saturating_sub((listed.held_s.max(0.0) * MS_PER_S) as u64);
        }
    }

    /// Takes over what a report says of the machine itself.
    pub fn greet(&mut self, report: &Report, now: Time) {
        if self.kind != report.hull {
            self.kind.clone_from(&report.hull);
            self.free = None;
        }
        if self.zone != report.dock {
            self.zone.clone_from(&report.dock);
        }
        if self.addr != report.addr {
            self.addr.clone_from(&report.addr);
        }
        self.spot = report.driftwood;
        self.recall_at = report.recall_s.map(|s| now + (s.max(0.0) * MS_PER_S) as u64);
    }

    /// A newer report under this term's token has come, and is answered: what it tells of the machine's
    /// hearing by its session. To be called before the report is the latest.
    pub fn follow_session(&mut self, watch: u64, lease_ms: f64, now: Time) -> Option<Sign> {
        let (since, answered) = self.session;
        let quiet_ms = self.heard.map_or(f64::MAX, |at| now.saturating_sub(at) as f64);
        if watch != self.latest.0 {
            self.session = (now, 1);
            let heard_lately = quiet_ms < lease_ms * ANSWERED_SHARE;
            return (answered >= ANSWERED_LEAST && heard_lately).then_some(Sign::Rose);
        }
        self.session.1 = answered.saturating_add(1);
        // The lease would have ended it, had no answer arrived since the doubt began.
        let alone = now.saturating_sub(since.max(self.ear.since())) as f64;
        (!self.ear.hears() && alone > lease_ms * LASTED_SHARE).then_some(Sign::Lasted)
    }

    /// Looks whether its reports have ceased while questions are answered: it then loses its lease again and again, and
    /// nothing given to it is ever offered. Returns whether that has changed.
    pub fn weigh_reports(&mut self, lease_ms: f64, now: Time) -> bool {
        let quiet = self.unreported_ms(now) > lease_ms * LOST_SHARE;
        let answers = |at: Time| (now.saturating_sub(at) as f64) < lease_ms * ANSWERED_SHARE;
        let mute = lease_ms > 0.0 && quiet && self.heard.is_some_and(answers);
        std::mem::replace(&mut self.mute, mute) != mute
    }

    /// Time for which no report proper of it has come, ms.
    pub fn unreported_ms(&self, now: Time) -> f64 {
        now.saturating_sub(self.answered.unwrap_or(0).max(self.known_at)) as f64
    }

    /// Whether it answers what it is asked and reports nothing.
    pub fn mute(&self) -> bool {
        self.mute
    }

    /// Whether it may be given work, as far as faults and hearing go.
    pub fn trusted(&self) -> bool {
        !self.suspect && !self.renewed && !self.mute && self.ear.hears()
    }

    /// Its worker has begun anew: its numbers count from the start again, and its cache is empty.
    pub fn reborn(&mut self, now: Time) {
        (self.latest, self.reported, self.shown) = ((0, 0), (0, 0), None);
        self.session = (now, 0);
        (self.renewed, self.helm) = (true, 0);
        self.images.clear();
        self.free = None;
    }

    /// Whether an image is taken to be in its cache.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Notes that an image is there, dropping those used longest ago.
    pub fn note_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push_back((image.to_string(), gb));
        let mut total: f64 = self.images.iter().map(|i| i.1).sum();
        while total > cache_gb && self.images.len() > 1 {
            if let Some((_, gone)) = self.images.pop_front() {
                total -= gone;
            }
        }
    }
}
