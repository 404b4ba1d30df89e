package linengauge.consensus;

/**
 * What decisions change. Every front that follows the council has one, and all are alike after the
 * same decisions: it may depend on nothing else, no clock, no chance and no front's own number.
 */
public interface StateMachine {
  /** Changes as a decision says; one that makes no sense changes nothing, at every front alike. */
  void apply(long index, long author, byte[] decision);

  /** All of it, {@link CommittedLog#MOST} bytes at the most. */
  byte[] whole();

  /** Takes the place of all that was. */
  void restore(byte[] whole);
}
