package linengauge.standin;

/** What is wrong with one stand-in box; set from outside, on the fleet's loop. */
final class BoxFaults {
  boolean silent;
  boolean hung;
  boolean draining;
  boolean resetsOnLostAnswer;
  boolean badPlaylists;

  /** The chance of a set-up to fail. */
  double failureRate;

  /** The chance of an answer to a set-up to be lost. */
  double answerLossRate;

  /** Set-ups take so many times as long. */
  double slowdownFactor = 1;

  boolean isUnresponsive() {
    return silent || hung;
  }
}
