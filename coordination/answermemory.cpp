#include "coordination/answermemory.h"

namespace ApricotStep
{

bool AnswerMemory::resize(std::size_t from, std::size_t to)
{
    m_usedBytes = m_usedBytes - from + to;
    m_holders = m_holders - (from > 0 ? 1 : 0) + (to > 0 ? 1 : 0);
    return to <= from || m_usedBytes <= m_maxBytes || to <= m_maxBytes / m_holders;
}

} // namespace ApricotStep
