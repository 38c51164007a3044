#include "delivery_request.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "byte_buffer.hpp"

namespace message_relay {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using Request = http::request<http::string_body>;

namespace {

constexpr unsigned kHttpVersion = 11;
// The header of a request to an endpoint: two ids of 256 bytes and fields of fixed length.
constexpr std::size_t kMaxRequestHeaderBytes = 1024;

// The names and punctuation of an entry in the body of a call with several messages.
constexpr std::size_t kBatchEntryOverheadBytes = sizeof R"({"id":"","key":"","body":""},)";
// Ids and keys are visible ASCII, of which JSON escapes quotes and backslashes.
constexpr std::size_t kMaxEscapedBytes = 2;

std::string encode_base64(const std::string& bytes) {
  std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
  text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

void write_member(JsonWriter& writer, const char* key, const std::string& value) {
  writer.Key(key);
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void write_batch_entry(JsonWriter& writer, const OutgoingMessage& message) {
  writer.StartObject();
  write_member(writer, "id", message.client_id);
  if (!message.idempotency_key.empty()) write_member(writer, "key", message.idempotency_key);
  write_member(writer, "body", encode_base64(message.body));
  writer.EndObject();
}

// Takes the bodies out of the messages.
std::string encode_batch(const std::vector<OutgoingMessage*>& messages) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartArray();
  for (OutgoingMessage* const message : messages) {
    write_batch_entry(writer, *message);
    release_buffer(message->body);
  }
  writer.EndArray();
  return {buffer.GetString(), buffer.GetSize()};
}

Time longest_timeout(const std::vector<OutgoingMessage*>& messages) {
  Time longest = 0;
  for (const OutgoingMessage* const message : messages) longest = std::max(longest, message->timeout);
  return longest;
}

void set_single_message(OutgoingMessage& message, Request& request) {
  request.target("/events");
  request.set("X-Request-Id", message.client_id);
  if (!message.idempotency_key.empty()) request.set("Idempotency-Key", message.idempotency_key);
  request.body() = std::exchange(message.body, {});
}

void set_batch(const std::vector<OutgoingMessage*>& messages, Request& request) {
  request.target("/events/bundle");
  request.set(http::field::content_type, "application/json");
  request.body() = encode_batch(messages);
}

std::string serialize(const Request& request) {
  http::request_serializer<http::string_body> serializer(request);
  std::string bytes;
  bytes.reserve(request.body().size() + kMaxRequestHeaderBytes);
  error_code error;
  const auto append = [&](error_code&, const auto& buffers) {
    for (auto buffer = net::buffer_sequence_begin(buffers); buffer != net::buffer_sequence_end(buffers);
         ++buffer)
      bytes.append(static_cast<const char*>((*buffer).data()), (*buffer).size());
    serializer.consume(net::buffer_size(buffers));
  };
  while (!serializer.is_done() && !error) serializer.next(error, append);
  return bytes;
}

}  // namespace

std::size_t batch_entry_bytes(std::size_t id_bytes, std::size_t key_bytes, std::size_t body_bytes) {
  return kBatchEntryOverheadBytes + kMaxEscapedBytes * (id_bytes + key_bytes) +
         beast::detail::base64::encoded_size(body_bytes);
}

std::string encode_delivery_request(const std::vector<OutgoingMessage*>& messages) {
  Request request;
  request.method(http::verb::post);
  request.version(kHttpVersion);
  request.set(http::field::host, "origin.svc");
  request.set("X-Deadline", std::to_string(longest_timeout(messages)) + "u");
  if (messages.size() > 1)
    set_batch(messages, request);
  else
    set_single_message(*messages.front(), request);
  request.prepare_payload();
  return serialize(request);
}

}  // namespace message_relay
