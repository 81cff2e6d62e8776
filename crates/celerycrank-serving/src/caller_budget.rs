//! The memory and the connections that callers may use.
//!
//! The load pattern: callers that the operators do not control send many large bodies at once and
//! stop just short of their end, or open many connections and leave them idle. Together they would
//! use up the memory or the descriptors of the process.

use std::{
    collections::{HashMap, HashSet},
    net::IpAddr,
};

use celerycrank_types::{ByteSize, TimePoint, TimeSpan};

/// The memory of the process that is assumed if none is configured.
const DEFAULT_MEMORY: ByteSize = ByteSize(128 << 20);

/// The part of the memory that callers may use; the rest is for the process, the allocator and the
/// kernel.
const MEMORY_DIVISOR: u64 = 4;

/// The smallest budget, which holds a body of the default limit beside the reserve.
const MIN_BUDGET: u64 = 12 << 20;

/// The part of the budget that only small requests may use.
const RESERVE_DIVISOR: u64 = 4;

/// The largest number of bytes that a small request holds: a head of the default limit in a buffer
/// that has grown, and a short body.
const MAX_SMALL_BYTES: u64 = 64 << 10;

/// The memory of one open connection in the process and the kernel, in bytes.
const CONNECTION_BYTES: u64 = 8 << 10;

/// The part of the descriptors that is kept for everything but callers and requests in flight, and
/// the largest such number.
const DESCRIPTOR_RESERVE_DIVISOR: u64 = 4;
const MAX_DESCRIPTOR_RESERVE: u64 = 512;

/// The number of bytes that a request has to send within [`STOPPED_TIMEOUT`] to count as one that
/// makes progress.
const MIN_PROGRESS_BYTES: u64 = 4 << 10;

/// The time without progress after which a request counts as stopped, and after which an answer
/// passes its turn on.
pub const STOPPED_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// The largest number of ended connections that may still have a descriptor when a stopped request
/// is ended for its descriptor.
///
/// Their callers are sent a refusal, and have time to read it.
const MAX_CLOSING: u64 = 32;

/// The bounds of a [`CallerBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetBounds {
    /// The largest number of bytes that all callers may hold.
    pub bytes: u64,
    /// The part of `bytes` that only small requests may use.
    pub reserve: u64,
    /// The largest number of open connections and requests in flight together.
    pub descriptors: u64,
}

impl BudgetBounds {
    /// Derives the bounds from the memory of the process and its limit of descriptors.
    #[must_use]
    pub fn new(memory: Option<ByteSize>, descriptor_limit: u64) -> Self {
        let memory = memory.unwrap_or(DEFAULT_MEMORY).0;
        let bytes = (memory / MEMORY_DIVISOR).max(MIN_BUDGET);
        let kept = (descriptor_limit / DESCRIPTOR_RESERVE_DIVISOR).min(MAX_DESCRIPTOR_RESERVE);
        Self {
            bytes,
            reserve: bytes / RESERVE_DIVISOR,
            descriptors: (descriptor_limit - kept).min(bytes / CONNECTION_BYTES),
        }
    }
}

/// The number of a connection, never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(u64);

/// Why a connection has to end although its caller did not close it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// Its unfinished request gives way to others, which need its memory or descriptor.
    Space,
    /// It was idle for the longest time, and descriptors are used up.
    Idle,
}

/// A connection that has to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedConnection {
    /// The connection.
    pub number: ConnectionNumber,
    /// Why it ends.
    pub reason: EndReason,
}

/// The decision about the space of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpaceDecision {
    /// Whether it may hold what it asked for; if not, its request has to give way.
    pub is_granted: bool,
    /// The other connections that have to end, also if it is not granted.
    pub ended: Vec<EndedConnection>,
}

/// no room is left for callers
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct NoRoomError;

impl std::error::Error for NoRoomError {}

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionPhase {
    /// No request has begun since this time.
    Idle(TimePoint),
    /// A request is arriving and was not forwarded.
    Arriving,
    /// A complete request is being answered; it may have run, so that it cannot give way.
    Answering,
    /// It has been told to end, and no longer counts.
    Ended,
}

