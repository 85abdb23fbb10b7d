#include "coordination/membermessage.h"

#include <tuple>

namespace ApricotStep
{

bool supersedes(const MemberUpdate &newer, const MemberUpdate &known)
{
    const auto rank = [](const MemberUpdate &update) {
        return std::make_tuple(update.epoch, update.incarnation, update.state == MemberState::Left, update.refutation, update.state);
    };
    return rank(newer) > rank(known);
}

} // namespace ApricotStep
