package linengauge.platform.connection;

import linengauge.Moment;

/**
 * The latest process known to have started under a server's id. Whatever is known to have existed
 * at the server before that start died with an earlier process.
 *
 * <p>A connection cannot outlive the process that it leads to, so a session belongs to the process
 * that ran when the connection of its set-up came up.
 */
public final class ServerIncarnation {
  /** The start time as listed, by which a further start is recognized. */
  private Moment listedStart = Moment.DISTANT_PAST;

  /** The start on this front's clock: never later than the moment at which it was listed. */
  private Moment startedAt = Moment.DISTANT_PAST;

  /**
   * Discovery lists the server with that start time; returns whether a new process has started. The
   * server's clock may be ahead of this front's, but a process has started before it is listed.
   */
  public boolean onListed(Moment start, Moment now) {
    if (!listedStart.isBefore(start)) {
      return false;
    }
    listedStart = start;
    startedAt = startedAt.max(start.isBefore(now) ? start : now);
    return true;
  }

  /** Returns whether what existed at that moment belongs to an earlier process. */
  public boolean hasOutlived(Moment existedAt) {
    return existedAt.isBefore(startedAt);
  }
}
