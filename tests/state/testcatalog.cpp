#include "state/catalog.h"

#include <algorithm>
#include <random>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

AdapterSpec adapter(const char *id, const char *version, std::vector<Label> labels)
{
    return { { AdapterId(id), AdapterVersion(version) }, std::move(labels) };
}

CatalogContent content()
{
    CatalogContent content;
    content.version = ConfigVersion(7);
    content.adapters = { adapter("tax", "2", { { "shop", "krakow" }, { "track", "stable" } }),
        adapter("ramen", "1", { { "shop", "accra" }, { "track", "stable" } }),
        adapter("ramen", "2", { { "shop", "accra" }, { "track", "canary" } }) };
    content.upstreams = { { UpstreamId("e1"), UpstreamKind::Engine, "127.0.0.1:1", ZoneId("a") } };
    return content;
}

std::shared_ptr<const Catalog> catalog()
{
    return Catalog::create(content()).value();
}

} // namespace

Test(catalog, selectorResolvesToExactlyOneVersion)
{
    const auto all = catalog();
    cr_assert(all->resolve("tax").value().name() == "tax@2");
    cr_assert(all->resolve("ramen@1").value().name() == "ramen@1");
    cr_assert(all->resolve("shop=accra,track=stable").value().name() == "ramen@1");
}

Test(catalog, unknownAndAmbiguousSelectorsListSimilarAdapters)
{
    const auto all = catalog();
    const auto several = all->resolve("ramen");
    cr_assert(several.error().kind == ErrorKind::AmbiguousSelector);
    cr_assert(several.error().detail.find("ramen@1, ramen@2") != std::string::npos);
    const auto none = all->resolve("ramen@9");
    cr_assert(none.error().kind == ErrorKind::UnknownSelector);
    cr_assert(none.error().detail.find("ramen@1") != std::string::npos);
    cr_assert(all->resolve("shop=kumasi").error().kind == ErrorKind::UnknownSelector);
    cr_assert(all->resolve("").error().kind == ErrorKind::BadRequest);
}

Test(catalog, invalidContentIsRejected)
{
    CatalogContent twice = content();
    twice.adapters.push_back(twice.adapters.front());
    cr_assert(Catalog::create(twice).error().kind == ErrorKind::ConfigInvalid);
    CatalogContent slots = content();
    slots.upstreams.front().slots = 0;
    cr_assert_not(Catalog::create(slots).isOk());
    CatalogContent reference = content();
    reference.services.push_back({ ServiceName("pay"), { UpstreamId("nowhere") } });
    cr_assert_not(Catalog::create(reference).isOk());
}

Test(catalog, deltaCreatesTheNextSnapshotAndKeepsTheOldOne)
{
    const auto old = catalog();
    CatalogDelta delta { ConfigVersion(7), ConfigVersion(8) };
    delta.adapters = { adapter("ramen", "1", { { "shop", "accra" }, { "track", "old" } }),
        adapter("ramen", "3", { { "shop", "accra" }, { "track", "stable" } }) };
    delta.removedAdapters = { { AdapterId("tax"), AdapterVersion("2") } };
    delta.upstreams = { { UpstreamId("e2"), UpstreamKind::Engine, "127.0.0.1:2", ZoneId("b") } };
    const auto next = old->apply(delta).value();
    cr_assert_eq(next->version().value(), 8);
    cr_assert(next->resolve("shop=accra,track=stable").value().name() == "ramen@3");
    cr_assert(next->resolve("track=old").value().name() == "ramen@1");
    cr_assert_not(next->resolve("tax").isOk());
    cr_assert_eq(next->adapterCount(), 3);
    cr_assert_not_null(next->upstream(UpstreamId("e2")));
    cr_assert(old->resolve("shop=accra,track=stable").value().name() == "ramen@1");
    cr_assert(old->resolve("tax").isOk());
    cr_assert_null(old->upstream(UpstreamId("e2")));
}

Test(catalog, deltaThatDoesNotFollowOrIsInvalidIsRejected)
{
    const auto old = catalog();
    cr_assert_not(old->apply({ ConfigVersion(6), ConfigVersion(8) }).isOk());
    cr_assert_not(old->apply({ ConfigVersion(7), ConfigVersion(7) }).isOk());
    CatalogDelta unknown { ConfigVersion(7), ConfigVersion(8) };
    unknown.removedAdapters = { { AdapterId("nobody"), AdapterVersion("1") } };
    cr_assert_not(old->apply(unknown).isOk());
    CatalogDelta twice { ConfigVersion(7), ConfigVersion(8) };
    twice.adapters = { adapter("a", "1", { { "track", "x" }, { "track", "y" } }) };
    cr_assert_not(old->apply(twice).isOk());
}

// Snapshots share blocks, so a fault in copying a block would show in other versions: a caller would get an adapter that the active version
// does not contain. Applies about 200 random deltas and compares the result with a catalog that is built at once.
Test(catalog, chainOfDeltasEqualsCatalogBuiltAtOnce)
{
    CatalogContent wanted;
    wanted.version = ConfigVersion(1);
    auto chained = Catalog::create(wanted).value();
    std::mt19937_64 random(5);
    for (std::uint64_t version = 2; version < 200; ++version) {
        CatalogDelta delta { ConfigVersion(version - 1), ConfigVersion(version) };
        for (int i = 0; i < 20; ++i) {
            const auto spec = adapter(("a" + std::to_string(version * 7 + random() % 900)).c_str(), "1",
                { { "track", random() % 2 == 0 ? "stable" : "canary" }, { "shop", "s" + std::to_string(random() % 50) } });
            const auto isSame = [&](const AdapterSpec &other) { return other.key == spec.key; };
            if (std::any_of(delta.adapters.begin(), delta.adapters.end(), isSame)) {
                continue;
            }
            const bool isKnown = std::erase_if(wanted.adapters, isSame) > 0;
            if (isKnown && random() % 2 == 0) {
                delta.removedAdapters.push_back(spec.key);
            } else {
                wanted.adapters.push_back(spec);
                delta.adapters.push_back(spec);
            }
        }
        std::erase_if(delta.adapters, [&](const AdapterSpec &spec) {
            return std::find(delta.removedAdapters.begin(), delta.removedAdapters.end(), spec.key) != delta.removedAdapters.end();
        });
        std::erase_if(wanted.adapters, [&](const AdapterSpec &spec) {
            return std::find(delta.removedAdapters.begin(), delta.removedAdapters.end(), spec.key) != delta.removedAdapters.end();
        });
        chained = chained->apply(delta).value();
    }
    wanted.version = chained->version();
    const auto built = Catalog::create(wanted).value();
    cr_assert(chained->content().adapters == built->content().adapters);
    cr_assert_gt(chained->adapterCount(), 500);
    for (int shop = 0; shop < 50; ++shop) {
        const std::string selector = "shop=s" + std::to_string(shop) + ",track=canary";
        const auto one = chained->resolve(selector);
        const auto other = built->resolve(selector);
        cr_assert_eq(one.isOk(), other.isOk());
        cr_assert(one.isOk() ? one.value() == other.value() : one.error().detail == other.error().detail);
    }
}
