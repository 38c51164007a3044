#include "gossip_channel.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <utility>

#include "log.hpp"

namespace message_relay {

namespace net = boost::asio;
using boost::system::error_code;
using udp = net::ip::udp;

namespace {

constexpr auto kReceiveRetryDelay = std::chrono::milliseconds(50);

}  // namespace

GossipChannel::GossipChannel(net::io_context& io, const udp::endpoint& listen,
                             std::vector<udp::endpoint> peers, std::optional<udp::endpoint> all, int own_rank,
                             Heard heard)
    : socket_(io),
      retry_timer_(io),
      peers_(std::move(peers)),
      all_peers_(std::move(all)),
      own_rank_(own_rank),
      heard_(std::move(heard)) {
  if (const error_code error = open(listen))
    log("gossip: can't listen: " + error.message() + "; going on without gossip");
  else
    receive();
}

error_code GossipChannel::open(const udp::endpoint& listen) {
  error_code error;
  socket_.open(listen.protocol(), error);
  // The process that handed over to this one may not have ended yet.
  if (!error) socket_.set_option(udp::socket::reuse_address(true), error);
  if (!error) socket_.bind(listen, error);
  if (!error) socket_.non_blocking(true, error);
  return error;
}

std::optional<udp::endpoint> GossipChannel::address_of(int recipient) const {
  if (recipient < 0) return all_peers_;
  const auto rank = static_cast<std::size_t>(recipient);
  if (rank >= peers_.size()) return std::nullopt;
  return peers_[rank];
}

void GossipChannel::send(int recipient, const std::string& payload) {
  if (payload.size() > kMaxPayloadBytes) return log("gossip: payload too long, not sent");
  error_code ignored;  // any datagram may be lost
  if (const auto address = address_of(recipient)) socket_.send_to(net::buffer(payload), *address, 0, ignored);
}

void GossipChannel::receive() {
  socket_.async_receive_from(net::buffer(buffer_), sender_, [this](error_code error, std::size_t size) {
    if (error == net::error::operation_aborted) return;
    if (error) return retry_receive();
    deliver(size);
    receive();
  });
}

// The error may concern an earlier datagram that met a closed port. Guards against a busy loop on one that
// persists.
void GossipChannel::retry_receive() {
  retry_timer_.expires_after(kReceiveRetryDelay);
  retry_timer_.async_wait([this](error_code error) {
    if (!error) receive();
  });
}

void GossipChannel::deliver(std::size_t size) {
  const auto sender = std::find(peers_.begin(), peers_.end(), sender_);
  if (sender == peers_.end() || size > kMaxPayloadBytes) return;
  const int rank = static_cast<int>(sender - peers_.begin());
  if (rank != own_rank_) heard_(rank, std::string(buffer_.data(), size));
}

}  // namespace message_relay