#[derive(Debug)]
struct Connection {
    address: IpAddr,
    phase: ConnectionPhase,
    held: u64,
    /// When its request began.
    began_at: TimePoint,
    /// When it last made progress.
    progress_at: TimePoint,
    /// The number of bytes that have arrived since then.
    unmarked: u64,
}

impl Connection {
    const fn is_large(&self) -> bool {
        self.held > MAX_SMALL_BYTES
    }

    fn has_stopped(&self, now: TimePoint) -> bool {
        now.since(self.progress_at) >= STOPPED_TIMEOUT
    }

    /// The space that it has occupied over time; largest for requests that are large, old and slow.
    fn occupation(&self, now: TimePoint) -> u128 {
        let age = now.since(self.began_at).0 + 1;
        u128::from(self.held) * u128::from(age)
    }
}

/// The permission to read a large answer beyond the budget.
#[derive(Debug, Clone, Copy)]
struct AnswerTurn {
    holder: ConnectionNumber,
    /// When the holder last asked, which it does after each read.
    asked_at: TimePoint,
}

/// Decides which callers may hold how much memory, and which connections stay open.
///
/// Invariant: `held` and `by_address` are the sums over the connections that have not been ended.
#[derive(Debug)]
pub struct CallerBudget {
    bounds: BudgetBounds,
    connections: HashMap<ConnectionNumber, Connection>,
    by_address: HashMap<IpAddr, u64>,
    held: u64,
    /// The sum over connections that hold no more than a small request.
    small_held: u64,
    /// The number of connections that hold more than a small request.
    large: u64,
    /// Those of them whose requests are arriving.
    large_arriving: HashSet<ConnectionNumber>,
    answering: u64,
    /// The number of connections that have been told to end and have not closed.
    closing: u64,
    /// The large answer that is read beyond the budget.
    answer_turn: Option<AnswerTurn>,
    next_number: u64,
}

impl CallerBudget {
    /// Creates a budget that nobody uses.
    #[must_use]
    pub fn new(bounds: BudgetBounds) -> Self {
        Self {
            bounds,
            connections: HashMap::new(),
            by_address: HashMap::new(),
            held: 0,
            small_held: 0,
            large: 0,
            large_arriving: HashSet::new(),
            answering: 0,
            closing: 0,
            answer_turn: None,
            next_number: 0,
        }
    }

    /// Replaces the bounds; nothing ends because of that until more space is needed.
    pub const fn set_bounds(&mut self, bounds: BudgetBounds) {
        self.bounds = bounds;
    }

    /// The number of bytes that callers hold.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Whether callers hold as much as they may.
    #[must_use]
    pub const fn is_used_up(&self) -> bool {
        self.held >= self.bounds.bytes - self.bounds.reserve
    }

    /// Admits a new connection; at the bound, an idle or stopped one has to end for it.
    ///
    /// # Errors
    ///
    /// Fails if there are too many connections and none of them is idle or has stopped.
    pub fn open(
        &mut self,
        address: IpAddr,
        now: TimePoint,
    ) -> Result<(ConnectionNumber, Option<EndedConnection>), NoRoomError> {
        let ended = self.make_descriptor_room(now)?;
        let number = ConnectionNumber(self.next_number);
        self.next_number += 1;
        let connection = Connection {
            address,
            phase: ConnectionPhase::Idle(now),
            held: 0,
            began_at: now,
            progress_at: now,
            unmarked: 0,
        };
        self.connections.insert(number, connection);
        Ok((number, ended))
    }

    /// Forgets a connection that has closed.
    pub fn close(&mut self, number: ConnectionNumber) {
        self.end(number);
        if self.connections.remove(&number).is_some() {
            self.closing -= 1;
        }
    }

    /// Records that a connection is idle and holds nothing.
    pub fn rest(&mut self, number: ConnectionNumber, now: TimePoint) {
        self.set_held(number, 0);
        self.set_phase(number, ConnectionPhase::Idle(now));
    }

