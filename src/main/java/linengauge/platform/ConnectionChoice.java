package linengauge.platform;

import java.util.List;

/** Finds among the connections to one server the one that suits a purpose. */
final class ConnectionChoice {
  /** The connections, being dialled or open; changed by the owner only. */
  private final List<ServerConnection> connections;

  ConnectionChoice(List<ServerConnection> connections) {
    this.connections = connections;
  }

  /** Whether messages may be sent on the connection. */
  boolean isUsable(ServerConnection connection) {
    return connection != null
        && connection.isUp()
        && !connection.isRetired()
        && connections.contains(connection);
  }

  /** The usable connection, other than the excluded one, that was heard last; or null. */
  ServerConnection latestHeard(ServerConnection excluded) {
    ServerConnection latest = null;
    for (ServerConnection connection : connections) {
      if (connection != excluded
          && isUsable(connection)
          && (latest == null
              || latest.usage().lastReceivedAt().isBefore(connection.usage().lastReceivedAt()))) {
        latest = connection;
      }
    }
    return latest;
  }

  /**
   * The connection with the fewest open attempts and tests that takes more, preferably one that has
   * not carried that id; or null.
   */
  ServerConnection leastLoaded(long id) {
    ServerConnection least = null;
    for (ServerConnection connection : connections) {
      if (!connection.isRetired()
          && (least == null
              || least.hasUsed(id) && !connection.hasUsed(id)
              || least.hasUsed(id) == connection.hasUsed(id)
                  && connection.openCount() < least.openCount())) {
        least = connection;
      }
    }
    return least;
  }

  /** The number of connections that take attempts. */
  long takingAttempts() {
    return connections.stream().filter(connection -> !connection.isRetired()).count();
  }

  /** A connection without open attempts; or null. */
  ServerConnection firstWithoutAttempts() {
    return connections.stream()
        .filter(connection -> connection.openCount() == 0)
        .findFirst()
        .orElse(null);
  }

  /**
   * Of the given connection and the retired ones without open attempts, the one with the fewest
   * sessions.
   */
  ServerConnection leastUsedRetired(ServerConnection least) {
    for (ServerConnection connection : connections) {
      if (connection.isRetired()
          && connection.openCount() == 0
          && (least == null || connection.usage().sessionCount() < least.usage().sessionCount())) {
        least = connection;
      }
    }
    return least;
  }
}
