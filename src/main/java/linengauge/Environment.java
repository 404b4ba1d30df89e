package linengauge;

/**
 * The interface through which the module acts. Whoever runs it (an adapter or a real front) passes
 * one Environment to each instance of {@link Policy}, a {@link ViewingPort} with each viewing and a
 * {@link BoxPort} with each media box. The module returns handles, and all later events are calls
 * on those.
 */
public interface Environment {
  /** Runs the given task once, not before the delay is over and never within the present call. */
  void schedule(Span delay, Runnable task);

  /**
   * Sends to the rack owner, another front, what this front plays at a box, and the share of the
   * rates that the uplink delivers there.
   *
   * @param rate of all viewings of this front at the box, in kB per second
   */
  void sendUsage(
      int rackOwner, Policy.MediaBox box, int viewingCount, double rate, double uplinkShare);

  /**
   * Answers such a report with what all other fronts play at the box, what all fronts play on its
   * rack, and the capacity of the rack's uplink. Rates and capacity are in kB per second.
   */
  void sendRackUsage(
      int front,
      Policy.MediaBox box,
      int otherFrontsViewings,
      double otherFrontsRate,
      double rackRate,
      double rackCapacity);

  /** Acts on one viewing. Tune-ins are numbered 0, 1, 2 ... in the order in which they are made. */
  interface ViewingPort {
    void tuneIn(Policy.MediaBox box, Span timeout);

    /**
     * Asks the server to confirm that it has read the end of an earlier attempt, where it can be
     * asked. The confirmation is reported with {@link Policy.Viewing#endConfirmed}.
     */
    default void requestEndConfirmation(long serverId) {}

    void setRung(int rung);

    /**
     * Final answer: the request is rejected. A retry is safe, best after the given span (none: no
     * advice). The reason is for the log.
     */
    void reject(Span retryAfter, RejectionReason reason);

    /** Final answer: the request has failed. An attempt may or may not have run. */
    void fail();
  }

  /** Why a request was rejected, as operators read it. */
  enum RejectionReason {
    /** No server that is in service and holds the title may take the viewing now. */
    NO_SERVER,
    /** Every server that may take the viewing would be overloaded, even at the lowest rung. */
    SERVERS_FULL,
    ATTEMPTS_USED_UP,
    /** Every server that could take an attempt may still have an earlier one in progress. */
    EARLIER_ATTEMPT_UNCONFIRMED,
    RETRY_BUDGET_USED_UP,
    DEADLINE_TOO_CLOSE,
    FRONT_FULL,
    FRONT_STOPPING,
    FRONT_FAILED,
    SAME_KEY_OPEN
  }

  /** The front's access to one media box. */
  interface BoxPort {
    /** The server's id in the list: the same whenever it is listed again. */
    long id();

    void probe();
  }

  /**
   * How a tune-in that is no longer in progress has ended. UNHEARD: no answer came, but the box has
   * sent something else meanwhile on a connection that stayed open, so it runs and has not
   * restarted. HELD_UP: no answer was read in time because the front itself was paused. BROKEN: its
   * connection was closed. RESET: the server reports that the attempt broke off on its way. SPOILT:
   * the answer is of no use to any client.
   */
  enum AttemptOutcome {
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
     * It is certain that the server has nothing of the attempt in progress: the server said so, or
     * the attempt was never sent.
     */
    public final boolean confirmed;

    AttemptOutcome(boolean neverRan, boolean confirmed) {
      this.neverRan = neverRan;
      this.confirmed = confirmed;
    }
  }
}
