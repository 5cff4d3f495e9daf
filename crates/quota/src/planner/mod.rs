//! Who gets how much, when: a decider's own view of one page. Nothing here is needed to be within a limit
//! ([`crate::account`] is), so it goes by what others last told, however old or wrong.
//!
//! - What a team's work wants is taken from the pool first.
//! - Where the pool has none, the decider that seems to have most to spare is asked; it gives at once what it
//!   does not use, or answers when to come back.
//! - For production of the team elsewhere, less urgent tasks of the team are stopped; for work as urgent, what
//!   its own tasks leave as they end is given until both have as much of what they want.
//! - What is not used for a while goes back before it is asked for.

mod recall;

pub use recall::RecallStage;

use crate::Time;
use crate::account::{Account, Phase};
use crate::constants::*;
use crate::fixed::{Amount, Amounts};
use crate::records::{Decider, Team, Txn};
use recall::Recall;
use std::collections::BTreeMap;

/// How urgent work is: production first, then what can be in time, then the rest.
pub const LEVELS: usize = 3;

/// What a team's work on a decider's machines uses and wants, by urgency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// Used, everything not proved gone counted.
    pub used: [Amounts; LEVELS],
    /// Wanted beyond that.
    pub wants: [Amounts; LEVELS],
}

impl Need {
    /// All that is used.
    pub fn uses(&self) -> Amounts {
        self.used.iter().copied().sum()
    }

    /// Used or wanted, up to a level.
    fn up_to(&self, level: usize) -> Amounts {
        self.used[..=level].iter().chain(&self.wants[..=level]).copied().sum()
    }

    fn most_urgent(&self) -> Option<usize> {
        self.wants.iter().position(|w| *w != Amounts::default())
    }
}

/// What a decider tells of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// What it has.
    pub has: Amounts,
    /// What its work uses and wants.
    pub need: Need,
}

/// Between deciders. Lost or late messages do no harm.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// What the sender has and needs, of teams of which it has or wants something.
    Tell(BTreeMap<Team, Told>),
    /// More of a team is wanted, for work of a level.
    Ask {
        /// Team.
        team: Team,
        /// Urgency.
        level: usize,
        /// How much.
        more: Amounts,
        /// What the asker has and needs.
        told: Told,
    },
    /// Work within a guarantee finds no room: what a team has borrowed beyond its own is to be stopped.
    Recall {
        /// The team that borrowed.
        team: Team,
        /// How much.
        amount: Amounts,
    },
    /// As much of it as was asked for is proved gone.
    Recalled {
        /// The team that borrowed.
        team: Team,
    },
    /// Nothing can be given: not to be asked again before so many ms.
    Refuse {
        /// Team.
        team: Team,
        /// When to come back, ms.
        again_ms: u64,
    },
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a transaction to the state service.
    Send(Txn),
    /// Read the page.
    Read,
    /// Send a message to the holder of a decider.
    Tell(Decider, Message),
    /// Stop work of a team that is less urgent than a level, for as much, least loss first.
    Free {
        /// Team.
        team: Team,
        /// Less urgent than this.
        level: usize,
        /// How much.
        amount: Amounts,
    },
}

/// Where giving to a decider that asked stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Asked; not answered yet.
    Asked,
    /// Less is used here than before, until enough is proved gone.
    Yielding,
    /// The amount is on its way.
    Giving,
}

#[derive(Debug, Clone)]
struct Giving {
    stage: Stage,
    level: usize,
    more: Amounts,
    told: Told,
    asked_at: Time,
}

impl Giving {
    /// The one function that changes the stage.
    fn advance(&mut self, to: Stage) {
        self.stage = to;
    }
}

/// The part of an amount below which it is not evened out.
fn part_of(has: Amount) -> Amount {
    Amount::of_parts(has.parts() / EVEN_PART)
}

