package linengauge.platform;

import java.util.ArrayDeque;
import linengauge.Moment;
import linengauge.Span;

/**
 * Releases that are owed to viewers and could not be sent on a viewer's connection yet; bounded,
 * and emptied by the next such connection or by time.
 */
final class PendingReleases {
  private static final Span RETENTION = Span.ofSeconds(8);

  /** At least as many as sessions can be held at once, with those that do not count. */
  private static final int MAX_RELEASES = 10_240;

  private static final class PendingRelease {
    private final long id;
    private final boolean interrupted;
    private final Moment expiresAt;

    /** It has been sent on a connection that may belong to nobody who views. */
    private boolean offered;

    private PendingRelease(long id, boolean interrupted, Moment expiresAt, boolean offered) {
      this.id = id;
      this.interrupted = interrupted;
      this.expiresAt = expiresAt;
      this.offered = offered;
    }
  }

  private final ArrayDeque<PendingRelease> releases = new ArrayDeque<>();

  /** Adds a release, and whether it has been offered already; the oldest is dropped if needed. */
  void add(long id, boolean interrupted, boolean offered, Moment now) {
    if (releases.size() == MAX_RELEASES) {
      releases.poll();
    }
    releases.add(new PendingRelease(id, interrupted, now.plus(RETENTION), offered));
  }

  int size() {
    return releases.size();
  }

  void expire(Moment now) {
    while (!releases.isEmpty() && releases.peek().expiresAt.isBefore(now)) {
      releases.poll();
    }
  }

  /** Sends all on the connection of a viewer; each is then settled. */
  void sendOn(ClientConnection connection) {
    while (!releases.isEmpty()
        && connection.sendRelease(releases.peek().id, releases.peek().interrupted)) {
      releases.poll();
    }
  }

  /** Sends what has not been offered yet on a connection that may be no viewer's; all are kept. */
  void offerOn(ClientConnection connection) {
    for (PendingRelease release : releases) {
      if (!release.offered) {
        if (!connection.sendRelease(release.id, release.interrupted)) {
          return;
        }
        release.offered = true;
      }
    }
  }
}
