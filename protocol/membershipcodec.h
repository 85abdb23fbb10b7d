#pragma once

#include "coordination/membermessage.h"
#include "core/result.h"

#include <string>
#include <string_view>

namespace ApricotStep
{

/** Every datagram stays at or below this, so that no path has to cut it. */
inline constexpr std::size_t MaxMemberDatagramBytes = 1200;

/**
 * The bytes of @p datagram, signed with the fleet's secret. Written by hand: a ping takes 45 bytes so, against more than 100 as a packed
 * Cap'n Proto message, and pings are most of what a node spends on control.
 */
std::string encodeMemberDatagram(const MemberDatagram &datagram, std::string_view secret);

/** Errors: BadRequest for anything that encodeMemberDatagram() did not make under @p secret. */
Result<MemberDatagram> decodeMemberDatagram(std::string_view bytes, std::string_view secret);

} // namespace ApricotStep
