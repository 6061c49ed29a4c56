#pragma once

/// Messages between daemons. Datagrams (UDP) carry the membership protocol; frames (TCP) carry documents,
/// forwarded requests and work for worker pools. Both are encoded as msgpack and authenticated with the
/// cluster secret.
///
/// - codec.hpp: encoding and decoding
/// - datagram.hpp: messages of the membership protocol
/// - frame.hpp: requests and replies over TCP
/// - member_record.hpp: description of a daemon as known to the others

#include <rattanbay/peer/codec.hpp>
#include <rattanbay/peer/datagram.hpp>
#include <rattanbay/peer/frame.hpp>
#include <rattanbay/peer/member_record.hpp>
