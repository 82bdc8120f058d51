//! A model of an engine: orders and writes wait in its sockets, pieces turn bad, and it starts again.

use apricothall_decide::layers::LayerRange;
use apricothall_decide::loaded::{Observation, Operation};
use apricothall_decide::staging::MAX_PIECE_AGE;
use apricothall_types::Timestamp;

/// Number of pieces, one a layer.
pub const PIECES: usize = 4;

/// All layers.
pub const WHOLE: LayerRange = LayerRange { from: 0, to: 4 };

/// Version that the engine is started with.
pub const OLD: u64 = 1;

/// First version that is published later.
pub const NEW: u64 = 2;

/// A load order.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// Number of orders that the sender knew of.
    pub expected: u64,
    pub version: u64,
    pub operation: Operation,
    /// Number of the process that sent it.
    pub sender: u64,
}

impl Order {
    /// Layers that the engine holds afterwards.
    pub const fn range(self) -> LayerRange {
        match self.operation {
            Operation::Load => WHOLE,
            Operation::Keep(range) => range,
        }
    }
}

/// A piece that lies at the engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Piece {
    pub version: u64,
    pub bad_since: Option<Timestamp>,
}

impl Piece {
    pub const fn new(version: u64) -> Self {
        Self {
            version,
            bad_since: None,
        }
    }
}

/// A write that the engine has received and not carried out.
#[derive(Clone, Copy, Debug)]
pub struct LateWrite {
    pub index: usize,
    pub version: u64,
}

#[derive(Debug)]
pub struct Engine {
    pub born: u64,
    pub orders: u64,
    pub version: Option<u64>,
    /// Layers that it holds, and whether each may be used.
    pub layers: Vec<Option<bool>>,
    pub pieces: Vec<Option<Piece>>,
    /// Orders that it may yet accept.
    pub waiting: Vec<Order>,
    /// Writes that it may yet carry out.
    pub late: Vec<LateWrite>,
    /// Whether it tells a version of which it holds a part.
    pub tells_part: bool,
}

impl Engine {
    pub fn new(tells_part: bool) -> Self {
        Self {
            born: 1,
            orders: 0,
            version: Some(OLD),
            layers: vec![Some(true); PIECES],
            pieces: vec![None; PIECES],
            waiting: Vec::new(),
            late: Vec::new(),
            tells_part,
        }
    }

    pub fn held(&self) -> LayerRange {
        let first = self.layers.iter().position(Option::is_some);
        let from = u32::try_from(first.unwrap_or(0)).expect("few");
        let count = u32::try_from(self.layers.iter().flatten().count()).expect("few");
        let to = from + count;
        LayerRange { from, to }
    }

    /// Whether a layer of `version` may be taken from the piece at `index`.
    pub fn is_permitted(&self, index: usize, version: u64, now: Timestamp) -> bool {
        let piece = self.pieces[index].filter(|p| p.version == version);
        let is_excused = |since: Timestamp| now.since(since) <= MAX_PIECE_AGE;
        piece.is_some_and(|p| p.bad_since.is_none_or(is_excused))
    }

    /// Whether it would begin to execute `order`: no other was accepted since it was sent, and it is
    /// not in effect.
    pub fn accepts(&self, order: Order) -> bool {
        let is_same = self.version == Some(order.version);
        let is_in_effect = is_same && self.held() == order.range();
        order.expected == self.orders && !is_in_effect
    }

    /// Accepts `order`, or refuses it.
    pub fn accept(&mut self, order: Order, now: Timestamp) -> bool {
        if !self.accepts(order) {
            return false;
        }
        let range = order.range();
        let is_same = self.version == Some(order.version);
        self.orders += 1;
        self.version = Some(order.version);
        for index in 0..PIECES {
            let number = u32::try_from(index).expect("few");
            if !range.contains(number) {
                self.layers[index] = None;
            } else if !is_same || self.layers[index].is_none() {
                self.layers[index] = Some(self.is_permitted(index, order.version, now));
            }
        }
        true
    }

    /// Carries out a write that was received earlier.
    pub fn write_late(&mut self, at: usize) {
        let LateWrite { index, version } = self.late.remove(at);
        self.pieces[index] = Some(Piece::new(version));
    }

    /// Carries out the late writes of pieces with some of `version` and some of others. If both waited
    /// for one order, reading back could not tell whether the order met the wrong one.
    pub fn write_mixed(&mut self, version: u64) {
        let is_mixed = |late: &[LateWrite], index: usize| {
            let mut same = late.iter().filter(|w| w.index == index);
            let of_version = same.clone().any(|w| w.version == version);
            of_version && same.any(|w| w.version != version)
        };
        while let Some(at) = self.late.iter().position(|w| is_mixed(&self.late, w.index)) {
            self.write_late(at);
        }
    }

    pub fn observe(&self) -> Observation {
        let is_told = self.tells_part || self.held() == WHOLE;
        Observation {
            born: self.born,
            orders: self.orders,
            version: self.version.filter(|_| is_told),
            layers: self.version.map(|_| self.held()),
            busy: false,
        }
    }

    /// A start ends the orders and writes that it has not carried out.
    pub fn restart(&mut self, keeps_pieces: bool) {
        self.born += 1;
        self.orders = 0;
        self.version = None;
        self.layers = vec![None; PIECES];
        if !keeps_pieces {
            self.pieces = vec![None; PIECES];
        }
        self.waiting.clear();
        self.late.clear();
    }

    /// Whether all layers that it holds may be used.
    pub fn is_sound(&self) -> bool {
        self.layers.iter().flatten().all(|is_good| *is_good)
    }

    /// Whether it serves `version`.
    pub fn serves(&self, version: u64) -> bool {
        self.version == Some(version) && self.held() == WHOLE
    }
}
