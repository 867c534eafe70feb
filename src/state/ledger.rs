//! The ledger of an entry VM: the job ids that it has issued, and the open job or the final answer
//! under each.

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

/// Reason why a job id is not valid here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum TicketError {
    /// This process has not issued the id.
    #[display("this id was never issued")]
    NotIssued,
    /// The id has expired: its job can no longer be started, and its answer may be deleted.
    #[display("this id has expired")]
    Expired,
}

/// Secret key of one incarnation of an entry VM, from which the tags of its job ids are computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TagKey(pub [u8; 16]);

impl TagKey {
    /// Returns the tag of the job id with this number.
    pub fn tag(&self, number: JobNumber) -> Tag {
        let mut hasher = SipHasher13::new_with_key(&self.0);
        hasher.write_u64(number.0);
        Tag(hasher.finish())
    }
}

/// Consecutive ids that expire together.
#[derive(Debug)]
struct IdBlock {
    /// Lowest number of the ids.
    first: u64,
    issued_at: Moment,
}

#[derive(Debug, Default)]
struct IssuedIds {
    /// Number of the next id to be issued.
    next: u64,
    /// Blocks that have not expired, in ascending order of `first`.
    blocks: VecDeque<IdBlock>,
}

/// Issues job ids, which callers obtain as tickets before they submit jobs, and checks whether an
/// id was issued here and has not expired.
///
/// ```
/// use cranberrytray::state::{
///     id::Tag,
///     ledger::{TagKey, TicketError, TicketIssuer, parse_issuer},
///     time::Moment,
/// };
/// use std::time::Duration;
///
/// let issuer = parse_issuer("gasabo", "gasabo-1", 1).unwrap();
/// let tickets = TicketIssuer::new(issuer, TagKey([7; 16]), Duration::from_secs(60));
/// let mut id = tickets.issue(Moment::ZERO, 1).remove(0);
/// assert_eq!(tickets.check(Moment::ZERO, &id), Ok(()));
/// let late = Moment::ZERO + Duration::from_secs(61);
/// assert_eq!(tickets.check(late, &id), Err(TicketError::Expired));
/// id.tag = Tag(0);
/// assert_eq!(tickets.check(Moment::ZERO, &id), Err(TicketError::NotIssued));
/// ```
#[derive(Debug)]
pub struct TicketIssuer {
    issuer: Issuer,
    key: TagKey,
    ttl: Duration,
    issued: Mutex<IssuedIds>,
}

/// Ids issued within this time expire together, when the first of them does.
const ID_BLOCK_DURATION: Duration = Duration::from_secs(1);

impl TicketIssuer {
    /// Creates an issuer of ids that expire after `ttl` on this process's clock.
    pub fn new(issuer: Issuer, key: TagKey, ttl: Duration) -> Self {
        TicketIssuer { issuer, key, ttl, issued: Mutex::default() }
    }

    /// Identity of this process, which every id contains.
    pub fn issuer(&self) -> &Issuer {
        &self.issuer
    }

    /// Key from which the tags of the ids are computed.
    pub fn key(&self) -> TagKey {
        self.key
    }

    /// Time after which an id expires.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Issues `count` ids with consecutive numbers.
    pub fn issue(&self, now: Moment, count: u32) -> Vec<JobId> {
        let mut issued = self.issued.lock();
        let first = issued.next;
        issued.next += u64::from(count);
        let starts_block =
            issued.blocks.back().is_none_or(|last| now - last.issued_at > ID_BLOCK_DURATION);
        if starts_block {
            issued.blocks.push_back(IdBlock { first, issued_at: now });
        }
        drop(issued);
        (first..first + u64::from(count)).map(|number| self.id(JobNumber(number))).collect()
    }

    fn id(&self, number: JobNumber) -> JobId {
        JobId { issuer: self.issuer.clone(), number, tag: self.key.tag(number) }
    }

    /// Checks that this process has issued the id and that it has not expired.
    ///
    /// # Errors
    ///
    /// [`TicketError::NotIssued`] if this process has not issued the id, [`TicketError::Expired`]
    /// if it has expired.
    pub fn check(&self, now: Moment, id: &JobId) -> Result<(), TicketError> {
        if id.issuer != self.issuer || id.tag != self.key.tag(id.number) {
            return Err(TicketError::NotIssued);
        }
        let issued = self.issued.lock();
        if id.number.0 >= issued.next {
            return Err(TicketError::NotIssued);
        }
        let index = issued.blocks.partition_point(|block| block.first <= id.number.0);
        let block = index.checked_sub(1).and_then(|index| issued.blocks.get(index));
        match block {
            Some(block) if now - block.issued_at <= self.ttl => Ok(()),
            _ => Err(TicketError::Expired),
        }
    }

    /// Removes expired blocks. Returns the lowest number that may not have expired and the next
    /// number to be issued.
    pub fn remove_expired(&self, now: Moment) -> (u64, u64) {
        let mut issued = self.issued.lock();
        while issued.blocks.front().is_some_and(|block| now - block.issued_at > self.ttl) {
            issued.blocks.pop_front();
        }
        let oldest = issued.blocks.front().map_or(issued.next, |block| block.first);
        (oldest, issued.next)
    }
}

