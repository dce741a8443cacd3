# Messages between entry VMs; see messages.py for their meaning.
# Fields are only ever added at the end, so that mixed versions understand
# each other during a rolling replacement.
@0xd3b1f6a2c4e58790;

struct Hello {
  entryVm @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
}

struct PermitRequest {
  requestId @0 :Text;
  attemptId @1 :UInt64;
  shard @2 :Text;
  profile @3 :Text;
  organisation @4 :Text;
  remainingSeconds @5 :Float64;
  remainingTargetSeconds @6 :Float64;
  prefixHash @7 :UInt64;
  promptBytes @8 :UInt64;
  excluded @9 :List(Text);
  revision @10 :UInt64;
  handover @11 :Bool;
  model @12 :Text;
}

struct PermitReturn {
  requestId @0 :Text;
  attemptId @1 :UInt64;
  shard @2 :Text;
}

struct PermitEnd {
  requestId @0 :Text;
  attemptId @1 :UInt64;
  shard @2 :Text;
  upstream @3 :Text;
  outcome @4 :Text;
  reason @5 :Text;
  firstTokenSeconds @6 :Float64;
  totalSeconds @7 :Float64;
  tokens @8 :UInt64;
}

struct RunningWork {
  requestId @0 :Text;
  attemptId @1 :UInt64;
  upstream @2 :Text;
  profile @3 :Text;
  organisation @4 :Text;
  runningSeconds @5 :Float64;
  firstTokenSeconds @6 :Float64;
  tokens @7 :UInt64;
}

struct WaitingWork {
  requestId @0 :Text;
  attemptId @1 :UInt64;
}

struct WorkDigest {
  shard @0 :Text;
  running @1 :List(RunningWork);
  waiting @2 :List(WaitingWork);
}

struct PermitAcknowledged {
  requestId @0 :Text;
  attemptId @1 :UInt64;
}

struct PermitGranted {
  requestId @0 :Text;
  attemptId @1 :UInt64;
  upstream @2 :Text;
  shard @3 :Text;
}

struct PermitRefused {
  requestId @0 :Text;
  attemptId @1 :UInt64;
  reason @2 :Text;
  retryAfterSeconds @3 :Float64;
}

struct PermitNotMine {
  requestId @0 :Text;
  attemptId @1 :UInt64;
  owner @2 :Text;
}

struct CutWork {
  requestId @0 :Text;
  attemptId @1 :UInt64;
  reason @2 :Text;
}

struct ShardSummary {
  shard @0 :Text;
  dispatcher @1 :Text;
  free @2 :UInt64;
  lowestWaitingTier @3 :UInt64;
  lowestRunningTier @4 :UInt64;
  waitSeconds @5 :Float64;
  ageSeconds @6 :Float64;
}

struct SnapshotRequest {
  revision @0 :UInt64;
}

struct SnapshotReply {
  revision @0 :UInt64;
  digest @1 :Text;
  body @2 :Data;
}

struct MemberUpdate {
  entryVm @0 :Text;
  domain @1 :Text;
  incarnation @2 :UInt64;
  state @3 :Text;
  peerHost @4 :Text;
  peerPort @5 :UInt64;
  adminPort @6 :UInt64;
  revision @7 :UInt64;
  digest @8 :Text;
}

struct UpstreamUpdate {
  upstream @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
}

struct Ping {
  sequence @0 :UInt64;
  source @1 :Text;
  members @2 :List(MemberUpdate);
  upstreams @3 :List(UpstreamUpdate);
  shards @4 :List(ShardSummary);
  digests @5 :List(UInt32);
  pageAfter @6 :Text;
}

struct Acknowledge {
  sequence @0 :UInt64;
  source @1 :Text;
  members @2 :List(MemberUpdate);
  upstreams @3 :List(UpstreamUpdate);
  shards @4 :List(ShardSummary);
  digests @5 :List(UInt32);
  pageAfter @6 :Text;
}

struct PingRequest {
  sequence @0 :UInt64;
  source @1 :Text;
  target @2 :Text;
}

struct DigestAcknowledged {
  shard @0 :Text;
  unknown @1 :List(WaitingWork);
}

struct LoadColumns {
  upstreams @0 :List(Text);
  tiers @1 :UInt32;
  waitingTokens @2 :List(UInt32);
  running @3 :List(UInt32);
  sensitiveHundredths @4 :List(UInt32);
  heldTokens @5 :List(UInt32);
  overdue @6 :List(UInt32);
}

