@0xb1f7c9a2d35e6804;
# The protocol between the VMs that run jobs on leased targets.

struct Member {
  vm @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  # Where this protocol is served, IP:PORT.
  weight @3 :UInt32;
  # What it can carry, in thousandths of a core; the strongest VM dispatches.
  incarnation @4 :UInt64;
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
  # 0 if the caller gave no estimate.
  after @3 :List(UInt32);
  required @4 :Text;
  # Empty if no label is required.
  near @5 :Text;
  # Empty if the task's data has no place.
  sameRack @6 :Bool;
  mostPerTarget @7 :UInt32;
  # 0 if there is no bound.
}

struct Work {
  id @0 :UInt64;
  queue @1 :Text;
  spec @2 :Text;
  steps @3 :List(Step);
  patienceMs @4 :UInt32;
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

struct Beat {
  # What a VM says of itself.
  from @0 :Member;
  planVersion @1 :UInt64;
  dispatcher @2 :Text;
  # Address of the dispatcher of the sender's zone; empty if none is known.
  epoch @3 :UInt64;
  # Of that dispatcher; the higher one stays where two meet.
  spareMilliCores @4 :UInt64;
  # Free for other zones; sent by dispatchers.
  spareFastMilliCores @7 :UInt64;
  # The same on fast targets, for jobs whose objective is their deadline.
  zones @5 :List(ZoneDispatcher);
  leaving @6 :Bool;
}

interface Peer {
  beat @0 (beat :Beat, echo :UInt64) -> (beat :Beat, token :UInt64);
  # The caller repeats the last token as echo: what it proves is as old as that token, however long
  # the call was on its way.
  run @1 (work :Work, mayPass :Bool, resumed :Bool) -> (outcome :Outcome, passedTo :Text);
  # Answered when the job has ended; dropping the call cancels the job. A resumed job may have run
  # under an earlier dispatcher of the zone. passedTo, if not empty, is the address of the dispatcher
  # that the caller should ask instead: nothing of the job has run.
  snapshot @2 (zone :Text) -> (planVersion :UInt64, plan :Data, members :List(Member), targets :Data);
  # The configuration in force, the VMs that the sender knows, and the targets of a zone; configuration
  # and targets as JSON.
  handOver @3 (epoch :UInt64, kept :List(Text)) -> (taken :Bool);
  # From a dispatcher that leaves to its successor: all targets but those kept are the successor's.
}
