#include "socket_io.hpp"

#include <poll.h>

#include <boost/asio/error.hpp>

namespace message_relay {

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

// Repeats the operation while a signal interrupts it.
template <class Operation>
IoResult retry_interrupted(Operation operation) {
  IoResult result;
  do {
    result.error.clear();
    result.bytes = operation(result.error);
  } while (result.error == net::error::interrupted);
  return result;
}

}  // namespace

IoResult read_available(tcp::socket& socket, net::mutable_buffer buffer) {
  return retry_interrupted(
      [&](boost::system::error_code& error) { return socket.read_some(net::buffer(buffer), error); });
}

IoResult write_available(tcp::socket& socket, net::const_buffer data) {
  return retry_interrupted(
      [&](boost::system::error_code& error) { return socket.write_some(net::buffer(data), error); });
}

PeerState peer_state(tcp::socket& socket) {
  pollfd peer{socket.native_handle(), POLLRDHUP, 0};
  if (::poll(&peer, 1, 0) <= 0) return PeerState::open;
  if ((peer.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0) return PeerState::gone;
  return (peer.revents & POLLRDHUP) != 0 ? PeerState::finished_sending : PeerState::open;
}

bool has_unread_bytes(const tcp::socket& socket) {
  boost::system::error_code error;
  return socket.available(error) > 0;
}

bool has_pending_connection(tcp::acceptor& acceptor) {
  pollfd listener{acceptor.native_handle(), POLLIN, 0};
  return ::poll(&listener, 1, 0) > 0 && (listener.revents & POLLIN) != 0;
}

}  // namespace message_relay
