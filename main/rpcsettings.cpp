#include "main/rpcsettings.h"

#include <array>
#include <fstream>
#include <sstream>

namespace ApricotStep
{

namespace
{

Result<std::string> readFile(const std::string &setting, const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || text.str().empty()) {
        return Error { ErrorKind::SettingsInvalid, setting + ": cannot read '" + path + "'" };
    }
    return text.str();
}

} // namespace

Result<NodeRpcSettings> rpcSettings(const Settings &settings)
{
    NodeRpcSettings rpc;
    rpc.address = settings.text("rpc.address");
    rpc.port = static_cast<std::uint16_t>(settings.number("rpc.port"));
    rpc.secret = settings.text("fleet.secret");
    rpc.connectTimeout = settings.duration("rpc.connect_timeout_ms");
    rpc.callTimeout = settings.duration("rpc.call_timeout_ms");
    rpc.pingTimeout = settings.duration("rpc.ping_timeout_ms");
    rpc.writeTimeout = settings.duration("callers.idle_timeout_ms") + rpc.pingTimeout;
    rpc.maxBodyBytes = static_cast<std::size_t>(settings.number("callers.max_body_bytes"));
    rpc.tlsName = settings.text("rpc.tls_name");

    struct File
    {
        const char *setting;
        std::string *text;
    };
    const std::array files { File { "rpc.tls_certificate", &rpc.tlsCertificate }, File { "rpc.tls_key", &rpc.tlsKey },
        File { "rpc.tls_authority", &rpc.tlsAuthority } };
    std::size_t filesSet = 0;
    for (const File &file : files) {
        filesSet += settings.text(file.setting).empty() ? 0 : 1;
    }
    if (filesSet == 0) {
        return rpc;
    }
    if (filesSet != files.size()) {
        return Error { ErrorKind::SettingsInvalid, "set all of rpc.tls_certificate, rpc.tls_key and rpc.tls_authority, or none" };
    }
    for (const File &file : files) {
        auto text = readFile(file.setting, settings.text(file.setting));
        if (!text.isOk()) {
            return text.error();
        }
        *file.text = std::move(text.value());
    }
    return rpc;
}

} // namespace ApricotStep
