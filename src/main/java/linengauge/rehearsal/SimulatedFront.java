package linengauge.rehearsal;

import linengauge.platform.PlatformFront;

/** One front of a simulated fleet, through all its lives. */
final class SimulatedFront {
  /** Counts its starts. */
  int incarnation;

  SimulatedNet net;

  /** Null before it is first started. */
  PlatformFront front;

  /** Viewers come to it. */
  boolean inService;

  /** What part of all viewers come to it. */
  double trafficShare;
}
