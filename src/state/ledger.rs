//! The issuer's ledger: which ids exist and what became of each.

use super::{
    id::{Incarnation, Issuer, JobId, JobNumber, Tag, VmName, ZoneName},
    job::{Answer, Digest, Job},
    time::Moment,
};
use derive_more::{Display, Error};
use indexmap::IndexMap;
use parking_lot::Mutex;
use siphasher::sip::SipHasher13;
use std::{collections::VecDeque, hash::Hasher, sync::Arc, time::Duration};

/// Why an id is not one that this ledger can act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum TicketError {
    /// The id was never issued by this process.
    #[display("this id was never issued")]
    Foreign,
    /// The id's time is over; its job can no longer be started and its answer is forgotten.
    #[display("this id has expired")]
    Expired,
}

/// The key that makes the tags of one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TagKey(pub [u8; 16]);

impl TagKey {
    /// The tag of one number.
    pub fn tag(&self, number: JobNumber) -> Tag {
        let mut hasher = SipHasher13::new_with_key(&self.0);
        hasher.write_u64(number.0);
        Tag(hasher.finish())
    }
}

#[derive(Debug)]
struct Block {
    first: u64,
    issued: Moment,
}

#[derive(Debug, Default)]
struct Issued {
    next: u64,
    blocks: VecDeque<Block>,
}

/// Issues ids and tells valid ones from others.
///
/// ```
/// use cranberrytray::state::{
///     id::Tag,
///     ledger::{TagKey, TicketError, Tickets, issuer},
///     time::Moment,
/// };
/// use std::time::Duration;
///
/// let issuer = issuer("gasabo", "gasabo-1", 1).unwrap();
/// let tickets = Tickets::new(issuer, TagKey([7; 16]), Duration::from_secs(60));
/// let mut id = tickets.issue(Moment::ZERO, 1).remove(0);
/// assert_eq!(tickets.check(Moment::ZERO, &id), Ok(()));
/// let late = Moment::ZERO + Duration::from_secs(61);
/// assert_eq!(tickets.check(late, &id), Err(TicketError::Expired));
/// id.tag = Tag(0);
/// assert_eq!(tickets.check(Moment::ZERO, &id), Err(TicketError::Foreign));
/// ```
#[derive(Debug)]
pub struct Tickets {
    issuer: Issuer,
    key: TagKey,
    life: Duration,
    issued: Mutex<Issued>,
}

/// Ids issued within this time of each other expire together.
const BLOCK_SPAN: Duration = Duration::from_secs(1);

impl Tickets {
    /// Issues ids that live for `life` on this process's clock.
    pub fn new(issuer: Issuer, key: TagKey, life: Duration) -> Self {
        Tickets { issuer, key, life, issued: Mutex::default() }
    }

    /// The issuer named in every id.
    pub fn issuer(&self) -> &Issuer {
        &self.issuer
    }

    /// The key behind the tags.
    pub fn key(&self) -> TagKey {
        self.key
    }

    /// How long an id lives.
    pub fn life(&self) -> Duration {
        self.life
    }

    /// Issues `count` ids.
    pub fn issue(&self, now: Moment, count: u32) -> Vec<JobId> {
        let mut issued = self.issued.lock();
        let first = issued.next;
        issued.next += u64::from(count);
        let open_new = issued.blocks.back().is_none_or(|last| now - last.issued > BLOCK_SPAN);
        if open_new {
            issued.blocks.push_back(Block { first, issued: now });
        }
        drop(issued);
        (first..first + u64::from(count)).map(|number| self.id(JobNumber(number))).collect()
    }

    fn id(&self, number: JobNumber) -> JobId {
        JobId { issuer: self.issuer.clone(), number, tag: self.key.tag(number) }
    }

    /// Checks an id that names this issuer.
    ///
    /// # Errors
    ///
    /// [`TicketError::Foreign`] if it was never issued, [`TicketError::Expired`] if its time is
    /// over.
    pub fn check(&self, now: Moment, id: &JobId) -> Result<(), TicketError> {
        if id.issuer != self.issuer || id.tag != self.key.tag(id.number) {
            return Err(TicketError::Foreign);
        }
        let issued = self.issued.lock();
        if id.number.0 >= issued.next {
            return Err(TicketError::Foreign);
        }
        let at = issued.blocks.partition_point(|block| block.first <= id.number.0);
        let block = at.checked_sub(1).and_then(|at| issued.blocks.get(at));
        match block {
            Some(block) if now - block.issued <= self.life => Ok(()),
            _ => Err(TicketError::Expired),
        }
    }

    /// Forgets expired blocks; returns the lowest number that may still be live, and the next.
    pub fn expire(&self, now: Moment) -> (u64, u64) {
        let mut issued = self.issued.lock();
        while issued.blocks.front().is_some_and(|block| now - block.issued > self.life) {
            issued.blocks.pop_front();
        }
        let oldest = issued.blocks.front().map_or(issued.next, |block| block.first);
        (oldest, issued.next)
    }
}

/// What the ledger knows of one id.
#[derive(Debug)]
pub enum Entry {
    /// Accepted, no answer yet.
    Open(Job),
    /// Answered for good.
    Closed {
        /// The fingerprint of what was submitted, if anything was.
        digest: Option<Digest>,
        /// The answer.
        answer: Arc<Answer>,
    },
}

