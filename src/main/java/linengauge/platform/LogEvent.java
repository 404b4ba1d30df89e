package linengauge.platform;

import java.util.Locale;
import linengauge.Moment;
import linengauge.platform.codec.Texts;

/**
 * One thing that happened to a request, a connection or a server, as the log tells it: ids as the
 * platform writes them, and why. Figures that do not apply are {@link #NONE}.
 *
 * @param at when it happened, which may be long before its line is written
 * @param request the id of the set-up on the wire
 * @param server the server's id in the list
 * @param attempt counted from 0 for each request
 * @param connection counted from 1 over all connections to servers in one life of the front
 */
public record LogEvent(
    Moment at, Kind kind, long request, long server, int attempt, int connection, String reason) {
  /** Does not apply. */
  public static final int NONE = -1;

  private static final long MICROS = 1_000_000;

  /** What happened. */
  public enum Kind {
    REQUEST_TAKEN,
    ATTEMPT_SENT,
    ATTEMPT_ANSWERED,
    ATTEMPT_ENDED,
    GIVE_UP_SENT,
    END_CONFIRMED,
    REQUEST_REFUSED,
    REQUEST_FAILED,
    CLIENT_LEFT,
    SESSION_ENDED,
    CONNECTION_DIALLED,
    CONNECTION_UP,
    CONNECTION_CLOSED,
    CLIENT_CONNECTION_CLOSED,
    SERVER_STATE,
    SERVER_LOST,
    DISCOVERY,
    SHUTDOWN
  }

  /** One line of key=value pairs, without its end. */
  public String line() {
    StringBuilder line = new StringBuilder(128);
    line.append("event=").append(kind.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    line.append(" at=").append(at.micros() / MICROS).append('.');
    line.append(Long.toString(MICROS + at.micros() % MICROS), 1, 7);
    if (request != NONE) {
      line.append(" request=").append(Texts.id(request));
    }
    if (server != NONE) {
      line.append(" server=").append(Texts.server(server));
    }
    if (attempt != NONE) {
      line.append(" attempt=").append(attempt);
    }
    if (connection != NONE) {
      line.append(" connection=").append(connection);
    }
    if (!reason.isEmpty()) {
      line.append(" reason=\"").append(reason.replace('"', '\'')).append('"');
    }
    return line.toString();
  }
}
