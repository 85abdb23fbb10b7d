#include "coordination/weightmemory.h"

#include <algorithm>
#include <cmath>

namespace ApricotStep
{

namespace
{

// The size of @p model, or the largest size of all models if the configuration does not describe it.
double sizeOf(const EngineSpec &spec, const BaseModelId &model, double BaseModelSpec::*size)
{
    double largest = 0;
    for (const BaseModelSpec &described : spec.models) {
        if (described.id == model) {
            return described.*size;
        }
        largest = std::max(largest, described.*size);
    }
    return largest;
}

} // namespace

WeightMemory::WeightMemory(const EngineSpec &spec)
    : m_spec(&spec)
{
}

void WeightMemory::addModel(const BaseModelId &model)
{
    m_modelMb += sizeOf(*m_spec, model, &BaseModelSpec::weightsMb);
}

void WeightMemory::addAdapter(const BaseModelId &model)
{
    m_adapterMb += sizeOf(*m_spec, model, &BaseModelSpec::adapterMb);
    ++m_adapters;
}

bool WeightMemory::fits(double weightsMb) const
{
    return m_spec->weightsMb <= 0 || weightsMb <= m_spec->weightsMb;
}

bool WeightMemory::hasRoomForModel(const BaseModelId &model) const
{
    return fits(m_modelMb + m_adapterMb + sizeOf(*m_spec, model, &BaseModelSpec::weightsMb));
}

bool WeightMemory::hasRoomForAdapter(const BaseModelId &model) const
{
    return m_adapters < m_spec->adapterSlots && fits(m_modelMb + m_adapterMb + sizeOf(*m_spec, model, &BaseModelSpec::adapterMb));
}

bool WeightMemory::isExceeded() const
{
    return m_adapters > m_spec->adapterSlots || !fits(m_modelMb + m_adapterMb);
}

double WeightMemory::adapterShare(const BaseModelId &model) const
{
    double capacity = m_spec->adapterSlots;
    const double adapterMb = sizeOf(*m_spec, model, &BaseModelSpec::adapterMb);
    if (m_spec->weightsMb > 0 && adapterMb > 0) {
        capacity = std::min(capacity, std::floor((m_spec->weightsMb - m_modelMb) / adapterMb));
    }
    return std::min(m_adapters / std::max(capacity, 1.0), 1.0);
}

bool canHoldAdapter(const EngineSpec &spec, const BaseModelId &model)
{
    WeightMemory memory(spec);
    memory.addModel(model);
    return memory.hasRoomForAdapter(model);
}

} // namespace ApricotStep
