#include "core/keydigest.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

Test(keydigest, digestsAreEncodedAndDecoded)
{
    const KeyDigest digest = KeyDigest::of("abc");
    cr_assert(digest.toHex() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    cr_assert(KeyDigest::fromHex(digest.toHex()) == digest);
    cr_assert_not(KeyDigest::of("abd") == digest);
}

// Guards against a damaged digest that matches some key.
Test(keydigest, damagedDigestsAreRefused)
{
    const std::string hex = KeyDigest::of("abc").toHex();
    cr_assert_not(KeyDigest::fromHex("").has_value());
    cr_assert_not(KeyDigest::fromHex(hex.substr(1)).has_value());
    cr_assert_not(KeyDigest::fromHex(hex + "0").has_value());
    cr_assert_not(KeyDigest::fromHex("G" + hex.substr(1)).has_value());
}
