#pragma once

#include <string>

namespace ApricotStep
{

/** A random number that no other connection uses, as hexadecimal text. */
std::string newNonce();
/** Proof of a server that it knows @p secret, valid only for the connection with these two nonces. */
std::string serverProof(const std::string &secret, const std::string &clientNonce, const std::string &serverNonce);
/** The same for the client. It differs from the server's proof, so that neither side can return the proof of the other as its own. */
std::string clientProof(const std::string &secret, const std::string &clientNonce, const std::string &serverNonce);

} // namespace ApricotStep
