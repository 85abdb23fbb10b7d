#include "transport/tlscredentials.h"

#include "transport/tlsgeneration.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <fstream>
#include <sstream>
#include <vector>

namespace ApricotStep
{

namespace
{

Error unusable(const std::string &file, const std::string &why)
{
    return { ErrorKind::SettingsInvalid, file + ": " + why };
}

Result<std::string> readPem(const std::string &file)
{
    std::ifstream input(file);
    std::stringstream text;
    text << input.rdbuf();
    if (!input || text.str().empty()) {
        return unusable(file, "cannot be read or is empty");
    }
    return text.str();
}

gnutls_datum_t datumOf(const std::string &text)
{
    return { reinterpret_cast<unsigned char *>(const_cast<char *>(text.data())), static_cast<unsigned int>(text.size()) };
}

} // namespace

TlsCredentials::Generation::~Generation()
{
    for (unsigned int i = 0; i < chainLength; ++i) {
        gnutls_pcert_deinit(&chain[i]);
    }
    if (key != nullptr) {
        gnutls_privkey_deinit(key);
    }
}

struct TlsCredentials::Private
{
    std::string certificateFile;
    std::string keyFile;
    mutable absl::Mutex mutex;
    // All generations are kept, since a handshake may still read an old one. Reloads are rare and a generation takes a few kilobytes.
    std::vector<std::unique_ptr<Generation>> generations ABSL_GUARDED_BY(mutex);

    Result<std::unique_ptr<Generation>> read() const;
};

Result<std::unique_ptr<TlsCredentials::Generation>> TlsCredentials::Private::read() const
{
    const auto certificate = readPem(certificateFile);
    const auto key = readPem(keyFile);
    if (!certificate.isOk()) {
        return certificate.error();
    }
    if (!key.isOk()) {
        return key.error();
    }
    auto generation = std::make_unique<Generation>();
    generation->chainLength = Generation::MaxChain;
    const gnutls_datum_t certificateData = datumOf(certificate.value());
    int code =
        gnutls_pcert_list_import_x509_raw(generation->chain.data(), &generation->chainLength, &certificateData, GNUTLS_X509_FMT_PEM, 0);
    if (code < 0) {
        generation->chainLength = 0;
        return unusable(certificateFile, std::string("not a PEM certificate chain: ") + gnutls_strerror(code));
    }
    const gnutls_datum_t keyData = datumOf(key.value());
    gnutls_privkey_init(&generation->key);
    code = gnutls_privkey_import_x509_raw(generation->key, &keyData, GNUTLS_X509_FMT_PEM, nullptr, 0);
    if (code < 0) {
        return unusable(keyFile, std::string("not a PEM key: ") + gnutls_strerror(code));
    }
    return generation;
}

TlsCredentials::TlsCredentials()
    : d(std::make_unique<Private>())
{
}

TlsCredentials::~TlsCredentials() = default;

Result<std::shared_ptr<TlsCredentials>> TlsCredentials::load(const std::string &certificateFile, const std::string &keyFile)
{
    std::shared_ptr<TlsCredentials> credentials(new TlsCredentials);
    credentials->d->certificateFile = certificateFile;
    credentials->d->keyFile = keyFile;
    const auto loaded = credentials->reload();
    if (!loaded.isOk()) {
        return loaded.error();
    }
    return credentials;
}

Result<bool> TlsCredentials::reload()
{
    auto generation = d->read();
    if (!generation.isOk()) {
        return generation.error();
    }
    const absl::MutexLock lock(&d->mutex);
    d->generations.push_back(std::move(generation.value()));
    return true;
}

const TlsCredentials::Generation *TlsCredentials::current() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->generations.back().get();
}

} // namespace ApricotStep
