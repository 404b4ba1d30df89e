package linengauge.platform;

import java.util.List;
import java.util.function.LongSupplier;
import linengauge.Moment;

/**
 * Judges after an outage whether the process that ran at a server before it is still there. A
 * connection that comes up then shows that a process listens, not which one. What led to the
 * earlier one is tested: a path that was cut closes nothing, whereas the machine resets what led to
 * a process that died, also if another one listens there now.
 */
final class EarlierProcess {
  /** The connections, being dialled or open; changed by the owner only. */
  private final List<ServerConnection> connections;

  /**
   * When the server went out of reach the last time, as long as nothing was heard since from the
   * process that ran there before; null if there is no such doubt.
   */
  private Moment doubtedSince;

  EarlierProcess(List<ServerConnection> connections) {
    this.connections = connections;
  }

  /** A connection has come up after an outage that began at that moment. */
  void doubt(Moment outage, LongSupplier testIds) {
    doubtedSince = outage;
    for (ServerConnection connection : List.copyOf(connections)) {
      if (isUpSinceBefore(connection, outage)) {
        connection.sendLivenessTest(testIds.getAsLong());
      }
    }
  }

  /** Something was received: on a connection of before, it shows that the process is there. */
  void onReceived(ServerConnection connection) {
    if (doubtedSince != null && isUpSinceBefore(connection, doubtedSince)) {
      doubtedSince = null;
    }
  }

  /**
   * The server has closed a connection, which is no longer among the open ones. Returns the moment
   * before which the process was seen that is shown to be gone; null if none is.
   *
   * @param currentOutage when the present outage began, or null if there is none
   */
  Moment onClosedByServer(ServerConnection closed, Moment currentOutage) {
    Moment outage = currentOutage != null ? currentOutage : doubtedSince;
    if (outage == null
        || !closed.usage().upAt().isBefore(outage)
        || connections.stream().anyMatch(other -> isUpSinceBefore(other, outage))) {
      return null;
    }
    doubtedSince = null;
    return outage;
  }

  private static boolean isUpSinceBefore(ServerConnection connection, Moment moment) {
    return connection.isUp() && connection.usage().upAt().isBefore(moment);
  }
}
