// Constants of the simulator's protocol: the kinds of lines, the names of their fields, and the values of
// fields.
//
// The texts are defined by the simulator and must not change. The constants are named after their meaning.
#pragma once

namespace simulator_adapter {

/// Values of field::kKind in lines from the simulator.
namespace input {
inline constexpr const char* kRound = "ROUND";               // begins a round
inline constexpr const char* kEndOfRound = "YOUR_TURN";      // ends the round and requests the reply
inline constexpr const char* kNewInstance = "NEW_INSTANCE";  // a simulated relay starts
inline constexpr const char* kPowerOff = "POWER_OFF";        // a simulated relay stops
inline constexpr const char* kEndpointPool = "POOL";         // defines a list of endpoints for later use
inline constexpr const char* kAttemptAccepted = "ACCEPTED";  // the response to an attempt has begun
inline constexpr const char* kEndpointList = "SYNC";         // delivers a list or ends the subscription
inline constexpr const char* kArrival = "KNOCK";             // a message arrives from a client
inline constexpr const char* kAttemptEnded = "RETURNED";     // an attempt ended
inline constexpr const char* kClientCancelled = "HANGUP";    // a client cancelled its message
inline constexpr const char* kTimerExpired = "REMINDER";     // a timer expired
inline constexpr const char* kHealthCheckEnded = "ECHO";     // a health check ended
inline constexpr const char* kGossipReceived = "HEARD";      // gossip of another relay arrived
}  // namespace input

/// Values of field::kKind in lines to the simulator.
namespace output {
inline constexpr const char* kSend = "PLACE";
inline constexpr const char* kReject = "BUSY";
inline constexpr const char* kFail = "END_FAILED";
inline constexpr const char* kCancel = "ABANDON";
inline constexpr const char* kCloseIdleConnections = "CLOSE";
inline constexpr const char* kSetTimer = "SLEEP";
inline constexpr const char* kFetchEndpointList = "QUERY_ALL";
inline constexpr const char* kSubscribe = "FOLLOW";
inline constexpr const char* kHealthCheck = "SOUND_OUT";
inline constexpr const char* kSendGossip = "BROADCAST_TO";
inline constexpr const char* kLog = "PRINT";
inline constexpr const char* kFatal = "FATAL";
inline constexpr const char* kEndOfReply = "OK";
}  // namespace output

/// Names of fields in lines of both directions.
namespace field {
inline constexpr const char* kKind = "kind";
inline constexpr const char* kInstance = "Who";
inline constexpr const char* kClock = "Clock";
inline constexpr const char* kSeed = "RngSeed";
inline constexpr const char* kSettings = "Setup";
inline constexpr const char* kPoolId = "RosterId";
inline constexpr const char* kPoolEntries = "Elements";
inline constexpr const char* kEndpoint = "Endpoint";
inline constexpr const char* kPoolDestination = "Cell";
inline constexpr const char* kPoolStatus = "Health";
inline constexpr const char* kPoolWeight = "CapacityHint";
inline constexpr const char* kPoolAddedAt = "Since";
inline constexpr const char* kPoolZone = "Az";
inline constexpr const char* kPoolKind = "Kind";
inline constexpr const char* kListSource = "How";
inline constexpr const char* kMessageId = "Rid";
inline constexpr const char* kDestination = "Dest";
inline constexpr const char* kMessageClass = "TierClass";
inline constexpr const char* kTimeToDeadline = "TimeLeft";
inline constexpr const char* kOrderKey = "Subject";
inline constexpr const char* kResubmitted = "Retry";
inline constexpr const char* kTenant = "Account";
inline constexpr const char* kAttempt = "SendNo";
inline constexpr const char* kOutcome = "Result";
inline constexpr const char* kLatency = "DelaySeen";
inline constexpr const char* kMessageSettled = "Closed";
inline constexpr const char* kRetryAfterMs = "RemarkMs";
inline constexpr const char* kLoadReport = "HealthInfo";
inline constexpr const char* kRemainingFraction = "x0";
inline constexpr const char* kRateLimit = "x1";
inline constexpr const char* kTimerToken = "Tag";
inline constexpr const char* kSender = "From";
inline constexpr const char* kGossipBody = "Body";
inline constexpr const char* kTimeout = "GiveUpAfter";
inline constexpr const char* kRetryAfter = "ComeBack";
inline constexpr const char* kTimerAfter = "After";
inline constexpr const char* kSubscribed = "Active";
inline constexpr const char* kRecipient = "Whom";
inline constexpr const char* kText = "Msg";
}  // namespace field

/// Values of field::kListSource.
namespace list_source {
inline constexpr const char* kUpdate = "D";
inline constexpr const char* kSnapshot = "F";
inline constexpr const char* kCachedSnapshot = "C";
inline constexpr const char* kLost = "X";
}  // namespace list_source

/// Values of field::kPoolStatus.
namespace pool_status {
inline constexpr const char* kActive = "healthy";
inline constexpr const char* kDraining = "cordoned";
inline constexpr const char* kRemoved = "deregistered";
}  // namespace pool_status

/// Values of field::kOutcome.
enum class OutcomeCode {
  succeeded = 10,
  error = 20,
  rejected = 30,
  timeout = 40,
  connect_failed = 50,
  reset = 60,
  cancelled = 70,
  not_sent = 80
};

}  // namespace simulator_adapter
