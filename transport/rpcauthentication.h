#pragma once

#include <string>

namespace ApricotStep
{

/** A number that no connection used before, as text. */
std::string newNonce();
/** What only a server that knows @p secret can say on the connection of these two nonces. */
std::string serverProof(const std::string &secret, const std::string &clientNonce, const std::string &serverNonce);
/** The same for the client; differs from the server's, so that neither can be sent back as the other. */
std::string clientProof(const std::string &secret, const std::string &clientNonce, const std::string &serverNonce);

} // namespace ApricotStep
