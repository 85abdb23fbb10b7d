@0xc6cebb8ed6598759;
# The RPC interface between nodes. Regenerate the committed C++ files with `capnp compile -oc++ protocol/node.capnp`.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ApricotStep::Wire");

# The bootstrap interface. A peer gets access to PeerNode only after both sides have proved that they know the fleet's secret.
interface Gate {
  # `proof` is the server's HMAC of both nonces and its role. Fresh nonces for each connection keep a recorded proof from being replayed.
  hello @0 (nonce :Text) -> (nonce :Text, proof :Text);
  authenticate @1 (proof :Text) -> (node :PeerNode);
}

interface PeerNode {
  # Checks that the peer's process responds while a forward is in progress.
  ping @0 ();
  fetch @1 (name :Text) -> (result :Value);
  tell @2 (part :Text, message :Data) -> (result :Value);
  # Returns when the answer is complete. Dropping the call cancels the request, because its caller has disconnected.
  forward @3 (request :Request, answer :AnswerSink);
}

struct Value {
  # Numeric value of an ErrorKind; 0 means success, with the value in `data`.
  error @0 :UInt16;
  detail @1 :Text;
  data @2 :Data;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Request {
  method @0 :Text;
  path @1 :Text;
  query @2 :Text;
  parameters @3 :List(Header);
  headers @4 :List(Header);
  body @5 :Data;
  # The caller's IP address.
  caller @6 :Text;
  # Number of forwards so far, including this one.
  hops @7 :UInt8;
}

# Receives an answer: either one respond, or begin, any number of write, and then finish or abort.
interface AnswerSink {
  respond @0 (status :UInt16, headers :List(Header), body :Data);
  begin @1 (status :UInt16, headers :List(Header));
  # Returns when the caller has received the data. For backpressure, the owner limits the bytes of writes that have not returned.
  write @2 (data :Data);
  finish @3 ();
  abort @4 ();
}
