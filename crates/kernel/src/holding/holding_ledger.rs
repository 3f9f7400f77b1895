use std::collections::BTreeMap;

use crate::{
    clock::ClockInstant,
    holding::{ConnectionKind, HoldingLimits},
    ids::{ByteCount, HolderId},
};

/// Size up to which a holder may use the reserve of small ones: an ordinary request or response.
const SMALL_BYTES: u64 = 32 * 1024;
/// Memory of a connection that holds nothing else.
const CONNECTION_BYTES: u64 = 8 * 1024;

/// What the node and the client of a connection wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStage {
    /// The client has to send or to read.
    AwaitsClient,
    /// A server has to respond.
    AwaitsServer,
}

/// Whether there is room for something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomDecision {
    /// There is, and it has been counted.
    Counted,
    /// There will be once the connections that have been told to close have done so.
    Wait,
    /// There is none.
    Refused,
}

/// A connection that has to close to make room.
#[derive(Debug, PartialEq, Eq)]
pub struct ClosedConnection<T> {
    /// Listener of the connection.
    pub kind: ConnectionKind,
    /// Handle of the connection's task.
    pub handle: T,
}

#[derive(Clone, Debug)]
struct HolderEntry<T> {
    kind: ConnectionKind,
    stage: ConnectionStage,
    /// When the client was last known to be at work.
    since: ClockInstant,
    /// Buffers of the connection.
    buffered: u64,
    /// Responses that wait until the client has read them; the ledger counts them by themselves.
    unread: u64,
    /// `None` once the connection has been told to close.
    handle: Option<T>,
}

/// Account of what a node holds for its clients.
///
/// Where something does not fit, the connection whose client has held the most for the longest is
/// closed: idle, or with an unfinished request or unread responses. A request that runs is not given
/// up for another unless its client holds more than an ordinary request beside it. `T` is a handle of
/// a connection's task.
#[derive(Clone, Debug)]
pub struct HoldingLedger<T> {
    limits: HoldingLimits,
    holders: BTreeMap<HolderId, HolderEntry<T>>,
    next_id: HolderId,
    /// Bytes of all buffers and bodies.
    held: u64,
    /// Part of it that belongs to connections which have been told to close.
    leaving: u64,
    /// Part of it that large responses use while they are received.
    receiving: u64,
    /// Part of it that responses use which are kept for repeated requests.
    stored: u64,
}

impl<T> HoldingLedger<T> {
    /// Creates an empty account.
    #[must_use]
    pub fn new(limits: HoldingLimits) -> Self {
        Self {
            limits,
            holders: BTreeMap::new(),
            next_id: HolderId::new(1),
            held: 0,
            leaving: 0,
            receiving: 0,
            stored: 0,
        }
    }

    /// Changes the limits; what is held beyond them leaves when more is asked for.
    pub const fn set_limits(&mut self, limits: HoldingLimits) {
        self.limits = limits;
    }

    /// Returns the limits in force.
    #[must_use]
    pub const fn limits(&self) -> &HoldingLimits {
        &self.limits
    }

    /// Returns the bytes that clients hold.
    #[must_use]
    pub const fn held(&self) -> ByteCount {
        ByteCount::new(self.held)
    }

    /// Returns the number of connections of a listener.
    #[must_use]
    pub fn open(&self, kind: ConnectionKind) -> usize {
        let holders = self.holders.values();
        holders.filter(|holder| holder.kind == kind).count()
    }

    /// Adds a connection, and returns its identifier and the connections that close for it.
    ///
    /// # Errors
    ///
    /// Returns the handle if every other connection of the listener waits for a server.
    pub fn add_connection(
        &mut self,
        now: ClockInstant,
        kind: ConnectionKind,
        handle: T,
    ) -> Result<(HolderId, Vec<ClosedConnection<T>>), T> {
        let limit = self.limits.connections(kind).get() as usize;
        let mut closed = Vec::new();
        let is_staying = |holder: &&HolderEntry<T>| holder.kind == kind && holder.handle.is_some();
        let staying = self.holders.values().filter(is_staying).count();
        for _ in limit..=staying {
            let Some(id) = self.longest_waiting(kind) else {
                return Err(handle);
            };
            closed.extend(self.close(id));
        }
        let id = self.next_id;
        self.next_id = id.next();
        self.held += CONNECTION_BYTES;
        let entry = HolderEntry {
            kind,
            stage: ConnectionStage::AwaitsClient,
            since: now,
            buffered: CONNECTION_BYTES,
            unread: 0,
            handle: Some(handle),
        };
        self.holders.insert(id, entry);
        Ok((id, closed))
    }

