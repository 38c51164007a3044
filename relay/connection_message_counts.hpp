// Counts open messages by the client connection on which they arrived.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace message_relay {

// Identifies a client's connection within this process. 0 stands for an unknown one, for example that of a
// message which an earlier process admitted.
using ConnectionId = std::uint64_t;
inline constexpr ConnectionId kUnknownConnection = 0;

// Invariant: only connections with open messages have an entry, so the table is no larger than the number of
// open messages. Messages of unknown connections are not counted.
class ConnectionMessageCounts {
 public:
  void add(ConnectionId connection) {
    if (connection != kUnknownConnection) counts_[connection]++;
  }
  void remove(ConnectionId connection) {
    const auto entry = counts_.find(connection);
    if (entry != counts_.end() && --entry->second == 0) counts_.erase(entry);
  }

  // The open messages of one connection.
  [[nodiscard]] std::size_t of(ConnectionId connection) const {
    const auto entry = counts_.find(connection);
    return entry == counts_.end() ? 0 : entry->second;
  }
  // The number of connections that have open messages.
  [[nodiscard]] std::size_t connections() const { return counts_.size(); }

 private:
  std::unordered_map<ConnectionId, std::size_t> counts_;
};

}  // namespace message_relay
