#include "protocol/platformvalues.h"

#include <nlohmann/json.hpp>

namespace ApricotStep
{

namespace
{

using Json = nlohmann::json;

Error invalid(std::string detail)
{
    return { ErrorKind::ConfigInvalid, std::move(detail) };
}

VmRecord vmFrom(const Json &json)
{
    VmRecord record;
    record.id = json.at("id").get<std::string>();
    record.role = json.at("role").get<std::string>() == "entry" ? VmRole::Entry : VmRole::Upstream;
    record.zone = ZoneId(json.value("zone", ""));
    record.leaving = json.value("state", "live") == "leaving";
    record.callerAddress = json.value("caller_address", "");
    record.rpcAddress = json.value("rpc_address", "");
    record.membershipAddress = json.value("membership_address", "");
    return record;
}

} // namespace

Result<VmList> parseVmList(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        VmList list;
        for (const Json &item : json.at("vms")) {
            list.vms.push_back(vmFrom(item));
        }
        return list;
    } catch (const Json::exception &exception) {
        return invalid(std::string("invalid VM list: ") + exception.what());
    }
}

} // namespace ApricotStep
