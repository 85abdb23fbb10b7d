#include "state/catalog.h"

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

Test(catalog, aSelectorResolvesToExactlyOneVersion)
{
    const auto all = catalog();
    cr_assert(all->resolve("tax").value().name() == "tax@2");
    cr_assert(all->resolve("ramen@1").value().name() == "ramen@1");
    cr_assert(all->resolve("shop=accra,track=stable").value().name() == "ramen@1");
}

Test(catalog, noneOrSeveralIsARefusalThatListsWhatCameNear)
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

Test(catalog, faultsAreRefusedWhole)
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
