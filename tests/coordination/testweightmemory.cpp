#include "coordination/weightmemory.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const BaseModelId Small("small");
const BaseModelId Large("large");
const BaseModelId Unknown("unknown");

EngineSpec specOf(double weightsMb, int slots)
{
    EngineSpec spec;
    spec.weightsMb = weightsMb;
    spec.adapterSlots = slots;
    spec.models = { BaseModelSpec { Small, 100, 10, Duration() }, BaseModelSpec { Large, 1000, 40, Duration() } };
    return spec;
}

/** How many adapters of @p model an engine with only that model has room for. */
int countThatFits(const EngineSpec &spec, const BaseModelId &model)
{
    WeightMemory memory(spec);
    memory.addModel(model);
    int count = 0;
    while (memory.hasRoomForAdapter(model)) {
        memory.addAdapter(model);
        ++count;
    }
    cr_assert_not(memory.isExceeded());
    return count;
}

} // namespace

// Guards against an engine that is ordered beyond its memory because only its slots are counted, and against slots that stay empty.
Test(weightmemory, memoryAndSlotsBothLimitTheAdapters)
{
    cr_assert_eq(countThatFits(specOf(130, 8), Small), 3);
    cr_assert_eq(countThatFits(specOf(139, 8), Small), 3);
    cr_assert_eq(countThatFits(specOf(1000, 8), Small), 8);
    cr_assert_eq(countThatFits(specOf(109, 8), Small), 0);
    cr_assert_eq(countThatFits(specOf(1000, 0), Small), 0);
    cr_assert_eq(countThatFits(specOf(0, 8), Small), 8, "the memory is not limited");
}

// Guards against an account that leaves out a second model or adapters of another size.
Test(weightmemory, modelsAndAdaptersOfAllSizesAreCounted)
{
    const EngineSpec spec = specOf(1200, 8);
    WeightMemory memory(spec);
    cr_assert(memory.hasRoomForModel(Large));
    memory.addModel(Small);
    memory.addModel(Large);
    cr_assert(memory.hasRoomForModel(Small));
    cr_assert_not(memory.hasRoomForModel(Large));
    memory.addAdapter(Large);
    memory.addAdapter(Large);
    cr_assert_not(memory.hasRoomForAdapter(Large));
    cr_assert(memory.hasRoomForAdapter(Small));
    memory.addAdapter(Small);
    memory.addAdapter(Small);
    cr_assert_not(memory.hasRoomForAdapter(Small));
    cr_assert_not(memory.isExceeded());
    memory.addAdapter(Small);
    cr_assert(memory.isExceeded());
}

// Guards against a model that the configuration does not describe and that counts for nothing.
Test(weightmemory, unknownModelCountsLikeTheLargest)
{
    const EngineSpec spec = specOf(1050, 8);
    WeightMemory memory(spec);
    memory.addModel(Unknown);
    cr_assert(memory.hasRoomForAdapter(Unknown));
    memory.addAdapter(Unknown);
    cr_assert(memory.hasRoomForAdapter(Small));
    cr_assert_not(memory.hasRoomForAdapter(Unknown));
}

// Guards against an adapter for which nobody finds out that it fits nowhere.
Test(weightmemory, adapterThatFitsNoEngineIsTold)
{
    cr_assert(canHoldAdapter(specOf(1040, 1), Large));
    cr_assert_not(canHoldAdapter(specOf(1039, 1), Large));
    cr_assert_not(canHoldAdapter(specOf(5000, 0), Large));
    cr_assert_not(canHoldAdapter(specOf(500, 8), Large));
    cr_assert(canHoldAdapter(specOf(500, 8), Small));
}

// Guards against engines that are filled unevenly, since a share of the slots is taken for one of the room.
Test(weightmemory, shareIsThatOfTheAdaptersThatFit)
{
    const EngineSpec spec = specOf(140, 8);
    WeightMemory memory(spec);
    memory.addModel(Small);
    cr_assert_eq(memory.adapterShare(Small), 0);
    memory.addAdapter(Small);
    cr_assert_float_eq(memory.adapterShare(Small), 0.25, 1e-9);
    const EngineSpec wide = specOf(10000, 8);
    WeightMemory inSlots(wide);
    inSlots.addModel(Small);
    inSlots.addAdapter(Small);
    cr_assert_float_eq(inSlots.adapterShare(Small), 0.125, 1e-9);
}
