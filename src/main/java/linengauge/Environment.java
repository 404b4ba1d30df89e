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
   * @param uplinkShare 1: the uplink is not short
   */
  void sendUsage(
      int rackOwner, Policy.MediaBox box, int viewingCount, double rate, double uplinkShare);

  /**
   * Sends the rack owner's reply to a usage report of another front. Rates and capacity are in kB
   * per second.
   *
   * @param front the front that sent the report
   * @param otherFrontsViewings viewings of all fronts but that one at the box, this front included
   * @param otherFrontsRate rate of these viewings
   * @param rackRate rate of all fronts' viewings on the rack, those of the reporting front included
   * @param rackCapacity capacity of the rack's uplink
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
    /** The request has made as many tune-ins as are allowed. */
    ATTEMPTS_USED_UP,
    /** Every server that could take an attempt may still have an earlier one in progress. */
    EARLIER_ATTEMPT_UNCONFIRMED,
    /** The request needs a retry, and the front has used up the retries of the present window. */
    RETRY_BUDGET_USED_UP,
    /** Too little time is left for a tune-in. */
    DEADLINE_TOO_CLOSE,
    /** The front holds as many sessions as it may. */
    FRONT_FULL,
    FRONT_STOPPING,
    /** The module has failed. */
    FRONT_FAILED,
    /** An earlier request with the same viewer key has not been answered yet. */
    SAME_KEY_OPEN
  }

  /** The front's access to one media box. */
  interface BoxPort {
    /** The id of no box. */
    long NO_BOX = -1;

    /** The server's id in the list: the same whenever it is listed again. */
    long id();

    /**
     * The id of the box that had the same address before, or {@link #NO_BOX}: what was sent there
     * lately may have reached this box.
     */
    default long predecessorId() {
      return NO_BOX;
    }

    void probe();
  }

  /** How a tune-in (or a probe) that is no longer in progress has ended. */
  enum AttemptOutcome {
    /** What it set up has played and ended in order; of a probe: it was answered. */
    FINISHED(false, true),
    /** The server answered with an error. */
    ERROR(false, true),
    /** The server refused it and did not run it. */
    TURNED_AWAY(true, true),
    /** No answer came in time, and nothing shows that the box runs: it may have restarted. */
    NO_ANSWER(false, false),
    /** No connection to the box was available, so nothing was sent; the box may have restarted. */
    NOT_REACHED(true, true),
    /** Its connection was closed or its box was lost. */
    BROKEN(false, false),
    /** The server reports that the attempt broke off on its way. */
    RESET(false, true),
    /** The answer is of no use to any client, such as an invalid playlist. */
    SPOILT(false, false),
    /**
     * No answer came, but the box has sent something else meanwhile on a connection that stayed
     * open, so it runs and has not restarted.
     */
    UNHEARD(false, false),
    /** No answer was read in time because the front itself was paused; the box is not to blame. */
    HELD_UP(false, false),
    /**
     * The viewer's own time ran out before an answer could be expected; this says nothing about the
     * box.
     */
    NOT_AWAITED(false, false),
    /** Cancelled by the front, or ended by the viewer, before anything else ended it. */
    WITHDRAWN(false, false),
    /** The front did not send it: it was not allowed any more, or no connection was free. */
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
