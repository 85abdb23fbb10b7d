#include "coordination/answermemory.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
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

// Callers that stop reading use up the memory: the one that holds the most ends, and no more answers than needed.
Test(answermemory, answerWithMostUnreadBytesEndsFirst)
{
    constexpr std::uint64_t Answers = 20;
    for (unsigned seed = 0; seed < 50; ++seed) {
        AnswerMemory memory(MaxBytes);
        std::mt19937 random(seed);
        std::vector<std::size_t> unread(Answers, 0);
        for (int step = 0; step < 2'000; ++step) {
            const std::uint64_t grown = random() % Answers;
            unread[grown] += random() % 20'000;
            memory.setUnread(grown, unread[grown]);
            while (const auto ended = memory.answerToEnd()) {
                cr_assert_gt(memory.usedBytes(), MaxBytes, "seed %u: ended without need", seed);
                cr_assert_eq(unread[*ended], *std::max_element(unread.begin(), unread.end()), "seed %u", seed);
                unread[*ended] = 0;
                memory.setUnread(*ended, 0);
            }
            cr_assert_leq(memory.usedBytes(), MaxBytes);
        }
    }
}

// An upstream that answers without end must not make the answers of callers end that read a little slowly.
Test(answermemory, endlessAnswerGivesWayToSmallUnreadParts)
{
    AnswerMemory memory(MaxBytes);
    for (std::uint64_t answer = 1; answer <= 4; ++answer) {
        memory.setUnread(answer, 50'000);
    }
    cr_assert_not(memory.resize(0, MaxBytes));
    cr_assert_not(memory.answerToEnd().has_value());
    memory.resize(MaxBytes, 0);
    cr_assert_eq(memory.usedBytes(), 200'000);
}
