// Reads and writes on non-blocking sockets that are complete when the function returns.
//
// An asynchronous operation of Boost.Asio may have been carried out by the kernel while its handler still
// waits in the event loop. Whatever runs in between, such as a timer or a handover, would take the operation
// for pending. Users of these functions wait for readiness only, so that their state always agrees with the
// kernel's.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace message_relay {

// The result of one read or write. `error` is boost::asio::error::would_block if the socket is not ready, and
// boost::asio::error::eof if the peer has closed its sending direction; `bytes` is 0 on any error.
struct IoResult {
  std::size_t bytes = 0;
  boost::system::error_code error;

  [[nodiscard]] bool would_block() const { return error == boost::asio::error::would_block; }
};

// Reads what has arrived, up to the size of the buffer. The socket must be non-blocking.
[[nodiscard]] IoResult read_available(boost::asio::ip::tcp::socket& socket,
                                      boost::asio::mutable_buffer buffer);
// Writes as much as the kernel accepts. The socket must be non-blocking.
[[nodiscard]] IoResult write_available(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer data);
// What the peer of a connection has done with it.
enum class PeerState {
  open,
  finished_sending,  // it may still read
  gone               // it has reset the connection
};
[[nodiscard]] PeerState peer_state(boost::asio::ip::tcp::socket& socket);
// Whether bytes have arrived that have not been read.
[[nodiscard]] bool has_unread_bytes(const boost::asio::ip::tcp::socket& socket);
// Whether the acceptor has a connection that has not been accepted.
[[nodiscard]] bool has_pending_connection(boost::asio::ip::tcp::acceptor& acceptor);

}  // namespace message_relay
