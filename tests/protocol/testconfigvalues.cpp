#include "core/hash.h"
#include "protocol/configvalues.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

CatalogContent largeContent()
{
    CatalogContent content;
    content.version = ConfigVersion(5);
    for (int i = 0; i < 20'000; ++i) {
        AdapterSpec spec;
        spec.key = { AdapterId("adapter-" + std::to_string(100'000 + i)), AdapterVersion("1") };
        spec.labels = { { "shop", "s" + std::to_string(i) }, { "track", "stable" } };
        spec.baseModel = BaseModelId("llama");
        content.adapters.push_back(spec);
    }
    content.upstreams = { { UpstreamId("e1"), UpstreamKind::Engine, "127.0.0.1:1", ZoneId("a"), 4, 8, true, false, BaseModelId("llama") } };
    content.services = { { ServiceName("pay"), { UpstreamId("e1") } } };
    return content;
}

} // namespace

Test(configvalues, baseIsSplitIntoPagesBelowTheSizeLimitAndRoundTrips)
{
    const CatalogContent content = largeContent();
    const ConfigBaseTexts texts = configBaseTexts(content);
    cr_assert_gt(texts.pages.size(), 1);
    const auto base = std::get<ConfigBase>(parseConfigValue(ConfigValueKind::Base, sha256Hex(texts.index), texts.index).value());
    cr_assert_eq(base.pages.size(), texts.pages.size());
    CatalogContent read;
    for (std::size_t i = 0; i < texts.pages.size(); ++i) {
        cr_assert_lt(texts.pages[i].size(), MaxConfigValueBytes);
        const auto page = std::get<ConfigPage>(parseConfigValue(ConfigValueKind::Page, base.pages[i], texts.pages[i]).value());
        read.adapters.insert(read.adapters.end(), page.content.adapters.begin(), page.content.adapters.end());
        read.upstreams.insert(read.upstreams.end(), page.content.upstreams.begin(), page.content.upstreams.end());
        read.services.insert(read.services.end(), page.content.services.begin(), page.content.services.end());
    }
    cr_assert(read.adapters == content.adapters);
    cr_assert(read.upstreams == content.upstreams);
    cr_assert(read.services == content.services);
}

Test(configvalues, deltaAndHeadRoundTripAndStaySmall)
{
    ConfigDelta delta { {}, sha256Hex("before"), { ConfigVersion(8), ConfigVersion(9) } };
    delta.change.adapters = { largeContent().adapters.front() };
    delta.change.removedAdapters = { { AdapterId("old"), AdapterVersion("3") } };
    delta.change.removedUpstreams = { UpstreamId("e9") };
    delta.change.removedServices = { ServiceName("gone") };
    const std::string text = configDeltaText(delta);
    cr_assert_lt(text.size(), 500);
    const auto read = std::get<ConfigDelta>(parseConfigValue(ConfigValueKind::Delta, sha256Hex(text), text).value());
    cr_assert(read.previous == delta.previous);
    cr_assert(read.change.adapters == delta.change.adapters);
    cr_assert(read.change.removedAdapters == delta.change.removedAdapters);
    cr_assert(read.change.removedUpstreams == delta.change.removedUpstreams);
    const std::string head = configHeadText({ ConfigVersion(9), ConfigVersion(5), sha256Hex("base"), sha256Hex(text), {} });
    cr_assert_lt(head.size(), 300);
    cr_assert(std::get<ConfigHead>(parseConfigValue(ConfigValueKind::Head, {}, head).value()).deltaHash == sha256Hex(text));
}

// A replica or a peer provides a page that was truncated on its way. If it were accepted, adapters would be missing for callers.
Test(configvalues, contentThatDoesNotMatchItsHashIsRejected)
{
    const std::string page = configBaseTexts(largeContent()).pages.front();
    const auto cut = parseConfigValue(ConfigValueKind::Page, sha256Hex(page), page.substr(0, page.size() - 1));
    cr_assert(cut.error().kind == ErrorKind::StaleConfig);
    const auto unreadable = parseConfigValue(ConfigValueKind::Page, sha256Hex("{\"adapters\":[{}]}"), "{\"adapters\":[{}]}");
    cr_assert(unreadable.error().kind == ErrorKind::ConfigInvalid);
    cr_assert(parseConfigValue(ConfigValueKind::Head, {}, "{").error().kind == ErrorKind::ConfigInvalid);
}