struct LoadRows {
  upstreams @0 :Text;
  tiers @1 :UInt32;
  numbers @2 :Data;
  running @3 :Data;
}

# Not written any more, like the lists of the struct before.
struct UpstreamLoad {
  upstream @0 :Text;
  waitingByTier @1 :List(UInt32);
  running @2 :UInt32;
  sensitiveHundredths @3 :UInt32;
  heldTokens @4 :UInt32;
  pauseMilliseconds @5 :UInt32;
  pausesTenths @6 :UInt32;
  overdue @7 :UInt32;
}

struct PromptPlacement {
  part @0 :Text;
  upstream @1 :Text;
}

struct EntryVmAddress {
  entryVm @0 :Text;
  host @1 :Text;
  port @2 :UInt64;
  domain @3 :Text;
  processorHundredths @4 :UInt32;
}

struct PressedTier {
  pool @0 :Text;
  tier @1 :UInt32;
  requests @2 :UInt32;
}

struct LeavingUpstream {
  upstream @0 :Text;
  start @1 :UInt64;
}

struct RouterState {
  entryVm @0 :Text;
  start @1 :UInt64;
  sequence @2 :UInt64;
  port @3 :UInt64;
  revision @4 :UInt64;
  stopping @5 :Bool;
  # Ids without their starts; not written any more.
  leaving @6 :List(Text);
  # A struct for each upstream; not written any more.
  structLoads @7 :List(UpstreamLoad);
  placements @8 :List(PromptPlacement);
  known @9 :List(EntryVmAddress);
  domain @10 :Text;
  followsStore @11 :Bool;
  pressed @12 :List(PressedTier);
  storeRevision @13 :UInt64;
  leavingStarts @14 :List(LeavingUpstream);
  # Lists of numbers; not written any more.
  columnLoads @15 :LoadColumns;
  processorHundredths @16 :UInt32;
  relay @17 :Text;
  readRevision @18 :UInt64;
  loads @19 :LoadRows;
  usage @20 :UsageRows;
  holdsDuties @21 :Bool;
  observations @22 :ObservationRows;
  demands @23 :DemandRows;
  invitations @24 :InvitationRows;
}

struct ObservationRows {
  upstreams @0 :Text;
  numbers @1 :Data;
}

struct DemandRows {
  pools @0 :Text;
  organisations @1 :Text;
  numbers @2 :Data;
}

struct InvitationRows {
  pools @0 :Text;
  digests @1 :Text;
  numbers @2 :Data;
}

struct UsageRows {
  windows @0 :List(UInt64);
  organisations @1 :Text;
  counts @2 :Data;
}

struct UsageNews {
  entryVm @0 :Text;
  domain @1 :Text;
  rows @2 :UsageRows;
}

struct DomainNews {
  entryVm @0 :Text;
  domain @1 :Text;
  start @2 :UInt64;
  sequence @3 :UInt64;
  # A struct for each upstream; not written any more.
  structLoads @4 :List(UpstreamLoad);
  placements @5 :List(PromptPlacement);
  pressed @6 :List(PressedTier);
  # Lists of numbers; not written any more.
  columnLoads @7 :LoadColumns;
  loads @8 :LoadRows;
  port @9 :UInt64;
  revision @10 :UInt64;
  storeRevision @11 :UInt64;
  readRevision @12 :UInt64;
  readsStore @13 :Bool;
  dutiesHolder @14 :Text;
  observations @15 :ObservationRows;
  demands @16 :DemandRows;
}

struct FleetNews {
  entryVm @0 :Text;
  start @1 :UInt64;
  sequence @2 :UInt64;
  port @3 :UInt64;
  loads @4 :LoadRows;
  prefillRates @5 :Data;
  placements @6 :List(PromptPlacement);
  pressed @7 :List(PressedTier);
  domains @8 :List(Text);
  silentMilliseconds @9 :List(UInt32);
  tellers @10 :List(UInt32);
  tellerSequences @11 :List(UInt64);
  leavingStarts @12 :List(LeavingUpstream);
  readingDomains @13 :List(Text);
  readers @14 :List(UInt32);
  observations @15 :ObservationRows;
  demands @16 :DemandRows;
  invitations @17 :InvitationRows;
}

struct CrashedRun {
  request @0 :Text;
  route @1 :Text;
  upstream @2 :Text;
  start @3 :UInt64;
  ageMilliseconds @4 :UInt32;
  silent @5 :Bool;
  void @6 :Bool;
  parts @7 :List(Text);
  version @8 :Text;
  ranMilliseconds @9 :UInt32;
}

