#pragma once

#include "coordination/membermessage.h"
#include "core/result.h"

#include <string>
#include <string_view>

namespace ApricotStep
{

/** Maximum size of a datagram, small enough that no network path has to fragment it. */
inline constexpr std::size_t MaxMemberDatagramBytes = 1200;

/**
 * Encodes @p datagram and signs it with the fleet's secret. The format is hand-written because pings are most of a node's control traffic:
 * a ping takes 45 bytes, compared to more than 100 as a packed Cap'n Proto message.
 */
std::string encodeMemberDatagram(const MemberDatagram &datagram, std::string_view secret);

/** Errors: BadRequest if @p bytes are malformed or not signed with @p secret. */
Result<MemberDatagram> decodeMemberDatagram(std::string_view bytes, std::string_view secret);

} // namespace ApricotStep
