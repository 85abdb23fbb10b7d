#include "main/checkcommand.h"

#include "main/catalogini.h"

#include <ostream>

namespace ApricotStep
{

int checkConfig(const std::string &path, std::ostream &out, std::ostream &errors)
{
    const auto content = loadCatalogIni(path);
    if (!content.isOk()) {
        errors << content.error().detail;
        return 2;
    }
    out << path << ": good. adapters=" << content.value().adapters.size() << " upstreams=" << content.value().upstreams.size()
        << " services=" << content.value().services.size() << "\n";
    return 0;
}

} // namespace ApricotStep
