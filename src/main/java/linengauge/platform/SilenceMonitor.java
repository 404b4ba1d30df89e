package linengauge.platform;

import java.util.List;
import java.util.function.LongSupplier;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.connection.ConnectionHealth;

/**
 * Judges for each connection to a server whether it still carries anything. A server sends what
 * concerns a session on the connection of its set-up while it takes that one for open, and repeats
 * the end of a session on the next connection that is opened. So if a connection with sessions
 * carries nothing any more, further ones must be opened until those sessions have ended.
 */
final class SilenceMonitor {
  /**
   * Interval of the connections opened for sessions whose own connection is silent; their ends must
   * be heard within the 8 s that the platform's protocol allows.
   */
  private static final Span NEW_CONNECTION_INTERVAL = Span.ofSeconds(5);

  /** A server may begin to read a new connection this late. */
  private static final Span FIRST_RECEIVED_TIMEOUT = Span.ofSeconds(1);

  /** Time between further connections to a server that accepts them and reads none. */
  private static final Span UNREAD_CONNECTION_INTERVAL = Span.ofSeconds(5);

  /** The open connections; changed by the owner only. */
  private final List<ServerConnection> connections;

  SilenceMonitor(List<ServerConnection> connections) {
    this.connections = connections;
  }

  /** Judges every connection by what was received on the others. */
  void judge(Moment now) {
    for (ServerConnection connection : connections) {
      if (connection.usage().judgeSilence(lastReceivedElsewhere(connection), now)) {
        connection.logSilence();
      }
    }
  }

  private Moment lastReceivedElsewhere(ServerConnection excluded) {
    Moment latest = Moment.DISTANT_PAST;
    for (ServerConnection connection : connections) {
      if (connection != excluded && connection.usage().isHeard()) {
        latest = latest.max(connection.usage().lastReceivedAt());
      }
    }
    return latest;
  }

  /**
   * Tests the connections on which the server may report about sessions and that are silent; all of
   * them if it may use any, or if another one has not answered. Returns whether one was tested.
   */
  boolean testSilent(boolean anyMayReport, LongSupplier testIds, Moment now) {
    boolean testAll = anyMayReport || isTestUnanswered();
    boolean isTested = false;
    for (ServerConnection connection : connections) {
      ConnectionHealth usage = connection.usage();
      if (connection.isUp() && (testAll || usage.sessionCount() > 0) && usage.needsTest(now)) {
        connection.sendLivenessTest(testIds.getAsLong());
        isTested = true;
      }
    }
    return isTested;
  }

  /** Whether nothing has been received on a connection since it was tested. */
  boolean isTestUnanswered() {
    return connections.stream()
        .anyMatch(connection -> connection.usage().unansweredTestSentAt() != null);
  }

  /** Whether the ends of sessions may wait to be repeated on a new connection. */
  boolean needsNewConnection(Moment now) {
    boolean hasSilentSessions = false;
    Moment latestUp = Moment.DISTANT_PAST;
    for (ServerConnection connection : connections) {
      ConnectionHealth usage = connection.usage();
      hasSilentSessions |= usage.isSilentWithSessions();
      if (usage.isHeard()) {
        latestUp = latestUp.max(usage.upAt());
      }
    }
    return hasSilentSessions && !now.isBefore(latestUp.plus(NEW_CONNECTION_INTERVAL));
  }

  /**
   * Closes a connection that carries nothing of its own if there are that many: what the server may
   * be about to report on it is repeated on the next one that is opened.
   */
  void closeSpareConnection(int maxConnections) {
    if (connections.size() < maxConnections) {
      return;
    }
    connections.stream()
        .filter(ServerConnection::isSpare)
        .findFirst()
        .ifPresent(connection -> connection.closeIdle("replaced"));
  }

  /** An established connection that takes set-ups and awaits no answer to a test; or null. */
  ServerConnection findUntested() {
    return connections.stream()
        .filter(
            connection ->
                connection.isUp()
                    && !connection.isRetired()
                    && connection.usage().unansweredTestSentAt() == null)
        .findFirst()
        .orElse(null);
  }

  /**
   * Whether the server may still begin to read a connection that was begun at that number of
   * misses; the time grows with the second one that it does not read.
   */
  boolean awaitsFirstReceived(int missCount, Moment now) {
    Moment latestUp = Moment.DISTANT_PAST;
    int unread = 0;
    for (ServerConnection connection : connections) {
      if (connection.isUp()
          && !connection.isRetired()
          && !connection.usage().isHeard()
          && connection.missesBeforeDial() == missCount) {
        unread++;
        latestUp = latestUp.max(connection.usage().upAt());
      }
    }
    Span timeout = unread > 1 ? UNREAD_CONNECTION_INTERVAL : FIRST_RECEIVED_TIMEOUT;
    return unread > 0 && now.isBefore(latestUp.plus(timeout));
  }
}