/// State of an id that was submitted or cancelled.
#[derive(Debug)]
pub enum Entry {
    /// The job was accepted and has no answer yet.
    Open(Job),
    /// The id has a final answer.
    Closed {
        /// Digest of the job; `None` if the id was cancelled before a job was submitted.
        digest: Option<Digest>,
        /// Final answer to the job.
        answer: Arc<Answer>,
    },
}

/// One shard of the ledger's entries, by job number. Each shard has its own lock.
#[derive(Debug, Default)]
pub struct LedgerShard {
    entries: IndexMap<JobNumber, Entry>,
    /// Numbers of the closed entries, the earliest closed first.
    closed: VecDeque<JobNumber>,
}

impl LedgerShard {
    /// Returns the entry of an id; `None` if the id was neither submitted nor cancelled, or its
    /// entry was deleted.
    pub fn get(&self, number: JobNumber) -> Option<&Entry> {
        self.entries.get(&number)
    }

    /// Returns the job of an id, unless it has its final answer.
    pub fn open_job(&mut self, number: JobNumber) -> Option<&mut Job> {
        match self.entries.get_mut(&number) {
            Some(Entry::Open(job)) => Some(job),
            _ => None,
        }
    }

    /// Adds an accepted job.
    pub fn insert_job(&mut self, number: JobNumber, job: Job) {
        self.entries.insert(number, Entry::Open(job));
    }

    /// Stores the final answer of an id and returns the job that was open under it.
    pub fn close_job(
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

    /// Deletes the closed entries of numbers below `oldest`, which have expired. Returns the size
    /// of the deleted answers, in bytes.
    pub fn remove_closed(&mut self, oldest: u64) -> usize {
        let mut deleted_bytes = 0;
        let mut keep = VecDeque::new();
        while let Some(number) = self.closed.pop_front() {
            if number.0 < oldest {
                if let Some(Entry::Closed { answer, .. }) = self.entries.swap_remove(&number) {
                    deleted_bytes += answer.output_bytes();
                }
            } else {
                keep.push_back(number);
            }
        }
        self.closed = keep;
        deleted_bytes
    }

    /// Iterates over the entries of all numbers.
    pub fn entries(&self) -> impl Iterator<Item = (&JobNumber, &Entry)> {
        self.entries.iter()
    }
}

/// The ledger of an entry VM that has shut down, handed over to a peer that answers for its ids.
#[derive(Clone, Debug)]
pub struct ClosedLedger {
    /// Process that issued the ids.
    pub issuer: Issuer,
    /// Key from which the tags of the ids were computed.
    pub key: TagKey,
    /// Lowest number that was never issued.
    pub next: u64,
    /// Lowest number that had not expired at the handover.
    pub oldest_live: u64,
    /// Final answers, with the digests of their jobs where any were submitted.
    pub answers: IndexMap<JobNumber, (Option<Digest>, Arc<Answer>)>,
}

/// State of an id in a [`ClosedLedger`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClosedEntry {
    /// The id has a final answer; holds the job's digest, if one was submitted, and the answer.
    Answered(Option<Digest>, Arc<Answer>),
    /// No job was submitted under the id, and none can be any more.
    NeverRun,
}

impl ClosedLedger {
    /// Returns the state of an id.
    ///
    /// # Errors
    ///
    /// [`TicketError::NotIssued`] if the id was never issued, [`TicketError::Expired`] if it had
    /// expired at the handover.
    pub fn look_up(&self, id: &JobId) -> Result<ClosedEntry, TicketError> {
        if id.tag != self.key.tag(id.number) || id.number.0 >= self.next {
            return Err(TicketError::NotIssued);
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

/// Closed ledgers that this entry VM has taken over from its peers, by incarnation.
#[derive(Debug, Default)]
pub struct InheritedLedgers {
    ledgers: IndexMap<Incarnation, (Moment, ClosedLedger)>,
}

impl InheritedLedgers {
    /// Adds a closed ledger, or a further part of the answers of one.
    pub fn add(&mut self, now: Moment, ledger: ClosedLedger) {
        match self.ledgers.get_mut(&ledger.issuer.incarnation) {
            Some((_, known)) => known.answers.extend(ledger.answers),
            None => {
                self.ledgers.insert(ledger.issuer.incarnation, (now, ledger));
            }
        }
    }

    /// Returns the closed ledger of an incarnation of a peer.
    pub fn get(&self, incarnation: Incarnation) -> Option<&ClosedLedger> {
        self.ledgers.get(&incarnation).map(|(_, ledger)| ledger)
    }

    /// Removes ledgers added more than `ttl` ago, the time after which all their ids have expired.
    pub fn remove_expired(&mut self, now: Moment, ttl: Duration) {
        self.ledgers.retain(|_, (added_at, _)| now - *added_at <= ttl);
    }

    /// Removes and returns all ledgers, to hand them over to another peer.
    pub fn take_all(&mut self) -> Vec<ClosedLedger> {
        std::mem::take(&mut self.ledgers).into_values().map(|(_, ledger)| ledger).collect()
    }
}

/// Parses the names of an [`Issuer`], for tests, examples and measurements.
///
/// # Errors
///
/// [`super::id::IdError`] if a name is not valid.
pub fn parse_issuer(zone: &str, vm: &str, incarnation: u64) -> Result<Issuer, super::id::IdError> {
    let zone: ZoneName = zone.parse()?;
    let vm: VmName = vm.parse()?;
    Ok(Issuer { zone, vm, incarnation: Incarnation(incarnation) })
}