    /// Records that a request begins to arrive.
    pub fn begin(&mut self, number: ConnectionNumber, now: TimePoint) {
        self.set_phase(number, ConnectionPhase::Arriving);
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.began_at = now;
            connection.progress_at = now;
            connection.unmarked = 0;
        }
    }

    /// Records that a request has arrived completely and will be forwarded, for which it needs
    /// another descriptor; an idle or stopped connection may have to end for it.
    ///
    /// # Errors
    ///
    /// Fails if the connection has been ended, or descriptors are used up.
    pub fn complete(
        &mut self,
        number: ConnectionNumber,
        now: TimePoint,
    ) -> Result<Option<EndedConnection>, NoRoomError> {
        let phase = self.connections.get(&number).map(|it| it.phase);
        if phase != Some(ConnectionPhase::Arriving) {
            return Err(NoRoomError);
        }
        let ended = self.make_descriptor_room(now)?;
        self.set_phase(number, ConnectionPhase::Answering);
        Ok(ended)
    }

    /// Records that an answer has been read.
    pub fn end_answer(&mut self, number: ConnectionNumber) {
        self.end_turn(number);
    }

    /// Whether more of an answer may be read now; asked before each read.
    ///
    /// Beyond the budget, small answers are read within the reserve, and large ones one after
    /// another, so that answers that are read in part do not all wait for the others. An answer
    /// whose backend server sends nothing passes its turn on to the next one that asks.
    pub fn may_read_answer(&mut self, number: ConnectionNumber, now: TimePoint) -> bool {
        if self.held < self.bounds.bytes {
            return true;
        }
        let is_small = self
            .connections
            .get(&number)
            .is_some_and(|it| !it.is_large());
        if is_small && self.small_held <= self.bounds.reserve {
            return true;
        }
        let other = self.answer_turn.filter(|turn| turn.holder != number);
        if other.is_some_and(|turn| now.since(turn.asked_at) < STOPPED_TIMEOUT) {
            return false;
        }
        self.answer_turn = Some(AnswerTurn {
            holder: number,
            asked_at: now,
        });
        true
    }

    /// Ends the turn of an answer that is read no further.
    fn end_turn(&mut self, number: ConnectionNumber) {
        if self.answer_turn.is_some_and(|turn| turn.holder == number) {
            self.answer_turn = None;
        }
    }

    /// Changes what a connection holds, after `arrived` more bytes of its request.
    ///
    /// A request that is being answered always gets its space, since it may have run.
    pub fn resize(
        &mut self,
        number: ConnectionNumber,
        held: u64,
        arrived: u64,
        now: TimePoint,
    ) -> SpaceDecision {
        let mut decision = SpaceDecision {
            is_granted: false,
            ended: Vec::new(),
        };
        let Some(connection) = self.connections.get_mut(&number) else {
            return decision;
        };
        if connection.phase == ConnectionPhase::Ended {
            return decision;
        }
        connection.unmarked += arrived;
        if connection.unmarked >= MIN_PROGRESS_BYTES {
            connection.unmarked = 0;
            connection.progress_at = now;
        }
        let has_grown = held > connection.held;
        self.set_held(number, held);
        while has_grown && !self.fits(number) {
            let Some(victim) = self.find_victim(number, now) else {
                break;
            };
            self.end(victim);
            if victim == number {
                return decision;
            }
            let reason = EndReason::Space;
            decision.ended.push(EndedConnection {
                number: victim,
                reason,
            });
        }
        decision.is_granted = true;
        decision
    }

    /// Whether what a connection holds is within its part of the budget.
    fn fits(&self, number: ConnectionNumber) -> bool {
        let is_large = self.connections[&number].is_large();
        // A single large request is served, however large its legal size is.
        if is_large && self.large == 1 {
            return true;
        }
        let kept = if is_large { self.bounds.reserve } else { 0 };
        self.held <= self.bounds.bytes - kept
    }

    /// The unfinished request that gives way to this one: one that has stopped before one that makes
    /// progress, then of the address that holds most, then the one of the largest occupation.
    ///
    /// Small requests do not give way to large ones.
    fn find_victim(&self, number: ConnectionNumber, now: TimePoint) -> Option<ConnectionNumber> {
        if !self.large_arriving.is_empty() {
            let large = self.large_arriving.iter();
            return self.find_least(large.map(|number| (number, &self.connections[number])), now);
        }
        // What is left is being answered and may hold more than the budget; small requests have
        // their reserve even then.
        let has_reserve = self.small_held <= self.bounds.reserve;
        if self.connections[&number].is_large() || has_reserve {
            return None;
        }
        let arriving = self.connections.iter();
        let arriving =
            arriving.filter(|(_, it)| it.phase == ConnectionPhase::Arriving && it.held > 0);
        self.find_least(arriving, now)
    }

    /// The one of these requests that gives way first.
    fn find_least<'budget>(
        &self,
        requests: impl Iterator<Item = (&'budget ConnectionNumber, &'budget Connection)>,
        now: TimePoint,
    ) -> Option<ConnectionNumber> {
        let least = requests.max_by_key(|(number, it)| {
            let by_address = self.by_address.get(&it.address);
            (
                it.has_stopped(now),
                by_address.copied().unwrap_or_default(),
                it.occupation(now),
                **number,
            )
        });
        least.map(|(number, _)| *number)
    }

    /// If descriptors are used up, ends the connection that was idle for the longest time; if none is
    /// idle, the one whose arriving request has been stopped for the longest time.
    fn make_descriptor_room(
        &mut self,
        now: TimePoint,
    ) -> Result<Option<EndedConnection>, NoRoomError> {
        let open = self.connections.len() as u64;
        if open + self.answering < self.bounds.descriptors {
            return Ok(None);
        }
        let idle = self
            .connections
            .iter()
            .filter_map(|(number, it)| match it.phase {
                ConnectionPhase::Idle(since) => Some((since, *number)),
                _ => None,
            });
        let idle = idle.min().map(|(_, number)| (number, EndReason::Idle));
        let stopped = || self.find_stopped(now).map(|it| (it, EndReason::Space));
        let (number, reason) = idle.or_else(stopped).ok_or(NoRoomError)?;
        self.end(number);
        Ok(Some(EndedConnection { number, reason }))
    }

    /// The arriving request that has been stopped for the longest time.
    fn find_stopped(&self, now: TimePoint) -> Option<ConnectionNumber> {
        if self.closing >= MAX_CLOSING {
            return None;
        }
        let arriving = self.connections.iter();
        let arriving = arriving.filter(|(_, it)| it.phase == ConnectionPhase::Arriving);
        let stopped = arriving.filter(|(_, it)| it.has_stopped(now));
        let longest = stopped.min_by_key(|(number, it)| (it.progress_at, **number));
        longest.map(|(number, _)| *number)
    }

    /// Stops counting the space of a connection, which its task is about to release.
    fn end(&mut self, number: ConnectionNumber) {
        self.set_held(number, 0);
        self.set_phase(number, ConnectionPhase::Ended);
    }

    fn set_phase(&mut self, number: ConnectionNumber, phase: ConnectionPhase) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        // An ended connection stays ended.
        if connection.phase == ConnectionPhase::Ended {
            return;
        }
        if connection.phase == ConnectionPhase::Answering {
            self.answering -= 1;
        }
        if phase == ConnectionPhase::Answering {
            self.answering += 1;
        }
        if phase == ConnectionPhase::Ended {
            self.closing += 1;
        }
        connection.phase = phase;
        if phase != ConnectionPhase::Answering {
            self.end_turn(number);
        }
        self.update_arriving(number);
    }

    /// Records whether a connection has a large request that may give way.
    fn update_arriving(&mut self, number: ConnectionNumber) {
        let connection = &self.connections[&number];
        if connection.phase == ConnectionPhase::Arriving && connection.is_large() {
            self.large_arriving.insert(number);
        } else {
            self.large_arriving.remove(&number);
        }
    }

    fn set_held(&mut self, number: ConnectionNumber, held: u64) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if connection.phase == ConnectionPhase::Ended {
            return;
        }
        let before = connection.held;
        if connection.is_large() {
            self.large -= 1;
        } else {
            self.small_held -= before;
        }
        connection.held = held;
        if connection.is_large() {
            self.large += 1;
        } else {
            self.small_held += held;
        }
        self.held = self.held - before + held;
        let address = connection.address;
        let by_address = self.by_address.entry(address).or_default();
        *by_address = *by_address - before + held;
        if *by_address == 0 {
            self.by_address.remove(&address);
        }
        self.update_arriving(number);
    }
}
