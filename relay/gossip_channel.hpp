// Gossip between relays: datagrams over UDP, which may be late, lost or repeated.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace message_relay {

class GossipChannel {
 public:
  static constexpr std::size_t kMaxPayloadBytes = 256;

  // Gets the position of the sender among the peers, and the payload.
  using Heard = std::function<void(int from, std::string body)>;

  // Listens from now on; where that fails, it is logged, and nothing will be received. `peers` are all relays
  // by rank, `all` the address that reaches every one of them. Datagrams of others, and of this relay itself,
  // are dropped.
  GossipChannel(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& listen,
                std::vector<boost::asio::ip::udp::endpoint> peers,
                std::optional<boost::asio::ip::udp::endpoint> all, int own_rank, Heard heard);

  // Sends to the peer of this rank, or to every peer where it is negative. A payload longer than
  // kMaxPayloadBytes is logged and not sent.
  void send(int recipient, const std::string& payload);

 private:
  [[nodiscard]] boost::system::error_code open(const boost::asio::ip::udp::endpoint& listen);
  std::optional<boost::asio::ip::udp::endpoint> address_of(int recipient) const;
  void receive();
  void retry_receive();
  void deliver(std::size_t size);

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer retry_timer_;
  std::vector<boost::asio::ip::udp::endpoint> peers_;
  std::optional<boost::asio::ip::udp::endpoint> all_peers_;
  int own_rank_;
  Heard heard_;
  boost::asio::ip::udp::endpoint sender_;
  // One byte more than a payload may have, so that a longer one is recognized.
  std::array<char, kMaxPayloadBytes + 1> buffer_{};
};

}  // namespace message_relay
