@0xd6a1f3f0b9c2784e;
# Protocol between entry VMs, and the interface for operators.

struct Member {
  vm @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
}

struct SlotCount {
  # A number of task slots on one worker.
  worker @0 :Text;
  slots @1 :UInt32;
}

struct TeamDemand {
  # Number of tasks that a team recently submitted to one entry VM, an exponentially decaying count.
  team @0 :Text;
  tasks @1 :UInt32;
}

struct Heartbeat {
  from @0 :Member;
  configVersion @1 :UInt64;
  queuedTasks @2 :UInt32;
  idleSlots @3 :UInt32;
  leaving @4 :Bool;
  held @5 :List(SlotCount);
  # Slots that the sender holds on loan from the receiver.
  demand @6 :List(TeamDemand);
  # Omitted from most heartbeats; the receiver then keeps the last values it received.
}

enum Verb {
  submit @0;
  get @1;
  cancel @2;
}

struct Reply {
  # Reply to a forwarded request, returned to the caller unchanged.
  status @0 :UInt16;
  retryAfterMs @1 :UInt64;
  body @2 :Data;
}

struct ClosedAnswer {
  number @0 :UInt64;
  answer @1 :Data;
  digest @2 :UInt64;
}

struct ClosedLedger {
  # State of the job ids that a leaving entry VM issued.
  issuer @0 :Member;
  key @1 :Data;
  next @2 :UInt64;
  oldestLive @3 :UInt64;
  answers @4 :List(ClosedAnswer);
}

struct ConfigRow {
  version @0 :UInt64;
  document @1 :Data;
}

interface Peer {
  heartbeat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  forward @1 (verb :Verb, job :Text, waitMs :UInt64, body :Data) -> (reply :Reply);
  borrow @2 (from :Member, slots :UInt32) -> (granted :List(SlotCount));
  giveBack @3 (from :Member, slots :List(SlotCount)) -> ();
  pushConfig @4 (row :ConfigRow) -> (version :UInt64);
  readConfig @5 () -> (row :ConfigRow, members :Data, workers :Data);
  # Configuration, entry VMs and workers, as listed by the replying VM. The lists are JSON; the
  # workers are those of its zone.
  handOver @6 (ledger :ClosedLedger) -> ();
  issue @7 (count :UInt32) -> (ids :List(Text));
  # Issues job ids of the receiver, for a caller of the sender.
}

struct VmStatus {
  vm @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  configVersion @3 :UInt64;
  configAgeMs @4 :UInt64;
  ready @5 :Bool;
  leaving @6 :Bool;
  queuedTasks @7 :UInt32;
  runningTasks @8 :UInt32;
  ownedSlots @9 :UInt32;
  idleSlots @10 :UInt32;
  openJobs @11 :UInt32;
  workersSetAside @12 :UInt32;
  unreachable @13 :Bool;
}

struct ConfigChange {
  version @0 :UInt64;
  operation @1 :Text;
  operator @2 :Text;
  note @3 :Text;
}

struct Event {
  atUnixUs @0 :UInt64;
  sequence @1 :UInt64;
  vm @2 :Text;
  kind @3 :Text;
  cause @4 :Text;
  detail @5 :Text;
}

enum AcceptOutcome {
  accepted @0;
  conflict @1;
  unsettled @2;
  invalid @3;
}

interface Operator {
  status @0 () -> (vms :List(VmStatus));
  localStatus @1 () -> (vm :VmStatus);
  configShow @2 () -> (row :ConfigRow);
  configAccept @3 (base :UInt64, operation :Text, operator :Text, note :Text, document :Data)
    -> (outcome :AcceptOutcome, version :UInt64, message :Text);
  configHistory @4 () -> (changes :List(ConfigChange));
  timeline @5 (cause :Text, limit :UInt32) -> (events :List(Event), missing :List(Text));
  localTimeline @6 (cause :Text, limit :UInt32) -> (events :List(Event));
}
