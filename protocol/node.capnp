@0xc6cebb8ed6598759;
# What nodes say to each other over node RPC. Rebuild the committed C++ with `capnp compile -oc++ protocol/node.capnp`.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ApricotStep::Wire");

# A peer gets nothing but a Gate until both sides have shown that they know the fleet's secret.
interface Gate {
  # `proof` is the server's: HMAC of both nonces and its role. A fresh nonce a connection: a recorded proof opens nothing.
  hello @0 (nonce :Text) -> (nonce :Text, proof :Text);
  authenticate @1 (proof :Text) -> (node :PeerNode);
}

interface PeerNode {
  # Shows that the peer's process runs, while a forward is in progress.
  ping @0 ();
  fetch @1 (name :Text) -> (result :Value);
  tell @2 (part :Text, message :Data) -> (result :Value);
  # Returns when the answer is whole. Dropping the call cancels the request: its caller has gone.
  forward @3 (request :Request, answer :AnswerSink);
}

struct Value {
  # Number of an ErrorKind; 0 means that `data` holds the value.
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
  # The caller's IP number.
  caller @6 :Text;
  # Forwards so far, this one included.
  hops @7 :UInt8;
}

# Where an answer goes, in order: respond, or begin, write..., and then finish or abort.
interface AnswerSink {
  respond @0 (status :UInt16, headers :List(Header), body :Data);
  begin @1 (status :UInt16, headers :List(Header));
  # Returns when the caller has taken the data; the owner keeps a bounded window of bytes that have not returned.
  write @2 (data :Data);
  finish @3 ();
  abort @4 ();
}
