// Gossip between relays over UDP. Datagrams may be late, lost or duplicated.
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

// Sends payloads to the other relays and receives theirs.
class GossipChannel {
 public:
  static constexpr std::size_t kMaxPayloadBytes = 256;

  // Receives the rank of the sender, its index among the peers, and the payload.
  using PayloadHandler = std::function<void(int sender_rank, std::string payload)>;

  // Starts listening. If that fails, the error is logged and nothing will be received. `peers` are the
  // addresses of all relays by rank, this one included. `broadcast_address` is an address that reaches all of
  // them. Datagrams from this relay itself or from an address that is not among the peers are dropped.
  GossipChannel(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& listen,
                std::vector<boost::asio::ip::udp::endpoint> peers,
                std::optional<boost::asio::ip::udp::endpoint> broadcast_address, int own_rank,
                PayloadHandler on_payload);

  // Sends the payload to the peer of rank `recipient`, or to the broadcast address if it is negative. Sends
  // nothing if there is no such address. A payload longer than kMaxPayloadBytes is not sent, which is logged.
  void send(int recipient, const std::string& payload);

 private:
  [[nodiscard]] boost::system::error_code open(const boost::asio::ip::udp::endpoint& listen);
  std::optional<boost::asio::ip::udp::endpoint> recipient_address(int recipient) const;
  void receive();
  void retry_receive();
  void process_datagram(std::size_t size);

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer retry_timer_;
  std::vector<boost::asio::ip::udp::endpoint> peers_;
  std::optional<boost::asio::ip::udp::endpoint> broadcast_address_;
  int own_rank_;
  PayloadHandler on_payload_;
  boost::asio::ip::udp::endpoint sender_;
  // One byte longer than the longest payload, so that a longer datagram is recognized.
  std::array<char, kMaxPayloadBytes + 1> buffer_{};
};

}  // namespace message_relay
