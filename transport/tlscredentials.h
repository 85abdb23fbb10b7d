#pragma once

#include "core/result.h"

#include <memory>
#include <string>

namespace ApricotStep
{

/** The certificate and key of a server; can be replaced while connections use them. Thread-safe. */
class TlsCredentials
{
public:
    /** Reads PEM files. Errors: SettingsInvalid, with the name of the file. */
    static Result<std::shared_ptr<TlsCredentials>> load(const std::string &certificateFile, const std::string &keyFile);
    ~TlsCredentials();

    /**
     * Reads the same files again; new connections use the new certificate. After an error the old one stays in use. Errors:
     * SettingsInvalid.
     */
    Result<bool> reload();

    struct Generation;
    /** The newest generation; valid as long as the credentials. */
    const Generation *current() const;

private:
    TlsCredentials();
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
