/// A faulty server spoils some of its answers: bytes that are not a response. In turn
/// - the name of a second length is followed by a blank, which no answer in HTTP/1.1 has (RFC 9112, section 5.1);
/// - the same with the coding, so that the sizes of the chunks look like a part of the body;
/// - there are two lengths (section 6.3: a proxy must answer 502).
#include "case.h"

using namespace Review;

namespace
{
/// One of three servers spoils one in 50 of its answers.
constexpr int SpoilEvery = 50;
const std::string Body = "first part of the answer, second part of the answer";

bool isToken(const std::string &name)
{
    const std::string others = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](unsigned char c) {
        return std::isalnum(c) != 0 || others.find(static_cast<char>(c)) != std::string::npos;
    });
}
}

int main(int argc, char **argv)
{
    Case setup(argc, argv);
    Store store;
    std::vector<std::unique_ptr<Server>> servers;
    for (int n = 1; n <= 3; ++n) {
        servers.push_back(std::make_unique<Server>(Server::Settings{"i-desk" + std::to_string(n), "desk"}, store));
        servers.back()->enroll("ready");
    }
    std::atomic<int> asked{0};
    std::atomic<int> spoiled{0};
    auto &faulty = *servers.front();
    faulty.onRequest = [&](Socket &socket, const Message &request, bool &isDone) {
        if (!setup.hasTrouble() || ++asked % SpoilEvery != 0) {
            return true;
        }
        isDone = true;
        ++spoiled;
        const auto id = request.header("Attempt-Id");
        record.line(faulty.settings.id + " spoils its answer to " + id);
        const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal\r\n";
        switch (spoiled % 3) {
        case 0:
            return socket.write(head + "Content-Length : 24\r\nContent-Length: " + std::to_string(Body.size())
                                + "\r\n\r\n" + Body);
        case 1:
            socket.write(head + "Transfer-Encoding : chunked\r\nConnection: close\r\n\r\n33\r\n" + Body
                         + "\r\n0\r\n\r\n");
            return false;
        default:
            socket.write(head + "Content-Length: " + std::to_string(Body.size()) + "\r\nContent-Length: 24\r\n\r\n"
                         + Body);
            return false;
        }
    };
    store.put("config", "main",
              makeConfiguration(3, {{"a.example", "/orders/", "unsafe", "desk"}}, {makeCluster("desk", false)}));
    setup.startGateways(store, {"front-rioja-1", "front-rioja-2", "front-rioja-3"});
    Load load(setup.gateways(), 60, [](const Gateway &it) {
        return callOnce(it, "POST", "a.example", "/orders/1", std::string(400, 'o'), 2'500);
    });
    sleepMs(30'000);
    const auto outcomes = load.stop();

    // MIXED: bytes that are no answer in the protocol, or a success with another body than the server's whole one.
    int malformedHeads = 0;
    int otherBodies = 0;
    for (const auto &it : outcomes) {
        const bool isSpoiled = it.answer.header("Response-Seal") == "seal";
        const bool isSuccess = it.status >= 200 && it.status < 300;
        if (!isSpoiled || !isSuccess) {
            continue;
        }
        const auto &headers = it.answer.headers;
        const bool isMalformed =
            std::any_of(headers.begin(), headers.end(), [](const auto &h) { return !isToken(h.first); });
        malformedHeads += isMalformed ? 1 : 0;
        otherBodies += it.answer.body != Body ? 1 : 0;
        std::string text = "MIXED: the caller of " + it.id + " got a success, head";
        for (const auto &[name, value] : headers) {
            text += " | " + name + ": " + value;
        }
        record.line(text + ", body '" + it.answer.body + "'");
    }
    return setup.finish(malformedHeads + otherBodies > 0,
                        std::to_string(malformedHeads) + " callers got a success with a malformed head, "
                            + std::to_string(otherBodies) + " one with another body than the server's whole one; "
                            + std::to_string(spoiled) + " answers of the faulty server were spoiled; "
                            + std::to_string(outcomes.size()) + " orders in all");
}
