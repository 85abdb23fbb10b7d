#include "coordination/answermemory.h"

#include <cstddef>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr std::size_t MaxBytes = 1'000'000;

} // namespace

// Upstreams send answers without end while others answer in a few bytes: the long ones give way, and memory stays bounded.
Test(answermemory, longAnswersGiveWayToShortOnes)
{
    constexpr std::size_t EndlessAnswers = 12;
    constexpr std::size_t ReadBytes = 8'000;
    for (unsigned seed = 0; seed < 50; ++seed) {
        AnswerMemory memory(MaxBytes);
        std::mt19937 random(seed);
        std::vector<std::size_t> held(EndlessAnswers, 0);
        for (int step = 0; step < 5'000; ++step) {
            std::size_t &answer = held[random() % EndlessAnswers];
            const std::size_t longer = answer + ReadBytes;
            const bool mayGrow = memory.resize(answer, longer);
            cr_assert_lt(memory.usedBytes(), 2 * MaxBytes);
            answer = longer;
            if (!mayGrow) {
                memory.resize(answer, 0);
                answer = 0;
            }
            cr_assert(memory.resize(0, ReadBytes), "seed %u: a short answer was broken off", seed);
            memory.resize(ReadBytes, 0);
        }
    }
}

// An answer that has ended must not count against later ones.
Test(answermemory, endedAnswersLeaveNothingBehind)
{
    AnswerMemory memory(MaxBytes);
    for (int i = 0; i < 100; ++i) {
        cr_assert(memory.resize(0, MaxBytes));
        memory.resize(MaxBytes, 0);
    }
    cr_assert_eq(memory.usedBytes(), 0);
}
