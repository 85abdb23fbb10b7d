#include "core/hash.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

Test(hash, hashesAreDeterministic)
{
    // Nodes with different builds must compute the same owners, so these values must never change.
    cr_assert_eq(stableHash("engine-1"), stableHash("engine-1"));
    cr_assert_neq(stableHash("ab", "c"), stableHash("a", "bc"));
    cr_assert(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    cr_assert(hmacHex("Jefe", "what do ya want for nothing?") == "5bdcc146bf60754e6a042426089575c7");
}

Test(hash, comparesWholeTexts)
{
    cr_assert(equalConstantTime("abc", "abc"));
    cr_assert_not(equalConstantTime("abc", "abd"));
    cr_assert_not(equalConstantTime("abc", "abcd"));
}
