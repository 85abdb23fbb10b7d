#include "coordination/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace ApricotStep
{

namespace
{

// The baseline rises slowly: a lasting slowdown becomes the new baseline after some hundred windows, so that the limit does not stay low
// forever when the requests themselves have changed.
constexpr double BaselineRiseWeight = 0.01;
constexpr double BaselineFallWeight = 0.5;
constexpr double MinReductionFactor = 0.5;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyBounds bounds)
    : m_bounds(bounds)
    , m_limit(bounds.max)
{
}

void ConcurrencyLimit::onSample(Duration latency, int inFlight, Time now)
{
    if (m_samples == 0) {
        m_windowStart = now;
    }
    m_sumMs += std::max(static_cast<double>(latency.milliseconds()), 1.0);
    m_maxInFlight = std::max(m_maxInFlight, inFlight);
    ++m_samples;
    if (m_samples >= m_bounds.windowSamples || now - m_windowStart >= m_bounds.windowTime) {
        closeWindow();
    }
}

void ConcurrencyLimit::closeWindow()
{
    const double recent = m_sumMs / m_samples;
    if (m_baselineMs == 0) {
        m_baselineMs = recent;
    }
    const double gradient = std::clamp(m_bounds.tolerance * m_baselineMs / recent, MinReductionFactor, 1.0);
    // Good latency at an upstream that is less than half full does not justify a higher limit.
    const bool isSaturated = m_maxInFlight * 2 >= static_cast<int>(m_limit);
    const double growth = gradient >= 1.0 && isSaturated ? std::sqrt(m_limit) : 0;
    m_limit = std::clamp(m_limit * gradient + growth, static_cast<double>(m_bounds.min), static_cast<double>(m_bounds.max));
    m_baselineMs += (recent - m_baselineMs) * (recent < m_baselineMs ? BaselineFallWeight : BaselineRiseWeight);
    m_sumMs = 0;
    m_samples = 0;
    m_maxInFlight = 0;
}

void ConcurrencyLimit::onDropped(Time now)
{
    if (m_droppedAt != Time() && now - m_droppedAt < m_bounds.windowTime) {
        return;
    }
    m_droppedAt = now;
    m_limit = std::max(m_limit * MinReductionFactor, static_cast<double>(m_bounds.min));
}

int ConcurrencyLimit::limit() const
{
    return static_cast<int>(m_limit);
}

} // namespace ApricotStep
