@0xb1f7c9a2d35e6804;
# Protocol between the VMs that run jobs on leased targets.

struct Member {
  vm @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  # Address at which the VM serves this protocol, as IP:PORT.
  weight @3 :UInt32;
  # Capacity of the VM as a dispatcher, in thousandths of a core; the VM with the highest value
  # dispatches for its zone.
  incarnation @4 :UInt64;
  knowsShards @5 :Bool;
  # Whether the VM's version can divide a zone into shards. A zone with a VM that can't is not divided.
  knowsIdCase @6 :Bool;
  # Whether the VM's version keeps the case of job ids.
}

struct Resources {
  milliCores @0 :UInt64;
  mebibytes @1 :UInt64;
  accelerators @2 :UInt64;
}

struct Step {
  count @0 :UInt32;
  needs @1 :Resources;
  declaredMs @2 :UInt64;
  # Run time of a task that the caller estimates; 0 if it gave no estimate.
  after @3 :List(UInt32);
  required @4 :Text;
  # Label that a target must have to run the tasks; empty if none is required.
  near @5 :Text;
  # Label of the rack that holds the tasks' data; empty if the data is on no particular rack.
  sameRack @6 :Bool;
  mostPerTarget @7 :UInt32;
  # Limit on the tasks of the step that run on one target at the same time; 0 if there is none.
}

struct Work {
  id @0 :UInt64;
  queue @1 :Text;
  spec @2 :Text;
  steps @3 :List(Step);
  patienceMs @4 :UInt32;
  capitals @5 :UInt16;
  # Digits of the id that are capital letters; the lowest bit is that of the last digit.
}

enum Verdict {
  completed @0;
  failed @1;
  notRun @2;
  unknown @3;
}

enum Refusal {
  tooLate @0;
  queueFull @1;
  noTarget @2;
  noDispatcher @3;
  closed @4;
  noQueue @5;
  shape @6;
}

struct Outcome {
  verdict @0 :Verdict;
  refusal @1 :Refusal;
  retryAfterMs @2 :UInt32;
}

struct ZoneDispatcher {
  zone @0 :Text;
  address @1 :Text;
}

struct Loss {
  # A target that was lost while it ran a task.
  target @0 :Text;
  incarnation @1 :UInt64;
  mainSuspect @2 :Bool;
  # No run of another job had been started there later.
  crashed @3 :Bool;
}

struct TaskLosses {
  job @0 :UInt64;
  step @1 :UInt32;
  index @2 :UInt32;
  losses @3 :List(Loss);
  capitals @4 :UInt16;
  # Digits of the job's id that are capital letters, as in Work.
}

struct Beat {
  # Heartbeat: the state that a VM reports to its peers.
  from @0 :Member;
  planVersion @1 :UInt64;
  dispatcher @2 :Text;
  # Address of the dispatcher of the sender's zone; empty if none is known.
  epoch @3 :UInt64;
  # Epoch under which the sender dispatches; 0 if it does not. Where two dispatchers of a zone meet,
  # the one with the higher epoch stays.
  spareMilliCores @4 :UInt64;
  # CPU of the sender's targets that other zones may use; 0 unless the sender is a dispatcher.
  spareFastMilliCores @7 :UInt64;
  # Unused: such CPU on fast targets only, which earlier versions send and read.
  zones @5 :List(ZoneDispatcher);
  leaving @6 :Bool;
  losses @8 :List(TaskLosses);
  # Targets that the sender recently lost under tasks, so that its successor and other zones know
  # which tasks may crash theirs.
  evacuationRevision @9 :UInt64;
  # Store version of the read that evacuatedZones comes from; 0 if the sender knows none. A higher one
  # replaces a lower one.
  evacuatedZones @10 :List(Text);
  # Zones in which no task may be started.
  shard @11 :UInt16;
  # Index of the shard whose dispatcher the sender is, or for which it may be elected. The fields
  # dispatcher, epoch, spareMilliCores and spareFastMilliCores are about this shard.
  shardCount @12 :UInt16;
  # Number of shards of the sender's zone; 0 from VMs that don't know shards, and from those that know
  # of one in their zone.
}

interface Peer {
  beat @0 (beat :Beat, echo :UInt64) -> (beat :Beat, token :UInt64);
  # Exchanges heartbeats. The echo is the token of the last reply on this connection. The call only
  # proves that its sender was alive when it received that token, since the network may have delayed
  # the call for any time.
  run @1 (work :Work, mayPass :Bool, resumed :Bool, shardCount :UInt16) -> (outcome :Outcome, passedTo :Text);
  # Runs a job and returns when it has ended; dropping the call cancels the job. A resumed job may
  # have run under an earlier dispatcher of the zone. mayPass permits a redirect: passedTo, if not
  # empty, is the address of the dispatcher that the sender should ask instead, and no task of the
  # job was started. shardCount is the number of shards by which the sender chose the dispatcher, 0 if
  # it doesn't know shards.
  snapshot @2 (zone :Text) -> (planVersion :UInt64, plan :Data, members :List(Member), targets :Data, evacuationRevision :UInt64, evacuatedZones :List(Text));
  # Returns the configuration in force, the VMs known to the replying VM, the targets of a zone, and
  # the evacuated zones with their revision as in Beat. Configuration and targets are JSON.
  handOver @3 (epoch :UInt64, kept :List(Text)) -> (taken :Bool);
  # Sent by a dispatcher to its successor, which takes over all targets except those in kept. taken
  # is false if the receiver declines.
  targets @4 () -> (targets :Data, ageMs :UInt32);
  # Returns the targets in the store's list that are in the replying VM's zone, in JSON, and the time
  # since it read that list.
}
