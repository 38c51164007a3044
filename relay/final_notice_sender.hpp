// Notifies the platform of the final answers of messages that are not delivered.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "message.hpp"

namespace message_relay {

// Sends pending notices in batches, one request at a time, over a connection that is reused. Retries with
// exponential backoff until the platform has acknowledged them. A notice may be sent more than once, which is
// harmless.
class FinalNoticeSender {
 public:
  using AcknowledgementHandler = std::function<void(const std::vector<MessageId>&)>;

  // `response_timeout` is the time from the start of a request until its response must be complete. It
  // doubles before each retry, up to one second, until a request succeeds. `on_acknowledged` receives the ids
  // of the messages whose notices the platform has accepted or rejected as malformed.
  FinalNoticeSender(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                    std::chrono::microseconds response_timeout, AcknowledgementHandler on_acknowledged);
  ~FinalNoticeSender();
  FinalNoticeSender(const FinalNoticeSender&) = delete;
  FinalNoticeSender& operator=(const FinalNoticeSender&) = delete;

  // Adds the notice for a message. `client_id` is the id that the client gave it. Sends it at once if no
  // request is in flight and no retry is pending.
  void send(MessageId id, const std::string& client_id, const FinalAnswer& final_answer);
  // Changes the address of the platform. Cancels the request in flight and sends the pending notices at once.
  // Does nothing if the address is the present one.
  void relocate(const boost::asio::ip::tcp::endpoint& address);
  bool has_pending() const { return !pending_.empty(); }

 private:
  struct Request;

  void send_batch();
  std::shared_ptr<Request> make_request();
  void connect(const std::shared_ptr<Request>& request);
  void transmit(const std::shared_ptr<Request>& request);
  void read_response(const std::shared_ptr<Request>& request);
  void read_response_body(const std::shared_ptr<Request>& request);
  void acknowledge(const std::vector<MessageId>& message_ids);
  void complete(const std::shared_ptr<Request>& request);
  void fail(const std::shared_ptr<Request>& request, const std::string& cause);
  void handle_rejection(const Request& request);
  void schedule_retry();

  static constexpr std::size_t kMaxBatchSize = 64;  // notices in one request

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  std::chrono::microseconds initial_timeout_;
  std::chrono::microseconds timeout_;  // of the next request
  std::chrono::milliseconds backoff_;  // delay of the next retry
  AcknowledgementHandler on_acknowledged_;
  std::map<MessageId, std::string> pending_;  // notices as JSON lines, by message
  std::shared_ptr<Request> request_;          // the request in flight
  std::shared_ptr<boost::asio::ip::tcp::socket> idle_connection_;
  std::size_t max_batch_size_ = kMaxBatchSize;
  boost::asio::steady_timer retry_timer_;
  bool waiting_for_retry_ = false;
};

}  // namespace message_relay
