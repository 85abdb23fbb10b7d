@0xd1a4c9b27e63f508;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ApricotStep::Wire");

struct UpstreamLoadWire {
    upstream @0 :Text;
    running @1 :UInt32;
    pendingTokens @2 :UInt32;
}

struct AdapterUseWire {
    model @0 :Text;
    adapter @1 :Text;
    engine @2 :Text;
    count @3 :UInt32;
    isCrowded @4 :Bool;
}

struct AdapterCopyWire {
    model @0 :Text;
    adapter @1 :Text;
    version @2 :Text;
    isReady @3 :Bool;
}

struct EngineRowWire {
    engine @0 :Text;
    startedAt @1 :Int64;
    fence @2 :UInt64;
    sequence @3 :UInt64;
    copies @4 :List(AdapterCopyWire);
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
    greatestFence @8 :UInt64;
    hasClaim @9 :Bool;
    claimFence @10 :UInt64;
    claimSentAt @11 :Int64;
    hasGrant @12 :Bool;
    grantHolder @13 :Text;
    grantIncarnation @14 :UInt64;
    grantSentAt @15 :Int64;
    isRelease @16 :Bool;
    hasLoads @17 :Bool;
    loads @18 :List(UpstreamLoadWire);
    uses @19 :List(AdapterUseWire);
    rows @20 :List(EngineRowWire);
    contacts @21 :List(Text);
}
