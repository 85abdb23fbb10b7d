#include "core/compression.h"

#include <random>
#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

Test(compression, restoresWhatWasCompressed)
{
    std::mt19937 random(3);
    std::string noise;
    for (int i = 0; i < 200'000; ++i) {
        noise += static_cast<char>(random());
    }
    for (const std::string &data : { std::string(), std::string("a"), std::string(300'000, 'x'), noise }) {
        const auto restored = decompress(compress(data), 1U << 20U);
        cr_assert(restored.isOk());
        cr_assert(restored.value() == data);
    }
    cr_assert_lt(compress(std::string(300'000, 'x')).size(), 10'000);
}

// A message arrives cut off or damaged. Its data must be refused and not be used in part.
Test(compression, refusesDamagedData)
{
    const std::string whole = compress("the routes of a configuration, the routes of a configuration");
    cr_assert_not(decompress(whole.substr(0, whole.size() - 1), 1000).isOk());
    cr_assert_not(decompress("", 1000).isOk());
    cr_assert_not(decompress("not compressed at all", 1000).isOk());
    std::string damaged = whole;
    damaged.back() = static_cast<char>(damaged.back() ^ 1);
    cr_assert_not(decompress(damaged, 1000).isOk());
}

// A few forged bytes may stand for gigabytes, which would exceed the memory of a node.
Test(compression, refusesToExceedTheLimit)
{
    const std::string large(1'000'000, 'x');
    cr_assert_not(decompress(compress(large), 999'999).isOk());
    cr_assert(decompress(compress(large), 1'000'000).isOk());
}