/// The planner of a decider.
#[derive(Debug)]
pub struct Planner {
    /// Its account.
    pub account: Account,
    decider: Decider,
    settings: BTreeMap<Team, Amounts>,
    needs: BTreeMap<Team, Need>,
    told: BTreeMap<Decider, (Time, BTreeMap<Team, Told>)>,
    /// Those that asked, by team.
    giving: BTreeMap<(Team, Decider), Giving>,
    /// What this one was asked to stop of what a team has borrowed.
    recalls: BTreeMap<Team, Recall>,
    /// What this one has asked others to stop, and until when it waits for that.
    recalled: BTreeMap<Team, Time>,
    /// When another may be asked again.
    again: BTreeMap<(Team, Decider), Time>,
    /// When this one last got something of a team: it does not give it away at once.
    got: BTreeMap<Team, Time>,
    /// Since when something of a team is unused.
    spare_since: BTreeMap<Team, Time>,
    /// When work was last stopped for a lowered limit.
    freed_at: BTreeMap<Team, Time>,
    told_at: Time,
    /// Transactions are paced: the state service's changes a second are few.
    pace_ms: u64,
    moved_at: Time,
}

impl Planner {
    /// The planner of a holder. `pace_ms`: least time between two of its transactions.
    pub fn new(decider: &str, token: u64, pace_ms: u64) -> Planner {
        Planner {
            account: Account::new(decider, token),
            decider: decider.to_string(),
            settings: BTreeMap::new(),
            needs: BTreeMap::new(),
            told: BTreeMap::new(),
            giving: BTreeMap::new(),
            recalls: BTreeMap::new(),
            recalled: BTreeMap::new(),
            again: BTreeMap::new(),
            got: BTreeMap::new(),
            spare_since: BTreeMap::new(),
            freed_at: BTreeMap::new(),
            told_at: 0,
            pace_ms,
            moved_at: 0,
        }
    }

    /// What the settings say.
    pub fn set_limits(&mut self, settings: BTreeMap<Team, Amounts>) {
        self.settings = settings;
    }

    /// What a team's work uses and wants now.
    pub fn set_need(&mut self, team: &str, need: Need) {
        if need == Need::default() {
            self.needs.remove(team);
        } else {
            self.needs.insert(team.to_string(), need);
        }
    }

    fn need(&self, team: &str) -> Need {
        self.needs.get(team).copied().unwrap_or_default()
    }

    /// What more of a team may be bound, as work of a level: within what may be used, and, while it yields to
    /// another, within what is left to it.
    pub fn leaves(&self, team: &str, level: usize) -> Amounts {
        let usable = self.account.usable(team);
        let ceiling = self.ceiling(team, level).unwrap_or(usable);
        let most = usable.with(ceiling, Amount::min);
        most.with(self.need(team).uses(), |a, b| (a - b).max(Amount::ZERO))
    }

    /// What is left to work of a level here while others are given to, or a limit is lowered.
    fn ceiling(&self, team: &str, level: usize) -> Option<Amounts> {
        let yields = self.giving.iter().filter(|((t, _), g)| t == team && g.level <= level);
        let targets = yields.map(|(_, g)| self.target(team, g));
        let owes = self.account.owes(team);
        let owed = (owes != Amounts::default()).then(|| self.account.has(team) - owes);
        let recalled = self.recalls.get(team).filter(|_| level > 0).map(|r| r.most);
        targets.chain(owed).chain(recalled).reduce(|a, b| a.with(b, Amount::min))
    }

    /// What this decider is to have once it has given to one that asked: for work more urgent than its own
    /// wants all but that, for work as urgent as much of what both want as the other.
    fn target(&self, team: &str, giving: &Giving) -> Amounts {
        let (mine, has) = (self.need(team), self.account.has(team));
        let own = mine.up_to(giving.level);
        let theirs = giving.told.need.up_to(giving.level);
        let both = has + giving.told.has;
        let part = |both: Amount, own: Amount, theirs: Amount| {
            let wanted = (own + theirs).number();
            if wanted <= both.number() {
                own
            } else {
                Amount::limit(both.number() * own.number() / wanted)
            }
        };
        let fair = Amounts {
            cpus: part(both.cpus, own.cpus, theirs.cpus),
            gpus: part(both.gpus, own.gpus, theirs.gpus),
        };
        // Never more is given than was asked for.
        fair.with(has - giving.more, Amount::max).with(has, Amount::min)
    }

