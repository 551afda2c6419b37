@0xb6d0f6c2a1e94d37;
# Messages between entries. Fields are only ever added, with the next number.
#
# An address is the bytes of an IP address and two of a port, in network byte order, or empty.

struct ServiceLoad {
  service @0 :Text;
  inProgress @1 :UInt32;
  queued @2 :UInt32;
  room @3 :UInt32;
  # Negative numbers stand for what the sender does not state, as entries of earlier versions.
  requestsPerS @4 :Float32 = -1;
  runS @5 :Float32 = -1;
  utilisation @6 :Float32 = -1;
  localShare @7 :Float32 = -1;
}

# A request fingerprint that every entry quarantines until it expires.
struct QuarantinedRequest {
  fingerprint @0 :Text;
  expiresInS @1 :Float64;
}

# An entry that the sender of a report knows, and the time since the sender heard from it.
struct KnownEntry {
  name @0 :Text;
  place @1 :Text;
  incarnation @2 :UInt64;
  heardAgeMs @3 :UInt64;
  peerAddress @4 :Data;
  address @5 :Data;
  state @6 :UInt8;  # 0 alive, 1 suspect, 2 dead, 3 left.
  revision @7 :UInt64;
}

# A request, by its fingerprint, was in progress at a backend server that may have crashed.
struct Strike {
  fingerprint @0 :Text;
  server @1 :Text;
  ageS @2 :Float64;
  confirmed @3 :Bool;
  fresh @4 :Bool;
  doublings @5 :UInt8;
}

# The state of the sender, exchanged regularly.
struct Report {
  name @0 :Text;
  place @1 :Text;
  incarnation @2 :UInt64;
  address @3 :Data;
  peerAddress @4 :Data;
  adminAddress @5 :Data;
  leaving @6 :Bool;
  planVersion @7 :UInt64;
  planDigest @8 :Data;
  storeAgeS @9 :Float64;
  loads @10 :List(ServiceLoad);
  quarantined @11 :List(QuarantinedRequest);
  leavingServers @12 :List(Text);
  knownEntries @13 :List(KnownEntry);
  strikes @14 :List(Strike);
  revision @15 :UInt64;
  membersDigest @16 :UInt64;
  settledS @17 :Float64;
}

# Request to send a report to another entry and to return its reply.
struct ProbeRequest {
  name @0 :Text;
}

# Request for all that the receiver knows of the entries.
struct MembersRequest {
  unused0 @0 :Void;
}

struct MembersReply {
  entries @0 :List(KnownEntry);
}

# Request for a plan version, and the stored head row and plan body of it.
struct PlanRequest {
  version @0 :UInt64;
}

struct PlanReply {
  found @0 :Bool;
  head @1 :Data;
  body @2 :Data;
}

# Query of the state of one claim of an idempotency key, sent to the claim's holder.
struct KeyQuery {
  service @0 :Text;
  key @1 :Text;
  nonce @2 :Text;
}

struct KeyReply {
  state @0 :Text;
}

struct ErrorReply {
  code @0 :UInt16;
  text @1 :Text;
}

# The row that a backend server has registered in the store.
struct ServerRecord {
  id @0 :Text;
  service @1 :Text;
  address @2 :Data;
  place @3 :Text;
  slots @4 :UInt16;
  leaving @5 :Bool;
  unused6 @6 :UInt64;
  coldRemainingS @7 :Float64;
  bornMs @8 :UInt64;
  rowVersion @9 :UInt64;
  nextSequence @10 :UInt64;  # Sequence of the server's next row; 0 if it is not known.
}

# A server whose row is missing after an outage of the store.
struct MissingServer {
  id @0 :Text;
  missingS @1 :Float64;
}

# Request for the rows of the store that have changed since a generation of the receiver's.
struct KnowledgeRequest {
  configurationVersion @0 :UInt64;
  generation @1 :UInt64;
  incarnation @2 :UInt64;
}

# Changed rows of the store, or all rows of backend servers if `whole`, and their age.
struct KnowledgeReply {
  unused0 @0 :Data;  # The configuration as text, in earlier versions.
  generation @1 :UInt64;
  incarnation @2 :UInt64;
  whole @3 :Bool;
  servers @4 :List(ServerRecord);
  removed @5 :List(Text);
  evacuated @6 :List(Text);
  ageS @7 :Float64;  # Read by earlier versions only, which must not use the reply.
  storeVersion @8 :UInt64;
  evacuationsVersion @9 :UInt64;
  missing @10 :List(MissingServer);
  operatorAgeS @11 :Float64;
  heldS @12 :Float64;
  deflatedConfiguration @13 :Data;
  configurationVersion @14 :UInt64;
  serversAgeS @15 :Float64 = 1000000;  # Entries of earlier versions do not state it.
}

# Demand of an organisation at the sender.
struct QuotaDemand {
  organisation @0 :Text;
  perS @1 :Float64;
  share @2 :Float64;
  tokens @3 :Float64;
  waiting @4 :UInt16;
}

# Delegates the sender's base share of all limits, and states demand that has changed.
struct QuotaRequest {
  name @0 :Text;
  incarnation @1 :UInt64;
  region @2 :Bool;
  whole @3 :Bool;
  echoIncarnation @4 :UInt64;
  echoStamp @5 :UInt64;
  baseShare @6 :Float64;
  demands @7 :List(QuotaDemand);
  settled @8 :Bool;
}

# Share of an organisation's limit that the receiver may use.
struct QuotaLease {
  organisation @0 :Text;
  share @1 :Float64;
  tokens @2 :Float64;
  permits @3 :UInt16;
  scarce @4 :Bool;
}

# Renews all leases of the receiver, and states those that have changed.
struct QuotaReply {
  incarnation @0 :UInt64;
  stamp @1 :UInt64;
  durationMs @2 :UInt16;
  whole @3 :Bool;
  leases @4 :List(QuotaLease);
}

struct PeerMessage {
  union {
    unset @0 :Void;
    report @1 :Report;
    planRequest @2 :PlanRequest;
    planReply @3 :PlanReply;
    keyQuery @4 :KeyQuery;
    keyReply @5 :KeyReply;
    error @6 :ErrorReply;
    knowledgeRequest @7 :KnowledgeRequest;
    knowledgeReply @8 :KnowledgeReply;
    probeRequest @9 :ProbeRequest;
    membersRequest @10 :MembersRequest;
    membersReply @11 :MembersReply;
    quotaRequest @12 :QuotaRequest;
    quotaReply @13 :QuotaReply;
  }
}
