@0xd1b7a0c5e0a94c27;
# The messages with which a leaving node hands its ledger of one-time requests to another node, one batch per tell() call. Regenerate the
# committed C++ files with `capnp compile -oc++ protocol/ledger.capnp`.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ApricotStep::Wire");

struct LedgerBatch {
  node @0 :Text;
  incarnation @1 :UInt64;
  sealedAtMs @2 :Int64;
  lifetimeMs @3 :Int64;
  # Number of records in the batches before this one; 0 starts the transfer again.
  first @4 :UInt64;
  # Number of records in all batches.
  count @5 :UInt64;
  records @6 :List(LedgerRecord);
}

struct LedgerRecord {
  counter @0 :UInt64;
  bodyHash @1 :Data;
  isAnswered @2 :Bool;
  status @3 :UInt16;
  contentType @4 :Text;
  body @5 :Data;
  droppedHash @6 :Text;
  droppedBytes @7 :UInt64;
}