    /// A message from the holder of another decider.
    pub fn on_message(&mut self, from: &str, message: Message, now: Time) -> Vec<Action> {
        match message {
            Message::Tell(told) => {
                self.told.insert(from.to_string(), (now, told));
                Vec::new()
            }
            Message::Refuse { team, again_ms } => {
                self.again.insert((team, from.to_string()), now + again_ms);
                Vec::new()
            }
            Message::Ask { team, level, more, told } => {
                self.asked(from, team, level, more, told, now)
            }
            Message::Recall { team, amount } => self.recall_here(from, team, amount, now),
            Message::Recalled { team } => {
                self.recalled.remove(&team);
                Vec::new()
            }
        }
    }

    /// Another wants more of a team: it is answered at once if nothing can be given.
    fn asked(
        &mut self,
        from: &str,
        team: Team,
        level: usize,
        more: Amounts,
        told: Told,
        now: Time,
    ) -> Vec<Action> {
        let giving =
            Giving { stage: Stage::Asked, level: level.min(LEVELS - 1), more, told, asked_at: now };
        let has = self.account.has(&team);
        let gift = has - self.target(&team, &giving);
        let piece = self.piece(&team);
        // Two that want more than there is are not evened out for a little.
        let contested = has.with(gift, |has, gift| has - gift);
        let contested = !contested.covers(self.need(&team).up_to(giving.level));
        let least = match level > 0 && contested {
            true => piece.with(has, |piece, has| piece.max(part_of(has))),
            false => piece,
        };
        let worth = gift.cpus >= least.cpus || gift.gpus > Amount::ZERO && gift.gpus >= least.gpus;
        let fresh = self.got.get(&team).is_some_and(|at| now < at + KEEP_MS) && level > 0;
        if !worth || fresh {
            self.giving.remove(&(team.clone(), from.to_string()));
            let refuse = Message::Refuse { team, again_ms: ASK_AGAIN_MS * 2 };
            return vec![Action::Tell(from.to_string(), refuse)];
        }
        let mut actions = Vec::new();
        let need = self.need(&team);
        // For production less urgent work is stopped; else what ends by itself is given.
        let unused = has.with(need.uses(), |has, used| (has - used).max(Amount::ZERO));
        let lacks = gift.with(unused, |gift, unused| (gift - unused).max(Amount::ZERO));
        let known = self.giving.get(&(team.clone(), from.to_string()));
        let begun = known.is_some_and(|g| g.stage != Stage::Asked);
        if level == 0 && !begun && lacks != Amounts::default() {
            actions.push(Action::Free { team: team.clone(), level, amount: lacks });
        }
        let stage = known.map_or(Stage::Asked, |g| g.stage);
        let mut giving = giving;
        giving.advance(if level == 0 { Stage::Yielding } else { stage });
        self.giving.insert((team, from.to_string()), giving);
        actions
    }

    /// The least that is worth a transaction: a small part of the limit.
    fn piece(&self, team: &str) -> Amounts {
        let kept = self.account.page().pool.0.teams.get(team);
        kept.map_or(Amounts::default(), |k| k.limit.map(|a| Amount::of_parts(a.parts() / PIECES)))
    }

