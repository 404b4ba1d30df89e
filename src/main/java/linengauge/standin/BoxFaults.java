package linengauge.standin;

/** What is wrong with one stand-in box; set from outside, on the fleet's loop. */
final class BoxFaults {
  boolean silent;
  boolean hung;
  boolean draining;
  boolean resets;
  boolean badPlaylists;

  /** The chance of a set-up to fail. */
  double failing;

  /** The chance of an answer to a set-up to be lost. */
  double answersLost;

  /** Set-ups take so many times as long. */
  double slower = 1;

  boolean answersNothing() {
    return silent || hung;
  }
}
