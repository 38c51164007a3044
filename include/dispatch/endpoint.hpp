// An endpoint as service discovery lists it.
#pragma once

#include "dispatch/types.hpp"

namespace dispatch {

/// Whether an endpoint may be sent new calls.
enum class EndpointStatus {
  active,    ///< accepts new calls
  draining,  ///< completes the calls in flight and accepts no new ones
  removed    ///< no longer in the endpoint list
};

/// One entry of the endpoint list.
struct Endpoint {
  EndpointId id;                  ///< unique in the list
  DestinationId destination = 0;  ///< the destination whose messages the endpoint receives
  int zone = 0;                   ///< index into the caller's list of zones
  int kind = 0;                   ///< index into Settings::kinds; beyond its end: the default KindSettings
  EndpointStatus status = EndpointStatus::active;
  double weight = 1;  ///< as given by Settings::weight_kind: ignored, or a capacity in calls per second
  Time added_at = 0;  ///< when the endpoint was added to the list; 0: long ago
};

}  // namespace dispatch