/// The entries of some of the ids; each shard lives under its own lock.
#[derive(Debug, Default)]
pub struct Shard {
    entries: IndexMap<JobNumber, Entry>,
    closed: VecDeque<JobNumber>,
}

impl Shard {
    /// The entry of an id, if it was ever submitted or cancelled.
    pub fn get(&self, number: JobNumber) -> Option<&Entry> {
        self.entries.get(&number)
    }

    /// The open job under an id.
    pub fn open(&mut self, number: JobNumber) -> Option<&mut Job> {
        match self.entries.get_mut(&number) {
            Some(Entry::Open(job)) => Some(job),
            _ => None,
        }
    }

    /// Enters an accepted job.
    pub fn insert(&mut self, number: JobNumber, job: Job) {
        self.entries.insert(number, Entry::Open(job));
    }

    /// Closes an id with its answer and returns the job that was open under it.
    pub fn close(
        &mut self,
        number: JobNumber,
        digest: Option<Digest>,
        answer: Arc<Answer>,
    ) -> Option<Job> {
        self.closed.push_back(number);
        match self.entries.insert(number, Entry::Closed { digest, answer }) {
            Some(Entry::Open(job)) => Some(job),
            _ => None,
        }
    }

    /// Forgets closed ids below `oldest`, which can't be submitted any more; returns the bytes of
    /// the answers forgotten.
    pub fn forget(&mut self, oldest: u64) -> usize {
        let mut forgotten = 0;
        let mut keep = VecDeque::new();
        while let Some(number) = self.closed.pop_front() {
            if number.0 < oldest {
                if let Some(Entry::Closed { answer, .. }) = self.entries.swap_remove(&number) {
                    forgotten += answer.bytes();
                }
            } else {
                keep.push_back(number);
            }
        }
        self.closed = keep;
        forgotten
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = (&JobNumber, &Entry)> {
        self.entries.iter()
    }
}

/// A closed ledger, handed over by an entry VM that leaves.
#[derive(Clone, Debug)]
pub struct ClosedLedger {
    /// Whose ids these are.
    pub issuer: Issuer,
    /// The key behind their tags.
    pub key: TagKey,
    /// The first number never issued.
    pub next: u64,
    /// The lowest number not yet expired.
    pub oldest_live: u64,
    /// The answers given.
    pub answers: IndexMap<JobNumber, (Option<Digest>, Arc<Answer>)>,
}

/// What a successor can say of an id whose issuer has left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClosedEntry {
    /// It was answered.
    Answered(Option<Digest>, Arc<Answer>),
    /// It was never submitted and can't be any more.
    NeverRun,
}

impl ClosedLedger {
    /// Looks an id up.
    ///
    /// # Errors
    ///
    /// [`TicketError::Foreign`] if it was never issued, [`TicketError::Expired`] if its time was
    /// over when the issuer left.
    pub fn look_up(&self, id: &JobId) -> Result<ClosedEntry, TicketError> {
        if id.tag != self.key.tag(id.number) || id.number.0 >= self.next {
            return Err(TicketError::Foreign);
        }
        if let Some((digest, answer)) = self.answers.get(&id.number) {
            return Ok(ClosedEntry::Answered(*digest, Arc::clone(answer)));
        }
        if id.number.0 < self.oldest_live {
            return Err(TicketError::Expired);
        }
        Ok(ClosedEntry::NeverRun)
    }
}

/// The closed ledgers that this entry VM answers for, by incarnation.
#[derive(Debug, Default)]
pub struct Inherited {
    ledgers: IndexMap<Incarnation, (Moment, ClosedLedger)>,
}

impl Inherited {
    /// Takes over a closed ledger, or a further part of one.
    pub fn adopt(&mut self, now: Moment, ledger: ClosedLedger) {
        match self.ledgers.get_mut(&ledger.issuer.incarnation) {
            Some((_, known)) => known.answers.extend(ledger.answers),
            None => {
                self.ledgers.insert(ledger.issuer.incarnation, (now, ledger));
            }
        }
    }

    /// The ledger of an incarnation.
    pub fn get(&self, incarnation: Incarnation) -> Option<&ClosedLedger> {
        self.ledgers.get(&incarnation).map(|(_, ledger)| ledger)
    }

    /// Forgets ledgers held for longer than `life`: all their ids have expired.
    pub fn forget(&mut self, now: Moment, life: Duration) {
        self.ledgers.retain(|_, (since, _)| now - *since <= life);
    }

    /// Takes all ledgers, to hand them on.
    pub fn take(&mut self) -> Vec<ClosedLedger> {
        std::mem::take(&mut self.ledgers).into_values().map(|(_, ledger)| ledger).collect()
    }
}

/// An issuer for tests and examples.
///
/// # Errors
///
/// An [`super::id::IdError`] if a name is malformed.
pub fn issuer(zone: &str, vm: &str, incarnation: u64) -> Result<Issuer, super::id::IdError> {
    let zone: ZoneName = zone.parse()?;
    let vm: VmName = vm.parse()?;
    Ok(Issuer { zone, vm, incarnation: Incarnation(incarnation) })
}
