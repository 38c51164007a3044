#include "action_writer.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "wire_words.hpp"

namespace simulator_adapter {
namespace {

namespace action = dispatch::action;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void write_number(Writer& writer, const char* name, std::int64_t value) {
  writer.Key(name);
  writer.Int64(value);
}
void write_unsigned(Writer& writer, const char* name, std::uint64_t value) {
  writer.Key(name);
  writer.Uint64(value);
}
void write_text(Writer& writer, const char* name, const std::string& value) {
  writer.Key(name);
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

}  // namespace

template <class WriteFields>
void ActionWriter::write_line(const char* kind, WriteFields write_fields) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key(field::kKind);
  writer.String(kind);
  write_text(writer, field::kInstance, instance_);
  write_fields(writer);
  writer.EndObject();
  reply_.append(buffer.GetString(), buffer.GetSize());
  reply_.push_back('\n');
}

void ActionWriter::operator()(const action::Send& action) {
  write_line(output::kSend, [&](Writer& writer) {
    write_unsigned(writer, field::kMessageId, action.id);
    write_text(writer, field::kEndpoint, action.endpoint);
    write_number(writer, field::kTimeout, action.timeout);
  });
}

void ActionWriter::operator()(const action::Reject& action) {
  write_line(output::kReject, [&](Writer& writer) {
    write_unsigned(writer, field::kMessageId, action.id);
    write_number(writer, field::kRetryAfter, action.retry_after);
  });
}

void ActionWriter::operator()(const action::Fail& action) {
  write_line(output::kFail, [&](Writer& writer) { write_unsigned(writer, field::kMessageId, action.id); });
}

void ActionWriter::operator()(const action::Cancel& action) {
  write_line(output::kCancel, [&](Writer& writer) {
    write_unsigned(writer, field::kMessageId, action.id);
    write_number(writer, field::kAttempt, action.attempt);
  });
}

void ActionWriter::operator()(const action::CloseIdleConnections& action) {
  write_line(output::kCloseIdleConnections,
             [&](Writer& writer) { write_text(writer, field::kEndpoint, action.endpoint); });
}

void ActionWriter::operator()(const action::SetTimer& action) {
  write_line(output::kSetTimer, [&](Writer& writer) {
    write_number(writer, field::kTimerAfter, action.after);
    write_unsigned(writer, field::kTimerToken, action.token);
  });
}

void ActionWriter::operator()(const action::FetchEndpointList&) {
  write_line(output::kFetchEndpointList, [](Writer&) {});
}

void ActionWriter::operator()(const action::Subscribe& action) {
  write_line(output::kSubscribe, [&](Writer& writer) {
    writer.Key(field::kSubscribed);
    writer.Bool(action.enabled);
  });
}

void ActionWriter::operator()(const action::HealthCheck& action) {
  write_line(output::kHealthCheck,
             [&](Writer& writer) { write_text(writer, field::kEndpoint, action.endpoint); });
}

void ActionWriter::operator()(const action::SendGossip& action) {
  write_line(output::kSendGossip, [&](Writer& writer) {
    write_number(writer, field::kRecipient, action.recipient);
    write_text(writer, field::kGossipBody, action.payload);
  });
}

void ActionWriter::operator()(const action::Log& action) {
  write_line(output::kLog, [&](Writer& writer) { write_text(writer, field::kText, action.text); });
}

void ActionWriter::write_fatal(const std::string& cause) {
  write_line(output::kFatal, [&](Writer& writer) { write_text(writer, field::kText, cause); });
}

void write_end_of_reply(std::string& reply) {
  reply += std::string("{\"") + field::kKind + "\":\"" + output::kEndOfReply + "\"}\n";
}

}  // namespace simulator_adapter
