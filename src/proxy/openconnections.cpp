#include "openconnections_p.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include <sys/socket.h>

namespace Galenarock
{

std::string toString(const AttemptConnection &connection)
{
    const auto &ends = connection.ends;
    const std::chrono::duration<double, std::milli> age = connection.sinceSent;
    return fmt::format("{} connection {} to {}:{} with {} answers before, {:.3f} ms after it was sent",
                       connection.isNew ? "new" : "kept", ends.localPort, ends.serverIp, ends.serverPort,
                       connection.earlierAnswers, age.count());
}

void ExcludedIds::add(std::string_view id)
{
    if (!has(id)) {
        m_hashes.push_back(hashKey(id));
    }
}

bool ExcludedIds::has(std::string_view id) const
{
    return std::find(m_hashes.begin(), m_hashes.end(), hashKey(id)) != m_hashes.end();
}

void OpenConnections::opened(int fd, Endpoints ends)
{
    m_connections[fd] = {std::move(ends), 0, {}};
}

void OpenConnections::closed(int fd)
{
    m_connections.erase(fd);
}

int OpenConnections::find(const Endpoints &ends) const
{
    for (const auto &[fd, it] : m_connections) {
        if (it.ends == ends) {
            return fd;
        }
    }
    return -1;
}

ServerConnection *OpenConnections::at(int fd)
{
    const auto found = m_connections.find(fd);
    return found == m_connections.end() ? nullptr : &found->second;
}

bool hasUnreadBytes(int fd)
{
    char byte = 0;
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

}
