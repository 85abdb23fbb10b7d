#include "main/valuedirectory.h"

#include "coordination/configassembler.h"
#include "protocol/configvalues.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace ApricotStep
{

ValueDirectory::ValueDirectory(std::string path)
    : m_path(std::move(path))
{
}

bool ValueDirectory::hasHead() const
{
    return std::filesystem::exists(m_path + "/" + std::string(ConfigHeadName));
}

Result<std::string> ValueDirectory::text(const std::string &name) const
{
    std::ifstream file(m_path + "/" + name, std::ios::binary);
    if (!file) {
        return Error { ErrorKind::NotFound, m_path + "/" + name + " cannot be read" };
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

Result<ConfigValue> ValueDirectory::read(ConfigValueKind kind, const std::string &hash) const
{
    const auto content = text(kind == ConfigValueKind::Head ? std::string(ConfigHeadName) : hash);
    if (!content.isOk()) {
        return content.error();
    }
    return parseConfigValue(kind, hash, content.value());
}

Result<std::shared_ptr<const Catalog>> ValueDirectory::catalog() const
{
    const auto head = read(ConfigValueKind::Head, {});
    if (!head.isOk()) {
        return head.error();
    }
    ConfigAssembler assembler(std::get<ConfigHead>(head.value()), nullptr, {});
    for (;;) {
        const auto step = assembler.next();
        if (const auto *result = std::get_if<AssemblyResult>(&step)) {
            return result->catalog;
        }
        const auto &missing = std::get<MissingValue>(step);
        auto value = read(missing.kind, missing.hash);
        if (!value.isOk()) {
            return value.error();
        }
        assembler.addValue(std::move(value.value()));
    }
}

Result<std::vector<std::string>> ValueDirectory::names() const
{
    const auto value = read(ConfigValueKind::Head, {});
    if (!value.isOk()) {
        return value.error();
    }
    const auto &head = std::get<ConfigHead>(value.value());
    std::vector<std::string> all { head.baseHash };
    const auto base = read(ConfigValueKind::Base, head.baseHash);
    if (!base.isOk()) {
        return base.error();
    }
    const auto &pages = std::get<ConfigBase>(base.value()).pages;
    all.insert(all.end(), pages.begin(), pages.end());
    std::string next = head.deltaHash;
    for (ConfigVersion currentVersion = head.version; currentVersion > head.baseVersion;) {
        const auto delta = read(ConfigValueKind::Delta, next);
        if (!delta.isOk()) {
            return delta.error();
        }
        all.push_back(next);
        next = std::get<ConfigDelta>(delta.value()).previous;
        currentVersion = std::get<ConfigDelta>(delta.value()).change.from;
    }
    return all;
}

Result<bool> ValueDirectory::write(const std::string &name, const std::string &text) const
{
    std::error_code error;
    std::filesystem::create_directories(m_path, error);
    const std::string filePath = m_path + "/" + name;
    // Written to a temporary file and renamed, so that a service that serves the directory never sees a partial value.
    {
        std::ofstream file(filePath + ".new", std::ios::binary | std::ios::trunc);
        file << text;
        file.flush();
        if (!file) {
            return Error { ErrorKind::Internal, filePath + " cannot be written" };
        }
    }
    std::filesystem::rename(filePath + ".new", filePath, error);
    if (error) {
        return Error { ErrorKind::Internal, filePath + " cannot be written: " + error.message() };
    }
    return true;
}

} // namespace ApricotStep
