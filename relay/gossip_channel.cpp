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
                             std::vector<udp::endpoint> peers, std::optional<udp::endpoint> broadcast_address,
                             int own_rank, PayloadHandler on_payload)
    : socket_(io),
      retry_timer_(io),
      peers_(std::move(peers)),
      broadcast_address_(std::move(broadcast_address)),
      own_rank_(own_rank),
      on_payload_(std::move(on_payload)) {
  if (const error_code error = open(listen))
    log("gossip: listen failed: " + error.message() + "; continuing without gossip");
  else
    receive();
}

error_code GossipChannel::open(const udp::endpoint& listen) {
  error_code error;
  socket_.open(listen.protocol(), error);
  // The process that handed over to this one may not have exited yet and would still hold the address.
  if (!error) socket_.set_option(udp::socket::reuse_address(true), error);
  if (!error) socket_.bind(listen, error);
  if (!error) socket_.non_blocking(true, error);
  return error;
}

std::optional<udp::endpoint> GossipChannel::recipient_address(int recipient) const {
  if (recipient < 0) return broadcast_address_;
  const auto rank = static_cast<std::size_t>(recipient);
  if (rank >= peers_.size()) return std::nullopt;
  return peers_[rank];
}

void GossipChannel::send(int recipient, const std::string& payload) {
  if (payload.size() > kMaxPayloadBytes) return log("gossip: payload not sent: longer than the maximum");
  error_code ignored;  // a failed send is a lost datagram, which gossip allows for
  if (const auto address = recipient_address(recipient))
    socket_.send_to(net::buffer(payload), *address, 0, ignored);
}

void GossipChannel::receive() {
  socket_.async_receive_from(net::buffer(buffer_), sender_, [this](error_code error, std::size_t size) {
    if (error == net::error::operation_aborted) return;
    if (error) return retry_receive();
    process_datagram(size);
    receive();
  });
}

// The error may concern an earlier datagram that was sent to a closed port. Guards against a busy loop on an
// error that persists.
void GossipChannel::retry_receive() {
  retry_timer_.expires_after(kReceiveRetryDelay);
  retry_timer_.async_wait([this](error_code error) {
    if (!error) receive();
  });
}

void GossipChannel::process_datagram(std::size_t size) {
  const auto sender = std::find(peers_.begin(), peers_.end(), sender_);
  if (sender == peers_.end() || size > kMaxPayloadBytes) return;
  const int rank = static_cast<int>(sender - peers_.begin());
  if (rank != own_rank_) on_payload_(rank, std::string(buffer_.data(), size));
}

}  // namespace message_relay
