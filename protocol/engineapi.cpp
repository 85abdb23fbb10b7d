#include "protocol/engineapi.h"

#include <nlohmann/json.hpp>

namespace ApricotStep
{

std::string engineLoadBody(const AdapterKey &adapter)
{
    return nlohmann::json({ { "lora_name", adapter.name() }, { "lora_path", "store:" + adapter.name() } }).dump();
}

std::string engineUnloadBody(const AdapterKey &adapter)
{
    return nlohmann::json({ { "lora_name", adapter.name() } }).dump();
}

} // namespace ApricotStep