struct AnsweredPart {
  part @0 :Text;
  version @1 :Text;
  ageMilliseconds @2 :UInt32;
}

struct CrashNews {
  entryVm @0 :Text;
  domain @1 :Text;
  runs @2 :List(CrashedRun);
  answeredParts @3 :List(AnsweredPart);
}

struct UpstreamLimit {
  upstream @0 :Text;
  start @1 :UInt64;
  thousandthsPerSecond @2 :UInt32;
  ageMilliseconds @3 :UInt32;
}

struct LimitNews {
  entryVm @0 :Text;
  domain @1 :Text;
  limits @2 :List(UpstreamLimit);
}

struct RestNews {
  entryVm @0 :Text;
  domain @1 :Text;
  upstream @2 :Text;
  start @3 :UInt64;
  leftMilliseconds @4 :UInt32;
}

struct PlaceRequest {
  entryVm @0 :Text;
  host @1 :Text;
  port @2 :UInt32;
  domain @3 :Text;
  number @4 :UInt64;
  limit @5 :UpstreamLimit;
  upstreamDomain @6 :Text;
  tier @7 :UInt32;
}

struct PlaceAnswer {
  number @0 :UInt64;
  granted @1 :Bool;
  waitMilliseconds @2 :UInt32;
  giver @3 :Text;
}

struct OriginRow {
  request @0 :Text;
  pool @1 :Text;
  version @2 :Text;
  attempt @3 :UInt32;
  leftMilliseconds @4 :UInt32;
}

struct OriginNews {
  rows @0 :List(OriginRow);
}

struct OriginQuery {
  host @0 :Text;
  port @1 :UInt32;
  number @2 :UInt64;
  request @3 :Text;
  route @4 :Text;
}

struct OriginAnswer {
  entryVm @0 :Text;
  number @1 :UInt64;
  evidence @2 :Text;
  pool @3 :Text;
  version @4 :Text;
  ageMilliseconds @5 :UInt32;
  attempt @6 :UInt32;
}

struct StoredItem {
  key @0 :Text;
  value @1 :Data;
}

struct StoredItems {
  items @0 :List(StoredItem);
  storeRevision @1 :UInt64;
}

struct DeclaredChange {
  revision @0 :UInt64;
  base @1 :Text;
  result @2 :Text;
  newLengths @3 :List(UInt32);
  copiedStarts @4 :List(UInt32);
  copiedLengths @5 :List(UInt32);
  packedText @6 :Data;
}

struct ChangedItem {
  key @0 :Text;
  value @1 :Data;
  removed @2 :Bool;
  listed @3 :Bool;
}

struct StoreChanges {
  since @0 :UInt64;
  until @1 :UInt64;
  items @2 :List(ChangedItem);
  declared @3 :List(DeclaredChange);
  domain @4 :Text;
  entryVm @5 :Text;
}

struct Envelope {
  union {
    hello @0 :Hello;
    permitRequest @1 :PermitRequest;
    permitReturn @2 :PermitReturn;
    permitEnd @3 :PermitEnd;
    workDigest @4 :WorkDigest;
    permitAcknowledged @5 :PermitAcknowledged;
    permitGranted @6 :PermitGranted;
    permitRefused @7 :PermitRefused;
    permitNotMine @8 :PermitNotMine;
    cutWork @9 :CutWork;
    shardSummary @10 :ShardSummary;
    snapshotRequest @11 :SnapshotRequest;
    snapshotReply @12 :SnapshotReply;
    ping @13 :Ping;
    acknowledge @14 :Acknowledge;
    pingRequest @15 :PingRequest;
    digestAcknowledged @16 :DigestAcknowledged;
    routerState @17 :RouterState;
    storedItems @18 :StoredItems;
    domainNews @19 :DomainNews;
    fleetNews @20 :FleetNews;
    storeChanges @21 :StoreChanges;
    declaredChange @22 :DeclaredChange;
    usageNews @23 :UsageNews;
    crashNews @24 :CrashNews;
    limitNews @25 :LimitNews;
    placeRequest @26 :PlaceRequest;
    placeAnswer @27 :PlaceAnswer;
    restNews @28 :RestNews;
    originNews @29 :OriginNews;
    originQuery @30 :OriginQuery;
    originAnswer @31 :OriginAnswer;
  }
}
