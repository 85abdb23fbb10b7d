#include "transport/udpsocket.h"

#include <absl/synchronization/notification.h>

#include <criterion/criterion.h>

using namespace ApricotStep;

Test(udpsocket, datagramArrivesWithSenderAddress)
{
    auto a = UdpSocket::open("127.0.0.1", 0);
    auto b = UdpSocket::open("127.0.0.1", 0);
    cr_assert(a.isOk() && b.isOk());
    absl::Notification arrived;
    std::string text;
    std::string from;
    b.value()->start([&](std::string_view bytes, const std::string &sender) {
        text = bytes;
        from = sender;
        arrived.Notify();
    });
    cr_assert(a.value()->send("127.0.0.1:" + std::to_string(b.value()->port()), "hello"));
    cr_assert(arrived.WaitForNotificationWithTimeout(absl::Seconds(10)));
    cr_assert(text == "hello");
    cr_assert(from == "127.0.0.1:" + std::to_string(a.value()->port()));
}

Test(udpsocket, invalidAddressesAreRefused)
{
    cr_assert_not(UdpSocket::open("no number", 0).isOk());
    auto socket = UdpSocket::open("127.0.0.1", 0);
    cr_assert_not(socket.value()->send("", "x"));
    cr_assert_not(socket.value()->send("127.0.0.1:99999", "x"));
    cr_assert_not(UdpSocket::open("127.0.0.1", socket.value()->port()).isOk(), "taken");
}
