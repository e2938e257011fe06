//! Claims on idempotency keys; the first claim in log order wins. See `docs/design.md`, section 9.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::hash::Hash;
use std::hash::RandomState;

use balsam_types::ClaimKey;
use balsam_types::Incarnation;
use balsam_types::Offset;
use balsam_types::PoolName;
use balsam_types::StoredResponse;
use balsam_types::claim::MAX_STORED_BODY_BYTES;
use balsam_types::claim::RequestHash;
use hashbrown::HashTable;
use snafu::ensure;

use crate::rejection::*;

/// Slots per chunk; small, so that the table grows in small steps and copies no existing claims.
const CHUNK_SLOTS: usize = 1024;

/// Maximum length of a stored content type, as each claim may hold one; real ones are far shorter.
const MAX_CONTENT_TYPE_BYTES: usize = 256;

/// Value of `Slot::node` that marks a slot without a claim.
const FREE_SLOT: u32 = u32::MAX;

/// The claim on a key, as recorded in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimView {
    /// The only process allowed to dispatch the request.
    pub holder: Incarnation,
    /// Hash of the parts of the request that the endpoint acts on.
    pub request_hash: RequestHash,
    /// The pool the request goes to.
    pub pool: PoolName,
    /// The offset of the claim.
    pub offset: Offset,
    /// When the claim was appended to the log.
    pub claimed_at_ms: u64,
    /// The completion, if there is one.
    pub completed: Option<Completion>,
}

/// The completion of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The offset of the completion.
    pub offset: Offset,
    /// The response to return to repeats of the request.
    pub response: StoredResponse,
}

/// A claim that is to be added.
pub(crate) struct NewClaim<'a> {
    pub(crate) key: ClaimKey,
    pub(crate) request_hash: RequestHash,
    pub(crate) pool: &'a PoolName,
    pub(crate) node: &'a Incarnation,
    pub(crate) offset: Offset,
    pub(crate) at_ms: u64,
}

/// A stored claim. Pools and nodes are interned, because thousands of claims share them.
#[derive(Debug, Clone)]
struct Slot {
    key: ClaimKey,
    request_hash: RequestHash,
    append: u64,
    claimed_at_ms: u64,
    completed: Option<Box<Completion>>,
    index: u32,
    pool: u32,
    node: u32,
}

impl Slot {
    fn offset(&self) -> Offset {
        Offset::new(self.append, self.index)
    }
}

/// Interns values that many claims share; each is reference-counted and freed after its last use.
#[derive(Debug, Clone)]
struct Interner<T> {
    indices: HashMap<T, u32>,
    values: Vec<Option<(T, u32)>>,
    free: Vec<u32>,
}

impl<T: Clone + Eq + Hash> Interner<T> {
    fn new() -> Self {
        Self { indices: HashMap::new(), values: Vec::new(), free: Vec::new() }
    }

    fn acquire(&mut self, value: &T) -> u32 {
        if let Some(index) = self.indices.get(value) {
            if let Some((_, ref_count)) = &mut self.values[*index as usize] {
                *ref_count += 1;
            }
            return *index;
        }
        let entry = Some((value.clone(), 1));
        let index = match self.free.pop() {
            Some(index) => {
                self.values[index as usize] = entry;
                index
            }
            None => {
                self.values.push(entry);
                self.values.len() as u32 - 1
            }
        };
        self.indices.insert(value.clone(), index);
        index
    }

    fn release(&mut self, index: u32) {
        let entry = &mut self.values[index as usize];
        let Some((value, ref_count)) = entry else { return };
        *ref_count -= 1;
        if *ref_count == 0 {
            self.indices.remove(value);
            *entry = None;
            self.free.push(index);
        }
    }

    fn get(&self, index: u32) -> Option<&T> {
        self.values.get(index as usize)?.as_ref().map(|(value, _)| value)
    }
}