    /// With every timer step: what to do. At most one transaction is on its way.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        match self.account.phase() {
            Phase::Closed => return actions,
            Phase::Reading | Phase::Doubtful => return vec![Action::Read],
            Phase::Moving | Phase::Open => {}
        }
        self.giving.retain(|_, g| now < g.asked_at + ASK_LASTS_MS);
        self.told.retain(|_, (at, _)| now < *at + TOLD_FRESH_MS);
        if self.account.phase() == Phase::Open && now >= self.moved_at + self.pace_ms {
            let txn = self.next_move(now);
            if let Some(txn) = txn {
                self.moved_at = now;
                actions.push(Action::Send(txn));
            }
        }
        self.shrink(now, &mut actions);
        self.follow_recalls(now, &mut actions);
        self.ask(now, &mut actions);
        if now >= self.told_at + TELL_MS {
            self.told_at = now;
            let told = self.tell();
            for decider in self.others() {
                actions.push(Action::Tell(decider, Message::Tell(told.clone())));
            }
        }
        actions
    }

    fn others(&self) -> Vec<Decider> {
        let all = self.account.page().holdings.keys();
        all.filter(|d| **d != self.decider).cloned().collect()
    }

    fn told_of(&self, team: &str) -> Told {
        Told { has: self.account.has(team), need: self.need(team) }
    }

    fn tell(&self) -> BTreeMap<Team, Told> {
        let teams = self.account.page().pool.0.teams.keys();
        let all = teams.map(|t| (t.clone(), self.told_of(t)));
        all.filter(|(_, t)| t.has != Amounts::default() || t.need != Need::default()).collect()
    }

    /// What each team lacks here, with its most urgent level.
    fn lacks(&self) -> BTreeMap<Team, (usize, Amounts)> {
        let lack = |(team, need): (&Team, &Need)| {
            let level = need.most_urgent()?;
            let wants: Amounts = need.wants.iter().copied().sum();
            let lacks = need.uses() + wants - self.account.has(team);
            let lacks = lacks.map(|a| a.max(Amount::ZERO));
            (lacks != Amounts::default()).then(|| (team.clone(), (level, lacks)))
        };
        self.needs.iter().filter_map(lack).collect()
    }

    fn next_move(&mut self, now: Time) -> Option<Txn> {
        if let Some(txn) = self.account.agree(&self.settings) {
            return Some(txn);
        }
        let used: BTreeMap<Team, Amounts> =
            self.needs.iter().map(|(t, n)| (t.clone(), n.uses())).collect();
        // What another asked for comes before what this one wants itself: it was promised.
        if let Some(txn) = self.give(&used) {
            return Some(txn);
        }
        let wants: BTreeMap<Team, Amounts> =
            self.lacks().into_iter().map(|(t, (_, lacks))| (t, lacks)).collect();
        if let Some(txn) = self.account.take(&wants) {
            return Some(txn);
        }
        self.give_back(&used, now)
    }

    fn give(&mut self, used: &BTreeMap<Team, Amounts>) -> Option<Txn> {
        let to = self.giving.iter().find_map(|((team, to), g)| {
            (self.gift(team, g, used) != Amounts::default()).then(|| to.clone())
        })?;
        let mut gifts = BTreeMap::new();
        for ((team, _), giving) in self.giving.iter().filter(|((_, d), _)| *d == to) {
            gifts.insert(team.clone(), self.gift(team, giving, used));
        }
        gifts.retain(|_, gift| *gift != Amounts::default());
        let txn = self.account.give(Some(&to), &gifts, used)?;
        for team in gifts.keys() {
            if let Some(giving) = self.giving.get_mut(&(team.clone(), to.clone())) {
                giving.advance(Stage::Giving);
                // What is on its way counts as theirs: the rest is what is still to be given.
                giving.more = giving.more.with(gifts[team], |m, g| (m - g).max(Amount::ZERO));
                giving.told.has += gifts[team];
            }
        }
        self.giving.retain(|_, g| g.more != Amounts::default());
        Some(txn)
    }

    fn gift(&self, team: &str, giving: &Giving, used: &BTreeMap<Team, Amounts>) -> Amounts {
        let has = self.account.has(team);
        let over = (has - self.target(team, giving)).map(|a| a.max(Amount::ZERO));
        let used = used.get(team).copied().unwrap_or_default();
        let gift = over.with(has - used, |over, unused| over.min(unused).max(Amount::ZERO));
        let piece = self.piece(team).with(giving.more, Amount::min);
        let worth = |gift: Amount, piece: Amount| if gift < piece { Amount::ZERO } else { gift };
        gift.with(piece, worth)
    }

    /// What has been unused for a while goes back, but for a small part.
    fn give_back(&mut self, used: &BTreeMap<Team, Amounts>, now: Time) -> Option<Txn> {
        let own = self.account.page().holdings.get(&self.decider)?.0.has.clone();
        let mut back = BTreeMap::new();
        self.spare_since.retain(|team, _| own.contains_key(team));
        for (team, has) in own {
            let need = self.need(&team);
            let wants: Amounts = need.wants.iter().copied().sum();
            let kept = self.account.page().pool.0.teams.get(&team);
            let owed = kept.is_some_and(|k| k.limit != k.target);
            let cushion = if owed || need == Need::default() {
                Amounts::default()
            } else {
                self.piece(&team)
            };
            let spare = (has - need.uses() - wants - cushion).map(|a| a.max(Amount::ZERO));
            let piece = self.piece(&team);
            let worth = spare.cpus >= piece.cpus && spare.cpus > Amount::ZERO
                || spare.gpus >= piece.gpus && spare.gpus > Amount::ZERO
                || need == Need::default() && has != Amounts::default();
            if !worth {
                self.spare_since.remove(&team);
            } else if owed || now >= *self.spare_since.entry(team.clone()).or_insert(now) + SPARE_MS
            {
                back.insert(team, spare);
            }
        }
        let txn = self.account.give(None, &back, used)?;
        self.spare_since.retain(|team, _| !back.contains_key(team));
        Some(txn)
    }

    /// A limit was lowered below what is used: work of the team is stopped for this decider's part, until it
    /// is proved gone.
    fn shrink(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.freed_at.retain(|_, at| now < *at + FREE_AGAIN_MS);
        for (team, need) in &self.needs {
            let left = self.account.has(team) - self.account.owes(team);
            let over = (need.uses() - left).map(|a| a.max(Amount::ZERO));
            let owes = self.account.owes(team) != Amounts::default();
            if owes && over != Amounts::default() && !self.freed_at.contains_key(team) {
                self.freed_at.insert(team.clone(), now);
                actions.push(Action::Free { team: team.clone(), level: 0, amount: over });
            }
        }
    }

    /// Asks others for what the pool does not have: of each team the one that seems to have most to spare.
    fn ask(&mut self, now: Time, actions: &mut Vec<Action>) {
        for (team, (level, lacks)) in self.lacks() {
            let free = self.account.page().pool.0.teams.get(&team).map(|k| k.free);
            let piece = self.piece(&team);
            let more = lacks - free.unwrap_or_default();
            let small = level > 0 && more.cpus < piece.cpus && more.gpus <= Amount::ZERO;
            if free.is_none() || small || Amounts::default().covers(more) {
                continue;
            }
            let best = self.others().into_iter().filter_map(|d| {
                let due = self.again.get(&(team.clone(), d.clone())).is_none_or(|at| now >= *at);
                let told = self.told.get(&d).and_then(|(_, told)| told.get(&team));
                let spare = told.map(|t| (t.has - t.need.up_to(level)).cpus);
                // One that told nothing has nothing of the team, or was not heard: the record tells.
                let held = self.account.page().holdings.get(&d)?.0.has.get(&team)?.cpus;
                let most_used = told.map_or(held, |t| t.has.cpus);
                due.then_some((spare.unwrap_or(Amount::ZERO), most_used, d))
            });
            let Some((_, _, to)) = best.max() else { continue };
            self.again.insert((team.clone(), to.clone()), now + ASK_AGAIN_MS);
            let told = self.told_of(&team);
            actions.push(Action::Tell(to, Message::Ask { team, level, more, told }));
        }
        self.again.retain(|_, at| now < *at + ASK_LASTS_MS);
    }

    /// The page as it was read, or as a watch tells it.
    pub fn on_page(&mut self, page: &crate::records::Page, now: Time) {
        let teams: Vec<Team> = page.pool.0.teams.keys().cloned().collect();
        let before: Vec<Amounts> = teams.iter().map(|t| self.account.has(t)).collect();
        self.account.on_page(page);
        for (team, before) in teams.into_iter().zip(before) {
            let has = self.account.has(&team);
            if has != before && has.covers(before) {
                self.got.insert(team, now);
            }
        }
    }
}
