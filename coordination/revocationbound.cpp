#include "coordination/revocationbound.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

// Before the store drops its history, its watches may miss changes for up to a second and still be answered.
constexpr Duration MaxWatchGap = Duration::seconds(1);

constexpr Duration percentOf(Duration span, std::int64_t percent)
{
    return Duration(span.milliseconds() * percent / 100);
}

} // namespace

RevocationBound::RevocationBound(std::optional<Duration> bound)
    : m_bound(bound)
{
}

bool RevocationBound::allowsKeys(Time knownAt, Time now) const
{
    return !m_bound || now - knownAt < *m_bound - MaxWatchGap;
}

bool RevocationBound::allowsListing(Time knownAt, Time now) const
{
    constexpr int ListedPercent = 60;
    return allowsKeys(knownAt, now) && (!m_bound || now - knownAt < percentOf(*m_bound, ListedPercent));
}

std::optional<Duration> RevocationBound::refreshAge() const
{
    constexpr int RefreshPercent = 40;
    return m_bound ? std::optional(percentOf(*m_bound, RefreshPercent)) : std::nullopt;
}

Duration RevocationBound::readBound(Duration changeBound) const
{
    constexpr int ReadPercent = 60;
    return m_bound ? std::min(changeBound, percentOf(*m_bound, ReadPercent)) : changeBound;
}

} // namespace ApricotStep