/// All claims within the key window, oldest first, with an index by key.
///
/// Claims are added in time order, so eviction takes them from the front without a search.
#[derive(Debug, Clone)]
pub(crate) struct Claims {
    hasher: RandomState,
    by_key: HashTable<u32>,
    chunks: VecDeque<Vec<Slot>>,
    /// The id of the first slot of the first chunk; ids wrap around on overflow.
    first_id: u32,
    /// The number of evicted slots at the start of the first chunk.
    evicted_slots: usize,
    /// The number of slots after the evicted ones that hold no claim.
    free_slots: usize,
    pools: Interner<PoolName>,
    nodes: Interner<Incarnation>,
    stored_bytes: usize,
}

impl Claims {
    pub(crate) fn new() -> Self {
        Self {
            hasher: RandomState::new(),
            by_key: HashTable::new(),
            chunks: VecDeque::new(),
            first_id: 0,
            evicted_slots: 0,
            free_slots: 0,
            pools: Interner::new(),
            nodes: Interner::new(),
            stored_bytes: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    fn slot_at(&self, id: u32) -> &Slot {
        let position = id.wrapping_sub(self.first_id) as usize;
        &self.chunks[position / CHUNK_SLOTS][position % CHUNK_SLOTS]
    }

    fn slot_mut(&mut self, id: u32) -> &mut Slot {
        let position = id.wrapping_sub(self.first_id) as usize;
        &mut self.chunks[position / CHUNK_SLOTS][position % CHUNK_SLOTS]
    }

    fn find(&self, key: &ClaimKey) -> Option<u32> {
        let hash = self.hasher.hash_one(key);
        self.by_key.find(hash, |id| self.slot_at(*id).key == *key).copied()
    }

    fn pool_and_holder(&self, slot: &Slot) -> Option<(&PoolName, &Incarnation)> {
        Some((self.pools.get(slot.pool)?, self.nodes.get(slot.node)?))
    }

    fn view(&self, slot: &Slot) -> Option<ClaimView> {
        let (pool, holder) = self.pool_and_holder(slot)?;
        Some(ClaimView {
            holder: holder.clone(),
            request_hash: slot.request_hash,
            pool: pool.clone(),
            offset: slot.offset(),
            claimed_at_ms: slot.claimed_at_ms,
            completed: slot.completed.as_deref().cloned(),
        })
    }

    pub(crate) fn get(&self, key: &ClaimKey) -> Option<ClaimView> {
        self.view(self.slot_at(self.find(key)?))
    }

    /// Returns the offset of the last accepted change of a claimed key.
    pub(crate) fn last_change_offset(&self, key: &ClaimKey) -> Option<Offset> {
        let slot = self.slot_at(self.find(key)?);
        Some(slot.completed.as_ref().map_or(slot.offset(), |completed| completed.offset))
    }

    /// Returns all claims, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ClaimKey, ClaimView)> {
        let live_slots = self
            .chunks
            .iter()
            .flatten()
            .skip(self.evicted_slots)
            .filter(|slot| slot.node != FREE_SLOT);
        live_slots.filter_map(|slot| Some((slot.key, self.view(slot)?)))
    }

    pub(crate) fn claim(&mut self, new: &NewClaim<'_>, max_claims: usize) -> Result<(), Rejection> {
        if let Some(existing) = self.get(&new.key) {
            let is_same_request = existing.request_hash == new.request_hash;
            return Err(match existing.completed {
                Some(Completion { offset, response }) => {
                    Rejection::ClaimCompleted { offset, is_same_request, response }
                }
                None => Rejection::ClaimHeld {
                    holder: existing.holder,
                    pool: existing.pool,
                    offset: existing.offset,
                    is_same_request,
                },
            });
        }
        ensure!(self.len() < max_claims, TooManyClaimsSnafu { max_claims });
        self.push(new);
        Ok(())
    }

    fn push(&mut self, new: &NewClaim<'_>) {
        let slot = Slot {
            key: new.key,
            request_hash: new.request_hash,
            append: new.offset.append,
            claimed_at_ms: new.at_ms,
            completed: None,
            index: new.offset.index,
            pool: self.pools.acquire(new.pool),
            node: self.nodes.acquire(new.node),
        };
        self.push_slot(slot);
    }

    fn push_slot(&mut self, slot: Slot) {
        let hash = self.hasher.hash_one(slot.key);
        if self.chunks.back().is_none_or(|chunk| chunk.len() == CHUNK_SLOTS) {
            self.chunks.push_back(Vec::with_capacity(CHUNK_SLOTS));
        }
        let preceding_slots = (self.chunks.len() - 1) * CHUNK_SLOTS;
        let Some(last) = self.chunks.back_mut() else { return };
        let id = self.first_id.wrapping_add((preceding_slots + last.len()) as u32);
        last.push(slot);
        let Self { by_key, hasher, chunks, first_id, .. } = self;
        by_key.insert_unique(hash, id, |id| {
            let position = id.wrapping_sub(*first_id) as usize;
            hasher.hash_one(chunks[position / CHUNK_SLOTS][position % CHUNK_SLOTS].key)
        });
    }

    /// Returns the slot id of an uncompleted claim that is held by `node`.
    fn find_held_by(&self, key: &ClaimKey, node: &Incarnation) -> Result<u32, Rejection> {
        let object = || balsam_types::record::ObjectRef::Claim(*key);
        let id = self.find(key).ok_or_else(|| Rejection::Missing { object: object() })?;
        let slot = self.slot_at(id);
        if let Some(completed) = &slot.completed {
            let Completion { offset, response } = (**completed).clone();
            return ClaimCompletedSnafu { offset, is_same_request: true, response }.fail();
        }
        match self.nodes.get(slot.node) {
            Some(holder) if holder != node => NotHolderSnafu { holder: holder.clone() }.fail(),
            _ => Ok(id),
        }
    }

    pub(crate) fn release(&mut self, key: &ClaimKey, node: &Incarnation) -> Result<(), Rejection> {
        let id = self.find_held_by(key, node)?;
        self.clear_slot(id);
        self.compact();
        Ok(())
    }

    pub(crate) fn complete(
        &mut self,
        key: &ClaimKey,
        node: &Incarnation,
        response: &StoredResponse,
        offset: Offset,
        max_stored_bytes: usize,
    ) -> Result<(), Rejection> {
        let id = self.find_held_by(key, node)?;
        let remaining_bytes = max_stored_bytes.saturating_sub(self.stored_bytes);
        let response = without_oversized_body(response, remaining_bytes);
        self.set_completed(id, Completion { offset, response });
        Ok(())
    }

    fn set_completed(&mut self, id: u32, completed: Completion) {
        self.stored_bytes += stored_bytes(&completed.response);
        self.slot_mut(id).completed = Some(Box::new(completed));
    }

    /// Removes the claim of a slot; the slot itself is evicted once it is the oldest.
    fn clear_slot(&mut self, id: u32) {
        let hash = self.hasher.hash_one(self.slot_at(id).key);
        if let Ok(entry) = self.by_key.find_entry(hash, |other| *other == id) {
            entry.remove();
        }
        let slot = self.slot_mut(id);
        let (pool, node) = (slot.pool, slot.node);
        let completed = slot.completed.take();
        slot.node = FREE_SLOT;
        self.stored_bytes -= completed.map_or(0, |c| stored_bytes(&c.response));
        self.pools.release(pool);
        self.nodes.release(node);
        self.free_slots += 1;
    }

    /// Evicts claims that are older than the window.
    pub(crate) fn evict(&mut self, now_ms: u64, window_ms: u64) {
        while let Some(front) = self.chunks.front().and_then(|chunk| chunk.get(self.evicted_slots))
        {
            let is_live = front.node != FREE_SLOT;
            if is_live && front.claimed_at_ms.saturating_add(window_ms) >= now_ms {
                return;
            }
            if is_live {
                self.clear_slot(self.first_id.wrapping_add(self.evicted_slots as u32));
            }
            self.free_slots -= 1;
            self.evicted_slots += 1;
            if self.evicted_slots == CHUNK_SLOTS {
                self.chunks.pop_front();
                self.first_id = self.first_id.wrapping_add(CHUNK_SLOTS as u32);
                self.evicted_slots = 0;
            }
        }
    }

    /// Rebuilds the table once free slots outnumber claims, to bound its memory.
    fn compact(&mut self) {
        if self.free_slots <= self.len() + 4 * CHUNK_SLOTS {
            return;
        }
        let chunks = std::mem::take(&mut self.chunks);
        let evicted_slots = std::mem::take(&mut self.evicted_slots);
        self.by_key.clear();
        self.free_slots = 0;
        for slot in
            chunks.into_iter().flatten().skip(evicted_slots).filter(|slot| slot.node != FREE_SLOT)
        {
            self.push_slot(slot);
        }
    }

    /// Appends a claim from a snapshot; returns false if its key is claimed already.
    pub(crate) fn restore(&mut self, new: &NewClaim<'_>, completed: Option<Completion>) -> bool {
        if self.find(&new.key).is_some() {
            return false;
        }
        self.push(new);
        if let (Some(completed), Some(id)) = (completed, self.find(&new.key)) {
            self.set_completed(id, completed);
        }
        true
    }
}

fn stored_bytes(response: &StoredResponse) -> usize {
    response.content_type.len() + response.body.as_ref().map_or(0, |body| body.len())
}

/// Returns the response to store, without its body and content type if it is too large.
fn without_oversized_body(response: &StoredResponse, remaining_bytes: usize) -> StoredResponse {
    let body_bytes = response.body.as_ref().map_or(0, |body| body.len());
    let fits = body_bytes <= MAX_STORED_BODY_BYTES
        && response.content_type.len() <= MAX_CONTENT_TYPE_BYTES
        && stored_bytes(response) <= remaining_bytes;
    if fits {
        return response.clone();
    }
    StoredResponse { status: response.status, content_type: "".into(), body: None }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn claim_at(claims: &mut Claims, number: u64, at_ms: u64) -> ClaimKey {
        let key = u128::from(number).to_be_bytes();
        let vm = balsam_types::VmName::try_from("vm").unwrap();
        let new = NewClaim {
            key: ClaimKey(key),
            request_hash: RequestHash(key),
            pool: &PoolName::try_from("pool").unwrap(),
            node: &Incarnation { vm, start_ms: number % 3, nonce: 0 },
            offset: Offset::new(number, 0),
            at_ms,
        };
        claims.claim(&new, usize::MAX).unwrap();
        ClaimKey(key)
    }

    /// Guards against slots and interned nodes that leak when claims are released.
    #[test]
    fn repeated_claims_and_releases_do_not_grow_the_table() {
        let mut claims = Claims::new();
        for number in 0..40_000 {
            let key = claim_at(&mut claims, number, 1);
            let view = claims.get(&key).unwrap();
            claims.release(&key, &view.holder).unwrap();
        }
        assert_eq!(claims.len(), 0);
        assert!(claims.chunks.len() <= 6, "{} chunks", claims.chunks.len());
        assert!(claims.nodes.values.len() <= 3);
    }

    /// Guards against evicted responses that still count towards the limit on stored bytes.
    #[test]
    fn evicted_claims_free_space_for_new_responses() {
        let mut claims = Claims::new();
        let body = Some(std::sync::Arc::from([0; 90]));
        let response = StoredResponse { status: 200, content_type: "".into(), body };
        for number in 0..5 {
            let at_ms = number * 100;
            claims.evict(at_ms, 50);
            let key = claim_at(&mut claims, number, at_ms);
            let holder = claims.get(&key).unwrap().holder;
            let offset = Offset::new(number, 1);
            claims.complete(&key, &holder, &response, offset, 100).unwrap();
            assert_eq!(claims.get(&key).unwrap().completed.unwrap().response, response);
        }
    }

    /// Guards against wrong slot lookups when chunks are evicted and ids wrap around `u32`.
    #[test]
    fn slot_ids_stay_valid_when_chunks_are_evicted_and_ids_wrap() {
        let mut claims = Claims::new();
        claims.first_id = u32::MAX - 1_500;
        for number in 0..5_000 {
            claim_at(&mut claims, number, number);
            claims.evict(number, 1_000);
        }
        assert_eq!(claims.len(), 1_001);
        assert!(claims.iter().all(|(key, view)| claims.get(&key) == Some(view)));
        assert!(claims.chunks.len() <= 3);
    }
}
