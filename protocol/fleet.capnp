@0xd1a4c9b27e63f508;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ApricotStep::Wire");

struct UpstreamLoadWire {
    upstream @0 :Text;
    running @1 :UInt32;
    pendingTokens @2 :UInt32;
    reservedTokens @3 :UInt32;
}

struct AdapterUseWire {
    model @0 :Text;
    adapter @1 :Text;
    engine @2 :Text;
    count @3 :UInt32;
    isCrowded @4 :Bool;
    waiting @5 :UInt32;
    inTimeForMs @6 :Int32;
    software @7 :Text;
}

# Copies that differ only in the name of their adapter. Without the grouping, a report of twenty copies would repeat its one model twenty
# times.
struct AdapterCopiesWire {
    model @0 :Text;
    version @1 :Text;
    isReady @2 :Bool;
    adapters @3 :List(Text);
}

struct EngineRowWire {
    engine @0 :Text;
    startedAt @1 :Int64;
    fence @2 :UInt64;
    sequence @3 :UInt64;
    copies @4 :List(AdapterCopiesWire);
}

struct LeaseClaimWire {
    shard @0 :UInt64;
    fence @1 :UInt64;
    ordersInMs @2 :Int64;
    sentAt @3 :Int64;
}

struct LastOrderWire {
    shard @0 :UInt64;
    agoMs @1 :Int64;
}

struct LeaseGrantWire {
    shard @0 :UInt64;
    holder @1 :Text;
    incarnation @2 :UInt64;
    sentAt @3 :Int64;
    greatestFence @4 :UInt64;
}

struct StoreViewWire {
    fetchesAtOnce @0 :Float64;
    shortestFetchMs @1 :Int64;
    usualFetchMs @2 :Int64;
    usualAtHandMs @3 :Int64;
    hasSlowedDown @4 :Bool;
    scopeFetches @5 :UInt32;
    scopeDemand @6 :UInt32;
}

struct CreditQueryWire {
    account @0 :Text;
    sequence @1 :UInt64;
    needed @2 :Float64;
    cheapest @3 :Float64;
    ahead @4 :Float64;
    isUpstream @5 :Bool;
    startedAt @6 :Int64;
}

struct CreditGrantWire {
    account @0 :Text;
    sequence @1 :UInt64;
    amount @2 :Float64;
    retryAfterMs @3 :Int64;
    isUpstream @4 :Bool;
    startedAt @5 :Int64;
}

struct UpstreamLimitWire {
    upstream @0 :Text;
    startedAt @1 :Int64;
    isLimited @2 :Bool;
    requestsPerSecond @3 :Float64;
    ageMs @4 :Int64;
}

struct UpstreamRestWire {
    upstream @0 :Text;
    startedAt @1 :Int64;
    remainingMs @2 :Int64;
}

struct UpstreamStartWire {
    upstream @0 :Text;
    startedAt @1 :Int64;
}

struct BrittleUpstreamWire {
    upstream @0 :Text;
    startedAt @1 :Int64;
    isBrittle @2 :Bool;
    refusalsPerSecond @3 :Float64;
    ageMs @4 :Int64;
    isRefusing @5 :Bool;
    sinceRefusalMs @6 :Int64;
}

# Streams that began at the same software: names would take most of the bytes of a single one.
struct BegunStreamsWire {
    service @0 :Text;
    software @1 :Text;
    streams @2 :List(UInt64);
    lifetimeMs @3 :Int64;
}

struct StreamQueryWire {
    stream @0 :UInt64;
    service @1 :Text;
}

struct StreamAnswerWire {
    stream @0 :UInt64;
    service @1 :Text;
    isKnown @2 :Bool;
    originService @3 :Text;
    originSoftware @4 :Text;
}

struct RequestContentWire {
    request @0 :UInt64;
    adapter @1 :UInt64;
    parts @2 :List(UInt64);
    hasBegun @3 :Bool;
    # How long the upstream had the request, and had been sending the answer.
    exposureMs @4 :UInt32;
    answerAgeMs @5 :UInt32;
}

struct CrashReportWire {
    upstream @0 :Text;
    startedAt @1 :Int64;
    ageMs @2 :Int64;
    suspects @3 :List(RequestContentWire);
    # The upstreams among which it ended; 0 if their number is not known.
    service @4 :Text;
    groupSize @5 :UInt32;
}

struct AnsweredContentWire {
    content @0 :UInt64;
    ageMs @1 :Int64;
    # The end of the answer is not known.
    isPart @2 :Bool;
    # It has gone on since its beginning.
    hasContinued @3 :Bool;
    answerAgeMs @4 :UInt32;
}

struct HeldContentWire {
    content @0 :UInt64;
    crashes @1 :UInt32;
    sinceFirstCrashMs @2 :Int64;
    sinceLastCrashMs @3 :Int64;
    trials @4 :UInt32;
    sinceLastTrialMs @5 :Int64;
    sinceLastRequestMs @6 :Int64;
}

struct EngineSpeedWire {
    upstream @0 :Text;
    startedAt @1 :Int64;
    slownessPercent @2 :UInt16;
    ageMs @3 :Int32;
}

struct ProbeResultWire {
    upstream @0 :Text;
    startedAt @1 :Int64;
    isAnswered @2 :Bool;
}

struct FleetMessageWire {
    sender @0 :Text;
    incarnation @1 :UInt64;
    zone @2 :Text;
    callerAddress @3 :Text;
    peerAddress @4 :Text;
    isReady @5 :Bool;
    isLeaving @6 :Bool;
    configVersion @7 :UInt64;
    claims @8 :List(LeaseClaimWire);
    grants @9 :List(LeaseGrantWire);
    releases @10 :List(UInt64);
    hasLoads @11 :Bool;
    loads @12 :List(UpstreamLoadWire);
    uses @13 :List(AdapterUseWire);
    rows @14 :List(EngineRowWire);
    contacts @15 :List(Text);
    uptimeMs @16 :Int64;
    lastOrders @17 :List(LastOrderWire);
    scope @18 :Text;
    capacity @19 :Float64;
    intervalMs @20 :Int64;
    readRevision @21 :UInt64;
    isReadingStore @22 :Bool;
    rememberedNodes @23 :UInt32;
    store @24 :StoreViewWire;
    engineLoads @25 :List(UpstreamLoadWire);
    hasOutdatedKeys @26 :Bool;
    creditQueries @27 :List(CreditQueryWire);
    creditGrants @28 :List(CreditGrantWire);
    requestRate @29 :Float32;
    upstreamLimits @30 :List(UpstreamLimitWire);
    upstreamRests @31 :List(UpstreamRestWire);
    leavingUpstreams @32 :List(UpstreamStartWire);
    unreachableServices @33 :List(Text);
    brittleUpstreams @34 :List(BrittleUpstreamWire);
    begunStreams @35 :List(BegunStreamsWire);
    streamQueries @36 :List(StreamQueryWire);
    streamAnswers @37 :List(StreamAnswerWire);
    crashes @38 :List(CrashReportWire);
    answeredContents @39 :List(AnsweredContentWire);
    heldContents @40 :List(HeldContentWire);
    engineSpeeds @41 :List(EngineSpeedWire);
    probeRequests @42 :List(UpstreamStartWire);
    probeResults @43 :List(ProbeResultWire);
    isFleetKnown @44 :Bool;
    reportedNodes @45 :UInt32;
    reportedAgoMs @46 :Int64;
    storeReadingMs @47 :UInt32;
}
