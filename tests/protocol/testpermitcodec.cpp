#include "protocol/permitcodec.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const PermitName Name { NodeId("n1"), UpstreamId("engine7"), { AdapterId("lessons"), AdapterVersion("3") } };

} // namespace

Test(permitcodec, messagesRoundTripAndTruncatedOnesAreRejected)
{
    const std::vector<PermitMessage> messages { PermitRequest { Name, Priority::Patient, 4, Duration(900) },
        PermitRequest { Name, std::nullopt, 0, Duration() }, PermitRelease { Name, PermitEnd::Withdrawn },
        PermitGrant { Name, Duration(2000) }, PermitWaitEstimate { Name, Priority::Urgent, Duration(1500) } };
    for (const PermitMessage &message : messages) {
        const std::string bytes = encodePermitMessage(message);
        const auto read = decodePermitMessage(bytes);
        cr_assert(read.isOk());
        cr_assert(encodePermitMessage(read.value()) == bytes);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            cr_assert_not(decodePermitMessage(std::string_view(bytes).substr(0, length)).isOk());
        }
    }
    const auto request = decodePermitMessage(encodePermitMessage(messages.front()));
    const auto &decodedRequest = std::get<PermitRequest>(request.value());
    cr_assert(decodedRequest.name == Name && decodedRequest.urgency == Priority::Patient && decodedRequest.waiting == 4
        && decodedRequest.waited == Duration(900));
}
