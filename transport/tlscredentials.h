#pragma once

#include "core/result.h"

#include <memory>
#include <string>

namespace ApricotStep
{

/** The certificate and key of a server; may be replaced while connections use them. Thread-safe. */
class TlsCredentials
{
public:
    /** Reads PEM files. Errors: SettingsInvalid, naming the file. */
    static Result<std::shared_ptr<TlsCredentials>> load(const std::string &certificateFile, const std::string &keyFile);
    ~TlsCredentials();

    /** Reads the same files again; new connections use them from then on. On an error the old ones stay. Errors: SettingsInvalid. */
    Result<bool> reload();

    struct Generation;
    /** The newest generation; lives as long as the credentials. */
    const Generation *current() const;

private:
    TlsCredentials();
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