    /// Removes a connection and its buffers.
    pub fn remove_connection(&mut self, id: HolderId) {
        let Some(holder) = self.holders.remove(&id) else {
            return;
        };
        self.held -= holder.buffered;
        if holder.handle.is_none() {
            self.leaving -= holder.size();
        }
    }

    /// Records what a connection waits for, and since when its client has not been at work.
    pub fn set_stage(&mut self, id: HolderId, stage: ConnectionStage, since: ClockInstant) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.stage = stage;
            holder.since = since;
        }
    }

    /// Sets the size of a connection's buffers, and returns whether there is room and the connections
    /// that close for them. A connection that is refused has to close.
    pub fn resize_buffers(
        &mut self,
        now: ClockInstant,
        id: HolderId,
        size: ByteCount,
    ) -> (RoomDecision, Vec<ClosedConnection<T>>) {
        let size = size.get() + CONNECTION_BYTES;
        let Some(holder) = self.holders.get(&id) else {
            return (RoomDecision::Counted, Vec::new());
        };
        if holder.handle.is_none() {
            return (RoomDecision::Refused, Vec::new());
        }
        let (before, total) = (holder.buffered, size + holder.unread);
        let more = size.saturating_sub(before);
        let (decision, closed) = self.make_room(now, more, total, Some(id));
        if decision == RoomDecision::Counted
            && let Some(holder) = self.holders.get_mut(&id)
        {
            holder.buffered = size;
            self.held = self.held - before + size;
        }
        (decision, closed)
    }

    /// Counts a body that no connection's buffers contain any more.
    ///
    /// The bytes stay counted until [`HoldingLedger::release`].
    pub fn detach(&mut self, id: HolderId, size: ByteCount) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let kept = holder.buffered.saturating_sub(size.get());
            let kept = kept.max(CONNECTION_BYTES);
            if holder.handle.is_none() {
                self.leaving -= holder.buffered - kept;
            }
            // What the buffers did not contain is counted in addition.
            self.held += size.get() - (holder.buffered - kept);
            holder.buffered = kept;
        } else {
            self.held += size.get();
        }
    }

    /// Counts a body of `size` bytes, of which `more` are new, and returns whether there is room and the
    /// connections that close for it.
    pub fn grow(
        &mut self,
        now: ClockInstant,
        size: ByteCount,
        more: ByteCount,
    ) -> (RoomDecision, Vec<ClosedConnection<T>>) {
        let (decision, closed) = self.make_room(now, more.get(), size.get(), None);
        if decision == RoomDecision::Counted {
            self.held += more.get();
        }
        (decision, closed)
    }

    /// Returns the bytes of a body that is no longer held.
    pub const fn release(&mut self, size: ByteCount) {
        self.held = self.held.saturating_sub(size.get());
    }

    /// Counts a response of `size` bytes, of which `more` are new, while it is received.
    pub fn grow_received(
        &mut self,
        now: ClockInstant,
        size: ByteCount,
        more: ByteCount,
    ) -> (RoomDecision, Vec<ClosedConnection<T>>) {
        let limit = self.limits.received_responses().get();
        if size.get() > SMALL_BYTES && self.receiving + more.get() > limit {
            return (RoomDecision::Refused, Vec::new());
        }
        let (decision, closed) = self.grow(now, size, more);
        if decision == RoomDecision::Counted {
            self.receiving += more.get();
        }
        (decision, closed)
    }

    /// Ends the reception of a response; its bytes stay counted until [`HoldingLedger::release`].
    pub const fn end_received(&mut self, size: ByteCount) {
        self.receiving = self.receiving.saturating_sub(size.get());
    }

    /// Counts a response that is kept for repeated requests and counted already, and returns whether
    /// there is room for it.
    pub fn try_store(&mut self, size: ByteCount) -> bool {
        let total = self.stored + size.get();
        let fits = total <= self.limits.stored_responses().get();
        if fits {
            self.stored = total;
        }
        fits
    }

    /// Records that a stored response is dropped.
    pub const fn end_stored(&mut self, size: ByteCount) {
        self.stored = self.stored.saturating_sub(size.get());
    }

    /// Records that a client has yet to read a response of `size` bytes, which is counted already.
    pub fn add_unread(&mut self, id: HolderId, size: ByteCount) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.unread += size.get();
            if holder.handle.is_none() {
                self.leaving += size.get();
            }
        }
    }

    /// Counts copies of a response that a client has yet to read, whether there is room for them or
    /// not.
    pub fn add_output(&mut self, id: HolderId, size: ByteCount) {
        self.held += size.get();
        self.add_unread(id, size);
    }

    /// Records that a response which was added with [`HoldingLedger::add_unread`] is dropped.
    pub fn remove_unread(&mut self, id: HolderId, size: ByteCount) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.unread -= size.get();
            if holder.handle.is_none() {
                self.leaving -= size.get();
            }
        }
    }

    /// Closes connections until `more` bytes of a holder that then has `size` bytes fit.
    fn make_room(
        &mut self,
        now: ClockInstant,
        more: u64,
        size: u64,
        own: Option<HolderId>,
    ) -> (RoomDecision, Vec<ClosedConnection<T>>) {
        let mut closed = Vec::new();
        if more == 0 {
            return (RoomDecision::Counted, closed);
        }
        let reserve = match size <= SMALL_BYTES {
            true => 0,
            false => self.limits.small_reserve().get(),
        };
        let limit = self.limits.held().get() - reserve;
        while self.held - self.leaving + more > limit {
            let Some(id) = self.largest_waiting(now, own, more) else {
                return (RoomDecision::Refused, closed);
            };
            closed.extend(self.close(id));
            if own == Some(id) {
                return (RoomDecision::Refused, closed);
            }
        }
        match self.held + more > limit {
            true => (RoomDecision::Wait, closed),
            false => (RoomDecision::Counted, closed),
        }
    }

    /// Returns the connection of a listener whose client has kept it waiting for the longest.
    fn longest_waiting(&self, kind: ConnectionKind) -> Option<HolderId> {
        let candidates = self.candidates().filter(|(_, holder)| holder.kind == kind);
        let longest = candidates.min_by_key(|(_, holder)| holder.since);
        longest.map(|(id, _)| id)
    }

    /// Returns the connection whose client has held the most for the longest; `own` asks for `more`.
    fn largest_waiting(
        &self,
        now: ClockInstant,
        own: Option<HolderId>,
        more: u64,
    ) -> Option<HolderId> {
        let cost = |id: HolderId, holder: &HolderEntry<T>| {
            let size = holder.size() + if own == Some(id) { more } else { 0 };
            let waited = holder.since.elapsed(now).as_millis() + 1;
            u128::from(size) * u128::from(waited)
        };
        let largest = self
            .candidates()
            .max_by_key(|(id, holder)| cost(*id, holder));
        largest.map(|(id, _)| id)
    }

    /// Connections that may close: their clients have to send or to read, or hold much beside a request
    /// that runs.
    fn candidates(&self) -> impl Iterator<Item = (HolderId, &HolderEntry<T>)> {
        let holders = self.holders.iter().map(|(id, holder)| (*id, holder));
        holders.filter(|(_, holder)| {
            let is_waiting = holder.stage == ConnectionStage::AwaitsClient;
            holder.handle.is_some() && (is_waiting || holder.size() > SMALL_BYTES)
        })
    }

    fn close(&mut self, id: HolderId) -> Option<ClosedConnection<T>> {
        let holder = self.holders.get_mut(&id)?;
        let handle = holder.handle.take()?;
        self.leaving += holder.size();
        Some(ClosedConnection {
            kind: holder.kind,
            handle,
        })
    }
}

impl<T> HolderEntry<T> {
    const fn size(&self) -> u64 {
        self.buffered + self.unread
    }
}
