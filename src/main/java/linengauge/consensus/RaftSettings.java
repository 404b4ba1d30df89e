package linengauge.consensus;

import linengauge.Span;

/**
 * A council's spans. They bear on how soon things are decided, never on what is.
 *
 * @param beat between a leader's words
 * @param election the least silence of a leader after which another is wanted; each waits up to
 *     twice as long
 * @param saveAgain after a state that could not be saved
 * @param compactAt entries after which they are folded into the state
 * @param mostOpen entries that wait for a majority, at the most
 * @param batch entries in one word, at the most
 */
public record RaftSettings(
    Span beat, Span election, Span saveAgain, int compactAt, int mostOpen, int batch) {
  public static final RaftSettings USUAL =
      new RaftSettings(Span.ofMillis(100), Span.ofMillis(600), Span.ofMillis(250), 256, 256, 16);

  public RaftSettings {
    if (compactAt + mostOpen + RaftMessage.MOST_ENTRIES > PersistentState.MOST_ENTRIES
        || batch > RaftMessage.MOST_ENTRIES / 2) {
      throw new IllegalArgumentException("more entries than a store may hold");
    }
  }

  /** All spans in proportion to a beat. */
  public RaftSettings inBeats(Span of) {
    double by = of.seconds() / beat.seconds();
    return new RaftSettings(
        of, election.times(by), saveAgain.times(by), compactAt, mostOpen, batch);
  }
}
