package linengauge;

/**
 * What the module acts through. Whoever runs it (an adapter, later a real front) gives one Outside
 * to each instance, a Player with each viewing and a Line with each media box; the module answers
 * with handles, and all that happens later is a call on those: see Policy.
 */
public interface Outside {
  /**
   * Runs the given step once, not earlier than after the span and never within the present call.
   */
  void wakeAfter(Span span, Runnable step);

  /**
   * Tells another front, which keeps it, what this one plays at a box, and the share that the
   * uplink delivers there.
   */
  void tell(int front, Policy.MediaBox box, int viewings, double kb, double uplinkShare);

  /**
   * Answers such a front with what all others play at the box, what all play on its rack, and the
   * size of the rack's uplink.
   */
  void answer(
      int front,
      Policy.MediaBox box,
      int othersViewings,
      double othersKb,
      double rackKb,
      double rackSizeKb);

  /**
   * The viewer's end of one viewing. Tune-ins are numbered 0, 1, 2 ... in the order in which they
   * are made.
   */
  interface Player {
    void tuneIn(Policy.MediaBox box, Span timeout);

    /**
     * Asks the server to show that it has read the end of that attempt, where it can be asked; told
     * by {@link Policy.Viewing#endConfirmed}.
     */
    default void askConfirmation(long server) {}

    void rung(int rung);

    /**
     * Final answer: blocked; a further try is harmless, best after the given span (none: no
     * advice). The reason is for the log.
     */
    void block(Span comeBackAfter, Refusal reason);

    /** Final answer: aborted; says nothing of what may have run. */
    void abort();
  }

  /** Why a request was refused, as operators read it. */
  enum Refusal {
    /** No server that serves and holds the title may take it now. */
    NO_SERVER,
    /** Every server that may take it would be short, even at the lowest rung. */
    SERVERS_FULL,
    ATTEMPTS_USED_UP,
    /** An earlier attempt may still be out at every server that could take one. */
    EARLIER_ATTEMPT_UNCONFIRMED,
    RETRY_BUDGET_USED_UP,
    DEADLINE_TOO_CLOSE,
    FRONT_FULL,
    FRONT_STOPPING,
    FRONT_FAILED,
    SAME_KEY_OPEN
  }

  /** The front's line to one media box. */
  interface Line {
    /** The server's id in the list: the same whenever it is listed again. */
    long id();

    void probe();
  }

  /**
   * How a tune-in that is no longer out has ended. UNHEARD: no answer came, and the box was heard
   * meanwhile on a connection that it has kept, so it lives and has not started anew; HELD_UP: no
   * answer was read in time, as the front stood still. BROKEN: its connection closed; RESET: the
   * server says that it broke on its way; SPOILT: it was answered with what no client can use.
   */
  enum Ending {
    FINISHED(false, true),
    ERROR(false, true),
    TURNED_AWAY(true, true),
    NO_ANSWER(false, false),
    NOT_REACHED(true, true),
    BROKEN(false, false),
    RESET(false, true),
    SPOILT(false, false),
    UNHEARD(false, false),
    HELD_UP(false, false),
    WITHDRAWN(false, false),
    NEVER_SENT(true, true);

    /** It is certain that the set-up never ran. */
    public final boolean neverRan;

    /**
     * It is certain that nothing of it is out at its server: the server said so, or it never left.
     */
    public final boolean confirmed;

    Ending(boolean neverRan, boolean confirmed) {
      this.neverRan = neverRan;
      this.confirmed = confirmed;
    }
  }
}
