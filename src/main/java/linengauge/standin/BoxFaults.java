package linengauge.standin;

/** The faults injected into one stand-in box; set on the event loop of the fleet. */
final class BoxFaults {
  boolean silent;
  boolean hung;
  boolean draining;
  boolean resetsOnLostAnswer;
  boolean badPlaylists;

  /** The probability that a set-up fails. */
  double failureRate;

  /** The probability that the answer to a set-up is lost. */
  double answerLossRate;

  /** The factor by which set-ups take longer. */
  double slowdownFactor = 1;

  boolean isUnresponsive() {
    return silent || hung;
  }
}
