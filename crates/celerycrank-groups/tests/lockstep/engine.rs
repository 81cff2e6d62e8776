//! Simulated engines of a group that behave like those of the users' platform: they may execute
//! orders late, count them, and switch maps by themselves.

use std::sync::Arc;

use celerycrank_groups::{
    ArmedSwitch, ExpertMap, GroupEpoch, MapShape, MapVersion, MemberIndex, OrderAnswer,
    OrderSequence, RankAction, RankExpertLists, RankOrder, RankPlace, RankReport, StepNumber,
};
use celerycrank_types::TimePoint;

/// One rank.
#[derive(Debug, Clone)]
pub struct Engine {
    pub map: Arc<ExpertMap>,
    pub sequence: u64,
    pub armed: Option<ArmedSwitch>,
    pub held: Option<StepNumber>,
    prepared: Option<(Arc<ExpertMap>, TimePoint)>,
    highest: MapVersion,
}

impl Engine {
    fn new(shape: MapShape) -> Self {
        Self {
            map: Arc::new(ExpertMap::round_robin(shape)),
            sequence: 0,
            armed: None,
            held: None,
            prepared: None,
            highest: MapVersion(0),
        }
    }
}

/// A group of ranks.
#[derive(Debug, Clone)]
pub struct Group {
    pub epoch: GroupEpoch,
    pub step: StepNumber,
    pub ranks: Vec<Engine>,
    /// Whether engines count the accepted orders.
    pub counts_orders: bool,
    shape: MapShape,
}

impl Group {
    pub fn new(shape: MapShape) -> Self {
        Self {
            epoch: GroupEpoch(1),
            step: StepNumber(0),
            ranks: vec![Engine::new(shape); usize::from(shape.ranks)],
            counts_orders: false,
            shape,
        }
    }

    /// Re-forms the group, as after the loss of a rank.
    pub fn reform(&mut self) {
        self.epoch = GroupEpoch(self.epoch.0 + 1);
        for rank in &mut self.ranks {
            let sequence = rank.sequence;
            let highest = rank.highest;
            *rank = Engine::new(self.shape);
            rank.sequence = sequence;
            rank.highest = highest;
        }
    }

    /// Begins the next pass unless a rank holds it; returns whether the pass has begun.
    ///
    /// # Panics
    ///
    /// Panics if two ranks use different maps.
    pub fn begin_pass(&mut self, context: &str) -> bool {
        let next = self.step.next();
        if self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return false;
        }
        self.step = next;
        for rank in &mut self.ranks {
            let switch = rank.armed.filter(|armed| armed.step == next);
            if let (Some(_), Some((map, _))) = (switch, &rank.prepared) {
                rank.map = Arc::clone(map);
                rank.armed = None;
                rank.prepared = None;
            }
        }
        let first = self.ranks[0].map.id();
        let is_one_map = self.ranks.iter().all(|rank| rank.map.id() == first);
        assert!(is_one_map, "pass {next} begins with two maps: {context}");
        true
    }

    pub fn report(&self, index: usize, now: TimePoint) -> RankReport {
        let rank = &self.ranks[index];
        let prepared = rank.prepared.as_ref().filter(|(_, at)| *at <= now);
        RankReport {
            place: Some(RankPlace {
                group: "g0".parse().expect("a plain name"),
                epoch: self.epoch,
                rank: member(index),
                size: u16::try_from(self.ranks.len()).expect("few ranks"),
                is_open: true,
            }),
            incarnation: 1,
            sequence: OrderSequence(rank.sequence),
            running: 1,
            waiting: 0,
            pace: 1.0,
            step: self.step,
            map: rank.map.version(),
            prepared: prepared.map(|(map, _)| map.version()),
            armed: rank.armed,
            held: rank.held,
        }
    }

    pub fn lists(&self, index: usize) -> RankExpertLists {
        let map = &self.ranks[index].map;
        let layers = 0..usize::from(self.shape.layers);
        RankExpertLists {
            version: map.version(),
            experts: layers
                .map(|layer| map.experts_of(layer, index).collect())
                .collect(),
        }
    }

    /// Executes an order as the platform's engines do.
    pub fn carry_out(
        &mut self,
        index: usize,
        order: &RankOrder,
        copied_at: TimePoint,
        now: TimePoint,
    ) -> OrderAnswer {
        let step = self.step;
        let rank = &mut self.ranks[index];
        if order.epoch != self.epoch || order.expected.0 != rank.sequence {
            return OrderAnswer::Refused;
        }
        let is_accepted = match &order.action {
            RankAction::Prepare(map) => {
                let version = map.version();
                let is_new = version > rank.highest && rank.armed.is_none();
                if is_new {
                    // Only experts that the rank does not hold yet are copied.
                    let is_held = holds_all(&rank.map, map, index);
                    let done_at = if is_held { now } else { copied_at };
                    rank.highest = version;
                    rank.prepared = Some((Arc::clone(map), done_at));
                }
                is_new
            }
            RankAction::Arm { version, step: at } => {
                let prepared = rank.prepared.as_ref();
                let is_ready =
                    prepared.is_some_and(|(map, done)| map.version() == *version && *done <= now);
                let is_ahead = *at > step && rank.armed.is_none();
                if is_ready && is_ahead {
                    rank.armed = Some(ArmedSwitch {
                        version: *version,
                        step: *at,
                    });
                }
                is_ready && is_ahead
            }
            RankAction::Disarm { version } => {
                let is_armed = rank.armed.is_some_and(|armed| armed.version == *version);
                if is_armed {
                    rank.armed = None;
                }
                is_armed
            }
            RankAction::Hold { step: at } => {
                let is_ahead = *at > step && rank.held.is_none();
                if is_ahead {
                    rank.held = Some(*at);
                }
                is_ahead
            }
            RankAction::Release { step: at } => {
                let is_held = rank.held == Some(*at);
                if is_held {
                    rank.held = None;
                }
                is_held
            }
        };
        if is_accepted {
            rank.sequence += u64::from(self.counts_orders);
            OrderAnswer::Accepted
        } else {
            OrderAnswer::Refused
        }
    }
}

/// Whether a rank of the active map already holds all experts that it has in the next map.
fn holds_all(in_use: &ExpertMap, next: &ExpertMap, rank: usize) -> bool {
    (0..usize::from(next.shape().layers)).all(|layer| {
        let mut experts = next.experts_of(layer, rank);
        experts.all(|expert| in_use.experts_of(layer, rank).any(|held| held == expert))
    })
}

pub fn member(index: usize) -> MemberIndex {
    MemberIndex(u16::try_from(index).expect("few ranks"))
}
