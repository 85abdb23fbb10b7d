#include "core/sharedbytes.h"

#include <memory>
#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

// Guards against bytes that are lost or changed while a buffer grows, whatever the sizes of the parts.
Test(sharedbytes, bufferKeepsItsBytesWhileItGrows)
{
    for (const std::size_t part : { 1, 7, 4096, 100'000 }) {
        ByteBuffer buffer;
        std::string expected;
        for (std::size_t i = 0; expected.size() < 300'000; ++i) {
            const std::string bytes(part, static_cast<char>('a' + i % 26));
            buffer.append(bytes);
            expected += bytes;
        }
        cr_assert(buffer.view() == expected);
        const ByteBuffer moved = std::move(buffer);
        cr_assert(moved.view() == expected);
    }
}

// Guards against bytes, or what was reserved for them, that go while a holder still needs them, or that stay without one.
Test(sharedbytes, ownerIsReleasedWithTheLastCopy)
{
    auto owner = std::make_shared<int>(1);
    const std::weak_ptr<int> isOwned = owner;
    ByteBuffer buffer;
    buffer.append("body");
    auto first = std::make_unique<SharedBytes>(std::move(buffer), std::move(owner));
    auto second = std::make_unique<SharedBytes>(*first);
    first.reset();
    cr_assert_not(isOwned.expired());
    cr_assert(second->view() == "body");
    second.reset();
    cr_assert(isOwned.expired());
}

Test(sharedbytes, textsAreTakenAsTheyAre)
{
    cr_assert(SharedBytes().empty());
    cr_assert(SharedBytes("text") == SharedBytes(std::string("text")));
    cr_assert_eq(SharedBytes(std::string("a\0b", 3)).size(), 3);
}
